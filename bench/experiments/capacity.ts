/** Measures resource use at small sizes and extrapolates it to the target size. */
import {XxhashHasher} from '../../src/adapters/xxhash-hasher.js';
import {
  EMPTY_DOCUMENT,
  decodeDocument,
  encodeDocument,
  type ConfigurationDocument,
} from '../../src/configuration/document.js';
import {
  compileDocument,
  nextDocument,
} from '../../src/configuration/revision.js';
import {PacketKind} from '../../src/generated/packet.js';
import type {Hasher} from '../../src/ports/hasher.js';
import {EntryKind, FlowTable} from '../../src/routing/flow-table.js';
import {Router} from '../../src/routing/router.js';
import {ServerMarks} from '../../src/routing/server-marks.js';
import {FakeClock} from '../../standins/fake-clock.js';
import {MemoryCounters} from '../../src/adapters/memory-counters.js';
import {MemoryFleet, createFlowPacket} from '../../standins/memory-fleet.js';
import {Cluster, pause} from '../cluster.js';
import {fitLine, round} from '../measures.js';
import {HANDHELD, PARKWISE_DOMAINS} from '../plans.js';
import {readProcessUsage} from '../process-usage.js';
import type {Experiment, ExperimentContext} from './experiment.js';

/** Size and rates to extrapolate to. */
const TARGET = {
  daemons: 2_900,
  servers: 32_000,
  addresses: 3_000,
  openFlows: 100_000_000,
  newFlowsPerSecond: 120_000,
  failureDomains: 18,
  editsPerDay: 2_900,
  replacementsPerDay: 5_600,
} as const;
/** Limits per daemon, except for the time until an edit is in effect. */
const LIMITS = {
  cpuShare: 0.047,
  memoryMb: 256,
  controlBytesPerSecond: 4_000,
  inForceMs: 8_000,
} as const;
const SECONDS_PER_DAY = 86_400;
const BYTES_PER_MEGABYTE = 1_000_000;
const SERVERS_PER_ADDRESS = 11;
/** Share of open flows that need an entry in the flow table. */
const EXCEPTION_SHARE = 0.1;
const FLEET_SIZES = [8, 16, 32, 64];
const CLUSTER_SIZES = [8, 16, 32];
const DESTINATION = {address: 0x0a140001, port: 443, service: 'a/b'};

type Point = readonly [number, number];

/** Reports measurements, slopes and the values extrapolated to the target. */
export const capacity: Experiment = {
  name: 'capacity',
  summary: 'memory, messages and time, extrapolated to the target size',
  run: async context => {
    const hasher = await XxhashHasher.create();
    const configuration = await measureConfiguration(context, hasher);
    const flows = measureFlows(hasher);
    const fleets = await measureFleets(context, hasher);
    const clusters = await measureClusters(context);
    const handover = await measureHandover(context, hasher);
    const figures = extrapolateToTarget(
      configuration,
      flows,
      fleets,
      clusters,
      handover,
    );
    return {
      figures: {
        ...figures,
        measured: {configuration, flows, fleets, clusters, handover},
        limits: LIMITS,
      },
      failures: [],
    };
  },
};

/** Creates a document with one service and 11 servers per address. */
function createDocument(addresses: number): ConfigurationDocument {
  const workspaces = Array.from({length: addresses}, (_, index) => {
    const servers = Array.from(
      {length: SERVERS_PER_ADDRESS},
      (__, server) =>
        `servers[] = 10.${100 + (index >> 8)}.${index & 255}.${server + 1}:9000`,
    );
    return [
      `workspace/w${index}`,
      [
        '[workspace]',
        `name = w${index}`,
        '[service.pay]',
        'template = pay',
        `address = 10.${index >> 8}.${index & 255}.1:443`,
        ...servers,
      ].join('\n'),
    ] as const;
  });
  const changes = {
    'template/pay': '[template]\nname = pay\n',
    ...Object.fromEntries(workspaces),
  };
  return nextDocument(EMPTY_DOCUMENT, {
    editId: 'all',
    editor: 'bench',
    atMs: 1,
    changes,
  })._unsafeUnwrap();
}

async function measureConfiguration(
  context: ExperimentContext,
  hasher: Hasher,
) {
  const points = [100, 300, 1_000, 3_000].map(addresses => {
    const document = createDocument(addresses);
    const bytes = encodeDocument(document);
    const decodeStart = performance.now();
    const compiled = decodeDocument(bytes)
      .andThen(decoded => compileDocument(decoded))
      ._unsafeUnwrap();
    const readMs = performance.now() - decodeStart;
    const clock = FakeClock.create();
    const router = Router.create({
      self: 'a',
      runId: 'a/1',
      hasher,
      clock,
      counters: MemoryCounters.create(),
      maximumEntries: 1_000,
    });
    const buildStart = performance.now();
    router.stage(compiled.routing, ServerMarks.create());
    const buildMs = performance.now() - buildStart;
    const rebuildStart = performance.now();
    router.stage(compiled.routing, ServerMarks.create());
    const rebuildMs = performance.now() - rebuildStart;
    context.log(`${addresses} addresses: ${bytes.length} bytes`);
    return {
      addresses,
      documentBytes: bytes.length,
      readMs: round(readMs),
      buildMs: round(buildMs),
      rebuildMs: round(rebuildMs),
      tableBytes: router.tableBytes,
    };
  });
  await pause(0);
  const largest = points[points.length - 1];
  return {
    points,
    documentBytesAtTarget: largest.documentBytes,
    tableMbAtTarget: round(largest.tableBytes / BYTES_PER_MEGABYTE),
    millisecondsAnEdit: round(largest.readMs + largest.rebuildMs),
  };
}

function measureFlows(hasher: Hasher) {
  const points: Point[] = [50_000, 100_000, 200_000, 400_000].map(count => {
    const table = FlowTable.create(1_000_000);
    Array.from({length: count}).forEach((_, index) =>
      table.set(
        {
          high: hasher.hashText(String(index), 1),
          low: hasher.hashText(String(index), 2),
        },
        {
          kind: EntryKind.HELD,
          server: 1,
          address: 1,
          port: 443,
          deadline: 1,
        },
      ),
    );
    return [count, table.bytes];
  });
  return {points, bytesPerException: round(fitLine(points).slope)};
}

/** Measures probe bytes per second and daemon in virtual time, headers included. */
async function measureFleets(context: ExperimentContext, hasher: Hasher) {
  const points: Point[] = [];
  await FLEET_SIZES.reduce(async (earlier, size) => {
    await earlier;
    const fleet = await createFleet(context, hasher, size);
    const before = fleet.network.sentBytes.probes;
    await fleet.clock.advance(10_000);
    const bytes = fleet.network.sentBytes.probes - before;
    points.push([size, Math.round(bytes / 10 / size)]);
    context.log(`fleet of ${size}: ${points[points.length - 1][1]} bytes/s`);
  }, Promise.resolve());
  return {points, probeBytes: fitLine(points.slice(-2))};
}

async function createFleet(
  context: ExperimentContext,
  hasher: Hasher,
  size: number,
): Promise<MemoryFleet> {
  const fleet = MemoryFleet.create({
    hasher,
    seed: context.seed,
    services: new Map(),
  });
  fleet.revision = {
    revision: 1,
    addresses: [
      {
        ...DESTINATION,
        connectionLimit: 1_000_000,
        warmUpMs: 1,
        idleLimitSeconds: 7_200,
        flowLifetimeMs: 43_200_000,
        generations: [
          {
            since: 1,
            workspace: 'a',
            service: 'b',
            flexibleShare: 0.25,
            servers: Array.from({length: 10}, (_, index) => ({
              id: `10.1.0.${index + 1}:80`,
              weight: 1,
            })),
          },
        ],
      },
    ],
  };
  await Array.from({length: size}).reduce(async (earlier, _, index) => {
    await earlier;
    await fleet.join(`hall-${index % 6}`);
    await fleet.clock.advance(20);
  }, Promise.resolve());
  await fleet.clock.advance(60_000);
  return fleet;
}

/** Measures the bytes of flow entries sent when one of eight daemons leaves. */
async function measureHandover(context: ExperimentContext, hasher: Hasher) {
  const points: Point[] = [];
  await [10_000, 20_000, 40_000].reduce(async (earlier, flows) => {
    await earlier;
    const fleet = await createFleet(context, hasher, 8);
    await Array.from({length: flows / 500}).reduce(async (before, _, step) => {
      await before;
      Array.from({length: 500}).forEach((__, index) => {
        const daemon = fleet.random.pick(fleet.ready);
        const packet = createFlowPacket(
          step * 500 + index,
          PacketKind.OPEN,
          DESTINATION,
        );
        if (daemon !== undefined) {
          fleet.deliver(daemon, packet);
        }
      });
      await fleet.clock.advance(100);
    }, Promise.resolve());
    await fleet.clock.advance(2_000);
    const before = fleet.network.sentBytes.entries;
    await fleet.leave(fleet.ready[0].id);
    await fleet.clock.advance(2_000);
    const bytes = fleet.network.sentBytes.entries - before;
    points.push([flows, bytes]);
    context.log(`handover with ${flows} flows: ${bytes} bytes`);
  }, Promise.resolve());
  return {points, bytesPerOpenFlow: round(fitLine(points).slope)};
}

/** Measures store calls, processor time, memory and edits on daemon processes. */
async function measureClusters(context: ExperimentContext) {
  const points: {
    daemons: number;
    storeCallsPerSecond: number;
    listReadsPerSecond: number;
    cpuShare: number;
    residentMb: number;
    inForceMs: number;
  }[] = [];
  await CLUSTER_SIZES.reduce(async (earlier, daemons) => {
    await earlier;
    const cluster = context.registerCluster(
      await Cluster.create({
        daemons,
        domains: PARKWISE_DOMAINS,
        services: [HANDHELD],
        seed: context.seed,
      }),
    );
    await pause(4_000);
    const before = await readUsage(cluster);
    await pause(6_000);
    const after = await readUsage(cluster);
    const rate = (name: keyof typeof after) => (after[name] - before[name]) / 6;
    points.push({
      daemons,
      storeCallsPerSecond: round(rate('storeCalls')),
      listReadsPerSecond: round(rate('listReads')),
      cpuShare: round(rate('cpu') / daemons),
      residentMb: Math.round(after.resident / daemons / BYTES_PER_MEGABYTE),
      inForceMs: await measureInForce(cluster),
    });
    context.log(JSON.stringify(points[points.length - 1]));
    await cluster.close();
  }, Promise.resolve());
  return {points};
}

async function readUsage(cluster: Cluster) {
  const usages = [...cluster.daemons.keys()].map(id =>
    readProcessUsage(cluster.processes.get(id)?.child.pid ?? 0),
  );
  return {
    storeCalls: (await cluster.store.configure<{calls: number}>()).calls,
    listReads: (await cluster.instanceList.configure<{reads: number}>()).reads,
    cpu: usages.reduce((sum, {cpuSeconds}) => sum + cpuSeconds, 0),
    resident: usages.reduce((sum, {residentBytes}) => sum + residentBytes, 0),
  };
}

/** Returns the milliseconds from sending an edit until it is in effect everywhere. */
async function measureInForce(cluster: Cluster): Promise<number> {
  const servers = cluster.listServers('parkwise/handheld-docs');
  const startMs = Date.now();
  const edit = cluster.createConfiguration(servers.slice(0, 1));
  const revision = await cluster.apply('bench', edit);
  await cluster.waitFor('the edit is in effect', async () => {
    const statuses = await cluster.readStatuses();
    return statuses.every(status => status.revision >= revision);
  });
  return Date.now() - startMs;
}

/** Extrapolates the measurements to `TARGET`, as docs/CAPACITY.md explains. */
function extrapolateToTarget(
  configuration: Awaited<ReturnType<typeof measureConfiguration>>,
  flows: ReturnType<typeof measureFlows>,
  fleets: Awaited<ReturnType<typeof measureFleets>>,
  clusters: Awaited<ReturnType<typeof measureClusters>>,
  handover: Awaited<ReturnType<typeof measureHandover>>,
) {
  const {daemons} = TARGET;
  const flowsPerDaemon = TARGET.openFlows / daemons;
  const exceptions = flowsPerDaemon * EXCEPTION_SHARE * 2;
  const base = clusters.points[0].residentMb;
  const memoryMb =
    base +
    configuration.tableMbAtTarget +
    (exceptions * flows.bytesPerException) / BYTES_PER_MEGABYTE;
  const editBytes =
    (configuration.documentBytesAtTarget * TARGET.editsPerDay) /
    SECONDS_PER_DAY;
  const probeBytes =
    fleets.probeBytes.intercept + fleets.probeBytes.slope * daemons;
  const handoverBytes =
    (handover.bytesPerOpenFlow *
      flowsPerDaemon *
      TARGET.replacementsPerDay *
      8) /
    SECONDS_PER_DAY /
    daemons;
  const editCpu =
    (configuration.millisecondsAnEdit * TARGET.editsPerDay) /
    SECONDS_PER_DAY /
    1_000;
  const cpuShare =
    Math.max(...clusters.points.map(({cpuShare: own}) => own)) + editCpu;
  const first = clusters.points[0];
  const perDomain = first.storeCallsPerSecond / PARKWISE_DOMAINS.length;
  const controlBytes = probeBytes + editBytes + handoverBytes;
  const inForce = fitLine(
    clusters.points.map(point => [point.daemons, point.inForceMs]),
  );
  const inForceMs = inForce.intercept + inForce.slope * daemons;
  return {
    cpuShare: compareWithLimit(cpuShare, LIMITS.cpuShare),
    memoryMb: compareWithLimit(memoryMb, LIMITS.memoryMb),
    controlBytesPerSecond: {
      ...compareWithLimit(controlBytes, LIMITS.controlBytesPerSecond),
      probes: Math.round(probeBytes),
      edits: Math.round(editBytes),
      replacements: Math.round(handoverBytes),
    },
    inForceMs: compareWithLimit(inForceMs, LIMITS.inForceMs),
    storeCallsPerSecond: {
      value: round(perDomain * TARGET.failureDomains),
      measured: first.storeCallsPerSecond,
    },
  };
}

function compareWithLimit(value: number, limit: number) {
  return {value: round(value), shareOfLimit: round(value / limit)};
}
