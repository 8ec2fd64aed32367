/** Compares the packet rate of one daemon with that of a plain UDP relay. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {XxhashHasher} from '../../src/adapters/xxhash-hasher.js';
import {PacketKind} from '../../src/generated/packet.js';
import {EntryKind, FlowTable} from '../../src/routing/flow-table.js';
import {StandinControl} from '../../standins/standin-control.js';
import {Cluster, pause} from '../cluster.js';
import {fitLine, round} from '../measures.js';
import {readProcessUsage} from '../process-usage.js';
import {
  collectFailures,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const PROGRAMS = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../programs',
);
const HELD_FLOWS = 200_000;
const NEW_FLOWS_PER_SECOND = 5_000;
const OPENS_PER_SECOND = 20_000;
const SERVERS = 10;
const ADDRESS = '10.40.0.1:443';
const MEASURE_SECONDS = 3;
const ROUNDS = 3;
const SOURCES = 2;
const DATA_FLOWS = 20_000;
const MIN_RATIO = 0.8;
const MAX_BYTES_PER_EXCEPTION = 150;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Packet rate and processor time of the relay or the daemon. */
interface Speed {
  readonly packetsPerSecond: number;
  readonly microsecondsPerPacket: number;
}

/** The processes of the experiment; daemon and relay are "ip:port". */
interface Bench {
  readonly cluster: Cluster;
  readonly sources: readonly StandinControl[];
  readonly sink: StandinControl;
  readonly daemon: string;
  readonly relay: string;
}

/** Reports the packet rate and the memory per flow. */
export const forwarding: Experiment = {
  name: 'forwarding',
  summary: 'packets per second and memory per flow, compared with a UDP relay',
  run: async context => {
    const bench = await prepare(context);
    await openFlows(bench, context);
    const rounds = await measureRounds(bench, context);
    const ratio = median(rounds.map(({ratio: own}) => own));
    const memory = await measureEntryMemory();
    const [status] = await bench.cluster.readStatuses();
    await bench.cluster.close();
    return {
      figures: {
        ratio,
        rounds,
        heldFlows: HELD_FLOWS,
        newFlowsPerSecond: NEW_FLOWS_PER_SECOND,
        exceptions: status.exceptions,
        cached: status.cached,
        bytesPerException: memory.bytesPerException,
        bytesPerOtherFlow: 0,
      },
      failures: collectFailures([
        [
          ratio >= MIN_RATIO,
          `ratio to the relay is ${ratio}, under ${MIN_RATIO}`,
        ],
        [
          memory.bytesPerException <= MAX_BYTES_PER_EXCEPTION,
          `${memory.bytesPerException} bytes per exception is over ${MAX_BYTES_PER_EXCEPTION}`,
        ],
      ]),
    };
  },
};

async function prepare(context: ExperimentContext): Promise<Bench> {
  const cluster = context.registerCluster(
    await Cluster.create({
      daemons: 1,
      domains: ['hall-a'],
      services: [
        {
          workspace: 'bench',
          service: 'forwarding',
          address: ADDRESS,
          servers: SERVERS,
          slots: 1,
          connections: 1_000_000,
          serviceMs: 10,
          repeatable: false,
        },
      ],
      seed: context.seed,
      withoutBackends: true,
    }),
  );
  const servers = cluster.listServers('bench/forwarding');
  const sink = startProgram(cluster, 'sink', [servers.join(',')]);
  const sources = Array.from({length: SOURCES}, (_, index) =>
    startProgram(cluster, 'source', [], index),
  );
  const relay = cluster.allocateAddress();
  cluster.processes.start(
    'relay',
    [path.join(PROGRAMS, 'relay.js'), relay, servers.join(',')],
    path.join(cluster.folder, 'relay.log'),
  );
  const [daemon] = [...cluster.daemons.values()];
  await pause(1_000);
  return {cluster, sources, sink, daemon: daemon.fabric, relay};
}

function startProgram(
  cluster: Cluster,
  program: string,
  args: readonly string[],
  index = 0,
): StandinControl {
  const knobs = cluster.allocateAddress();
  const name = `${program}-${index}`;
  cluster.processes.start(
    name,
    [path.join(PROGRAMS, `${program}.js`), knobs, ...args],
    path.join(cluster.folder, `${name}.log`),
  );
  return StandinControl.create(knobs);
}

async function openFlows(
  bench: Bench,
  context: ExperimentContext,
): Promise<void> {
  context.log(`opening ${HELD_FLOWS} flows`);
  const seconds = HELD_FLOWS / OPENS_PER_SECOND;
  await bench.sources[0].configure({
    target: bench.daemon,
    destination: ADDRESS,
    first: 0,
    flows: HELD_FLOWS,
    kind: PacketKind.OPEN,
    rate: OPENS_PER_SECOND,
    seconds,
  });
  await pause(seconds * 1_000 + 500);
}

/** Measures relay and daemon alternately under the same load. */
async function measureRounds(
  bench: Bench,
  context: ExperimentContext,
): Promise<{relay: Speed; daemon: Speed; ratio: number}[]> {
  const rounds: {relay: Speed; daemon: Speed; ratio: number}[] = [];
  await Array.from({length: ROUNDS}).reduce(async (earlier, _, index) => {
    await earlier;
    const relay = await measure(bench, 'relay', bench.relay, index);
    const daemon = await measure(bench, 'entry-1', bench.daemon, index);
    const ratio = round(daemon.packetsPerSecond / relay.packetsPerSecond);
    context.log(
      `relay ${relay.packetsPerSecond}, daemon ${daemon.packetsPerSecond} packets/s`,
    );
    rounds.push({relay, daemon, ratio});
  }, Promise.resolve());
  return rounds;
}

async function measure(
  bench: Bench,
  process: string,
  target: string,
  index: number,
): Promise<Speed> {
  const pid = bench.cluster.processes.get(process)?.child.pid ?? 0;
  const common = {target, destination: ADDRESS, seconds: MEASURE_SECONDS + 1};
  const opens = bench.sources[0].configure({
    ...common,
    first: HELD_FLOWS + index * NEW_FLOWS_PER_SECOND * (MEASURE_SECONDS + 1),
    flows: NEW_FLOWS_PER_SECOND * (MEASURE_SECONDS + 1),
    kind: PacketKind.OPEN,
    rate: NEW_FLOWS_PER_SECOND,
  });
  const data = bench.sources.map((source, position) =>
    source.configure({
      ...common,
      first: position * DATA_FLOWS,
      flows: DATA_FLOWS,
      kind: PacketKind.DATA,
      rate: 0,
    }),
  );
  await Promise.all([opens, ...data]);
  await pause(500);
  const before = await bench.sink.configure<{packets: number}>();
  const usageBefore = readProcessUsage(pid);
  const startMs = performance.now();
  await pause((MEASURE_SECONDS - 0.5) * 1_000);
  const after = await bench.sink.configure<{packets: number}>();
  const usageAfter = readProcessUsage(pid);
  const seconds = (performance.now() - startMs) / 1_000;
  await pause(1_500);
  const packets = after.packets - before.packets;
  const cpu = usageAfter.cpuSeconds - usageBefore.cpuSeconds;
  return {
    packetsPerSecond: Math.round(packets / seconds),
    microsecondsPerPacket: round((cpu * MICROSECONDS_PER_SECOND) / packets),
  };
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

/** Measures bytes per flow table entry as the slope over table sizes. */
async function measureEntryMemory(): Promise<{bytesPerException: number}> {
  const hasher = await XxhashHasher.create();
  const points = [50_000, 100_000, 200_000, 400_000].map(count => {
    const table = FlowTable.create(1_000_000);
    Array.from({length: count}).forEach((_, index) =>
      table.set(
        {
          high: hasher.hashText(String(index), 1),
          low: hasher.hashText(String(index), 2),
        },
        {
          kind: EntryKind.HELD,
          server: index % SERVERS,
          address: 1,
          port: 443,
          deadline: 1,
        },
      ),
    );
    return [count, table.bytes] as const;
  });
  return {bytesPerException: round(fitLine(points).slope)};
}
