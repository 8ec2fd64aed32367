/** Measures how edits spread, by number of daemons. */
import {Cluster, pause} from '../cluster.js';
import {fitLine, round} from '../measures.js';
import {HANDHELD, PARKWISE_DOMAINS} from '../plans.js';
import {readProcessUsage} from '../process-usage.js';
import type {Experiment, ExperimentContext} from './experiment.js';

const SIZES = [8, 16, 32, 48];
const IDLE_MS = 4_000;
const BURST_EDITS = 20;
const BURST_INTERVAL_MS = 100;
/** UDP and IP headers of a datagram. */
const HEADER_BYTES = 28;

/** Reports time until in effect, store calls, bytes and processor share. */
export const configSpread: Experiment = {
  name: 'config-spread',
  summary: 'time until an edit is in effect at 8 to 48 daemons',
  run: async context => {
    const sizes: Awaited<ReturnType<typeof measureSize>>[] = [];
    await SIZES.reduce(async (earlier, daemons) => {
      await earlier;
      sizes.push(await measureSize(context, daemons));
    }, Promise.resolve());
    const slopeOf = (figure: (size: (typeof sizes)[number]) => number) =>
      round(fitLine(sizes.map(size => [size.daemons, figure(size)])).slope);
    return {
      figures: {
        sizes,
        slopesADaemon: {
          inForceMs: slopeOf(({inForceMs}) => inForceMs),
          storeCallsPerSecond: slopeOf(({storeCalls}) => storeCalls),
          bytesPerSecond: slopeOf(({bytesPerSecond}) => bytesPerSecond),
          processorShare: slopeOf(({processorShare}) => processorShare),
        },
      },
      failures: [],
    };
  },
};

async function measureSize(context: ExperimentContext, daemons: number) {
  const cluster = context.registerCluster(
    await Cluster.create({
      daemons,
      domains: PARKWISE_DOMAINS,
      services: [HANDHELD],
      seed: context.seed,
    }),
  );
  await pause(3_000);
  const before = await readTotals(cluster);
  await pause(IDLE_MS);
  const after = await readTotals(cluster);
  const rate = (name: keyof typeof after) =>
    ((after[name] - before[name]) * 1_000) / IDLE_MS;
  const inForceMs = await measureEdit(cluster, 1);
  const burstBefore = await readTotals(cluster);
  const burstMs = await measureBurst(cluster);
  const burstAfter = await readTotals(cluster);
  await cluster.close();
  const figures = {
    daemons,
    inForceMs,
    burstInForceMs: burstMs,
    storeCalls: round(rate('storeCalls')),
    burstStoreCalls: burstAfter.storeCalls - burstBefore.storeCalls,
    bytesPerSecond: Math.round(
      (rate('bytes') + rate('datagrams') * HEADER_BYTES) / daemons,
    ),
    processorShare: round(rate('cpu') / daemons),
  };
  context.log(JSON.stringify(figures));
  return figures;
}

async function readTotals(cluster: Cluster) {
  const statuses = await cluster.readStatuses();
  const sum = (name: string) =>
    statuses.reduce((total, {countersJson}) => {
      const counters = JSON.parse(countersJson) as Record<string, number>;
      return total + (counters[name] ?? 0);
    }, 0);
  return {
    storeCalls: (await cluster.store.configure<{calls: number}>()).calls,
    bytes: sum('control.bytes_sent'),
    datagrams: sum('control.datagrams_sent'),
    cpu: [...cluster.daemons.keys()]
      .map(id => readProcessUsage(cluster.processes.get(id)?.child.pid ?? 0))
      .reduce((total, {cpuSeconds}) => total + cpuSeconds, 0),
  };
}

/** Applies one edit; returns the milliseconds until it is in effect everywhere. */
async function measureEdit(cluster: Cluster, value: number): Promise<number> {
  const startMs = Date.now();
  const revision = await applyEdit(cluster, value);
  await cluster.waitFor('the edit is in effect', async () =>
    (await cluster.readStatuses()).every(status => status.revision >= revision),
  );
  return Date.now() - startMs;
}

function applyEdit(cluster: Cluster, value: number): Promise<number> {
  const text = cluster
    .createConfiguration()
    ['workspace/parkwise'].replace(
      'name = parkwise',
      `name = parkwise\nrequests-in-flight = ${1_000 + value}`,
    );
  return cluster.apply('bench', {'workspace/parkwise': text});
}

/** Applies a burst of edits; returns the milliseconds until the last is in effect. */
async function measureBurst(cluster: Cluster): Promise<number> {
  await Array.from({length: BURST_EDITS}).reduce(async (earlier, _, index) => {
    await earlier;
    await applyEdit(cluster, 100 + index);
    await pause(BURST_INTERVAL_MS);
  }, Promise.resolve());
  return measureEdit(cluster, 999);
}
