/**
 * Tracks when each peer last answered a probe and last sent a datagram, and
 * derives which peers are responsive. Times are monotonic milliseconds.
 */
import type {Probe} from '../generated/packet.js';
import type {Clock} from '../ports/clock.js';
import {
  CONFIRMATION_TIMEOUT_MS,
  MESH_LIMIT,
  PAUSE_DETECTION_MS,
  PROBE_INTERVAL_MS,
  VIEW_LEASE_MS,
} from './timing.js';

/** Exchange of probes with one peer. */
export interface PeerContact {
  /** Sequence and sending time of the unanswered probe; sequence 0: none. */
  pendingSequence: number;
  pendingSentMs: number;
  /** Sending time of the newest probe that the peer answered. */
  answeredSentMs: number;
  /** Arrival of the peer's newest datagram. */
  lastDatagramMs: number;
  /** Epoch and newest index of the peer's log in its newest datagram. */
  logEpoch: number;
  logTop: number;
  /** Whether the peer reported this daemon as responsive. */
  findsSelfResponsive: boolean;
  misses: number;
  /** When a suspected peer is declared dead; 0 while it is not suspected. */
  suspicionDeadlineMs: number;
}

/** Contacts of one daemon with its peers. */
export class PeerContacts {
  private readonly contacts = new Map<string, PeerContact>();
  private newestAnsweredSentMs = -Infinity;
  private lastTickMs: number;
  private hasNoPeers = true;
  private viewLeaseMs = VIEW_LEASE_MS;
  private silenceLimitMs = CONFIRMATION_TIMEOUT_MS;

  private constructor(
    private readonly self: string,
    private readonly clock: Clock,
  ) {
    this.lastTickMs = clock.now();
  }

  /** Creates the contacts of the daemon `self`, without any peer. */
  static create(self: string, clock: Clock): PeerContacts {
    return new PeerContacts(self, clock);
  }

  /** Returns the contact with a peer, created on first use. */
  of(id: string): PeerContact {
    const known = this.contacts.get(id);
    if (known !== undefined) {
      return known;
    }
    const created: PeerContact = {
      pendingSequence: 0,
      pendingSentMs: 0,
      answeredSentMs: -Infinity,
      lastDatagramMs: this.clock.now(),
      logEpoch: 0,
      logTop: 0,
      findsSelfResponsive: false,
      misses: 0,
      suspicionDeadlineMs: 0,
    };
    this.contacts.set(id, created);
    return created;
  }

  /**
   * Whether the member answered a probe within the view lease. For this daemon
   * itself: whether any peer did, or there are no peers. False after a pause of
   * this process.
   */
  isResponsive(id: string): boolean {
    const limit = this.clock.now() - this.viewLeaseMs;
    if (this.hasPaused()) {
      return false;
    }
    if (id === this.self) {
      return this.newestAnsweredSentMs >= limit || this.hasNoPeers;
    }
    return (this.contacts.get(id)?.answeredSentMs ?? -Infinity) >= limit;
  }

  /** Whether a datagram of the peer arrived within the confirmation timeout. */
  hasRecentDatagram(id: string): boolean {
    return this.of(id).lastDatagramMs >= this.clock.now() - this.silenceLimitMs;
  }

  /**
   * Adapts the timeouts to the number of rounds that probing all peers takes.
   */
  updateTimeouts(peers: number): void {
    const moreRounds = Math.max(1, Math.ceil(peers / MESH_LIMIT)) - 1;
    this.hasNoPeers = peers === 0;
    this.viewLeaseMs = VIEW_LEASE_MS + moreRounds * PROBE_INTERVAL_MS * 2;
    this.silenceLimitMs =
      CONFIRMATION_TIMEOUT_MS + moreRounds * PROBE_INTERVAL_MS * 4;
  }

  /**
   * Records a run of the probe task; after a pause all answers are discarded.
   */
  recordTick(): void {
    if (this.hasPaused()) {
      this.discardAnswers();
    }
    this.lastTickMs = this.clock.now();
  }

  /**
   * Records a sent probe. An unscheduled one does not replace a probe that is
   * still pending.
   */
  recordProbe(id: string, sequence: number, isScheduled: boolean): void {
    const contact = this.of(id);
    if (isScheduled || contact.pendingSequence === 0) {
      contact.pendingSequence = sequence;
      contact.pendingSentMs = this.clock.now();
    }
  }

  /** Records the log position and view that a peer's datagram reports. */
  recordDatagram(id: string, probe: Probe): void {
    const contact = this.of(id);
    contact.lastDatagramMs = this.clock.now();
    contact.logEpoch = probe.logEpoch;
    contact.logTop = probe.logTop;
    contact.findsSelfResponsive = probe.inTouch;
  }

  /**
   * Clears misses and suspicion deadline of a peer that answered this daemon or
   * a relay.
   */
  clearMisses(id: string): void {
    const contact = this.of(id);
    contact.misses = 0;
    contact.suspicionDeadlineMs = 0;
  }

  /**
   * Records the peer's answer to a probe. Returns true for the first answer of
   * any peer since the start or the last pause.
   */
  recordAnswer(id: string, sequence: number): boolean {
    this.clearMisses(id);
    const contact = this.of(id);
    const {pendingSequence, pendingSentMs} = contact;
    // The answer may be to a later probe than the pending one; the earlier
    // sending time is the safe one.
    if (pendingSequence === 0 || sequence < pendingSequence) {
      return false;
    }
    contact.pendingSequence = 0;
    contact.answeredSentMs = pendingSentMs;
    const isFirst = this.newestAnsweredSentMs === -Infinity;
    this.newestAnsweredSentMs = Math.max(
      this.newestAnsweredSentMs,
      pendingSentMs,
    );
    return isFirst;
  }

  /**
   * Whether the probe task has not run for so long that the process must have
   * been paused.
   */
  private hasPaused(): boolean {
    return this.clock.now() - this.lastTickMs > PAUSE_DETECTION_MS;
  }

  /**
   * Discards answers from before a pause; they prove nothing about the time
   * after it.
   */
  private discardAnswers(): void {
    this.newestAnsweredSentMs = -Infinity;
    this.contacts.forEach(contact => {
      contact.answeredSentMs = -Infinity;
      contact.pendingSequence = 0;
    });
  }
}
