/**
 * Links of a world in memory: what goes through one waits for what went before. A link
 * without a rate takes no time.
 */

const BITS_A_BYTE = 8;
/** Megabits a second in bits a millisecond. */
const BITS_A_MILLISECOND = 1_000;

/** The links of all instances and of the store, by name. */
export class MemoryLinks {
  private readonly ratesMbps = new Map<string, number>();
  /** Until when each direction is busy; monotonic milliseconds. */
  private readonly busyUntil = new Map<string, number>();
  /** Bytes that went out of each link. */
  readonly sentBytes = new Map<string, number>();

  private constructor() {}

  /** Creates links without rates. */
  static create(): MemoryLinks {
    return new MemoryLinks();
  }

  /** Sets what a link carries in each direction, in megabits a second. */
  setRate(name: string, megabits: number): void {
    this.ratesMbps.set(name, megabits);
  }

  /** When bytes that leave now have arrived; monotonic milliseconds. */
  arrivalOf(from: string, to: string, bytes: number, now: number): number {
    this.sentBytes.set(from, (this.sentBytes.get(from) ?? 0) + bytes);
    return Math.max(
      this.occupy(from, 'out', bytes, now),
      this.occupy(to, 'in', bytes, now),
    );
  }

  private occupy(
    name: string,
    direction: 'in' | 'out',
    bytes: number,
    now: number,
  ): number {
    const rate = this.ratesMbps.get(name);
    if (rate === undefined) {
      return now;
    }
    const key = `${name}/${direction}`;
    const begin = Math.max(now, this.busyUntil.get(key) ?? now);
    const end = begin + (bytes * BITS_A_BYTE) / (rate * BITS_A_MILLISECOND);
    this.busyUntil.set(key, end);
    return end;
  }
}
