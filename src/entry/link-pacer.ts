/**
 * Paces what a daemon sends to the rate of its instance's link, so that the queue in front
 * of the link forms here, where small packets pass bulk data, and not in the network, which
 * drops whatever arrives at a full link. A fabric in front of another one.
 */
import type {CatalogServer} from '../catalog/records.js';
import type {Clock, Timer} from '../ports/clock.js';
import {
  CookieFabric,
  type CallerPosition,
  type CookiePacket,
} from '../ports/cookie-fabric.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Log} from '../ports/log.js';
import {HeldPackets, type HeldPacket} from './held-packets.js';
import {
  BYTES_PER_MS_PER_MBPS,
  FORWARD_HEADER_BYTES,
  RESET_BYTES,
} from './link-bytes.js';

/**
 * Share of the link to use. The link's other direction carries the same packets towards
 * the daemon: at a little less than its rate, callers with full windows wait for this
 * queue and not for the network's. The rest carries heartbeats.
 */
const LINK_SHARE = 0.95;
/** Time of the link that may be sent at once; covers late timers. */
const BURST_MS = 20;
/** The burst holds at least this many of the longest packets. */
const MIN_BURST_BYTES = 4 * 1_270;
/**
 * Longest wait: callers retransmit after 200 ms, of which the way to the daemon and the
 * answer's way back need the rest.
 */
const MAX_WAIT_MS = 100;
/** Limits memory use and the time to search a queue. */
const MAX_HELD_BYTES = 2 * 1_024 * 1_024;
/** Minimum time between two sends from the queues; a timer costs more than a packet. */
const MIN_DRAIN_INTERVAL_MS = 2;
/** Longest packet that passes bulk data, headers included: a request without a body. */
const MAX_SMALL_BYTES = 600;
/** Wait from which the link counts as saturated. */
const SATURATED_WAIT_MS = 50;
/** Time without such a wait, or a drop, after which it no longer does. */
const RECOVERY_MS = 1_000;

/** Dependencies of a `LinkPacer`. */
export interface LinkPacerOptions {
  /** Sends the packets. */
  readonly fabric: CookieFabric;
  /** Bandwidth of the instance's link, in megabits per second. */
  readonly linkMbps: number;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  /** Called for each packet of a caller that is dropped instead of forwarded. */
  onDropped(packet: CookiePacket): void;
}

/** Fabric that sends at most at the rate of a link. */
export class LinkPacer extends CookieFabric {
  private readonly bytesPerMs: number;
  private readonly burstBytes: number;
  private readonly small: HeldPackets;
  private readonly bulk: HeldPackets;
  /** Bytes that may be sent at `refilledAt`. */
  private tokens: number;
  private refilledAt: number;
  /** When packets were last held; monotonic milliseconds. */
  private busyAt = -Infinity;
  private drainTimer: Timer | undefined;
  private isSaturated = false;
  private isClosed = false;
  /** When the link was last found saturated; monotonic milliseconds. */
  private saturatedAt = -Infinity;
  private droppedSinceSaturated = 0;
  private recoveryTimer: Timer | undefined;

  private constructor(private readonly options: LinkPacerOptions) {
    super();
    this.bytesPerMs = options.linkMbps * BYTES_PER_MS_PER_MBPS * LINK_SHARE;
    this.burstBytes = Math.max(MIN_BURST_BYTES, this.bytesPerMs * BURST_MS);
    const maxBytes = Math.min(MAX_HELD_BYTES, this.bytesPerMs * MAX_WAIT_MS);
    this.small = HeldPackets.create(maxBytes);
    this.bulk = HeldPackets.create(maxBytes);
    this.tokens = this.burstBytes;
    this.refilledAt = options.clock.now();
  }

  /** Creates a pacer that holds nothing. */
  static create(options: LinkPacerOptions): LinkPacer {
    return new LinkPacer(options);
  }

  onPacket(handle: (packet: CookiePacket) => void): void {
    this.options.fabric.onPacket(handle);
  }

  forward(packet: CookiePacket, server: CatalogServer, cookie: number): void {
    const bytes = packet.bytes.length + FORWARD_HEADER_BYTES;
    const queue = this.queueOf(packet, bytes);
    if (this.takeTokens(queue, bytes)) {
      this.options.fabric.forward(packet, server, cookie);
    } else {
      this.holdForward(queue, packet, server, cookie);
    }
  }

  reset(caller: CallerPosition): void {
    if (this.takeTokens(this.small, RESET_BYTES)) {
      this.options.fabric.reset(caller);
    } else {
      this.holdReset(caller);
    }
  }

  /** Sends everything held and closes the fabric; nothing is held from then on. */
  close(): void {
    this.isClosed = true;
    this.drainTimer?.cancel();
    this.recoveryTimer?.cancel();
    while (this.hasBacklog) {
      this.takeNext()?.send();
    }
    this.options.fabric.close();
  }

  /** Whether packets have waited at or after `time`, in monotonic milliseconds. */
  wasBusySince(time: number): boolean {
    return this.hasBacklog || this.busyAt >= time;
  }

  private get hasBacklog(): boolean {
    return this.small.size > 0 || this.bulk.size > 0;
  }

  /**
   * Returns the queue that a packet belongs to. No packet of a flow passes bulk data of the
   * flow that waits: its order would change. Openings on a reused port are no exception.
   */
  private queueOf(packet: CookiePacket, bytes: number): HeldPackets {
    if (bytes > MAX_SMALL_BYTES) {
      return this.bulk;
    }
    const mustWait = this.bulk.size > 0 && this.bulk.holds(packet);
    return mustWait ? this.bulk : this.small;
  }

  /** Takes tokens for a packet that need not wait; returns false if it has to. */
  private takeTokens(queue: HeldPackets, bytes: number): boolean {
    this.refill();
    const isNext =
      this.small.size === 0 && (queue === this.small || this.bulk.size === 0);
    const mayPass = this.isClosed || (isNext && this.tokens >= bytes);
    if (mayPass) {
      this.tokens -= bytes;
    }
    return mayPass;
  }

  private refill(): void {
    const now = this.options.clock.now();
    const refilled = this.tokens + (now - this.refilledAt) * this.bytesPerMs;
    this.tokens = Math.min(this.burstBytes, refilled);
    this.refilledAt = now;
  }

  /** Separate from `forward` so that the fast path allocates nothing. */
  private holdForward(
    queue: HeldPackets,
    packet: CookiePacket,
    server: CatalogServer,
    cookie: number,
  ): void {
    const {fabric, onDropped} = this.options;
    const held = {
      flow: packet,
      bytes: packet.bytes.length + FORWARD_HEADER_BYTES,
      heldAt: this.refilledAt,
      expiresAt: this.refilledAt + MAX_WAIT_MS,
      send: () => fabric.forward(packet, server, cookie),
      onDropped: () => onDropped(packet),
    };
    if (!this.hold(queue, held)) {
      this.drop(held);
    }
  }

  /** Holds a reset; it never expires, as nobody repeats it, and passes a full queue. */
  private holdReset(caller: CallerPosition): void {
    const {fabric} = this.options;
    const isHeld = this.hold(this.small, {
      flow: caller,
      bytes: RESET_BYTES,
      heldAt: this.refilledAt,
      expiresAt: Infinity,
      send: () => fabric.reset(caller),
      onDropped: () => undefined,
    });
    if (!isHeld) {
      fabric.reset(caller);
    }
  }

  /** Appends a packet to a queue; returns false if it does not fit. */
  private hold(queue: HeldPackets, packet: HeldPacket): boolean {
    this.busyAt = packet.heldAt;
    const isHeld = queue.add(packet);
    if (isHeld) {
      this.options.counters.add(Metric.LINK_PACED);
      this.scheduleDrain();
    }
    return isHeld;
  }

  private drop(packet: HeldPacket): void {
    this.options.counters.add(Metric.LINK_DROPPED);
    this.droppedSinceSaturated += 1;
    this.markSaturated();
    packet.onDropped();
  }

  /** Schedules the next send for when the link has room for the packet that is next. */
  private scheduleDrain(): void {
    const next = this.small.first ?? this.bulk.first;
    if (next === undefined || this.drainTimer !== undefined) {
      return;
    }
    const waitMs = (next.bytes - this.tokens) / this.bytesPerMs;
    const deadline = this.refilledAt + Math.max(MIN_DRAIN_INTERVAL_MS, waitMs);
    this.drainTimer = this.options.clock.callAt(deadline, () => this.drain());
  }

  private drain(): void {
    this.drainTimer = undefined;
    this.refill();
    const now = this.refilledAt;
    this.busyAt = now;
    [...this.small.takeExpired(now), ...this.bulk.takeExpired(now)].forEach(
      packet => this.drop(packet),
    );
    while (this.hasTokensForNext()) {
      this.release(now);
    }
    this.scheduleDrain();
  }

  private hasTokensForNext(): boolean {
    const next = this.small.first ?? this.bulk.first;
    return next !== undefined && next.bytes <= this.tokens;
  }

  private release(now: number): void {
    const packet = this.takeNext();
    if (packet === undefined) {
      return;
    }
    this.tokens -= packet.bytes;
    const waitMs = now - packet.heldAt;
    this.options.counters.observe(Metric.LINK_WAIT_MS, waitMs);
    if (waitMs > SATURATED_WAIT_MS) {
      this.markSaturated();
    }
    packet.send();
  }

  private takeNext(): HeldPacket | undefined {
    return this.small.take() ?? this.bulk.take();
  }

  /** Logs the first of successive findings, and watches for the last one. */
  private markSaturated(): void {
    this.saturatedAt = this.refilledAt;
    if (!this.isSaturated) {
      this.isSaturated = true;
      const {log, linkMbps} = this.options;
      log.warn('link-saturated', {linkMbps});
      this.awaitRecovery();
    }
  }

  private awaitRecovery(): void {
    const {clock} = this.options;
    this.recoveryTimer = clock.callAt(this.saturatedAt + RECOVERY_MS, () => {
      if (clock.now() < this.saturatedAt + RECOVERY_MS) {
        this.awaitRecovery();
        return;
      }
      this.isSaturated = false;
      const dropped = this.droppedSinceSaturated;
      this.droppedSinceSaturated = 0;
      this.options.log.warn('link-recovered', {dropped});
    });
  }
}
