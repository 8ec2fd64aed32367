/**
 * Models the network links of a simulated platform as FIFO queues with a rate. A link
 * without a rate has no transmission time.
 */

const BITS_PER_BYTE = 8;
const BITS_PER_MS_PER_MBPS = 1_000;

/** Links of all instances and of the store, by name. */
export class MemoryLinks {
  private readonly ratesMbps = new Map<string, number>();
  /** End of the transmissions queued in each direction, in monotonic milliseconds. */
  private readonly busyUntil = new Map<string, number>();
  /** Bytes sent by each link. */
  readonly sentBytes = new Map<string, number>();

  private constructor() {}

  /** Creates links without rates. */
  static create(): MemoryLinks {
    return new MemoryLinks();
  }

  /** Sets the rate of a link in each direction. */
  setRate(name: string, rateMbps: number): void {
    this.ratesMbps.set(name, rateMbps);
  }

  /** Queues bytes on both links; returns their arrival time in monotonic milliseconds. */
  transmit(from: string, to: string, bytes: number, now: number): number {
    this.sentBytes.set(from, (this.sentBytes.get(from) ?? 0) + bytes);
    return Math.max(
      this.reserve(from, 'out', bytes, now),
      this.reserve(to, 'in', bytes, now),
    );
  }

  private reserve(
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
    const start = Math.max(now, this.busyUntil.get(key) ?? now);
    const end = start + (bytes * BITS_PER_BYTE) / (rate * BITS_PER_MS_PER_MBPS);
    this.busyUntil.set(key, end);
    return end;
  }
}
