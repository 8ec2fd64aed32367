/** Spread of edits by number of daemons. */
import {Cluster, pause} from '../cluster.js';
import {fitLine, round} from '../measures.js';
import {HANDHELD, PARKWISE_DOMAINS} from '../plans.js';
import {usageOf} from '../process-usage.js';
import type {Experiment, ExperimentContext} from './experiment.js';

const SIZES = [8, 16, 32, 48];
const IDLE_MS = 4_000;
const BURST_EDITS = 20;
const BURST_PAUSE_MS = 100;
const HEADER_BYTES = 28;

/** Time in force, store calls, bytes and processor share, with slopes. */
export const configSpread: Experiment = {
  name: 'config-spread',
  summary: 'time until an edit is in force at 8 to 48 daemons',
  run: async context => {
    const sizes: Awaited<ReturnType<typeof runSize>>[] = [];
    await SIZES.reduce(async (earlier, daemons) => {
      await earlier;
      sizes.push(await runSize(context, daemons));
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
      broken: [],
    };
  },
};

async function runSize(context: ExperimentContext, daemons: number) {
  const cluster = context.use(
    await Cluster.create({
      daemons,
      domains: PARKWISE_DOMAINS,
      services: [HANDHELD],
      seed: context.seed,
    }),
  );
  await pause(3_000);
  const before = await snapshot(cluster);
  await pause(IDLE_MS);
  const after = await snapshot(cluster);
  const rate = (name: keyof typeof after) =>
    ((after[name] - before[name]) * 1_000) / IDLE_MS;
  const inForceMs = await timeEdit(cluster, 1);
  const burstBefore = await snapshot(cluster);
  const burstMs = await burst(cluster);
  const burstAfter = await snapshot(cluster);
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
  context.say(JSON.stringify(figures));
  return figures;
}

async function snapshot(cluster: Cluster) {
  const statuses = await cluster.statuses();
  const sum = (name: string) =>
    statuses.reduce((total, {countersJson}) => {
      const counters = JSON.parse(countersJson) as Record<string, number>;
      return total + (counters[name] ?? 0);
    }, 0);
  return {
    storeCalls: (await cluster.store.turn<{calls: number}>()).calls,
    bytes: sum('control.bytes_sent'),
    datagrams: sum('control.datagrams_sent'),
    cpu: [...cluster.daemons.keys()]
      .map(id => usageOf(cluster.processes.get(id)?.child.pid ?? 0))
      .reduce((total, {cpuSeconds}) => total + cpuSeconds, 0),
  };
}

/** Applies one edit; resolves with the time until it is in force everywhere. */
async function timeEdit(cluster: Cluster, value: number): Promise<number> {
  const startMs = Date.now();
  const revision = await applyOne(cluster, value);
  await cluster.waitUntil('in force', async () =>
    (await cluster.statuses()).every(status => status.revision >= revision),
  );
  return Date.now() - startMs;
}

function applyOne(cluster: Cluster, value: number): Promise<number> {
  const text = cluster
    .configuration()
    ['workspace/parkwise'].replace(
      'name = parkwise',
      `name = parkwise\nrequests-in-flight = ${1_000 + value}`,
    );
  return cluster.apply('bench', {'workspace/parkwise': text});
}

/** Ten edits a second; resolves with the time until the last is in force. */
async function burst(cluster: Cluster): Promise<number> {
  await Array.from({length: BURST_EDITS}).reduce(async (earlier, _, index) => {
    await earlier;
    await applyOne(cluster, 100 + index);
    await pause(BURST_PAUSE_MS);
  }, Promise.resolve());
  return timeEdit(cluster, 999);
}
