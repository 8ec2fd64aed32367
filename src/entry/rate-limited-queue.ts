/**
 * Sends many packets one after the other: what a daemon sends of its own accord, to many
 * callers or to one server, must neither fill its link nor flood who receives it.
 */
import type {Clock, Timer} from '../ports/clock.js';

/** Packets sent at once, and the shortest time to the next ones, in milliseconds. */
const BATCH = 8;
const GAP_MS = 10;
/** Share of the link that may be taken. */
const LINK_SHARE = 0.1;
const BYTES_A_MEGABIT_MS = 125;

/** Sends a packet; returns its length in bytes, 0 if it has become pointless. */
export type Sending = () => number;

/** The packets that one daemon is to send of its own accord. */
export class RateLimitedQueue {
  private waiting: Sending[] = [];
  private isStopped = false;
  private timer: Timer | undefined;

  private constructor(
    private readonly clock: Clock,
    /** What the link carries, in megabits a second. */
    private readonly linkMbps: number,
  ) {}

  /** Creates an empty queue. */
  static create(clock: Clock, linkMbps: number): RateLimitedQueue {
    return new RateLimitedQueue(clock, linkMbps);
  }

  /** Sends packets as soon as their turn comes. */
  add(sendings: readonly Sending[]): void {
    this.waiting.push(...sendings);
    if (this.timer === undefined && !this.isStopped) {
      this.sendBatch();
    }
  }

  /** Sends nothing more. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private sendBatch(): void {
    this.timer = undefined;
    const batch = this.waiting.splice(0, BATCH);
    if (batch.length === 0) {
      return;
    }
    const bytes = batch.reduce((sum, send) => sum + send(), 0);
    const onLinkMs = bytes / (this.linkMbps * BYTES_A_MEGABIT_MS * LINK_SHARE);
    const next = this.clock.now() + Math.max(GAP_MS, onLinkMs);
    this.timer = this.clock.callAt(next, () => this.sendBatch());
  }
}
