/** Measures cost and failure detection time of membership by number of daemons. */
import {XxhashHasher} from '../../src/adapters/xxhash-hasher.js';
import {MemberState} from '../../src/membership/member.js';
import {MESH_LIMIT} from '../../src/membership/timing.js';
import {MemoryFleet} from '../../standins/memory-fleet.js';
import {Cluster, pause} from '../cluster.js';
import {fitLine, round} from '../measures.js';
import {HANDHELD, PARKWISE_DOMAINS} from '../plans.js';
import {readProcessUsage} from '../process-usage.js';
import {
  collectFailures,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const SIZES = [8, 16, 32, 64];
const MEASURE_MS = 6_000;
const DETECTION_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 50;
/** UDP and IP headers of a datagram. */
const HEADER_BYTES = 28;
const MAX_BYTES_PER_SECOND = 4_000;
const LOSS_RATE = 0.1;
const LOSS_MINUTES = 5;

interface SizeFigures {
  readonly daemons: number;
  readonly bytesPerSecond: number;
  readonly datagramsPerSecond: number;
  readonly processorShare: number;
  readonly healthProbesPerSecond: number;
  readonly detectionMs: number;
}

/** Reports membership at several sizes, and false suspicions under packet loss. */
export const membership: Experiment = {
  name: 'membership',
  summary:
    'bytes, processor share and failure detection time at 8 to 64 daemons',
  run: async context => {
    const sizes: SizeFigures[] = [];
    await SIZES.reduce(async (earlier, daemons) => {
      await earlier;
      sizes.push(await measureSize(context, daemons));
    }, Promise.resolve());
    const falseSuspicions = await countFalseSuspicions(context.seed);
    // Above the mesh limit each daemon probes a constant number of others.
    const slope = fitLine(
      sizes
        .filter(({daemons}) => daemons > MESH_LIMIT)
        .map(({daemons, bytesPerSecond}) => [daemons, bytesPerSecond]),
    );
    const atEight = sizes[0].bytesPerSecond;
    return {
      figures: {
        sizes,
        bytesPerSecondSlope: round(slope.slope),
        bytesPerSecondAt2900: Math.round(slope.intercept + slope.slope * 2_900),
        falseSuspicions,
      },
      failures: collectFailures([
        [
          atEight <= MAX_BYTES_PER_SECOND,
          `${atEight} bytes/s per daemon at 8 daemons is over ${MAX_BYTES_PER_SECOND}`,
        ],
        [
          falseSuspicions.falseDeaths === 0,
          `${falseSuspicions.falseDeaths} live daemons were declared dead`,
        ],
      ]),
    };
  },
};

async function measureSize(
  context: ExperimentContext,
  daemons: number,
): Promise<SizeFigures> {
  const cluster = context.registerCluster(
    await Cluster.create({
      daemons,
      domains: PARKWISE_DOMAINS,
      services: [HANDHELD],
      seed: context.seed,
    }),
  );
  await pause(2_000);
  const before = await readTotals(cluster);
  await pause(MEASURE_MS);
  const after = await readTotals(cluster);
  const seconds = MEASURE_MS / 1_000;
  const rate = (name: keyof typeof after) =>
    (after[name] - before[name]) / seconds / daemons;
  const datagrams = rate('datagrams');
  const detectionMs = await measureDetection(cluster);
  await cluster.close();
  const figures = {
    daemons,
    bytesPerSecond: Math.round(rate('bytes') + datagrams * HEADER_BYTES),
    datagramsPerSecond: round(datagrams),
    processorShare: round(rate('cpu')),
    healthProbesPerSecond: round(rate('probes')),
    detectionMs,
  };
  context.log(JSON.stringify(figures));
  return figures;
}

/** Sums counters and processor time over all daemons. */
async function readTotals(cluster: Cluster) {
  const statuses = await cluster.readStatuses();
  const counters = statuses.map(
    ({countersJson}) => JSON.parse(countersJson) as Record<string, number>,
  );
  const sum = (name: string) =>
    counters.reduce((total, own) => total + (own[name] ?? 0), 0);
  const cpu = [...cluster.daemons.keys()]
    .map(id => cluster.processes.get(id)?.child.pid ?? 0)
    .reduce((total, pid) => total + readProcessUsage(pid).cpuSeconds, 0);
  return {
    bytes: sum('control.bytes_sent'),
    datagrams: sum('control.datagrams_sent'),
    probes: sum('health.probes'),
    cpu,
  };
}

/**
 * Returns the milliseconds from a kill until every other daemon has removed the
 * member, or those until the timeout.
 */
async function measureDetection(cluster: Cluster): Promise<number> {
  const expected = cluster.daemons.size - 1;
  const [victim] = [...cluster.daemons.keys()];
  cluster.killDaemon(victim);
  const startMs = Date.now();
  const known = async () =>
    (await cluster.readStatuses()).every(({members}) => members === expected);
  while (!(await known()) && Date.now() - startMs < DETECTION_TIMEOUT_MS) {
    await pause(POLL_INTERVAL_MS);
  }
  return Date.now() - startMs;
}

/** Counts suspicions and false deaths among eight daemons under datagram loss. */
async function countFalseSuspicions(seed: number) {
  const hasher = await XxhashHasher.create();
  const fleet = MemoryFleet.create({hasher, seed, services: new Map()});
  fleet.revision = {revision: 1, addresses: []};
  await Array.from({length: 8}).reduce(async (earlier, _, index) => {
    await earlier;
    await fleet.join(`hall-${index % 4}`);
    await fleet.clock.advance(100);
  }, Promise.resolve());
  await fleet.clock.advance(5_000);
  const counts = {suspicions: 0, falseDeaths: 0};
  fleet.daemons.forEach(({coordinator}) =>
    coordinator.members.onChange((member, known) => {
      const turned = member.state !== known?.state;
      counts.suspicions +=
        turned && member.state === MemberState.SUSPECT ? 1 : 0;
      counts.falseDeaths += turned && member.state === MemberState.DEAD ? 1 : 0;
    }),
  );
  fleet.network.faults.lossRate = LOSS_RATE;
  await fleet.clock.advance(LOSS_MINUTES * 60_000);
  return {loss: LOSS_RATE, minutes: LOSS_MINUTES, daemons: 8, ...counts};
}
