/** Compares placement policies by the imbalance of open flows, in virtual time. */
import {XxhashHasher} from '../../src/adapters/xxhash-hasher.js';
import {PacketKind} from '../../src/generated/packet.js';
import type {Hasher} from '../../src/ports/hasher.js';
import {
  LeastLoadedPlacement,
  Placement,
  type Candidate,
} from '../../src/routing/placement.js';
import type {
  AddressGeneration,
  RoutingRevision,
} from '../../src/routing/routed-address.js';
import {MarkState} from '../../src/routing/server-marks.js';
import {MemoryFleet, createFlowPacket} from '../../standins/memory-fleet.js';
import {Random} from '../../src/routing/random.js';
import {computeImbalance, type Imbalance} from '../measures.js';
import {
  collectFailures,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const DAEMONS = 8;
const FLOWS_PER_SERVER = 2_000;
const FLOWS_PER_STEP = 200;
const STEP_MS = 100;
const FLEXIBLE_SHARE = 0.25;
const MAX_OVER_MEAN_LIMIT = 1.05;
/** Limit of the imbalance under `weldyard`, relative to the best policy. */
const MAX_RATIO_TO_BEST = 1.02;
const DESTINATION = {address: 0x0a140001, port: 443, service: 'a/b'};

/** Selects a server at random. */
class RandomPlacement extends Placement {
  constructor(private readonly random: Random) {
    super();
  }

  choose(candidates: readonly Candidate[]): number {
    return candidates[this.random.nextInt(candidates.length)].server;
  }
}

/** Selects servers in round-robin order. */
class RoundRobinPlacement extends Placement {
  private next = 0;

  choose(candidates: readonly Candidate[]): number {
    this.next += 1;
    return candidates[this.next % candidates.length].server;
  }
}

/** Selects the server with the fewest flows from this daemon, by weight. */
class LeastLocalPlacement extends Placement {
  choose(candidates: readonly Candidate[]): number {
    return candidates.reduce((best, next) =>
      next.localFlows / next.weight < best.localFlows / best.weight
        ? next
        : best,
    ).server;
  }
}

/** Selects the server that reports the fewest flows; reports may be late or wrong. */
class LeastReportedPlacement extends Placement {
  constructor(private readonly reported: (server: number) => number) {
    super();
  }

  choose(candidates: readonly Candidate[]): number {
    return candidates.reduce((best, next) =>
      this.reported(next.server) < this.reported(best.server) ? next : best,
    ).server;
  }
}

/** Servers, and what happens to them while flows open. */
interface Scenario {
  readonly name: string;
  readonly weights: readonly number[];
  /** Open flows per server at the end. */
  readonly flowsPerServer: number;
  /** Whether the last server joins when half of the flows are open. */
  readonly joins?: boolean;
  /** Whether the first server takes no new flows in the second quarter. */
  readonly sheds?: boolean;
  /** Share of flows replaced by new ones in each step, once all are open. */
  readonly churn?: number;
}

const SCENARIOS: readonly Scenario[] = [
  {
    name: 'steady',
    weights: new Array<number>(10).fill(1),
    flowsPerServer: FLOWS_PER_SERVER,
  },
  {name: 'few-servers', weights: [1, 1, 1], flowsPerServer: FLOWS_PER_SERVER},
  {
    name: 'unequal-servers',
    weights: [1, 1, 1, 2, 2, 2, 3, 3, 4, 4],
    flowsPerServer: FLOWS_PER_SERVER,
  },
  {
    name: 'cold-start',
    weights: new Array<number>(10).fill(1),
    flowsPerServer: FLOWS_PER_SERVER,
    joins: true,
    churn: 0.01,
  },
  {
    name: 'shedding',
    weights: new Array<number>(10).fill(1),
    flowsPerServer: FLOWS_PER_SERVER,
    sheds: true,
    churn: 0.01,
  },
  {
    name: 'misleading-load',
    weights: new Array<number>(10).fill(1),
    flowsPerServer: FLOWS_PER_SERVER,
  },
];

const POLICIES = [
  'weldyard',
  'random',
  'round-robin',
  'least-own',
  'least-reported',
] as const;
type Policy = (typeof POLICIES)[number];

/** Reports the imbalance of open flows by scenario and policy. */
export const imbalance: Experiment = {
  name: 'imbalance',
  summary: 'placement policies under cold start, shedding, unequal servers',
  run: async context => {
    const hasher = await XxhashHasher.create();
    const rows: ({case: string; policy: Policy} & Imbalance)[] = [];
    await SCENARIOS.reduce(async (earlierScenario, scenario) => {
      await earlierScenario;
      await POLICIES.reduce(async (earlier, policy) => {
        await earlier;
        const result = await runScenario(context, hasher, scenario, policy);
        context.log(`${scenario.name} ${policy} ${result.maxOverMean}`);
        rows.push({case: scenario.name, policy, ...result});
      }, Promise.resolve());
    }, Promise.resolve());
    return {
      figures: {cases: rows},
      failures: collectFailures(
        SCENARIOS.flatMap(({name}) => {
          const results = rows.filter(row => row.case === name);
          const best = Math.min(...results.map(({maxOverMean}) => maxOverMean));
          const weldyardResult = results.find(
            ({policy}) => policy === 'weldyard',
          );
          const figure = weldyardResult?.maxOverMean ?? Infinity;
          return [
            [
              figure <= MAX_OVER_MEAN_LIMIT,
              `${name}: ${figure} is over ${MAX_OVER_MEAN_LIMIT}`,
            ] as const,
            [
              figure <= best * MAX_RATIO_TO_BEST,
              `${name}: ${figure} is not within 2% of the best, ${best}`,
            ] as const,
          ];
        }),
      ),
    };
  },
};

function createPlacement(
  policy: Policy,
  random: Random,
  reported: (server: number) => number,
): Placement {
  const placements: Record<Policy, () => Placement> = {
    weldyard: () => LeastLoadedPlacement.create(),
    random: () => new RandomPlacement(random),
    'round-robin': () => new RoundRobinPlacement(),
    'least-own': () => new LeastLocalPlacement(),
    'least-reported': () => new LeastReportedPlacement(reported),
  };
  return placements[policy]();
}

async function runScenario(
  context: ExperimentContext,
  hasher: Hasher,
  scenario: Scenario,
  policy: Policy,
): Promise<Imbalance> {
  const random = Random.create(context.seed);
  const ids = scenario.weights.map((_, index) => `10.1.0.${index + 1}:80`);
  const share = policy === 'weldyard' ? FLEXIBLE_SHARE : 1;
  const reports = new Map<string, number>();
  const fleet: MemoryFleet = MemoryFleet.create({
    hasher,
    seed: context.seed,
    services: new Map(ids.map(id => [id, DESTINATION.service])),
    placement: () =>
      createPlacement(policy, random, server => {
        const {directory} = [...fleet.daemons.values()][0].coordinator.router;
        return reports.get(directory.idOf(server)) ?? 0;
      }),
  });
  const first = scenario.joins === true ? ids.slice(0, -1) : ids;
  fleet.revision = createRevision(1, [
    createGeneration(1, first, scenario.weights, share),
  ]);
  await Array.from({length: DAEMONS}).reduce(async (earlier, _, index) => {
    await earlier;
    await fleet.join(`hall-${index % 4}`);
    await fleet.clock.advance(50);
  }, Promise.resolve());
  await fleet.clock.advance(4_000);
  const load = new FlowGenerator(fleet, random);
  const total = scenario.flowsPerServer * ids.length;
  while (load.count < total) {
    load.open(FLOWS_PER_STEP);
    await fleet.clock.advance(STEP_MS);
    updateReports(fleet, ids, reports, scenario.name === 'misleading-load');
    if (scenario.joins === true && load.crossed(total / 2)) {
      addServer(fleet, ids, scenario.weights, share);
    }
    if (scenario.sheds === true && load.crossed(total / 4)) {
      fleet.markServer(ids[0], MarkState.LEAVING, fleet.running);
    }
    if (scenario.sheds === true && load.crossed(total / 2)) {
      fleet.markServer(ids[0], MarkState.LIVE, fleet.running);
    }
  }
  await churn(fleet, load, scenario, total);
  const counts = ids.map(id => fleet.backends.flowsOf(id).size);
  return computeImbalance(counts, scenario.weights);
}

/** Replaces open flows by new ones, so that the counts can even out. */
async function churn(
  fleet: MemoryFleet,
  load: FlowGenerator,
  scenario: Scenario,
  total: number,
): Promise<void> {
  const steps = scenario.churn === undefined ? 0 : 200;
  await Array.from({length: steps}).reduce(async earlier => {
    await earlier;
    const ended = Math.round(total * (scenario.churn ?? 0));
    load.close(ended);
    load.open(ended);
    await fleet.clock.advance(STEP_MS * 5);
  }, Promise.resolve());
}

/** Updates reports every 2 s; a misleading server reports half of its flows. */
function updateReports(
  fleet: MemoryFleet,
  ids: readonly string[],
  reports: Map<string, number>,
  misleading: boolean,
): void {
  const due = Math.floor(fleet.clock.now() / STEP_MS) % 20 === 0;
  ids.forEach((id, index) => {
    if (due) {
      const factor = misleading && index === 0 ? 0.5 : 1;
      reports.set(id, fleet.backends.flowsOf(id).size * factor);
    }
  });
}

/** Opens numbered flows and closes random ones. */
class FlowGenerator {
  count = 0;
  private nextFlow = 0;
  private previousCount = 0;
  private readonly openFlows: number[] = [];

  constructor(
    private readonly fleet: MemoryFleet,
    private readonly random: Random,
  ) {}

  open(count: number): void {
    this.previousCount = this.count;
    Array.from({length: count}).forEach(() => {
      this.send(this.nextFlow, PacketKind.OPEN);
      this.openFlows.push(this.nextFlow);
      this.nextFlow += 1;
    });
    this.count += count;
  }

  close(count: number): void {
    Array.from({length: count}).forEach(() => {
      const place = this.random.nextInt(this.openFlows.length);
      const flow = this.openFlows[place];
      this.openFlows[place] = this.openFlows[this.openFlows.length - 1];
      this.openFlows.pop();
      this.send(flow, PacketKind.CLOSE);
    });
    this.count -= count;
  }

  /** Returns whether the last `open` reached a number of flows. */
  crossed(count: number): boolean {
    return this.previousCount < count && this.count >= count;
  }

  private send(flow: number, kind: PacketKind): void {
    const daemon = this.random.pick(this.fleet.ready);
    if (daemon !== undefined) {
      this.fleet.deliver(daemon, createFlowPacket(flow, kind, DESTINATION));
    }
  }
}

function createGeneration(
  since: number,
  ids: readonly string[],
  weights: readonly number[],
  flexibleShare: number,
): AddressGeneration {
  return {
    since,
    workspace: 'a',
    service: 'b',
    flexibleShare,
    servers: ids.map((id, index) => ({id, weight: weights[index]})),
  };
}

function createRevision(
  revision: number,
  generations: readonly AddressGeneration[],
): RoutingRevision {
  return {
    revision,
    addresses: [
      {
        address: DESTINATION.address,
        port: DESTINATION.port,
        connectionLimit: 100_000,
        warmUpMs: 30_000,
        idleLimitSeconds: 7_200,
        flowLifetimeMs: 43_200_000,
        generations,
      },
    ],
  };
}

function addServer(
  fleet: MemoryFleet,
  ids: readonly string[],
  weights: readonly number[],
  share: number,
): void {
  const before = createGeneration(1, ids.slice(0, -1), weights, share);
  fleet.publishRevision(
    createRevision(2, [
      {...before, endedAtMs: fleet.clock.wall()},
      createGeneration(2, ids, weights, share),
    ]),
    fleet.running.slice(0, 2),
  );
}
