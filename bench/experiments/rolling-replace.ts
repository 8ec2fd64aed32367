/** All daemons replaced one by one while a server drains and an edit is made. */
import {Cluster, pause} from '../cluster.js';
import {imbalanceOf, sumOf, totalsOf, type Imbalance} from '../measures.js';
import {HANDHELD, METERPAY, PARKWISE_DOMAINS} from '../plans.js';
import {
  brokenPromises,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const DAEMONS = 8;
const FLOWS_A_SERVER = 200;
const OPEN_RATE = 1_000;
const SETTLE_MS = 3_000;
const DRAIN_AFTER = 2;
const EDIT_AFTER = 4;

/** What one run showed. */
interface RunFigures {
  readonly flows: number;
  readonly brokenFlows: number;
  readonly misroutedPackets: number;
  readonly imbalance: Imbalance;
  readonly worstService: string;
  readonly latestOpenAfterDrainMs: number;
}

/** Rolling replacement, ours beside the naive way. */
export const rollingReplace: Experiment = {
  name: 'rolling-replace',
  summary: '8 daemons replaced one by one, a drain and an edit meanwhile',
  run: async context => {
    const [ours, naive] = await Promise.all([
      runOnce(context, 'weldyard'),
      runOnce(context, 'naive'),
    ]);
    return {
      figures: {
        ...ours,
        naive: {brokenFlows: naive.brokenFlows, imbalance: naive.imbalance},
      },
      broken: brokenPromises([
        [ours.brokenFlows === 0, `${ours.brokenFlows} flows were broken`],
        [ours.misroutedPackets === 0, 'packets were misrouted'],
        [ours.latestOpenAfterDrainMs <= 3_000, 'a drained server got a flow'],
        [naive.brokenFlows > 0, 'the naive way broke nothing: no measure'],
      ]),
    };
  },
};

async function runOnce(
  context: ExperimentContext,
  policy: 'weldyard' | 'naive',
): Promise<RunFigures> {
  const services = [METERPAY, HANDHELD];
  const cluster = context.use(
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
      count: plan.servers * FLOWS_A_SERVER,
      rate: OPEN_RATE,
    })),
  );
  const opened = await cluster.backendReports();
  const imbalance = imbalanceOf(opened.map(({flows}) => flows));
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
    if (index === DRAIN_AFTER) {
      await drain(cluster);
    }
    if (index === EDIT_AFTER) {
      await edit(cluster);
    }
    await cluster.waitReady();
    await cluster.stopDaemon(id);
    context.say(`${policy}: ${index + 1} of ${first.length} replaced`);
  }, Promise.resolve());
}

async function drain(cluster: Cluster): Promise<void> {
  const [server] = cluster.serversOf('parkwise/meterpay');
  await cluster.backend(server, {draining: true});
  await cluster.openFlows([
    {
      service: 'parkwise/meterpay',
      address: METERPAY.address,
      count: 400,
      rate: 100,
    },
  ]);
}

/** Takes the drained server and another one out of the configuration. */
async function edit(cluster: Cluster): Promise<void> {
  const [drained, other] = cluster.serversOf('parkwise/meterpay');
  await cluster.apply('operator', cluster.configuration([drained, other]));
}

async function readFigures(
  cluster: Cluster,
  imbalance: Imbalance,
): Promise<RunFigures> {
  const report = await cluster.flows();
  const backends = await cluster.backendReports();
  const totals = totalsOf(report);
  const brokenOf = (states: Readonly<Record<string, number>>) =>
    states['broken'] ?? 0;
  const worst = report.services.reduce((a, b) =>
    brokenOf(b.states) > brokenOf(a.states) ? b : a,
  );
  return {
    flows: totals.flows,
    brokenFlows: totals.brokenFlows + totals.refusedFlows,
    misroutedPackets: sumOf(backends, ({misrouted}) => misrouted),
    imbalance,
    worstService: worst.service,
    latestOpenAfterDrainMs: Math.max(
      ...backends.map(({latestOpenAfterDrainMs}) => latestOpenAfterDrainMs),
    ),
  };
}
