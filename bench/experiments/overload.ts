/** Half to three times the servers' capacity. */
import {round} from '../measures.js';
import {pause} from '../cluster.js';
import {
  SHEETS,
  capacityOf,
  createRequestCluster,
  waitForRequests,
} from '../request-bench.js';
import {
  brokenPromises,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const LOADS = [0.5, 0.8, 1, 1.5, 2, 3];
const SECONDS = 6;
const DEADLINE_MS = 2_000;
const WARM_UP_SECONDS = 2;
/** Time beyond the deadline that a reply may take, in milliseconds. */
const REPLY_GRACE_MS = 100;

interface Point {
  readonly load: number;
  readonly goodput: number;
  readonly p99Ms: number;
  /** Tries at servers that were meant to be the first or a repeat, a request. */
  readonly amplification: number;
  readonly refusedShare: number;
}

/** Goodput past saturation, ours beside the naive way. */
export const overload: Experiment = {
  name: 'overload',
  summary: '0.5 to 3 times the capacity: goodput, p99, amplification',
  run: async context => {
    const [ours, naive] = await Promise.all([
      runLoads(context, 'weldyard'),
      runLoads(context, 'naive'),
    ]);
    const summary = summarise(ours);
    return {
      figures: {
        ...summary,
        points: ours,
        naive: {...summarise(naive), points: naive},
      },
      broken: brokenPromises([
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

function summarise(points: readonly Point[]) {
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
    services: [SHEETS],
    requestPolicy: policy,
  });
  const points: Point[] = [];
  const order = (rate: number, seconds: number) => ({
    workspace: SHEETS.workspace,
    service: SHEETS.service,
    repeatable: true,
    rate,
    seconds,
    deadlineMs: DEADLINE_MS,
    duplicates: 0,
  });
  const warmUp = Math.round(capacityOf(SHEETS) * 0.5);
  await cluster.sendRequests(order(warmUp, WARM_UP_SECONDS));
  let expected = warmUp * WARM_UP_SECONDS;
  await waitForRequests(cluster, expected);
  await LOADS.reduce(async (earlier, load) => {
    await earlier;
    const rate = Math.round(capacityOf(SHEETS) * load);
    const before = await attempts();
    await cluster.sendRequests(order(rate, SECONDS));
    expected += rate * SECONDS;
    await pause(SECONDS * 1_000);
    const reports = await waitForRequests(cluster, expected);
    const report = reports[reports.length - 1];
    const tried = (await attempts()) - before;
    const firstTries = report.requests - refusedHere(report.reasons);
    const point = {
      load,
      goodput: round(report.answered / SECONDS),
      p99Ms: report.p99Ms,
      amplification: round(tried / Math.max(1, firstTries)),
      refusedShare: round(report.notRun / report.requests),
    };
    context.say(`${policy} ${JSON.stringify(point)}`);
    points.push(point);
  }, Promise.resolve());
  await cluster.close();
  return points;

  async function attempts(): Promise<number> {
    const backends = await cluster.backendReports();
    return backends.reduce((sum, {started, shed}) => sum + started + shed, 0);
  }
}

/** Requests that were refused before any server was tried. */
function refusedHere(reasons: Readonly<Record<string, number>>): number {
  return [
    'deadline-cannot-be-met',
    'no-slot-before-deadline',
    'queue-full',
    'workspace-limit',
  ].reduce((sum, reason) => sum + (reasons[reason] ?? 0), 0);
}
