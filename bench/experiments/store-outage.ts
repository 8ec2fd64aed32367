/** Sends requests during a store outage of 20 s. */
import {pause} from '../cluster.js';
import {round} from '../measures.js';
import {
  PAYMENTS,
  computeCapacity,
  createRequestCluster,
  verifyRequests,
  waitForRequests,
} from '../request-bench.js';
import {collectFailures, type Experiment} from './experiment.js';

const LOAD_FACTOR = 0.5;
const OUTAGE_SECONDS = 20;
const BASELINE_SECONDS = 10;
const DEADLINE_MS = 3_000;

/** Reports the share answered in the outage, and store calls per request before. */
export const storeOutage: Experiment = {
  name: 'store-outage',
  summary: 'requests during 20 s without the store; store calls per request',
  run: async context => {
    const cluster = await createRequestCluster(context, {services: [PAYMENTS]});
    const rate = Math.round(computeCapacity(PAYMENTS) * LOAD_FACTOR);
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
    const idle = await measureStoreCalls(cluster, BASELINE_SECONDS);
    const before = await readStoreCalls(cluster);
    await cluster.sendRequests(order(BASELINE_SECONDS));
    await pause(BASELINE_SECONDS * 1_000);
    const busy = (await readStoreCalls(cluster)) - before;
    await waitForRequests(cluster, rate * BASELINE_SECONDS);
    await cluster.store.configure({down: true});
    await cluster.sendRequests(order(OUTAGE_SECONDS));
    await pause(OUTAGE_SECONDS * 1_000);
    await cluster.store.configure({down: false});
    const expected = rate * (BASELINE_SECONDS + OUTAGE_SECONDS);
    const reports = await waitForRequests(cluster, expected);
    const outage = reports[reports.length - 1];
    const verdict = await verifyRequests(cluster);
    await cluster.close();
    const answeredShare = round(outage.answered / outage.requests);
    const extra = Math.max(0, busy - idle);
    return {
      figures: {
        answeredShare,
        doubleRuns: verdict.doubleRuns,
        falseNotRun: verdict.falseNotRun,
        storeCallsPerRequest: round(extra / (rate * BASELINE_SECONDS)),
        storeCallsPerSecondIdle: round(idle / BASELINE_SECONDS),
        reasons: outage.reasons,
      },
      failures: collectFailures([
        [
          verdict.doubleRuns === 0,
          `${verdict.doubleRuns} payments ran more than once`,
        ],
        [
          verdict.falseNotRun === 0,
          `${verdict.falseNotRun} requests reported as not run had run`,
        ],
        [
          answeredShare > 0.9,
          `answered share in the outage is ${answeredShare}`,
        ],
        [
          extra / (rate * BASELINE_SECONDS) < 0.05,
          'requests cause store calls on the normal path',
        ],
      ]),
    };
  },
};

async function readStoreCalls(cluster: {
  store: {configure<T>(): Promise<T>};
}): Promise<number> {
  return (await cluster.store.configure<{calls: number}>()).calls;
}

async function measureStoreCalls(
  cluster: Parameters<typeof readStoreCalls>[0],
  seconds: number,
): Promise<number> {
  const before = await readStoreCalls(cluster);
  await pause(seconds * 1_000);
  return (await readStoreCalls(cluster)) - before;
}
