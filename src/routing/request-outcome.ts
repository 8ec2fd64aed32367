/**
 * How requests end, as the packets of their callers show it: a daemon sees when a
 * request passes and how the caller's acknowledgements grow, never the answer itself.
 */
import type {CatalogServer} from '../catalog/records.js';
import type {KnownRoute} from '../catalog/route-table.js';

/** How a request ended. */
export const RequestEnd = {
  /** The caller acknowledged an answer, and then nothing more for a while. */
  ANSWERED: 'answered',
  /** The caller closed or reset the flow before it acknowledged any answer. */
  ABANDONED: 'left',
  /** No answer within the time that the route's callers are to have one. */
  OVERDUE: 'overdue',
} as const;
/** One of the ends in `RequestEnd`. */
export type RequestEnd = (typeof RequestEnd)[keyof typeof RequestEnd];

/** One request that ended; times are monotonic milliseconds. */
export interface RequestOutcome {
  readonly server: CatalogServer;
  readonly route: KnownRoute;
  /** IPv4 address of the caller as an unsigned number. */
  readonly caller: number;
  readonly end: RequestEnd;
  /** When its first data passed. */
  readonly startedAt: number;
  /** When its newest data passed: the server had all of it not before. */
  readonly lastDataAt: number;
  /** When the caller first acknowledged some of the answer; Infinity: never. */
  readonly answeredAt: number;
  /** Bytes of the request that passed, repeated ones included. */
  readonly requestBytes: number;
  /** Bytes of the answer that the caller acknowledged. */
  readonly answerBytes: number;
}

/** Told of requests as they end. */
export abstract class RequestObserver {
  abstract onEnd(outcome: RequestOutcome, now: number): void;
}

/** Tells several observers of the same ends. */
export class CompositeRequestObserver extends RequestObserver {
  private constructor(private readonly observers: readonly RequestObserver[]) {
    super();
  }

  /** The observers as one; undefined if there is none. */
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
