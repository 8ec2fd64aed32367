/** The clock of the operating system. */
import {Clock, type Timer} from '../ports/clock.js';

/** Clock over `performance.now` and `Date.now`. */
export class SystemClock extends Clock {
  private constructor() {
    super();
  }

  /** Creates the clock. */
  static create(): SystemClock {
    return new SystemClock();
  }

  now(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  callAt(deadline: number, task: () => void): Timer {
    const handle = setTimeout(task, Math.max(0, deadline - this.now()));
    return {cancel: () => clearTimeout(handle)};
  }
}
