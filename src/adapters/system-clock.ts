/** The clock of the operating system. */
import {Clock, type Timer} from '../ports/clock.js';

const SECOND_MS = 1_000;

/**
 * Clock over `process.uptime`, which is monotonic, and `Date.now`. Avoids the `performance`
 * object, which loads more modules at start.
 */
export class SystemClock extends Clock {
  private constructor() {
    super();
  }

  /** Creates a clock. */
  static create(): SystemClock {
    return new SystemClock();
  }

  now(): number {
    return process.uptime() * SECOND_MS;
  }

  wall(): number {
    return Date.now();
  }

  callAt(deadline: number, task: () => void): Timer {
    const handle = setTimeout(task, Math.max(0, deadline - this.now()));
    return {cancel: () => clearTimeout(handle)};
  }
}
