/** Services, load and correctness checks shared by the experiments on requests. */
import {RequestStatus} from '../src/generated/request.js';
import type {RequestReport} from '../standins/request-callers.js';
import {Cluster, pause, type ClusterOptions} from './cluster.js';
import {round} from './measures.js';
import {PARKWISE_DOMAINS} from './plans.js';
import type {ExperimentContext} from './experiments/experiment.js';

const DAEMONS = 8;
const COMPLETION_TIMEOUT_MS = 25_000;
const POLL_INTERVAL_MS = 250;

/** Non-repeatable requests; 10 servers with 3 slots run 300 per second. */
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

/** Repeatable requests; 3 servers with 3 slots run 90 per second. */
export const DOCUMENTS = {
  workspace: 'parkwise',
  service: 'handheld-docs',
  address: '10.20.0.2:443',
  servers: 3,
  slots: 3,
  connections: 2_000,
  serviceMs: 100,
  repeatable: true,
} as const;

/** Returns the requests per second that the servers of a plan can run. */
export function computeCapacity(plan: {
  readonly servers: number;
  readonly slots: number;
  readonly serviceMs: number;
}): number {
  return (plan.servers * plan.slots * 1_000) / plan.serviceMs;
}

/** Starts and registers a cluster of eight daemons. */
export async function createRequestCluster(
  context: ExperimentContext,
  options: Partial<ClusterOptions> & Pick<ClusterOptions, 'services'>,
): Promise<Cluster> {
  return context.registerCluster(
    await Cluster.create({
      daemons: DAEMONS,
      domains: PARKWISE_DOMAINS,
      seed: context.seed,
      ...options,
    }),
  );
}

/**
 * Waits until the expected number of requests were sent and none is pending.
 * Returns the reports as they are after 25 s, even if requests are still pending.
 */
export async function waitForRequests(
  cluster: Cluster,
  expected: number,
): Promise<RequestReport[]> {
  const deadline = Date.now() + COMPLETION_TIMEOUT_MS;
  let state = await cluster.readRequestReports();
  const sent = () =>
    state.reports.reduce((sum, {requests}) => sum + requests, 0);
  while ((state.pending > 0 || sent() < expected) && Date.now() < deadline) {
    await pause(POLL_INTERVAL_MS);
    state = await cluster.readRequestReports();
  }
  return state.reports;
}

/** Outcome counts of all requests of a cluster, and violations of correctness. */
export interface RequestVerdict {
  readonly requests: number;
  /** Payments that ran more than once. */
  readonly doubleRuns: number;
  /** Requests reported as "not run" that ran. */
  readonly falseNotRun: number;
  readonly wrongAnswers: number;
  readonly partialAnswers: number;
  readonly answered: number;
  readonly unknownShare: number;
  readonly refusedShare: number;
  readonly reasons: Readonly<Record<string, number>>;
}

/** Compares the requests that servers ran with the outcomes that callers got. */
export async function verifyRequests(
  cluster: Cluster,
): Promise<RequestVerdict> {
  const {outcomes} = await cluster.readRequestReports(true);
  const backends = await cluster.readBackendReports(undefined, {
    listKeys: true,
  });
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
