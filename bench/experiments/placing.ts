/** Ways to place new flows on a fabric with cookies, side by side. */
import {XxhashHasher} from '../../src/adapters/xxhash-hasher.js';
import type {Hasher} from '../../src/ports/hasher.js';
import {
  LeastLoadedPlacement,
  LocalLoadPlacement,
  Placement,
  type Candidate,
} from '../../src/routing/placement.js';
import {Random} from '../../src/routing/random.js';
import {
  SimulatedPlatform,
  type SimulationPlan,
} from '../../standins/simulated-platform.js';
import {round} from '../measures.js';
import type {Experiment, ExperimentContext} from './experiment.js';
import {createRoute} from '../../standins/catalog-records.js';

const PAY = createRoute('pay', {address: 0xc6120001, port: 443});
const SERVERS = 10;
const SLOTS = 3;
const WORK_MS = 50;
const CALL_LIMIT_MS = 1_500;
/** Times between two callers; the capacity is one in 1.7 ms. */
const CALL_GAPS_MS: Readonly<Record<string, number>> = {
  calm: 5,
  burst: 2,
};
const CALLS = 2_000;

/** Takes what chance prefers, as a hash of the flow would. */
class HashPlacement extends Placement {
  choose(_candidates: readonly Candidate[], preferred: number): number {
    return preferred;
  }
}

type Load = (candidate: Candidate) => number;

/** The lighter of two that chance names, by one of several counts. */
class TwoChoicesPlacement extends Placement {
  private constructor(
    private readonly random: Random,
    private readonly loadOf: Load,
  ) {
    super();
  }

  static create(random: Random, loadOf: Load): TwoChoicesPlacement {
    return new TwoChoicesPlacement(random, loadOf);
  }

  choose(candidates: readonly Candidate[], preferred: number): number {
    const other = this.random.pick(candidates);
    const first = candidates.find(({server}) => server === preferred);
    return first === undefined || other === undefined
      ? preferred
      : this.loadOf(other) < this.loadOf(first)
        ? other.server
        : first.server;
  }
}

/** The policies and loads, each with how long answered calls took. */
export const placing: Experiment = {
  name: 'placing',
  summary: 'hash only, two choices and least work on a fabric with cookies',
  run: async context => {
    const hasher = await XxhashHasher.create();
    const twoChoices = (loadOf: Load) =>
      TwoChoicesPlacement.create(Random.create(context.seed), loadOf);
    const policies: Readonly<Record<string, () => Placement>> = {
      hash: () => new HashPlacement(),
      twoByOwn: () => twoChoices(({ownFlows}) => ownFlows),
      twoByAll: () => twoChoices(({flows}) => flows),
      twoByBoth: () =>
        twoChoices(({ownFlows, flows}) => ownFlows * 8 + flows / 8),
      leastByOwn: () => LocalLoadPlacement.create(),
      leastWork: () => LeastLoadedPlacement.create(),
    };
    const cases = Object.entries(policies).flatMap(([policy, create]) =>
      Object.keys(CALL_GAPS_MS).map(load => ({policy, load, create})),
    );
    const rows = await cases.reduce(
      async (before, {policy, load, create}) => [
        ...(await before),
        {policy, load, ...(await measure(context, hasher, load, create()))},
      ],
      Promise.resolve<object[]>([]),
    );
    return {figures: {rows}, broken: []};
  },
};

async function measure(
  context: ExperimentContext,
  hasher: Hasher,
  load: string,
  placement: Placement,
) {
  context.say(`${placement.constructor.name} under ${load}`);
  const world = await SimulatedPlatform.create(
    planOf(context.seed, placement),
    hasher,
  );
  for (let call = 0; call < CALLS; call += 1) {
    world.call(PAY, 1, CALL_LIMIT_MS);
    await world.clock.advance(CALL_GAPS_MS[load]);
  }
  await world.clock.advance(CALL_LIMIT_MS);
  const took = [...world.tally.tookMs].sort((a, b) => a - b);
  const at = (share: number) =>
    round(took[Math.floor(took.length * share)] ?? 0);
  const {answered} = world.tally.ends;
  return {
    answeredShare: round(answered / CALLS),
    p50Ms: at(0.5),
    p99Ms: at(0.99),
    broken: world.broken.length,
  };
}

function planOf(seed: number, placement: Placement): SimulationPlan {
  return {
    seed,
    daemons: 8,
    failureDomains: ['a', 'b', 'c'],
    services: [{name: 'pay', servers: SERVERS, slots: SLOTS, workMs: WORK_MS}],
    routes: [PAY],
    bounds: {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000},
    placement,
  };
}
