/**
 * Rate-limited queue for the packets that a daemon originates itself, so that a burst of
 * them neither fills its link nor overloads the receivers. Used by the flow terminator.
 */
import type {Clock, Timer} from '../ports/clock.js';
import {BYTES_PER_MS_PER_MBPS} from './link-bytes.js';

/** Packets sent at once. */
const BATCH_SIZE = 8;
/** Minimum time from one batch to the next, in milliseconds. */
const MIN_BATCH_INTERVAL_MS = 10;
/** Maximum share of the link's bandwidth to use. */
const MAX_LINK_SHARE = 0.1;

/** Sends a packet; returns the bytes sent, 0 if the packet is no longer needed. */
export type SendTask = () => number;

/** Runs send tasks in order, in batches. */
export class RateLimitedQueue {
  private pending: SendTask[] = [];
  private isStopped = false;
  private timer: Timer | undefined;

  private constructor(
    private readonly clock: Clock,
    /** Bandwidth of the instance's link, in megabits per second. */
    private readonly linkMbps: number,
  ) {}

  /** Creates an empty queue. */
  static create(clock: Clock, linkMbps: number): RateLimitedQueue {
    return new RateLimitedQueue(clock, linkMbps);
  }

  /** Appends tasks; the first batch runs at once if the queue was idle. */
  add(tasks: readonly SendTask[]): void {
    this.pending.push(...tasks);
    if (this.timer === undefined && !this.isStopped) {
      this.sendBatch();
    }
  }

  /** Stops sending; pending tasks never run. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private sendBatch(): void {
    this.timer = undefined;
    const batch = this.pending.splice(0, BATCH_SIZE);
    if (batch.length === 0) {
      return;
    }
    const bytes = batch.reduce((sum, send) => sum + send(), 0);
    const transmitMs =
      bytes / (this.linkMbps * BYTES_PER_MS_PER_MBPS * MAX_LINK_SHARE);
    const next = this.clock.now() + Math.max(MIN_BATCH_INTERVAL_MS, transmitMs);
    this.timer = this.clock.callAt(next, () => this.sendBatch());
  }
}
