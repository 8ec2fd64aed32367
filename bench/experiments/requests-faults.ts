/** Payments and sheets through every fault at once. */
import {Cluster, pause} from '../cluster.js';
import {round} from '../measures.js';
import {
  PAYMENTS,
  SHEETS,
  capacityOf,
  createRequestCluster,
  judgeRequests,
  waitForRequests,
  type RequestVerdict,
} from '../request-bench.js';
import {
  brokenPromises,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const LOAD = 0.7;
const CALM_SECONDS = 12;
const FAULT_SECONDS = 45;
const DEADLINE_MS = 5_000;
const DUPLICATES = 0.05;
const STORE_DOWN_MS = 20_000;

interface RunFigures extends RequestVerdict {
  /** Requests without an end that a planned stop or drain caused. */
  readonly cutOff: number;
  /** Answers a second. */
  readonly goodput: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** At most once and truthful refusals under faults, ours and naive. */
export const requestsFaults: Experiment = {
  name: 'requests-faults',
  summary: 'payments and sheets through kills, pauses, drains, store outage',
  run: async context => {
    const [ours, naive] = await Promise.all([
      runOnce(context, 'weldyard'),
      runOnce(context, 'naive'),
    ]);
    return {
      figures: {...ours, naive},
      broken: brokenPromises([
        [ours.doubleRuns === 0, `${ours.doubleRuns} payments ran twice`],
        [ours.falseNotRun === 0, `${ours.falseNotRun} false "not run"`],
        [ours.wrongAnswers === 0, 'wrong answers'],
        [ours.partialAnswers === 0, 'partial answers given as whole'],
        [ours.cutOff === 0, `${ours.cutOff} requests were cut off`],
        [naive.doubleRuns > 0, 'the naive way ran nothing twice: no measure'],
      ]),
    };
  },
};

async function runOnce(
  context: ExperimentContext,
  policy: 'weldyard' | 'naive',
): Promise<RunFigures> {
  const cluster = await createRequestCluster(context, {
    services: [PAYMENTS, SHEETS],
    requestPolicy: policy,
  });
  const calm = await sendLoad(cluster, CALM_SECONDS);
  await plannedChanges(cluster);
  await waitForRequests(cluster, calm);
  const calmVerdict = await judgeRequests(cluster);
  const cutOff = Math.round(calmVerdict.unknownShare * calmVerdict.requests);
  context.say(`${policy}: planned changes done, ${cutOff} cut off`);
  const startMs = Date.now();
  const all = calm + (await sendLoad(cluster, FAULT_SECONDS));
  await injectFaults(cluster);
  const reports = await waitForRequests(cluster, all);
  const seconds = (Date.now() - startMs) / 1_000;
  const verdict = await judgeRequests(cluster);
  await cluster.close();
  context.say(`${policy}: ${JSON.stringify(verdict.reasons)}`);
  return {
    ...verdict,
    cutOff,
    goodput: round((verdict.answered - calmVerdict.answered) / seconds),
    p50Ms: Math.max(...reports.map(({p50Ms}) => p50Ms)),
    p99Ms: Math.max(...reports.map(({p99Ms}) => p99Ms)),
  };
}

/** Orders requests of both services; returns how many. */
async function sendLoad(cluster: Cluster, seconds: number): Promise<number> {
  const orders = [PAYMENTS, SHEETS].map(plan => ({
    workspace: plan.workspace,
    service: plan.service,
    repeatable: plan.repeatable,
    rate: Math.round(capacityOf(plan) * LOAD),
    seconds,
    deadlineMs: DEADLINE_MS,
    duplicates: DUPLICATES,
  }));
  await Promise.all(orders.map(order => cluster.sendRequests(order)));
  return orders.reduce((sum, {rate}) => sum + rate * seconds, 0);
}

/** A planned stop and a drain: nothing in flight may be cut off. */
async function plannedChanges(cluster: Cluster): Promise<void> {
  const [server] = cluster.serversOf('parkwise/meterpay');
  await pause(1_000);
  await cluster.backend(server, {draining: true});
  const [first] = [...cluster.daemons.keys()];
  cluster.startDaemon();
  await cluster.waitReady();
  await cluster.stopDaemon(first);
  await cluster.backend(server, {draining: false});
}

async function injectFaults(cluster: Cluster): Promise<void> {
  const payments = cluster.serversOf('parkwise/meterpay');
  await cluster.store.turn({loseAnswers: 0.2, slowMs: 5});
  await Promise.all(
    payments.map(id =>
      cluster.backend(id, {
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
  await cluster.backend(payments[1], {shedding: true});
  await cluster.backend(payments[2], {draining: true});
  await pause(3_000);
  await cluster.store.turn({down: true});
  await pause(STORE_DOWN_MS / 2);
  const [, second] = [...cluster.daemons.keys()];
  cluster.killDaemon(second);
  await pause(STORE_DOWN_MS / 2);
  await cluster.store.turn({down: false, loseAnswers: 0, slowMs: 0});
  await cluster.backend(payments[1], {shedding: false});
  await cluster.backend(payments[2], {draining: false});
}
