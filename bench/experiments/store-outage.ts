/** Payments while the store is down for 20 s. */
import {pause} from '../cluster.js';
import {round} from '../measures.js';
import {
  PAYMENTS,
  capacityOf,
  createRequestCluster,
  judgeRequests,
  waitForRequests,
} from '../request-bench.js';
import {brokenPromises, type Experiment} from './experiment.js';

const LOAD = 0.5;
const OUTAGE_SECONDS = 20;
const CALM_SECONDS = 10;
const DEADLINE_MS = 3_000;

/** The share answered in an outage, and store calls a request outside of one. */
export const storeOutage: Experiment = {
  name: 'store-outage',
  summary: 'payments through 20 s without the store; store calls a request',
  run: async context => {
    const cluster = await createRequestCluster(context, {services: [PAYMENTS]});
    const rate = Math.round(capacityOf(PAYMENTS) * LOAD);
    const order = (seconds: number) => ({
      workspace: PAYMENTS.workspace,
      service: PAYMENTS.service,
      repeatable: false,
      rate,
      seconds,
      deadlineMs: DEADLINE_MS,
      duplicates: 0.05,
    });
    await pause(3_000);
    const idle = await storeCallsOver(cluster, CALM_SECONDS);
    const before = await storeCalls(cluster);
    await cluster.sendRequests(order(CALM_SECONDS));
    await pause(CALM_SECONDS * 1_000);
    const busy = (await storeCalls(cluster)) - before;
    await waitForRequests(cluster, rate * CALM_SECONDS);
    await cluster.store.turn({down: true});
    await cluster.sendRequests(order(OUTAGE_SECONDS));
    await pause(OUTAGE_SECONDS * 1_000);
    await cluster.store.turn({down: false});
    const expected = rate * (CALM_SECONDS + OUTAGE_SECONDS);
    const reports = await waitForRequests(cluster, expected);
    const outage = reports[reports.length - 1];
    const verdict = await judgeRequests(cluster);
    await cluster.close();
    const answeredShare = round(outage.answered / outage.requests);
    const extra = Math.max(0, busy - idle);
    return {
      figures: {
        answeredShare,
        doubleRuns: verdict.doubleRuns,
        falseNotRun: verdict.falseNotRun,
        storeCallsPerRequest: round(extra / (rate * CALM_SECONDS)),
        storeCallsPerSecondIdle: round(idle / CALM_SECONDS),
        reasons: outage.reasons,
      },
      broken: brokenPromises([
        [verdict.doubleRuns === 0, 'payments ran twice'],
        [verdict.falseNotRun === 0, 'false "not run"'],
        [answeredShare > 0.9, `only ${answeredShare} were answered`],
        [
          extra / (rate * CALM_SECONDS) < 0.05,
          'the common path asks the store',
        ],
      ]),
    };
  },
};

async function storeCalls(cluster: {
  store: {turn<T>(): Promise<T>};
}): Promise<number> {
  return (await cluster.store.turn<{calls: number}>()).calls;
}

async function storeCallsOver(
  cluster: Parameters<typeof storeCalls>[0],
  seconds: number,
): Promise<number> {
  const before = await storeCalls(cluster);
  await pause(seconds * 1_000);
  return (await storeCalls(cluster)) - before;
}
