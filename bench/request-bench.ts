/** What experiments on requests share. */
import {RequestStatus} from '../src/generated/request.js';
import type {RequestReport} from '../standins/request-callers.js';
import {Cluster, pause, type ClusterOptions} from './cluster.js';
import {round} from './measures.js';
import {PARKWISE_DOMAINS} from './plans.js';
import type {ExperimentContext} from './experiments/experiment.js';

const DAEMONS = 8;
const END_MS = 25_000;
const POLL_MS = 250;

/** Payments on 10 servers of 3 slots; 100 ms a request, so 300 a second. */
export const PAYMENTS = {
  workspace: 'parkwise',
  service: 'meterpay',
  address: '10.20.0.1:443',
  servers: 10,
  slots: 3,
  connections: 2_000,
  serviceMs: 100,
  repeatable: false,
} as const;

/** Sheets on 3 servers of 3 slots; 90 a second. */
export const SHEETS = {
  workspace: 'parkwise',
  service: 'handheld-docs',
  address: '10.20.0.2:443',
  servers: 3,
  slots: 3,
  connections: 2_000,
  serviceMs: 100,
  repeatable: true,
} as const;

/** Requests a second that the servers of a plan run at the most. */
export function capacityOf(plan: {
  readonly servers: number;
  readonly slots: number;
  readonly serviceMs: number;
}): number {
  return (plan.servers * plan.slots * 1_000) / plan.serviceMs;
}

/** Starts a cluster for requests. */
export async function createRequestCluster(
  context: ExperimentContext,
  options: Partial<ClusterOptions> & Pick<ClusterOptions, 'services'>,
): Promise<Cluster> {
  return context.use(
    await Cluster.create({
      daemons: DAEMONS,
      domains: PARKWISE_DOMAINS,
      seed: context.seed,
      ...options,
    }),
  );
}

/** Waits until all requests that were ordered have ended. */
export async function waitForRequests(
  cluster: Cluster,
  expected: number,
): Promise<RequestReport[]> {
  const deadline = Date.now() + END_MS;
  let state = await cluster.requests();
  const sent = () =>
    state.reports.reduce((sum, {requests}) => sum + requests, 0);
  while ((state.pending > 0 || sent() < expected) && Date.now() < deadline) {
    await pause(POLL_MS);
    state = await cluster.requests();
  }
  return state.reports;
}

/** The oracle's verdict on all requests of a cluster. */
export interface RequestVerdict {
  readonly requests: number;
  /** Keys of payments that ran more than once. */
  readonly doubleRuns: number;
  /** Callers told "not run" whose request ran. */
  readonly falseNotRun: number;
  readonly wrongAnswers: number;
  readonly partialAnswers: number;
  readonly answered: number;
  readonly unknownShare: number;
  readonly refusedShare: number;
  readonly reasons: Readonly<Record<string, number>>;
}

/** Compares what servers ran with what callers were told. */
export async function judgeRequests(cluster: Cluster): Promise<RequestVerdict> {
  const {outcomes} = await cluster.requests(true);
  const backends = await cluster.backendReports(undefined, {listKeys: true});
  const runs = new Map<string, number>();
  backends
    .flatMap(({keys}) => keys)
    .forEach(([key, count]) => runs.set(key, (runs.get(key) ?? 0) + count));
  const payments = outcomes.filter(({service}) => service === PAYMENTS.service);
  const withStatus = (status: RequestStatus) =>
    outcomes.filter(outcome => outcome.status === status);
  const reasons: Record<string, number> = {};
  outcomes.forEach(({reason}) => {
    reasons[reason] = (reasons[reason] ?? 0) + 1;
  });
  const notRun = withStatus(RequestStatus.NOT_RUN);
  return {
    requests: outcomes.length,
    doubleRuns: payments.filter(({key}) => (runs.get(key) ?? 0) > 1).length,
    falseNotRun: notRun.filter(({key}) => (runs.get(key) ?? 0) > 0).length,
    wrongAnswers: outcomes.filter(({wrong}) => wrong).length,
    partialAnswers: outcomes.filter(({partial}) => partial).length,
    answered: withStatus(RequestStatus.ANSWERED).length,
    unknownShare: round(
      withStatus(RequestStatus.UNKNOWN).length / outcomes.length,
    ),
    refusedShare: round(notRun.length / outcomes.length),
    reasons,
  };
}
