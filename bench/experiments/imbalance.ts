/** The placing policy beside three common ones, on eight coordinators. */
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
import {MemoryFleet, packetOf} from '../../standins/memory-fleet.js';
import {Random} from '../../src/routing/random.js';
import {imbalanceOf, type Imbalance} from '../measures.js';
import {
  brokenPromises,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const DAEMONS = 8;
const FLOWS_A_SERVER = 2_000;
const FLOWS_A_STEP = 200;
const STEP_MS = 100;
const FLEXIBLE_SHARE = 0.25;
const TARGET = 1.05;
/** Ours is to be within this factor of the best. */
const WITHIN_BEST = 1.02;
const DESTINATION = {address: 0x0a140001, port: 443, service: 'a/b'};

/** Chooses at random. */
class RandomPlacement extends Placement {
  constructor(private readonly random: Random) {
    super();
  }

  choose(candidates: readonly Candidate[]): number {
    return candidates[this.random.below(candidates.length)].server;
  }
}

/** Chooses one after the other. */
class RoundRobinPlacement extends Placement {
  private next = 0;

  choose(candidates: readonly Candidate[]): number {
    this.next += 1;
    return candidates[this.next % candidates.length].server;
  }
}

/** Chooses the fewest flows by this daemon's own count. */
class LeastOwnPlacement extends Placement {
  choose(candidates: readonly Candidate[]): number {
    return candidates.reduce((best, next) =>
      next.ownFlows / next.weight < best.ownFlows / best.weight ? next : best,
    ).server;
  }
}

/** Chooses the fewest flows by the servers' reports, which lag or mislead. */
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

/** What happens to the servers while flows open. */
interface Case {
  readonly name: string;
  readonly weights: readonly number[];
  /** Flows open at the end, for each server. */
  readonly flowsAServer: number;
  /** A server that joins when half of the flows are open. */
  readonly joins?: boolean;
  /** A server that takes no new flows in the second quarter. */
  readonly sheds?: boolean;
  /** Share of open flows that end in each step, once all are open. */
  readonly churn?: number;
}

const CASES: readonly Case[] = [
  {
    name: 'steady',
    weights: new Array<number>(10).fill(1),
    flowsAServer: FLOWS_A_SERVER,
  },
  {name: 'few-servers', weights: [1, 1, 1], flowsAServer: FLOWS_A_SERVER},
  {
    name: 'unequal-servers',
    weights: [1, 1, 1, 2, 2, 2, 3, 3, 4, 4],
    flowsAServer: FLOWS_A_SERVER,
  },
  {
    name: 'cold-start',
    weights: new Array<number>(10).fill(1),
    flowsAServer: FLOWS_A_SERVER,
    joins: true,
    churn: 0.01,
  },
  {
    name: 'shedding',
    weights: new Array<number>(10).fill(1),
    flowsAServer: FLOWS_A_SERVER,
    sheds: true,
    churn: 0.01,
  },
  {
    name: 'misleading-load',
    weights: new Array<number>(10).fill(1),
    flowsAServer: FLOWS_A_SERVER,
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

/** Evenness of open flows, by case and policy. */
export const imbalance: Experiment = {
  name: 'imbalance',
  summary: 'placing policies under cold start, shedding, unequal servers',
  run: async context => {
    const hasher = await XxhashHasher.create();
    const rows: ({case: string; policy: Policy} & Imbalance)[] = [];
    await CASES.reduce(async (earlierCase, setting) => {
      await earlierCase;
      await POLICIES.reduce(async (earlier, policy) => {
        await earlier;
        const result = await runCase(context, hasher, setting, policy);
        context.say(`${setting.name} ${policy} ${result.maxOverMean}`);
        rows.push({case: setting.name, policy, ...result});
      }, Promise.resolve());
    }, Promise.resolve());
    return {
      figures: {cases: rows},
      broken: brokenPromises(
        CASES.flatMap(({name}) => {
          const own = rows.filter(row => row.case === name);
          const best = Math.min(...own.map(({maxOverMean}) => maxOverMean));
          const ours = own.find(({policy}) => policy === 'weldyard');
          const figure = ours?.maxOverMean ?? Infinity;
          return [
            [figure <= TARGET, `${name}: ${figure} is over ${TARGET}`] as const,
            [
              figure <= best * WITHIN_BEST,
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
    'least-own': () => new LeastOwnPlacement(),
    'least-reported': () => new LeastReportedPlacement(reported),
  };
  return placements[policy]();
}

async function runCase(
  context: ExperimentContext,
  hasher: Hasher,
  setting: Case,
  policy: Policy,
): Promise<Imbalance> {
  const random = Random.create(context.seed);
  const ids = setting.weights.map((_, index) => `10.1.0.${index + 1}:80`);
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
  const first = setting.joins === true ? ids.slice(0, -1) : ids;
  fleet.revision = revisionOf(1, [
    generation(1, first, setting.weights, share),
  ]);
  await Array.from({length: DAEMONS}).reduce(async (earlier, _, index) => {
    await earlier;
    await fleet.join(`hall-${index % 4}`);
    await fleet.clock.advance(50);
  }, Promise.resolve());
  await fleet.clock.advance(4_000);
  const load = new FlowLoad(fleet, random);
  const total = setting.flowsAServer * ids.length;
  while (load.count < total) {
    load.open(FLOWS_A_STEP);
    await fleet.clock.advance(STEP_MS);
    updateReports(fleet, ids, reports, setting.name === 'misleading-load');
    if (setting.joins === true && load.passed(total / 2)) {
      addServer(fleet, ids, setting.weights, share);
    }
    if (setting.sheds === true && load.passed(total / 4)) {
      fleet.mark(ids[0], MarkState.LEAVING, fleet.running);
    }
    if (setting.sheds === true && load.passed(total / 2)) {
      fleet.mark(ids[0], MarkState.LIVE, fleet.running);
    }
  }
  await churn(fleet, load, setting, total);
  const counts = ids.map(id => fleet.backends.flowsOf(id).size);
  return imbalanceOf(counts, setting.weights);
}

/** Flows end and others open, so that a change can even out. */
async function churn(
  fleet: MemoryFleet,
  load: FlowLoad,
  setting: Case,
  total: number,
): Promise<void> {
  const steps = setting.churn === undefined ? 0 : 200;
  await Array.from({length: steps}).reduce(async earlier => {
    await earlier;
    const ended = Math.round(total * (setting.churn ?? 0));
    load.close(ended);
    load.open(ended);
    await fleet.clock.advance(STEP_MS * 5);
  }, Promise.resolve());
}

/** Reports are two seconds old; a misleading server says half of its load. */
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

/** Opens and closes numbered flows. */
class FlowLoad {
  count = 0;
  private next = 0;
  private before = 0;
  private readonly open_: number[] = [];

  constructor(
    private readonly fleet: MemoryFleet,
    private readonly random: Random,
  ) {}

  open(count: number): void {
    this.before = this.count;
    Array.from({length: count}).forEach(() => {
      this.send(this.next, PacketKind.OPEN);
      this.open_.push(this.next);
      this.next += 1;
    });
    this.count += count;
  }

  close(count: number): void {
    Array.from({length: count}).forEach(() => {
      const place = this.random.below(this.open_.length);
      const flow = this.open_[place];
      this.open_[place] = this.open_[this.open_.length - 1];
      this.open_.pop();
      this.send(flow, PacketKind.CLOSE);
    });
    this.count -= count;
  }

  /** Whether the last step reached a number of flows. */
  passed(count: number): boolean {
    return this.before < count && this.count >= count;
  }

  private send(flow: number, kind: PacketKind): void {
    const daemon = this.random.pick(this.fleet.ready);
    if (daemon !== undefined) {
      this.fleet.hand(daemon, packetOf(flow, kind, DESTINATION));
    }
  }
}

function generation(
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

function revisionOf(
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
  const before = generation(1, ids.slice(0, -1), weights, share);
  fleet.edit(
    revisionOf(2, [
      {...before, endedAtMs: fleet.clock.wall()},
      generation(2, ids, weights, share),
    ]),
    fleet.running.slice(0, 2),
  );
}
