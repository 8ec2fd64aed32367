/**
 * Elects the daemons that read the store for the fleet. Two daemons, in two failure
 * domains where possible, watch it continuously. A daemon that knows of fewer becomes a
 * candidate after a delay by its position, and its announced attempt suppresses other
 * candidates. No daemon needs the full membership, and the load on the store does not
 * grow with the fleet.
 */
import {ReadState} from '../generated/catalog.js';
import type {Hasher} from '../ports/hasher.js';
import {ReaderStatuses, type ReaderStatus} from './reader-statuses.js';
import {
  computeElectionPosition,
  computeFirstPosition,
  type RankedDaemon,
} from './reader-rank.js';

/** Daemons that watch the store at a time. */
const READER_COUNT = 2;

/**
 * Lease of a reader and length of the election window, as fractions of the propagation
 * limit. Together they leave at least a twelfth of it for gossip. At a limit of 3 s the
 * first few candidates of a fleet of any size take some 0.3 s of the window.
 */
const LEASE_FRACTION = 0.75;
const ELECTION_WINDOW_FRACTION = 1 / 6;

/**
 * Maximum lease, counted from a reader's last read: one wait for events and the pause
 * after it, with a margin for a slow store and for gossip.
 */
const MAX_LEASE_MS = 2_250;
const MAX_ELECTION_WINDOW_MS = 500;

/**
 * How long an attempt without an outcome suppresses other candidates: some seventy usual
 * answers of the store.
 */
const CANDIDACY_TIMEOUT_MS = 300;

/** How long a daemon is no candidate after a failed read. */
const FAILURE_BACKOFF_MS = 4_000;

/** How long a reader that left a pull unanswered does not count as one. */
const UNSERVED_BACKOFF_MS = 4_000;

/**
 * Longest time between two reads of the fleet while two daemons read by turns: half of a
 * wait, the pause after it, and a margin for a slow store and for gossip.
 */
const MAX_READ_GAP_MS = 1_500;

/**
 * Delay from the first sign of trouble to the first takeover that no other attempt puts
 * off: time for one candidate to announce that it has read.
 */
const TAKEOVER_DELAY_MS = 150;

/**
 * Position up to which daemons of a fleet of unknown size take over regardless of other
 * attempts: a twenty-fifth of them, so that a store that is away sees few calls.
 */
const MAX_TAKEOVER_POSITION = 0.65;

/** Added to the position of a candidate in the failure domain of the only reader. */
const SAME_DOMAIN_PENALTY = 1;

/** Statuses of readers in one heartbeat. */
const GOSSIPED_READERS = 2;
/** Statuses of other daemons in one heartbeat. */
const GOSSIPED_NON_READERS = 2;

/** Settings of `ReaderElection`. */
export interface ReaderElectionOptions {
  readonly self: RankedDaemon;
  readonly hasher: Hasher;
  /** Propagation limit: time by which all daemons must use a published version. */
  readonly inForceLimitMs: number;
  /** Returns the number of running daemons; undefined if only part of them is known. */
  countDaemons(): number | undefined;
}

/** One daemon's view of the election and its part in it. */
export class ReaderElection {
  private readonly statuses: ReaderStatuses;
  private readonly leaseMs: number;
  /** Time between two reads from which on two readers count as late. */
  private readonly readGapMs: number;
  private readonly electionWindowMs: number;
  /** This daemon's position in the order of candidates, mostly from 0 to 1. */
  readonly position: number;
  /**
   * When a reader was first found missing, or the last one joined since; monotonic
   * milliseconds. Undefined while there are enough.
   */
  private missingReaderSince: number | undefined;
  /** Monotonic milliseconds before which this daemon is no candidate. */
  private backoffUntil = -Infinity;
  /** When any daemon last read; monotonic milliseconds. */
  private lastReadAt = -Infinity;
  /** When the next read by any daemon is due; monotonic milliseconds. */
  private nextReadDueAt = Infinity;
  /** When a daemon first ceased to read after the last read; undefined: none has. */
  private firstCeasedAt: number | undefined;
  /** When this daemon last began a read; monotonic milliseconds. */
  private lastOwnAttemptAt = -Infinity;
  /**
   * Until when each reader that left a pull of this daemon unanswered does not count, by
   * address; monotonic milliseconds.
   */
  private readonly unservedUntil = new Map<number, number>();

  private constructor(private readonly options: ReaderElectionOptions) {
    const {self, hasher, inForceLimitMs} = options;
    this.leaseMs = Math.min(MAX_LEASE_MS, inForceLimitMs * LEASE_FRACTION);
    this.readGapMs = Math.min(MAX_READ_GAP_MS, this.leaseMs);
    this.statuses = ReaderStatuses.create(hasher, this.leaseMs);
    this.electionWindowMs = Math.min(
      MAX_ELECTION_WINDOW_MS,
      inForceLimitMs * ELECTION_WINDOW_FRACTION,
    );
    this.position = computeElectionPosition(self, hasher);
  }

  /** Creates the election of a daemon that knows of no reader. */
  static create(options: ReaderElectionOptions): ReaderElection {
    return new ReaderElection(options);
  }

  /** Merges a status from a peer, unless it is this daemon's own; returns the gain. */
  mergePeerStatus(status: ReaderStatus, now: number): number {
    return status.reader === this.options.self.reader
      ? 0
      : this.merge(status, now);
  }

  /** Records that this daemon, which is no reader yet, has begun a read. */
  recordAttempt(now: number): void {
    this.lastOwnAttemptAt = now;
    this.recordOwnStatus(ReadState.READ_TRYING, now);
  }

  /** Records a successful read as of a time, which may make this daemon a reader. */
  recordSuccess(at: number, now: number): void {
    this.backoffUntil = -Infinity;
    this.merge({...this.options.self, state: ReadState.READ_DONE, at}, now);
  }

  /** Records a failed read, after which this daemon backs off. */
  recordFailure(now: number): void {
    this.backoffUntil = now + FAILURE_BACKOFF_MS;
    this.recordOwnStatus(ReadState.READ_CEASED, now);
  }

  /** Records that this daemon is stopping, so that others may take over at once. */
  recordLeaving(now: number): void {
    this.backoffUntil = Infinity;
    this.recordOwnStatus(ReadState.READ_CEASED, now);
  }

  /**
   * Records that a peer left a pull unanswered. A reader from which this daemon cannot get
   * what it has read does not count for a while; returns whether the peer was one.
   */
  recordUnserved(peer: number, now: number): boolean {
    const wasReader = this.readers(now).some(({reader}) => reader === peer);
    if (wasReader) {
      this.removeExpiredUnserved(now);
      this.unservedUntil.set(peer, now + UNSERVED_BACKOFF_MS);
      this.firstCeasedAt ??= now;
    }
    return wasReader;
  }

  /** Whether this daemon is one of the elected readers. */
  isReader(now: number): boolean {
    const rank = this.rankAt(now);
    return rank >= 0 && rank < READER_COUNT;
  }

  /** Whether this daemon is the first reader, which does what only one should do. */
  isFirstReader(now: number): boolean {
    return this.rankAt(now) === 0;
  }

  /**
   * Returns when the first reader last read, if this daemon is the second one; monotonic
   * milliseconds.
   */
  firstReaderReadAt(now: number): number | undefined {
    return this.rankAt(now) === 1 ? this.readers(now).at(0)?.at : undefined;
  }

  /** Returns how many daemons are known to read, this one included. */
  countReaders(now: number): number {
    return this.readers(now).length;
  }

  /**
   * Returns when this daemon becomes a candidate, or, while there are enough readers,
   * when the first lease ends; monotonic milliseconds. Later statuses may change it.
   */
  nextCandidacyAt(now: number): number {
    const readers = this.readers(now);
    const takeoverAt = this.takeoverAt(readers.length);
    if (readers.length >= READER_COUNT) {
      this.missingReaderSince = undefined;
      const firstReadAt = Math.min(
        ...readers.slice(0, READER_COUNT).map(({at}) => at),
      );
      const firstExpiry = firstReadAt + this.leaseMs + 1;
      return Math.max(Math.min(firstExpiry, takeoverAt), this.backoffUntil);
    }
    this.missingReaderSince ??= now;
    const {failureDomain} = this.options.self;
    const isSameDomain = readers[0]?.failureDomain === failureDomain;
    const position = this.position + (isSameDomain ? SAME_DOMAIN_PENALTY : 0);
    const from = Math.max(this.missingReaderSince, this.suppressedUntil(now));
    const turnAt = from + position * this.electionWindowMs;
    return Math.max(Math.min(turnAt, takeoverAt), this.backoffUntil);
  }

  /**
   * Returns when this daemon reads although others attempt to; Infinity: not before its
   * turn. Attempts that fail one after the other would take longer than the propagation
   * limit, so each daemon makes one on its own if none has read since the first sign of
   * trouble: too long a time without a read or, while a reader is missing, a daemon that
   * ceased to read or left a pull unanswered.
   */
  private takeoverAt(readerCount: number): number {
    const wasRead = this.lastReadAt > -Infinity;
    const hasTried = this.lastOwnAttemptAt > this.lastReadAt;
    const daemons = this.options.countDaemons();
    const isEligible =
      daemons !== undefined || this.position <= MAX_TAKEOVER_POSITION;
    if (!wasRead || hasTried || !isEligible) {
      return Infinity;
    }
    const troubleAt =
      readerCount >= READER_COUNT
        ? this.nextReadDueAt
        : Math.min(this.nextReadDueAt, this.firstCeasedAt ?? Infinity);
    const turns = this.position - computeFirstPosition(daemons ?? Infinity);
    const delayMs = Math.max(0, turns) * this.electionWindowMs;
    return troubleAt + TAKEOVER_DELAY_MS + delayMs;
  }

  /**
   * Returns when a daemon last began a read, or ceased to read; -Infinity if none is
   * known. Successful reads don't count.
   */
  lastAttemptAt(now: number): number {
    return this.statuses.nonReaders(now)[0]?.at ?? -Infinity;
  }

  /** Selects the statuses for a heartbeat. */
  selectStatusesToGossip(now: number): ReaderStatus[] {
    return [
      ...this.readers(now).slice(0, GOSSIPED_READERS),
      ...this.statuses.nonReaders(now).slice(0, GOSSIPED_NON_READERS),
    ];
  }

  /** Returns until when other daemons' attempts and failures put off the candidacy. */
  private suppressedUntil(now: number): number {
    const {reader} = this.options.self;
    const known = this.statuses
      .nonReaders(now)
      .filter(status => status.reader !== reader)
      .map(({state, at}) =>
        state === ReadState.READ_TRYING ? at + CANDIDACY_TIMEOUT_MS : at,
      );
    return Math.max(-Infinity, ...known);
  }

  /** Returns the daemons that read and answer pulls, in order of rank. */
  private readers(now: number): ReaderStatus[] {
    return this.statuses
      .readers(now)
      .filter(({reader}) => !this.isUnserved(reader, now));
  }

  private isUnserved(reader: number, now: number): boolean {
    return (this.unservedUntil.get(reader) ?? -Infinity) > now;
  }

  private removeExpiredUnserved(now: number): void {
    this.unservedUntil.forEach((until, reader) => {
      if (until <= now) {
        this.unservedUntil.delete(reader);
      }
    });
  }

  /** Returns this daemon's rank among the readers, or -1 if it is none. */
  private rankAt(now: number): number {
    const {reader} = this.options.self;
    return this.readers(now).findIndex(status => status.reader === reader);
  }

  private recordOwnStatus(state: ReadState, at: number): void {
    this.merge({...this.options.self, state, at}, at);
  }

  /** Records when the source was last read, and when a daemon ceased to read since. */
  private recordProgress({reader, state, at}: ReaderStatus, now: number): void {
    const isRead =
      state === ReadState.READ_DONE && !this.isUnserved(reader, now);
    if (isRead && at > this.lastReadAt) {
      const readsByTurns = this.readers(now).length >= READER_COUNT;
      this.lastReadAt = at;
      this.nextReadDueAt = at + (readsByTurns ? this.readGapMs : this.leaseMs);
      this.firstCeasedAt = undefined;
    }
    if (state === ReadState.READ_CEASED && at > this.lastReadAt) {
      this.firstCeasedAt = Math.min(this.firstCeasedAt ?? Infinity, at);
    }
  }

  /** Merges a status; an additional reader restarts the election window. */
  private merge(status: ReaderStatus, now: number): number {
    const before = this.readers(now).length;
    const gain = this.statuses.merge(status, now);
    this.recordProgress(status, now);
    if (this.readers(now).length > before) {
      this.missingReaderSince = now;
    }
    return gain;
  }
}
