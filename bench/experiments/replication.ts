/** Compares replicating all flows, exceptions only, and none. */
import {Cluster, pause} from '../cluster.js';
import {round, sumReports, computeFlowTotals} from '../measures.js';
import {METERPAY, PARKWISE_DOMAINS} from '../plans.js';
import {
  collectFailures,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const DAEMONS = 8;
const FLOWS_PER_SERVER = 200;
const OPENS_PER_SECOND = 1_000;
const OBSERVATION_MS = 9_000;
const SETTLE_MS = 1_500;

const MODES = [
  {mode: 'all', policy: 'all-flows'},
  {mode: 'exceptions', policy: 'weldyard'},
  {mode: 'none', policy: 'naive'},
] as const;

/** Reports broken flows and bytes by mode, through a drain and a crash. */
export const replication: Experiment = {
  name: 'replication',
  summary:
    'all flows, exceptions only or none replicated: broken flows and bytes',
  run: async context => {
    const results = await Promise.all(
      MODES.map(({mode, policy}) => runOnce(context, mode, policy)),
    );
    const [all, exceptions, none] = results;
    return {
      figures: {all, exceptions, none},
      failures: collectFailures([
        [
          exceptions.brokenFlows === 0,
          `exceptions: ${exceptions.brokenFlows} flows were broken`,
        ],
        [
          none.brokenFlows > 0,
          'none: no flows were broken, so the comparison shows nothing',
        ],
        [
          exceptions.bytesPerFlow < all.bytesPerFlow,
          'replicating exceptions cost as many bytes as replicating all flows',
        ],
      ]),
    };
  },
};

async function runOnce(
  context: ExperimentContext,
  mode: string,
  policy: 'weldyard' | 'all-flows' | 'naive',
) {
  const cluster = context.registerCluster(
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
      count: METERPAY.servers * FLOWS_PER_SERVER,
      rate: OPENS_PER_SECOND,
    },
  ]);
  await pause(SETTLE_MS);
  const [server] = cluster.listServers('parkwise/meterpay');
  await cluster.controlBackend(server, {draining: true});
  await pause(SETTLE_MS);
  const bytes = await sumCounter(cluster, 'replication.bytes_sent');
  const entries = await sumCounter(cluster, 'replication.entries_sent');
  const seconds = (Date.now() - started) / 1_000;
  const [first] = [...cluster.daemons.keys()];
  cluster.killDaemon(first);
  await pause(OBSERVATION_MS);
  const report = await cluster.controlFlowCallers();
  const totals = computeFlowTotals(report);
  report.services.forEach(({brokenExamples}) =>
    brokenExamples.forEach(example => context.log(`${mode}: ${example}`)),
  );
  const backends = await cluster.readBackendReports();
  await cluster.close();
  context.log(`${mode}: ${totals.brokenFlows} broken, ${bytes} bytes`);
  return {
    flows: totals.flows,
    brokenFlows: totals.brokenFlows,
    misroutedPackets: sumReports(backends, ({misrouted}) => misrouted),
    entriesSent: entries,
    bytesPerSecond: Math.round(bytes / seconds),
    bytesPerFlow: round(bytes / totals.flows),
  };
}

/** Sums a counter over the daemons. */
async function sumCounter(cluster: Cluster, name: string): Promise<number> {
  const statuses = await cluster.readStatuses();
  return statuses.reduce((sum, {countersJson}) => {
    const counters = JSON.parse(countersJson) as Record<string, number>;
    return sum + (counters[name] ?? 0);
  }, 0);
}
