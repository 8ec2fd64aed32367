/**
 * Counts events of the last second in constant memory. Used by `ServerLoadTracker` for the
 * answers with which `LocalFaultDetector` compares unanswered packets.
 */

/** Time in which events are counted, in milliseconds. */
export const COUNT_WINDOW_MS = 1_000;

/** A count over a sliding window, estimated from two successive fixed ones. */
export class WindowedCount {
  /** Index of the fixed window that `current` counts. */
  private index = -Infinity;
  private current = 0;
  private previous = 0;

  private constructor() {}

  /** Creates a count of no events. */
  static create(): WindowedCount {
    return new WindowedCount();
  }

  /** Counts one event; `now` is monotonic milliseconds. */
  add(now: number): void {
    this.advance(now);
    this.current += 1;
  }

  /** Estimates the events of the last second, as if the previous window's were even. */
  estimate(now: number): number {
    this.advance(now);
    const elapsedShare = now / COUNT_WINDOW_MS - this.index;
    return this.current + this.previous * (1 - elapsedShare);
  }

  private advance(now: number): void {
    const index = Math.floor(now / COUNT_WINDOW_MS);
    if (index > this.index) {
      this.previous = index === this.index + 1 ? this.current : 0;
      this.current = 0;
      this.index = index;
    }
  }
}
