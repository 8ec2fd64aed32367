/**
 * Measures how long messages from peers were under way. A message states when it was sent
 * on the sender's clock. The least difference between arrival and sending stands for a
 * message without delay, as in the clock filter of NTP; what a message exceeds it by was
 * spent on a slow link, or in a buffer while this process was paused or busy. The ages in
 * the message have grown by that time.
 */
import type {SendTime} from '../generated/catalog.js';
import type {Clock} from '../ports/clock.js';

/**
 * Time after which the least difference is measured anew, so that clocks which drift apart
 * by 0.01% appear as a delay of no more than 60 ms.
 */
const MEASUREMENT_PERIOD_MS = 300_000;
/** Limit of peers whose clocks are known; the least recently heard is dropped first. */
const MAX_PEERS = 1_024;
/**
 * Time between two heartbeats up to which they are taken to have waited equally long,
 * since they share a buffer.
 */
const MAX_BURST_GAP_MS = 50;
const INCARNATION_RANGE = 2 ** 32;

/** What is known of the clock of one incarnation of a peer. */
interface PeerClock {
  readonly incarnation: number;
  /** Least difference of this clock to the peer's in the current period, in milliseconds. */
  leastOffsetMs: number;
  /** The least difference in the period before; Infinity: there is none. */
  formerOffsetMs: number;
  /** When the current period ends; monotonic milliseconds. */
  periodEndsAt: number;
}

/** The clocks of the peers that one daemon hears. */
export class PeerClocks {
  /** Clocks by IPv4 address, the least recently heard first. */
  private readonly clocks = new Map<number, PeerClock>();
  private readonly incarnation: number;
  /** Delay of the last heartbeat, and when it arrived; monotonic milliseconds. */
  private lastDelayMs = 0;
  private lastArrivalAt = -Infinity;

  private constructor(private readonly clock: Clock) {
    this.incarnation = clock.wall() % INCARNATION_RANGE;
  }

  /** Creates the record of a daemon that has heard of no peer. */
  static create(clock: Clock): PeerClocks {
    return new PeerClocks(clock);
  }

  /** Returns the time of sending for a message that is sent now. */
  stamp(): SendTime {
    const {incarnation, clock} = this;
    return {incarnation, atMs: Math.round(clock.now())};
  }

  /**
   * Returns how many milliseconds a heartbeat that is handled now was delayed. A peer whose
   * clock is unknown is taken to be delayed like the heartbeat handled just before.
   */
  measureHeartbeat(peer: number, sent: SendTime | undefined): number {
    const now = this.clock.now();
    const isBurst = now - this.lastArrivalAt <= MAX_BURST_GAP_MS;
    const assumedMs = isBurst ? this.lastDelayMs : 0;
    const delayMs =
      sent === undefined
        ? assumedMs
        : (this.measure(peer, sent, now) ??
          this.recordPeer(peer, sent, now, assumedMs));
    this.lastDelayMs = delayMs;
    this.lastArrivalAt = now;
    return delayMs;
  }

  /**
   * Returns how many milliseconds ago the answer to a pull that is handled now was sent; at
   * most the time since the pull was requested.
   */
  measureAnswer(
    peer: number,
    sent: SendTime | undefined,
    requestedAt: number,
  ): number {
    const now = this.clock.now();
    const elapsedMs = now - requestedAt;
    const delayMs = sent && this.measure(peer, sent, now);
    return Math.min(elapsedMs, delayMs ?? elapsedMs);
  }

  /** Returns the delay of a message; undefined if the sender's clock is unknown. */
  private measure(
    peer: number,
    {incarnation, atMs}: SendTime,
    now: number,
  ): number | undefined {
    const known = this.clocks.get(peer);
    if (known === undefined || known.incarnation !== incarnation) {
      return undefined;
    }
    const offsetMs = now - atMs;
    if (now >= known.periodEndsAt) {
      known.formerOffsetMs = known.leastOffsetMs;
      known.leastOffsetMs = offsetMs;
      known.periodEndsAt = now + MEASUREMENT_PERIOD_MS;
    }
    known.leastOffsetMs = Math.min(known.leastOffsetMs, offsetMs);
    this.clocks.delete(peer);
    this.clocks.set(peer, known);
    return offsetMs - Math.min(known.leastOffsetMs, known.formerOffsetMs);
  }

  /** Records the clock of a new incarnation by a message with an assumed delay. */
  private recordPeer(
    peer: number,
    {incarnation, atMs}: SendTime,
    now: number,
    delayMs: number,
  ): number {
    this.clocks.delete(peer);
    this.clocks.set(peer, {
      incarnation,
      leastOffsetMs: now - atMs - delayMs,
      formerOffsetMs: Infinity,
      periodEndsAt: now + MEASUREMENT_PERIOD_MS,
    });
    if (this.clocks.size > MAX_PEERS) {
      const [oldest] = this.clocks.keys();
      this.clocks.delete(oldest);
    }
    return delayMs;
  }
}
