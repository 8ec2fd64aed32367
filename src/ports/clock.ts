/** The time port: a monotonic clock for deadlines and a wall clock for stamps. */

/** A scheduled call that can be taken back. */
export interface Timer {
  /** Takes the call back; a call that already ran is not affected. */
  cancel(): void;
}

/** Source of time. All values are milliseconds. */
export abstract class Clock {
  /** Monotonic milliseconds; only differences and deadlines mean anything. */
  abstract now(): number;
  /** Wall-clock milliseconds since 1970. */
  abstract wall(): number;
  /** Calls `task` once when `deadline` (monotonic milliseconds) is reached. */
  abstract callAt(deadline: number, task: () => void): Timer;
}
