/** Ways to let each request key run at most once. */
import type {Outcome} from './outcome.js';

/** A request whose key may run once. */
export interface GuardedRequest {
  /** Workspace, service and the caller's key, as one text. */
  readonly key: string;
  /** Wall milliseconds at which the caller made the key. */
  readonly issuedMs: number;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  /**
   * Runs the request. `startDeadline` is asked right before each dispatch: the
   * latest time (monotonic milliseconds) at which a server may start it, or
   * undefined when it may not be started any more.
   */
  execute(startDeadline: () => number | undefined): Promise<Outcome>;
}

/** Lets a key through at most once, as far as its mechanism reaches. */
export abstract class KeyGuard {
  abstract run(request: GuardedRequest): Promise<Outcome>;
}
