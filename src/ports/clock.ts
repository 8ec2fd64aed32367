/** Port to time: a monotonic clock for deadlines and a wall clock for timestamps. */

/** A scheduled call. */
export interface Timer {
  /** Cancels the call; no effect if it already ran. */
  cancel(): void;
}

/** Source of time, in milliseconds. */
export abstract class Clock {
  /** Monotonic milliseconds since an arbitrary origin. */
  abstract now(): number;
  /** Milliseconds since the Unix epoch. */
  abstract wall(): number;
  /** Calls `task` once when `deadline` (monotonic milliseconds) is reached. */
  abstract callAt(deadline: number, task: () => void): Timer;
}
