/** Offers load from half to three times the servers' capacity. */
import {round} from '../measures.js';
import {pause} from '../cluster.js';
import {
  DOCUMENTS,
  computeCapacity,
  createRequestCluster,
  waitForRequests,
} from '../request-bench.js';
import {
  collectFailures,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const LOAD_FACTORS = [0.5, 0.8, 1, 1.5, 2, 3];
const STEP_SECONDS = 6;
const DEADLINE_MS = 2_000;
const WARM_UP_SECONDS = 2;
/** Added to the deadline for the reply's way to the caller. */
const REPLY_GRACE_MS = 100;

interface Point {
  readonly load: number;
  readonly goodput: number;
  readonly p99Ms: number;
  /** Attempts at servers, retries included, per request that was tried at all. */
  readonly amplification: number;
  readonly refusedShare: number;
}

/** Compares goodput past saturation under the `weldyard` and `naive` policies. */
export const overload: Experiment = {
  name: 'overload',
  summary: '0.5 to 3 times the capacity: goodput, p99, amplification',
  run: async context => {
    const [weldyard, naive] = await Promise.all([
      runLoads(context, 'weldyard'),
      runLoads(context, 'naive'),
    ]);
    const summary = summarize(weldyard);
    return {
      figures: {
        ...summary,
        points: weldyard,
        naive: {...summarize(naive), points: naive},
      },
      failures: collectFailures([
        [
          summary.goodputAtThreeOverPeak >= 0.95,
          `goodput at three times is ${summary.goodputAtThreeOverPeak} of peak`,
        ],
        [
          summary.p99Ms <= DEADLINE_MS + REPLY_GRACE_MS,
          `p99 of ${summary.p99Ms} ms is past the deadline`,
        ],
        [
          summary.amplification <= 1.1,
          `amplification is ${summary.amplification}`,
        ],
      ]),
    };
  },
};

function summarize(points: readonly Point[]) {
  const peak = Math.max(...points.map(({goodput}) => goodput));
  const last = points[points.length - 1];
  return {
    goodputAtThreeOverPeak: round(last.goodput / peak),
    amplification: Math.max(...points.map(({amplification}) => amplification)),
    p99Ms: Math.max(...points.map(({p99Ms}) => p99Ms)),
  };
}

async function runLoads(
  context: ExperimentContext,
  policy: 'weldyard' | 'naive',
): Promise<Point[]> {
  const cluster = await createRequestCluster(context, {
    services: [DOCUMENTS],
    requestPolicy: policy,
  });
  const points: Point[] = [];
  const order = (rate: number, seconds: number) => ({
    workspace: DOCUMENTS.workspace,
    service: DOCUMENTS.service,
    repeatable: true,
    rate,
    seconds,
    deadlineMs: DEADLINE_MS,
    duplicates: 0,
  });
  const warmUp = Math.round(computeCapacity(DOCUMENTS) * 0.5);
  await cluster.sendRequests(order(warmUp, WARM_UP_SECONDS));
  let expected = warmUp * WARM_UP_SECONDS;
  await waitForRequests(cluster, expected);
  await LOAD_FACTORS.reduce(async (earlier, load) => {
    await earlier;
    const rate = Math.round(computeCapacity(DOCUMENTS) * load);
    const before = await countAttempts();
    await cluster.sendRequests(order(rate, STEP_SECONDS));
    expected += rate * STEP_SECONDS;
    await pause(STEP_SECONDS * 1_000);
    const reports = await waitForRequests(cluster, expected);
    const report = reports[reports.length - 1];
    const attempts = (await countAttempts()) - before;
    const firstAttempts =
      report.requests - countRefusedBeforeAttempt(report.reasons);
    const point = {
      load,
      goodput: round(report.answered / STEP_SECONDS),
      p99Ms: report.p99Ms,
      amplification: round(attempts / Math.max(1, firstAttempts)),
      refusedShare: round(report.notRun / report.requests),
    };
    context.log(`${policy} ${JSON.stringify(point)}`);
    points.push(point);
  }, Promise.resolve());
  await cluster.close();
  return points;

  async function countAttempts(): Promise<number> {
    const backends = await cluster.readBackendReports();
    return backends.reduce((sum, {started, shed}) => sum + started + shed, 0);
  }
}

/** Counts requests that a daemon refused without an attempt at a server. */
function countRefusedBeforeAttempt(
  reasons: Readonly<Record<string, number>>,
): number {
  return [
    'deadline-cannot-be-met',
    'no-slot-before-deadline',
    'queue-full',
    'workspace-limit',
  ].reduce((sum, reason) => sum + (reasons[reason] ?? 0), 0);
}
