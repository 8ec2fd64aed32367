/** Sends requests while daemons, backend servers and the store fail. */
import {Cluster, pause} from '../cluster.js';
import {round} from '../measures.js';
import {
  PAYMENTS,
  DOCUMENTS,
  computeCapacity,
  createRequestCluster,
  verifyRequests,
  waitForRequests,
  type RequestVerdict,
} from '../request-bench.js';
import {
  collectFailures,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const LOAD_FACTOR = 0.7;
const PLANNED_CHANGE_SECONDS = 12;
const FAULT_SECONDS = 45;
const DEADLINE_MS = 5_000;
const DUPLICATE_SHARE = 0.05;
const STORE_DOWN_MS = 20_000;

interface RunFigures extends RequestVerdict {
  /** Requests with an unknown outcome during a planned stop and drain. */
  readonly cutOff: number;
  /** Answers per second under faults. */
  readonly goodput: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Checks at-most-once execution and correct refusals, `weldyard` beside `naive`. */
export const requestsFaults: Experiment = {
  name: 'requests-faults',
  summary: 'requests through kills, suspensions, drains and a store outage',
  run: async context => {
    const [weldyard, naive] = await Promise.all([
      runOnce(context, 'weldyard'),
      runOnce(context, 'naive'),
    ]);
    return {
      figures: {...weldyard, naive},
      failures: collectFailures([
        [
          weldyard.doubleRuns === 0,
          `${weldyard.doubleRuns} payments ran more than once`,
        ],
        [
          weldyard.falseNotRun === 0,
          `${weldyard.falseNotRun} requests reported as not run had run`,
        ],
        [weldyard.wrongAnswers === 0, `${weldyard.wrongAnswers} wrong answers`],
        [
          weldyard.partialAnswers === 0,
          `${weldyard.partialAnswers} truncated answers were passed on as complete`,
        ],
        [
          weldyard.cutOff === 0,
          `${weldyard.cutOff} requests were interrupted by planned changes`,
        ],
        [
          naive.doubleRuns > 0,
          'the naive policy ran no payment twice, so the comparison shows nothing',
        ],
      ]),
    };
  },
};

async function runOnce(
  context: ExperimentContext,
  policy: 'weldyard' | 'naive',
): Promise<RunFigures> {
  const cluster = await createRequestCluster(context, {
    services: [PAYMENTS, DOCUMENTS],
    requestPolicy: policy,
  });
  const planned = await sendLoad(cluster, PLANNED_CHANGE_SECONDS);
  await makePlannedChanges(cluster);
  await waitForRequests(cluster, planned);
  const plannedVerdict = await verifyRequests(cluster);
  const cutOff = Math.round(
    plannedVerdict.unknownShare * plannedVerdict.requests,
  );
  context.log(
    `${policy}: planned changes done, ${cutOff} requests interrupted`,
  );
  const startMs = Date.now();
  const all = planned + (await sendLoad(cluster, FAULT_SECONDS));
  await injectFaults(cluster);
  const reports = await waitForRequests(cluster, all);
  const seconds = (Date.now() - startMs) / 1_000;
  const verdict = await verifyRequests(cluster);
  await cluster.close();
  context.log(`${policy}: ${JSON.stringify(verdict.reasons)}`);
  return {
    ...verdict,
    cutOff,
    goodput: round((verdict.answered - plannedVerdict.answered) / seconds),
    p50Ms: Math.max(...reports.map(({p50Ms}) => p50Ms)),
    p99Ms: Math.max(...reports.map(({p99Ms}) => p99Ms)),
  };
}

/** Starts sending requests to both services; returns how many. */
async function sendLoad(cluster: Cluster, seconds: number): Promise<number> {
  const orders = [PAYMENTS, DOCUMENTS].map(plan => ({
    workspace: plan.workspace,
    service: plan.service,
    repeatable: plan.repeatable,
    rate: Math.round(computeCapacity(plan) * LOAD_FACTOR),
    seconds,
    deadlineMs: DEADLINE_MS,
    duplicates: DUPLICATE_SHARE,
  }));
  await Promise.all(orders.map(order => cluster.sendRequests(order)));
  return orders.reduce((sum, {rate}) => sum + rate * seconds, 0);
}

/** Drains a server and replaces a daemon; no request in flight may be interrupted. */
async function makePlannedChanges(cluster: Cluster): Promise<void> {
  const [server] = cluster.listServers('parkwise/meterpay');
  await pause(1_000);
  await cluster.controlBackend(server, {draining: true});
  const [first] = [...cluster.daemons.keys()];
  cluster.startDaemon();
  await cluster.waitReady();
  await cluster.stopDaemon(first);
  await cluster.controlBackend(server, {draining: false});
}

async function injectFaults(cluster: Cluster): Promise<void> {
  const payments = cluster.listServers('parkwise/meterpay');
  await cluster.store.configure({loseAnswers: 0.2, slowMs: 5});
  await Promise.all(
    payments.map(id =>
      cluster.controlBackend(id, {
        lateAnswers: 0.02,
        lostAnswers: 0.005,
        truncatedAnswers: 0.01,
      }),
    ),
  );
  await pause(3_000);
  const [killed, frozen] = [...cluster.daemons.keys()];
  cluster.killDaemon(killed);
  cluster.startDaemon();
  await pause(4_000);
  cluster.freezeDaemon(frozen, true);
  await pause(4_000);
  cluster.freezeDaemon(frozen, false);
  await cluster.controlBackend(payments[1], {shedding: true});
  await cluster.controlBackend(payments[2], {draining: true});
  await pause(3_000);
  await cluster.store.configure({down: true});
  await pause(STORE_DOWN_MS / 2);
  const [, second] = [...cluster.daemons.keys()];
  cluster.killDaemon(second);
  await pause(STORE_DOWN_MS / 2);
  await cluster.store.configure({down: false, loseAnswers: 0, slowMs: 0});
  await cluster.controlBackend(payments[1], {shedding: false});
  await cluster.controlBackend(payments[2], {draining: false});
}
