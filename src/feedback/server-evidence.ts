/**
 * Evidence against backend servers, pooled over the daemons of the fleet: requests that
 * ended badly of late. Only bad outcomes are counted, so servers are compared by counts
 * with others of their service, which take about as many requests.
 */
import type {CatalogServer} from '../catalog/records.js';

/** How a request ended badly. */
export const FaultKind = {
  /** The answer was unlike the route's usual ones: callers treat it as a failure. */
  FAILED: 'failed',
  /** There was no answer within the route's target time. */
  OVERDUE: 'overdue',
  /** The answer took several times as long as is usual for the route. */
  SLOW: 'slow',
} as const;
/** One of the kinds in `FaultKind`. */
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** Requests to one server that ended badly, by kind; older ones count less. */
export type FaultCounts = Readonly<Record<FaultKind, number>>;

/** The counts of a server without evidence against it. */
export const NO_FAULTS: FaultCounts = {failed: 0, overdue: 0, slow: 0};

/** Provides the fleet's evidence against backend servers. */
export abstract class ServerEvidencePool {
  /** Returns the decayed counts of all daemons; `now` is monotonic milliseconds. */
  abstract countFaults(server: CatalogServer, now: number): FaultCounts;
}
