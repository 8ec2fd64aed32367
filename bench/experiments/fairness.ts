/** One workspace overloads servers that it shares with three others. */
import type {Cluster, ServicePlan} from '../cluster.js';
import {pause} from '../cluster.js';
import {round} from '../measures.js';
import {
  PAYMENTS,
  computeCapacity,
  createRequestCluster,
  waitForRequests,
} from '../request-bench.js';
import {
  collectFailures,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

/** Normal load of a workspace, as a share of the servers' capacity. */
const LOAD_PER_WORKSPACE = 0.15;
const NOISY_LOAD_FACTOR = 10;
const PHASE_SECONDS = 10;
const DEADLINE_MS = 3_000;
const WORKSPACES = [
  'council-a',
  'council-b',
  'council-c',
  'council-d',
] as const;
const SHARED_SERVICE = `${WORKSPACES[0]}/${PAYMENTS.service}`;

const PLANS: readonly ServicePlan[] = WORKSPACES.map((workspace, index) => ({
  ...PAYMENTS,
  workspace,
  address: `10.50.0.${index + 1}:443`,
  repeatable: true,
  sharedWith: index === 0 ? undefined : SHARED_SERVICE,
}));

/** Compares goodput and p99 of the others with and without a noisy neighbor. */
export const fairness: Experiment = {
  name: 'fairness',
  summary: 'one workspace at ten times its normal load on shared servers',
  run: async context => {
    const [weldyard, naive] = await Promise.all([
      runOnce(context, 'weldyard'),
      runOnce(context, 'naive'),
    ]);
    return {
      figures: {...weldyard, naive},
      failures: collectFailures([
        [
          weldyard.othersGoodputRatio >= 0.95,
          `goodput ratio of the other workspaces is ${weldyard.othersGoodputRatio}`,
        ],
        [
          weldyard.othersP99Ratio <= 1.2,
          `p99 ratio of the other workspaces is ${weldyard.othersP99Ratio}`,
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
  const rate = Math.round(computeCapacity(PAYMENTS) * LOAD_PER_WORKSPACE);
  const quiet = WORKSPACES.slice(1);
  await Promise.all(quiet.map(name => send(cluster, name, rate)));
  const uncontended = await waitForRequests(
    cluster,
    quiet.length * rate * PHASE_SECONDS,
  );
  await Promise.all([
    ...quiet.map(name => send(cluster, name, rate)),
    send(cluster, WORKSPACES[0], rate * NOISY_LOAD_FACTOR),
  ]);
  const expected =
    (quiet.length * 2 + NOISY_LOAD_FACTOR) * rate * PHASE_SECONDS;
  const reports = await waitForRequests(cluster, expected);
  await cluster.close();
  const contended = reports
    .slice(uncontended.length)
    .filter(({workspace}) => workspace !== WORKSPACES[0]);
  const noisy = reports.find(({workspace}) => workspace === WORKSPACES[0]);
  const sumAnswered = (list: typeof reports) =>
    list.reduce((total, {answered}) => total + answered, 0);
  const worstP99 = (list: typeof reports) =>
    Math.max(...list.map(({p99Ms}) => p99Ms));
  const figures = {
    othersGoodputRatio: round(
      sumAnswered(contended) / sumAnswered(uncontended),
    ),
    othersP99Ratio: round(worstP99(contended) / worstP99(uncontended)),
    p99AloneMs: worstP99(uncontended),
    p99BesideMs: worstP99(contended),
    loudAnsweredShare: round((noisy?.answered ?? 0) / (noisy?.requests ?? 1)),
  };
  context.log(`${policy}: ${JSON.stringify(figures)}`);
  return figures;
}

function send(cluster: Cluster, workspace: string, rate: number) {
  return cluster.sendRequests({
    workspace,
    service: PAYMENTS.service,
    repeatable: true,
    rate,
    seconds: PHASE_SECONDS,
    deadlineMs: DEADLINE_MS,
    duplicates: 0,
  });
}
