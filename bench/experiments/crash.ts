/** Kills one daemon, or two at once, during a drain and an edit. */
import {Cluster, pause} from '../cluster.js';
import {sumReports, computeFlowTotals} from '../measures.js';
import {HANDHELD, METERPAY, PARKWISE_DOMAINS} from '../plans.js';
import {
  collectFailures,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const DAEMONS = 8;
const FLOWS_PER_SERVER = 150;
const OPENS_PER_SECOND = 1_000;
const DATA_INTERVAL_MS = 400;
const SETTLE_MS = 1_500;
const OBSERVATION_MS = 10_000;
const POLL_INTERVAL_MS = 100;

/** Figures of one run. */
interface CrashFigures {
  readonly flows: number;
  readonly brokenFlows: number;
  readonly misroutedPackets: number;
  /** Longest time that an open flow got no answer. */
  readonly recoveryMs: number;
}

/** Compares crashes under the `weldyard` and `naive` policies. */
export const crash: Experiment = {
  name: 'crash',
  summary: 'one and two daemons killed while a drain and an edit spread',
  run: async context => {
    const [one, two] = await Promise.all([
      runBothPolicies(context, 1),
      runBothPolicies(context, 2),
    ]);
    return {
      figures: {one, two},
      failures: collectFailures([
        [one.brokenFlows === 0, `one: ${one.brokenFlows} flows were broken`],
        [
          one.misroutedPackets === 0,
          `one: ${one.misroutedPackets} packets were misrouted`,
        ],
        [
          two.misroutedPackets === 0,
          `two: ${two.misroutedPackets} packets were misrouted`,
        ],
        [
          one.naive.brokenFlows > 0,
          'the naive policy broke no flows, so the comparison shows nothing',
        ],
      ]),
    };
  },
};

async function runBothPolicies(context: ExperimentContext, kills: number) {
  const weldyard = await runOnce(context, kills, 'weldyard');
  const naive = await runOnce(context, kills, 'naive');
  return {...weldyard, naive};
}

async function runOnce(
  context: ExperimentContext,
  kills: number,
  policy: 'weldyard' | 'naive',
): Promise<CrashFigures> {
  const services = [METERPAY, HANDHELD];
  const cluster = context.registerCluster(
    await Cluster.create({
      daemons: DAEMONS,
      domains: PARKWISE_DOMAINS,
      services,
      seed: context.seed,
      policy,
    }),
  );
  await cluster.controlFlowCallers({intervalMs: DATA_INTERVAL_MS});
  const [drained, removed] = cluster.listServers('parkwise/meterpay');
  await cluster.openFlows(
    services.map(plan => ({
      service: `${plan.workspace}/${plan.service}`,
      address: plan.address,
      count: plan.servers * FLOWS_PER_SERVER,
      rate: OPENS_PER_SECOND,
    })),
  );
  // Flows whose keys the drain reassigns survive a kill only through replicas.
  await cluster.controlBackend(drained, {draining: true});
  await pause(SETTLE_MS);
  await cluster.openFlows([
    {
      service: 'parkwise/meterpay',
      address: METERPAY.address,
      count: 300,
      rate: 600,
    },
  ]);
  await pause(SETTLE_MS);
  const victims = chooseVictims(cluster, kills);
  victims.forEach(id => cluster.killDaemon(id));
  await cluster.apply(
    'operator',
    cluster.createConfiguration([drained, removed]),
  );
  const recoveryMs = await measureLongestSilence(cluster);
  const totals = computeFlowTotals(await cluster.controlFlowCallers());
  const backends = await cluster.readBackendReports();
  context.log(`${policy}: killed ${victims.join(' and ')}`);
  const figures = {
    flows: totals.flows,
    brokenFlows: totals.brokenFlows,
    misroutedPackets: sumReports(backends, ({misrouted}) => misrouted),
    recoveryMs,
  };
  if (totals.brokenFlows === 0 || policy === 'naive') {
    await cluster.close();
  }
  return figures;
}

/** Selects daemons in different failure domains. */
function chooseVictims(cluster: Cluster, kills: number): string[] {
  const daemons = [...cluster.daemons.values()];
  const [first] = daemons;
  const other = daemons.find(({domain}) => domain !== first.domain);
  return [first.id, other?.id ?? first.id].slice(0, kills);
}

/** Returns the longest time that any open flow got no answer, in milliseconds. */
async function measureLongestSilence(cluster: Cluster): Promise<number> {
  const deadline = Date.now() + OBSERVATION_MS;
  let longest = 0;
  while (Date.now() < deadline) {
    const report = await cluster.controlFlowCallers();
    const silences = report.services.map(
      ({longestSilenceMs}) => longestSilenceMs,
    );
    longest = Math.max(longest, ...silences);
    await pause(POLL_INTERVAL_MS);
  }
  return longest;
}
