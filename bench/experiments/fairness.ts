/** One workspace at ten times its share of servers that others use too. */
import type {Cluster, ServicePlan} from '../cluster.js';
import {pause} from '../cluster.js';
import {round} from '../measures.js';
import {
  PAYMENTS,
  capacityOf,
  createRequestCluster,
  waitForRequests,
} from '../request-bench.js';
import {
  brokenPromises,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

/** Share of the capacity that each workspace is meant to use. */
const SHARE = 0.15;
const TIMES = 10;
const SECONDS = 10;
const DEADLINE_MS = 3_000;
const NAMES = ['council-a', 'council-b', 'council-c', 'council-d'] as const;
const OWNER = `${NAMES[0]}/${PAYMENTS.service}`;

const PLANS: readonly ServicePlan[] = NAMES.map((workspace, index) => ({
  ...PAYMENTS,
  workspace,
  address: `10.50.0.${index + 1}:443`,
  repeatable: true,
  sharedWith: index === 0 ? undefined : OWNER,
}));

/** Goodput and p99 of the quiet workspaces, alone and beside a loud one. */
export const fairness: Experiment = {
  name: 'fairness',
  summary: 'one workspace at ten times its share of common servers',
  run: async context => {
    const [ours, naive] = await Promise.all([
      runOnce(context, 'weldyard'),
      runOnce(context, 'naive'),
    ]);
    return {
      figures: {...ours, naive},
      broken: brokenPromises([
        [
          ours.othersGoodputRatio >= 0.95,
          `others' goodput ratio is ${ours.othersGoodputRatio}`,
        ],
        [
          ours.othersP99Ratio <= 1.2,
          `others' p99 ratio is ${ours.othersP99Ratio}`,
        ],
      ]),
    };
  },
};

async function runOnce(
  context: ExperimentContext,
  policy: 'weldyard' | 'naive',
) {
  const cluster = await createRequestCluster(context, {
    services: PLANS,
    requestPolicy: policy,
  });
  await pause(2_000);
  const rate = Math.round(capacityOf(PAYMENTS) * SHARE);
  const quiet = NAMES.slice(1);
  await Promise.all(quiet.map(name => send(cluster, name, rate)));
  const alone = await waitForRequests(cluster, quiet.length * rate * SECONDS);
  await Promise.all([
    ...quiet.map(name => send(cluster, name, rate)),
    send(cluster, NAMES[0], rate * TIMES),
  ]);
  const expected = (quiet.length * 2 + TIMES) * rate * SECONDS;
  const reports = await waitForRequests(cluster, expected);
  await cluster.close();
  const beside = reports
    .slice(alone.length)
    .filter(({workspace}) => workspace !== NAMES[0]);
  const loud = reports.find(({workspace}) => workspace === NAMES[0]);
  const sum = (list: typeof reports) =>
    list.reduce((total, {answered}) => total + answered, 0);
  const worst = (list: typeof reports) =>
    Math.max(...list.map(({p99Ms}) => p99Ms));
  const figures = {
    othersGoodputRatio: round(sum(beside) / sum(alone)),
    othersP99Ratio: round(worst(beside) / worst(alone)),
    p99AloneMs: worst(alone),
    p99BesideMs: worst(beside),
    loudAnsweredShare: round((loud?.answered ?? 0) / (loud?.requests ?? 1)),
  };
  context.say(`${policy}: ${JSON.stringify(figures)}`);
  return figures;
}

function send(cluster: Cluster, workspace: string, rate: number) {
  return cluster.sendRequests({
    workspace,
    service: PAYMENTS.service,
    repeatable: true,
    rate,
    seconds: SECONDS,
    deadlineMs: DEADLINE_MS,
    duplicates: 0,
  });
}
