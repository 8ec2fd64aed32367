/** Copies of all flows, of exceptions only, and none. */
import {Cluster, pause} from '../cluster.js';
import {round, sumOf, totalsOf} from '../measures.js';
import {METERPAY, PARKWISE_DOMAINS} from '../plans.js';
import {
  brokenPromises,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const DAEMONS = 8;
const FLOWS_A_SERVER = 200;
const OPEN_RATE = 1_000;
const WATCH_MS = 9_000;
const OLD_ENOUGH_MS = 1_500;

const WAYS = [
  {way: 'all', policy: 'all-flows'},
  {way: 'exceptions', policy: 'weldyard'},
  {way: 'none', policy: 'naive'},
] as const;

/** Broken flows and bytes of the three ways, through a drain and a crash. */
export const replication: Experiment = {
  name: 'replication',
  summary: 'all flows, exceptions only or none copied: broken flows and bytes',
  run: async context => {
    const ways = await Promise.all(
      WAYS.map(({way, policy}) => runOnce(context, way, policy)),
    );
    const [all, exceptions, none] = ways;
    return {
      figures: {all, exceptions, none},
      broken: brokenPromises([
        [exceptions.brokenFlows === 0, 'exceptions: flows were broken'],
        [none.brokenFlows > 0, 'none: nothing broken, no measure'],
        [
          exceptions.bytesPerFlow < all.bytesPerFlow,
          'exceptions cost more than all flows',
        ],
      ]),
    };
  },
};

async function runOnce(
  context: ExperimentContext,
  way: string,
  policy: 'weldyard' | 'all-flows' | 'naive',
) {
  const cluster = context.use(
    await Cluster.create({
      daemons: DAEMONS,
      domains: PARKWISE_DOMAINS,
      services: [METERPAY],
      seed: context.seed,
      policy,
    }),
  );
  const started = Date.now();
  await cluster.openFlows([
    {
      service: 'parkwise/meterpay',
      address: METERPAY.address,
      count: METERPAY.servers * FLOWS_A_SERVER,
      rate: OPEN_RATE,
    },
  ]);
  await pause(OLD_ENOUGH_MS);
  const [server] = cluster.serversOf('parkwise/meterpay');
  await cluster.backend(server, {draining: true});
  await pause(OLD_ENOUGH_MS);
  const bytes = await counterSum(cluster, 'replication.bytes_sent');
  const entries = await counterSum(cluster, 'replication.entries_sent');
  const seconds = (Date.now() - started) / 1_000;
  const [first] = [...cluster.daemons.keys()];
  cluster.killDaemon(first);
  await pause(WATCH_MS);
  const report = await cluster.flows();
  const totals = totalsOf(report);
  report.services.forEach(({brokenExamples}) =>
    brokenExamples.forEach(example => context.say(`${way}: ${example}`)),
  );
  const backends = await cluster.backendReports();
  await cluster.close();
  context.say(`${way}: ${totals.brokenFlows} broken, ${bytes} bytes`);
  return {
    flows: totals.flows,
    brokenFlows: totals.brokenFlows,
    misroutedPackets: sumOf(backends, ({misrouted}) => misrouted),
    entriesSent: entries,
    bytesPerSecond: Math.round(bytes / seconds),
    bytesPerFlow: round(bytes / totals.flows),
  };
}

/** Sum of a counter over the daemons. */
async function counterSum(cluster: Cluster, name: string): Promise<number> {
  const statuses = await cluster.statuses();
  return statuses.reduce((sum, {countersJson}) => {
    const counters = JSON.parse(countersJson) as Record<string, number>;
    return sum + (counters[name] ?? 0);
  }, 0);
}
