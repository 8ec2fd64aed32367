/** Replaces all daemons one by one while a server drains and an edit is applied. */
import {Cluster, pause} from '../cluster.js';
import {
  computeImbalance,
  sumReports,
  computeFlowTotals,
  type Imbalance,
} from '../measures.js';
import {HANDHELD, METERPAY, PARKWISE_DOMAINS} from '../plans.js';
import {
  collectFailures,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const DAEMONS = 8;
const FLOWS_PER_SERVER = 200;
const OPENS_PER_SECOND = 1_000;
const SETTLE_MS = 3_000;
const DRAIN_AT_REPLACEMENT = 2;
const EDIT_AT_REPLACEMENT = 4;

/** Figures of one run. */
interface RunFigures {
  readonly flows: number;
  readonly brokenFlows: number;
  readonly misroutedPackets: number;
  readonly imbalance: Imbalance;
  readonly worstService: string;
  readonly latestOpenAfterDrainMs: number;
}

/** Compares a rolling replacement under the `weldyard` and `naive` policies. */
export const rollingReplace: Experiment = {
  name: 'rolling-replace',
  summary: '8 daemons replaced one by one during a drain and an edit',
  run: async context => {
    const [weldyard, naive] = await Promise.all([
      runOnce(context, 'weldyard'),
      runOnce(context, 'naive'),
    ]);
    return {
      figures: {
        ...weldyard,
        naive: {brokenFlows: naive.brokenFlows, imbalance: naive.imbalance},
      },
      failures: collectFailures([
        [
          weldyard.brokenFlows === 0,
          `${weldyard.brokenFlows} flows were broken`,
        ],
        [
          weldyard.misroutedPackets === 0,
          `${weldyard.misroutedPackets} packets were misrouted`,
        ],
        [
          weldyard.latestOpenAfterDrainMs <= 3_000,
          `a draining server got a flow ${weldyard.latestOpenAfterDrainMs} ms after the drain began`,
        ],
        [
          naive.brokenFlows > 0,
          'the naive policy broke no flows, so the comparison shows nothing',
        ],
      ]),
    };
  },
};

async function runOnce(
  context: ExperimentContext,
  policy: 'weldyard' | 'naive',
): Promise<RunFigures> {
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
  await cluster.openFlows(
    services.map(plan => ({
      service: `${plan.workspace}/${plan.service}`,
      address: plan.address,
      count: plan.servers * FLOWS_PER_SERVER,
      rate: OPENS_PER_SECOND,
    })),
  );
  const opened = await cluster.readBackendReports();
  const imbalance = computeImbalance(opened.map(({flows}) => flows));
  await replaceAll(context, cluster, policy);
  await pause(SETTLE_MS);
  const figures = await readFigures(cluster, imbalance);
  await cluster.close();
  return figures;
}

async function replaceAll(
  context: ExperimentContext,
  cluster: Cluster,
  policy: string,
): Promise<void> {
  const first = [...cluster.daemons.keys()];
  await first.reduce(async (earlier, id, index) => {
    await earlier;
    const domain = cluster.daemons.get(id)?.domain;
    cluster.startDaemon(domain);
    if (index === DRAIN_AT_REPLACEMENT) {
      await drainServer(cluster);
    }
    if (index === EDIT_AT_REPLACEMENT) {
      await removeServers(cluster);
    }
    await cluster.waitReady();
    await cluster.stopDaemon(id);
    context.log(`${policy}: ${index + 1} of ${first.length} replaced`);
  }, Promise.resolve());
}

async function drainServer(cluster: Cluster): Promise<void> {
  const [server] = cluster.listServers('parkwise/meterpay');
  await cluster.controlBackend(server, {draining: true});
  await cluster.openFlows([
    {
      service: 'parkwise/meterpay',
      address: METERPAY.address,
      count: 400,
      rate: 100,
    },
  ]);
}

/** Removes the draining server and another one from the configuration. */
async function removeServers(cluster: Cluster): Promise<void> {
  const [drained, other] = cluster.listServers('parkwise/meterpay');
  await cluster.apply(
    'operator',
    cluster.createConfiguration([drained, other]),
  );
}

async function readFigures(
  cluster: Cluster,
  imbalance: Imbalance,
): Promise<RunFigures> {
  const report = await cluster.controlFlowCallers();
  const backends = await cluster.readBackendReports();
  const totals = computeFlowTotals(report);
  const countBroken = (states: Readonly<Record<string, number>>) =>
    states['broken'] ?? 0;
  const worst = report.services.reduce((a, b) =>
    countBroken(b.states) > countBroken(a.states) ? b : a,
  );
  return {
    flows: totals.flows,
    brokenFlows: totals.brokenFlows + totals.refusedFlows,
    misroutedPackets: sumReports(backends, ({misrouted}) => misrouted),
    imbalance,
    worstService: worst.service,
    latestOpenAfterDrainMs: Math.max(
      ...backends.map(({latestOpenAfterDrainMs}) => latestOpenAfterDrainMs),
    ),
  };
}
