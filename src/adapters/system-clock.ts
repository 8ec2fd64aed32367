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
    let handle: NodeJS.Timeout;
    // Node.js counts a delay in whole milliseconds, from the start of the event loop's turn,
    // so a timer may fire before its time.
    const run = () => (this.now() < deadline ? start() : task());
    const start = () => {
      handle = setTimeout(run, Math.max(0, Math.ceil(deadline - this.now())));
    };
    start();
    return {cancel: () => clearTimeout(handle)};
  }
}
