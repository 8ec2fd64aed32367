/**
 * When one daemon reads the store. Two daemons of the fleet wait for events there all
 * the time, of two failure domains if they can; whoever hears of fewer offers to be
 * one, in an order that all work out alike, and the offer holds the others back. So
 * nobody needs to know who else is there, and a fleet of any size makes about as many
 * calls as two daemons do.
 *
 * The pattern answered: readers that are killed, frozen, cut off, slowed down or
 * turned away by the store, alone or all at once, while a version is accepted.
 */
import {ReadState} from '../generated/catalog.js';
import type {Hasher} from '../ports/hasher.js';
import {ReaderStatuses, type ReaderStatus} from './reader-statuses.js';
import {computeElectionPosition, type RankedDaemon} from './reader-rank.js';

/** Daemons that wait for events at the store all the time. */
const READER_COUNT = 2;

/**
 * Shares of the time in which a version has to be in force everywhere. A reader that
 * was not heard of for the first is replaced, by those that take turns over the
 * second: at a limit of 3 s that is 2.25 s and half a second, of which the first few
 * daemons of a fleet of any size use some 0.3 s, and the rest is for the spread.
 */
const LEASE_FRACTION = 0.75;
const ELECTION_WINDOW_FRACTION = 1 / 6;

/**
 * Longest time after its last read for which a daemon counts as a reader, in
 * milliseconds: one wait for events, the pause after it, and some time for a slow
 * store and for the news.
 */
const MAX_LEASE_MS = 2_250;
/** Longest time over which daemons take turns, in milliseconds. */
const MAX_ELECTION_WINDOW_MS = 500;

/**
 * Time for which an offer that has no outcome yet holds others back, in milliseconds:
 * some seventy usual answers of the store. A store that is silent costs the fleet two
 * calls a second.
 */
const CANDIDACY_TIMEOUT_MS = 300;

/** Time for which a daemon whose read failed leaves it to others, in milliseconds. */
const FAILURE_BACKOFF_MS = 4_000;

/** Turns of a daemon of the only other reader's failure domain are later by this. */
const SAME_DOMAIN_PENALTY = 1;

/** Readers told of in one beat. */
const GOSSIPED_READERS = 2;
/** Others told of in one beat. */
const GOSSIPED_NON_READERS = 2;

/** What turns are made from. */
export interface ReaderElectionOptions {
  readonly self: RankedDaemon;
  readonly hasher: Hasher;
  /** Time in which a version has to be in force everywhere, in milliseconds. */
  readonly inForceLimitMs: number;
}

/** The turns of one daemon. */
export class ReaderElection {
  private readonly statuses: ReaderStatuses;
  private readonly leaseMs: number;
  private readonly electionWindowMs: number;
  /** This daemon's place in the order of offers, mostly from 0 to 1. */
  readonly position: number;
  /** Since when too few readers were known; undefined while there are enough. */
  private missingReaderSince: number | undefined;
  private backoffUntil = -Infinity;

  private constructor(private readonly options: ReaderElectionOptions) {
    const {self, hasher, inForceLimitMs} = options;
    this.leaseMs = Math.min(MAX_LEASE_MS, inForceLimitMs * LEASE_FRACTION);
    this.statuses = ReaderStatuses.create(hasher, this.leaseMs);
    this.electionWindowMs = Math.min(
      MAX_ELECTION_WINDOW_MS,
      inForceLimitMs * ELECTION_WINDOW_FRACTION,
    );
    this.position = computeElectionPosition(self, hasher);
  }

  /** Creates the turns of a daemon that has heard of no reader. */
  static create(options: ReaderElectionOptions): ReaderElection {
    return new ReaderElection(options);
  }

  /** Takes what was told of another reader; returns what `ReadMarks.take` does. */
  mergePeerStatus(mark: ReaderStatus, now: number): number {
    return mark.reader === this.options.self.reader ? 0 : this.merge(mark, now);
  }

  /** Notes that this daemon has begun a read although it is no reader yet. */
  recordAttempt(now: number): void {
    this.recordOwnStatus(ReadState.READ_TRYING, now);
  }

  /** Notes that this daemon has read, and may be one of the readers now. */
  recordSuccess(now: number): void {
    this.backoffUntil = -Infinity;
    this.recordOwnStatus(ReadState.READ_DONE, now);
  }

  /** Notes that the store did not answer this daemon. */
  recordFailure(now: number): void {
    this.backoffUntil = now + FAILURE_BACKOFF_MS;
    this.recordOwnStatus(ReadState.READ_CEASED, now);
  }

  /** Notes that this daemon is about to stop; others may take over at once. */
  noteLeaving(now: number): void {
    this.backoffUntil = Infinity;
    this.recordOwnStatus(ReadState.READ_CEASED, now);
  }

  /** Whether this daemon is one of the two that wait for events all the time. */
  isReader(now: number): boolean {
    const rank = this.rankAt(now);
    return rank >= 0 && rank < READER_COUNT;
  }

  /** Whether this daemon is the first of them, who does what one alone has to. */
  isFirstReader(now: number): boolean {
    return this.rankAt(now) === 0;
  }

  /** Readers that this daemon knows, itself included. */
  countReaders(now: number): number {
    return this.statuses.readers(now).length;
  }

  /**
   * When this daemon has to offer to be a reader, or to look again, if nothing is
   * heard until then; monotonic milliseconds.
   */
  nextCandidacyAt(now: number): number {
    const readers = this.statuses.readers(now);
    if (readers.length >= READER_COUNT) {
      this.missingReaderSince = undefined;
      const nextEnd = Math.min(
        ...readers.slice(0, READER_COUNT).map(({at}) => at),
      );
      return nextEnd + this.leaseMs + 1;
    }
    this.missingReaderSince ??= now;
    const {failureDomain} = this.options.self;
    const isNear = readers[0]?.failureDomain === failureDomain;
    const place = this.position + (isNear ? SAME_DOMAIN_PENALTY : 0);
    const from = Math.max(this.missingReaderSince, this.suppressedUntil(now));
    return Math.max(from + place * this.electionWindowMs, this.backoffUntil);
  }

  /** When anybody was last heard to read in vain, or to begin; -Infinity: nobody. */
  lastAttemptAt(now: number): number {
    return this.statuses.nonReaders(now)[0]?.at ?? -Infinity;
  }

  /** The marks to tell in a beat. */
  selectStatusesToGossip(now: number): ReaderStatus[] {
    return [
      ...this.statuses.readers(now).slice(0, GOSSIPED_READERS),
      ...this.statuses.nonReaders(now).slice(0, GOSSIPED_NON_READERS),
    ];
  }

  /** Until when the newest offer or failure of another daemon holds this one back. */
  private suppressedUntil(now: number): number {
    const {reader} = this.options.self;
    const known = this.statuses
      .nonReaders(now)
      .filter(mark => mark.reader !== reader)
      .map(({state, at}) =>
        state === ReadState.READ_TRYING ? at + CANDIDACY_TIMEOUT_MS : at,
      );
    return Math.max(-Infinity, ...known);
  }

  /** This daemon's place among the readers; -1: it is none. */
  private rankAt(now: number): number {
    const {reader} = this.options.self;
    return this.statuses.readers(now).findIndex(mark => mark.reader === reader);
  }

  private recordOwnStatus(state: ReadState, at: number): void {
    this.merge({...this.options.self, state, at}, at);
  }

  /** Takes a mark; a further reader has the turns for what is still missing begin anew. */
  private merge(mark: ReaderStatus, now: number): number {
    const before = this.statuses.readers(now).length;
    const gain = this.statuses.merge(mark, now);
    if (this.statuses.readers(now).length > before) {
      this.missingReaderSince = now;
    }
    return gain;
  }
}
