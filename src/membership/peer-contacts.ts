/**
 * When each peer was last heard and answered, and what follows from it: who is
 * in touch with this daemon. All times are monotonic milliseconds of its clock.
 */
import type {Probe} from '../generated/packet.js';
import type {Clock} from '../ports/clock.js';
import {
  CONFIRMATION_TIMEOUT_MS,
  MESH_LIMIT,
  PAUSE_MS,
  PROBE_INTERVAL_MS,
  VIEW_LEASE_MS,
} from './timing.js';

/** What is known of the exchange with one peer; times are monotonic. */
export interface PeerContact {
  /** Sequence and time of the probe that is not answered yet; 0: none. */
  pendingSequence: number;
  pendingSentMs: number;
  /** Sending time of the newest probe that the peer answered. */
  answeredSentMs: number;
  /** Arrival of the newest datagram of the peer. */
  heardMs: number;
  /** The peer's log as its newest datagram told. */
  logEpoch: number;
  logTop: number;
  /** Whether the peer said that this daemon answers it. */
  hearsThis: boolean;
  misses: number;
  /** When a suspected peer is declared dead. */
  suspicionDeadline: number;
}

/** The exchanges of one daemon with its peers. */
export class PeerContacts {
  private readonly contacts = new Map<string, PeerContact>();
  private heardFromAnyMs = -Infinity;
  private lastTickMs: number;
  private alone = true;
  private trustMs = VIEW_LEASE_MS;
  private contactMs = CONFIRMATION_TIMEOUT_MS;

  private constructor(
    private readonly self: string,
    private readonly clock: Clock,
  ) {
    this.lastTickMs = clock.now();
  }

  /** Creates the contacts of the daemon `self`, which has met nobody. */
  static create(self: string, clock: Clock): PeerContacts {
    return new PeerContacts(self, clock);
  }

  /** The contact with a peer, made with the first question for it. */
  of(id: string): PeerContact {
    const known = this.contacts.get(id);
    if (known !== undefined) {
      return known;
    }
    const created: PeerContact = {
      pendingSequence: 0,
      pendingSentMs: 0,
      answeredSentMs: -Infinity,
      heardMs: this.clock.now(),
      logEpoch: 0,
      logTop: 0,
      hearsThis: false,
      misses: 0,
      suspicionDeadline: 0,
    };
    this.contacts.set(id, created);
    return created;
  }

  /**
   * Whether the member answered of late; for the daemon itself, whether any
   * peer did, or there is none.
   */
  isResponsive(id: string): boolean {
    const limit = this.clock.now() - this.trustMs;
    if (this.hasPaused()) {
      return false;
    }
    if (id === this.self) {
      return this.heardFromAnyMs >= limit || this.alone;
    }
    return (this.contacts.get(id)?.answeredSentMs ?? -Infinity) >= limit;
  }

  /** Whether a datagram of the peer came of late. */
  isHeard(id: string): boolean {
    return this.of(id).heardMs >= this.clock.now() - this.contactMs;
  }

  /** Bounds grow with the rounds that it takes to probe all peers once. */
  updateBounds(peers: number): void {
    const moreRounds = Math.max(1, Math.ceil(peers / MESH_LIMIT)) - 1;
    this.alone = peers === 0;
    this.trustMs = VIEW_LEASE_MS + moreRounds * PROBE_INTERVAL_MS * 2;
    this.contactMs =
      CONFIRMATION_TIMEOUT_MS + moreRounds * PROBE_INTERVAL_MS * 4;
  }

  /** Notes a run of the probe task. */
  noteTick(): void {
    if (this.hasPaused()) {
      this.forgetAnswers();
    }
    this.lastTickMs = this.clock.now();
  }

  /** Notes a probe; one that is not counted leaves an older one pending. */
  noteSent(id: string, sequence: number, counted: boolean): void {
    const contact = this.of(id);
    if (counted || contact.pendingSequence === 0) {
      contact.pendingSequence = sequence;
      contact.pendingSentMs = this.clock.now();
    }
  }

  /** Notes what a datagram of the peer says of itself. */
  noteHeard(id: string, probe: Probe): void {
    const contact = this.of(id);
    contact.heardMs = this.clock.now();
    contact.logEpoch = probe.logEpoch;
    contact.logTop = probe.logTop;
    contact.hearsThis = probe.inTouch;
  }

  /** Notes that the peer lives, as its answer to somebody shows. */
  noteAlive(id: string): void {
    const contact = this.of(id);
    contact.misses = 0;
    contact.suspicionDeadline = 0;
  }

  /**
   * Notes the peer's answer to a probe; true if no peer had answered since the
   * start or the last pause.
   */
  noteAnswer(id: string, sequence: number): boolean {
    this.noteAlive(id);
    const contact = this.of(id);
    const {pendingSequence, pendingSentMs} = contact;
    // A later probe may be answered too; the first pending one is the older.
    if (pendingSequence === 0 || sequence < pendingSequence) {
      return false;
    }
    contact.pendingSequence = 0;
    contact.answeredSentMs = pendingSentMs;
    const isFirst = this.heardFromAnyMs === -Infinity;
    this.heardFromAnyMs = Math.max(this.heardFromAnyMs, pendingSentMs);
    return isFirst;
  }

  /** Whether this process did not run for so long that others gave it up. */
  private hasPaused(): boolean {
    return this.clock.now() - this.lastTickMs > PAUSE_MS;
  }

  /** Answers to probes from before a pause say nothing of the time after. */
  private forgetAnswers(): void {
    this.heardFromAnyMs = -Infinity;
    this.contacts.forEach(contact => {
      contact.answeredSentMs = -Infinity;
      contact.pendingSequence = 0;
    });
  }
}
