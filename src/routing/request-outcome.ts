/**
 * Outcomes of requests, and the observers that are notified of them. Daemons see only the
 * packets of callers, so an answer is inferred from the caller's acknowledgements.
 */
import type {CatalogServer} from '../catalog/records.js';
import type {KnownRoute} from '../catalog/route-table.js';

/** How a request ended. */
export const RequestEnd = {
  /** The caller acknowledged an answer, which is complete. */
  ANSWERED: 'answered',
  /** The caller closed or reset the flow before it acknowledged any answer. */
  ABANDONED: 'abandoned',
  /** There was no answer within the target time of the route. */
  OVERDUE: 'overdue',
} as const;
/** One of the ends in `RequestEnd`. */
export type RequestEnd = (typeof RequestEnd)[keyof typeof RequestEnd];

/** The outcome of one request; times are monotonic milliseconds. */
export interface RequestOutcome {
  readonly server: CatalogServer;
  readonly route: KnownRoute;
  /** IPv4 address of the caller as an unsigned number. */
  readonly caller: number;
  readonly end: RequestEnd;
  /** When its first data packet passed. */
  readonly startedAt: number;
  /** When its last data packet passed; the server cannot have had all of it before. */
  readonly lastDataAt: number;
  /** When the caller first acknowledged some of the answer; Infinity: never. */
  readonly answeredAt: number;
  /** Bytes of the request that passed, retransmitted ones included. */
  readonly requestBytes: number;
  /** Bytes of the answer that the caller acknowledged. */
  readonly answerBytes: number;
}

/** Is notified of requests as they end. */
export abstract class RequestObserver {
  abstract onEnd(outcome: RequestOutcome, now: number): void;
}

/** Notifies several observers. */
export class CompositeRequestObserver extends RequestObserver {
  private constructor(private readonly observers: readonly RequestObserver[]) {
    super();
  }

  /** Returns an observer that notifies all others; undefined if there are none. */
  static create(
    observers: readonly RequestObserver[],
  ): RequestObserver | undefined {
    return observers.length === 0
      ? undefined
      : new CompositeRequestObserver(observers);
  }

  onEnd(outcome: RequestOutcome, now: number): void {
    this.observers.forEach(observer => observer.onEnd(outcome, now));
  }
}
