/** Interface of the mechanisms that run each idempotency key at most once. */
import type {Outcome} from './outcome.js';

/** A request that may run once per key. */
export interface GuardedRequest {
  /** Workspace, service and the caller's key, joined by "/". */
  readonly key: string;
  /** Time at which the caller created the key, in wall milliseconds. */
  readonly issuedMs: number;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  /**
   * Runs the request. `startDeadline` is called before each attempt and returns
   * the latest time at which a server may start the request, in monotonic
   * milliseconds, or undefined when it may no longer be started.
   */
  execute(startDeadline: () => number | undefined): Promise<Outcome>;
}

/** Runs guarded requests, each key at most once. */
export abstract class KeyGuard {
  abstract run(request: GuardedRequest): Promise<Outcome>;
}
