/** Compares placement policies for new flows on a fabric with cookies. */
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
const SERVICE_MS = 50;
const CALL_DEADLINE_MS = 1_500;
/** Time between two calls by load; the servers can serve one per 1.7 ms. */
const CALL_INTERVALS_MS: Readonly<Record<string, number>> = {
  calm: 5,
  burst: 2,
};
const CALLS = 2_000;

/** Selects the preferred server, as a hash of the flow would. */
class HashPlacement extends Placement {
  choose(_candidates: readonly Candidate[], preferred: number): number {
    return preferred;
  }
}

type LoadFunction = (candidate: Candidate) => number;

/** Selects the less loaded of the preferred and a random server. */
class TwoChoicesPlacement extends Placement {
  private constructor(
    private readonly random: Random,
    private readonly loadOf: LoadFunction,
  ) {
    super();
  }

  static create(random: Random, loadOf: LoadFunction): TwoChoicesPlacement {
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

/** Reports the answered share and latency by policy and load. */
export const placing: Experiment = {
  name: 'placing',
  summary: 'hash only, two choices and least load on a fabric with cookies',
  run: async context => {
    const hasher = await XxhashHasher.create();
    const twoChoices = (loadOf: LoadFunction) =>
      TwoChoicesPlacement.create(Random.create(context.seed), loadOf);
    const policies: Readonly<Record<string, () => Placement>> = {
      hash: () => new HashPlacement(),
      twoByOwn: () => twoChoices(({localFlows}) => localFlows),
      twoByAll: () => twoChoices(({flows}) => flows),
      twoByBoth: () =>
        twoChoices(({localFlows, flows}) => localFlows * 8 + flows / 8),
      leastByOwn: () => LocalLoadPlacement.create(),
      leastWork: () => LeastLoadedPlacement.create(),
    };
    const cases = Object.entries(policies).flatMap(([policy, create]) =>
      Object.keys(CALL_INTERVALS_MS).map(load => ({policy, load, create})),
    );
    const rows = await cases.reduce(
      async (before, {policy, load, create}) => [
        ...(await before),
        {policy, load, ...(await measure(context, hasher, load, create()))},
      ],
      Promise.resolve<object[]>([]),
    );
    return {figures: {rows}, failures: []};
  },
};

async function measure(
  context: ExperimentContext,
  hasher: Hasher,
  load: string,
  placement: Placement,
) {
  context.log(`${placement.constructor.name} under ${load}`);
  const simulation = await SimulatedPlatform.create(
    createPlan(context.seed, placement),
    hasher,
  );
  for (let call = 0; call < CALLS; call += 1) {
    simulation.startCaller(PAY, 1, CALL_DEADLINE_MS);
    await simulation.clock.advance(CALL_INTERVALS_MS[load]);
  }
  await simulation.clock.advance(CALL_DEADLINE_MS);
  const sortedMs = [...simulation.callResults.durationsMs].sort(
    (a, b) => a - b,
  );
  const percentile = (share: number) =>
    round(sortedMs[Math.floor(sortedMs.length * share)] ?? 0);
  const {answered} = simulation.callResults.outcomes;
  return {
    answeredShare: round(answered / CALLS),
    p50Ms: percentile(0.5),
    p99Ms: percentile(0.99),
    broken: simulation.violations.length,
  };
}

function createPlan(seed: number, placement: Placement): SimulationPlan {
  return {
    seed,
    daemons: 8,
    failureDomains: ['a', 'b', 'c'],
    services: [
      {name: 'pay', servers: SERVERS, slots: SLOTS, workMs: SERVICE_MS},
    ],
    routes: [PAY],
    bounds: {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000},
    placement,
  };
}
