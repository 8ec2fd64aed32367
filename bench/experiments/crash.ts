/** One, then two daemons killed at once while views and tables change. */
import {Cluster, pause} from '../cluster.js';
import {sumOf, totalsOf} from '../measures.js';
import {HANDHELD, METERPAY, PARKWISE_DOMAINS} from '../plans.js';
import {
  brokenPromises,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const DAEMONS = 8;
const FLOWS_A_SERVER = 150;
const OPEN_RATE = 1_000;
const DATA_INTERVAL_MS = 400;
const OLD_ENOUGH_MS = 1_500;
const WATCH_MS = 10_000;
const POLL_MS = 100;

/** What one run showed. */
interface CrashFigures {
  readonly flows: number;
  readonly brokenFlows: number;
  readonly misroutedPackets: number;
  /** Longest time that an open flow went without an answer. */
  readonly recoveryMs: number;
}

/** Crashes of one and of two daemons, ours beside the naive way. */
export const crash: Experiment = {
  name: 'crash',
  summary: 'one, then two daemons killed while a drain and an edit spread',
  run: async context => {
    const [one, two] = await Promise.all([
      runBoth(context, 1),
      runBoth(context, 2),
    ]);
    return {
      figures: {one, two},
      broken: brokenPromises([
        [one.brokenFlows === 0, `one: ${one.brokenFlows} flows were broken`],
        [one.misroutedPackets === 0, 'one: packets were misrouted'],
        [two.misroutedPackets === 0, 'two: packets were misrouted'],
        [one.naive.brokenFlows > 0, 'the naive way broke nothing'],
      ]),
    };
  },
};

async function runBoth(context: ExperimentContext, kills: number) {
  const ours = await runOnce(context, kills, 'weldyard');
  const naive = await runOnce(context, kills, 'naive');
  return {...ours, naive};
}

async function runOnce(
  context: ExperimentContext,
  kills: number,
  policy: 'weldyard' | 'naive',
): Promise<CrashFigures> {
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
  await cluster.flows({intervalMs: DATA_INTERVAL_MS});
  const [drained, removed] = cluster.serversOf('parkwise/meterpay');
  await cluster.openFlows(
    services.map(plan => ({
      service: `${plan.workspace}/${plan.service}`,
      address: plan.address,
      count: plan.servers * FLOWS_A_SERVER,
      rate: OPEN_RATE,
    })),
  );
  // Flows of changed keys exist before the kill, so that copies matter.
  await cluster.backend(drained, {draining: true});
  await pause(OLD_ENOUGH_MS);
  await cluster.openFlows([
    {
      service: 'parkwise/meterpay',
      address: METERPAY.address,
      count: 300,
      rate: 600,
    },
  ]);
  await pause(OLD_ENOUGH_MS);
  const victims = chooseVictims(cluster, kills);
  victims.forEach(id => cluster.killDaemon(id));
  await cluster.apply('operator', cluster.configuration([drained, removed]));
  const recoveryMs = await watchSilence(cluster);
  const totals = totalsOf(await cluster.flows());
  const backends = await cluster.backendReports();
  context.say(`${policy}: killed ${victims.join(' and ')}`);
  const figures = {
    flows: totals.flows,
    brokenFlows: totals.brokenFlows,
    misroutedPackets: sumOf(backends, ({misrouted}) => misrouted),
    recoveryMs,
  };
  if (totals.brokenFlows === 0 || policy === 'naive') {
    await cluster.close();
  }
  return figures;
}

/** Daemons of different failure domains. */
function chooseVictims(cluster: Cluster, kills: number): string[] {
  const daemons = [...cluster.daemons.values()];
  const [first] = daemons;
  const other = daemons.find(({domain}) => domain !== first.domain);
  return [first.id, other?.id ?? first.id].slice(0, kills);
}

/** The longest silence that any flow saw. */
async function watchSilence(cluster: Cluster): Promise<number> {
  const deadline = Date.now() + WATCH_MS;
  let longest = 0;
  while (Date.now() < deadline) {
    const report = await cluster.flows();
    const silences = report.services.map(
      ({longestSilenceMs}) => longestSilenceMs,
    );
    longest = Math.max(longest, ...silences);
    await pause(POLL_MS);
  }
  return longest;
}
