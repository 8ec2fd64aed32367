/**
 * Reads routes and servers from the source. The elected readers watch it continuously
 * and gossip what they read. A daemon without live peers reads by itself, and so does
 * one whose catalog has not been confirmed for too long.
 */
import type {Result} from 'neverthrow';
import {
  SourceFailureKind,
  type CatalogReading,
  type CatalogSource,
  type EventsReading,
  type SourceFailure,
} from '../ports/catalog-source.js';
import type {Clock, Timer} from '../ports/clock.js';
import type {Log} from '../ports/log.js';
import type {Random} from '../routing/random.js';
import type {Catalog} from './catalog.js';
import {SnapshotWriter} from './snapshot-writer.js';
import {SnapshotReader} from './snapshot-reader.js';
import type {ReaderElection} from './reader-election.js';

/**
 * Length of one wait for events, as a fraction of the propagation limit, and its
 * maximum. It bounds how long a half-open connection goes unnoticed.
 */
const EVENT_WAIT_FRACTION = 1 / 2;
const MAX_EVENT_WAIT_MS = 1_500;
/** How much earlier than midway a wait of the second reader may end, as a share. */
const MAX_PHASE_ERROR = 1 / 4;
/**
 * Age at which an unconfirmed catalog is read from the source although there are
 * readers, unless the propagation limit is longer: the news of its peers does not reach the
 * daemon. Up to half of it is added as jitter.
 */
const MIN_CONFIRMATION_TIMEOUT_MS = 3_500;
/**
 * Deadline of a full read. A store that answers in 300 ms gives ten pages in 3 s, and 2,800
 * routes take a link of 2 Mbit/s some 3 s.
 */
const READ_TIMEOUT_MS = 10_000;
/** Delay after the first failed read; it doubles with each further one. */
const INITIAL_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 1_200;
/**
 * Window over which first reads are spread when the fleet starts for the first time. Callers
 * come seconds later, and all other daemons pull what one has read.
 */
const FIRST_START_WINDOW_MS = 3_000;
/**
 * Head start that peers get over a starting daemon's own first read: a minimum, and the
 * time in which its link carries some kilobits. A peer's copy of the catalog is a
 * fraction of the size of the source's answer: with 1,400 routes 55 kB of 300 kB.
 */
const MIN_PEER_HEAD_START_MS = 10;
const PEER_HEAD_START_KILOBITS = 1_000;
/**
 * Limits the head start: daemons on fast links have the catalog before slow ones, but it is
 * lost time if no peer has a catalog either.
 */
const MAX_PEER_HEAD_START_MS = 60;
/** How much longer the first read is put off while a pull from a peer is in progress. */
const PULL_GRACE_MS = 200;
/**
 * Deadline of the snapshot read, and how long pulls from peers wait for it or for
 * another stale read.
 */
const SNAPSHOT_TIMEOUT_MS = 100;
/**
 * Pause after the first read, in which peers bring the catalog up to date. A daemon without
 * live peers reads by itself afterwards.
 */
const FIRST_READ_PAUSE_MS = 500;
/** Pause after other reads, so that a burst of events takes few calls. */
const EVENT_BATCH_MS = 200;
/**
 * Pause after a read and length of a wait for events, as fractions of the propagation
 * limit, for a daemon without live peers. They bound the load on the source when a
 * partition isolates many daemons.
 */
const ISOLATED_PAUSE_FRACTION = 1 / 2;
const ISOLATED_WAIT_FRACTION = 1 / 4;

/** Dependencies and settings of `CatalogReader`. */
export interface CatalogReaderOptions {
  readonly catalog: Catalog;
  readonly source: CatalogSource;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  readonly election: ReaderElection;
  /** Whether the whole fleet is being started for the first time. */
  readonly isFirstStart: boolean;
  /** Bandwidth of the instance's link, in megabits per second. */
  readonly linkMbps: number;
  /** Propagation limit: time by which all daemons must use a published version. */
  readonly inForceLimitMs: number;
  /** Returns whether no peer is live. */
  isAlone(): boolean;
  /** Returns whether a catalog pull from a peer is in progress. */
  isPulling(): boolean;
  /** Sends the reader statuses and catalog versions to the peers at once. */
  announce(): void;
}

/** Schedules and runs one daemon's reads of the source. */
export class CatalogReader {
  private stopped = false;
  /** Whether the next read must be a full one because events may have been missed. */
  private needsFullRead = false;
  private consecutiveFailures = 0;
  /** Whether this daemon was an elected reader when last checked. */
  private wasReader = false;
  /** How long the catalog may stay unconfirmed, jitter included. */
  private confirmationTimeoutMs = 0;
  private timer: Timer | undefined;
  /** Interrupts the current sleep, which then recomputes its deadline. */
  private wake: () => void = () => undefined;
  /** When the first read is due if no peer provides a catalog; monotonic milliseconds. */
  private readonly firstReadAt: number;
  /** Whether the first read may be a stale one. */
  private startsFromStale: boolean;
  /** When the pending stale read was sent; monotonic milliseconds. */
  private staleReadSentAt: number | undefined;
  /** Monotonic milliseconds. */
  private readonly startedAt: number;
  /** When the last read succeeded; monotonic milliseconds. */
  private lastReadAt = -Infinity;
  /**
   * When the store answers the current call at the latest, in monotonic milliseconds;
   * Infinity for reads of the whole catalog.
   */
  private answerDueAt = Infinity;

  private readonly snapshotReader: SnapshotReader;
  private readonly snapshotWriter: SnapshotWriter;

  private constructor(private readonly options: CatalogReaderOptions) {
    const {clock, election, isFirstStart, linkMbps} = options;
    this.snapshotReader = SnapshotReader.create(options);
    this.snapshotWriter = SnapshotWriter.create(options);
    const wait = isFirstStart
      ? FIRST_START_WINDOW_MS * election.position
      : computePeerHeadStartMs(linkMbps);
    this.startedAt = clock.now();
    this.firstReadAt = this.startedAt + wait;
    this.startsFromStale = !isFirstStart;
    this.resetConfirmationTimeout();
  }

  /** Creates a reader that is idle until started. */
  static create(options: CatalogReaderOptions): CatalogReader {
    return new CatalogReader(options);
  }

  /** Starts reading; the returned function stops it and closes the source. */
  start(): () => void {
    void this.run();
    return () => {
      this.stopped = true;
      this.timer?.cancel();
      this.options.source.close();
    };
  }

  /**
   * Until when a pending stale read is expected to answer, in monotonic milliseconds;
   * -Infinity if there is none. A pull from a peer meanwhile would compete for the link.
   */
  get snapshotExpectedUntil(): number {
    return this.staleReadSentAt === undefined
      ? -Infinity
      : this.staleReadSentAt + SNAPSHOT_TIMEOUT_MS;
  }

  /** Recomputes when to read, after the reader statuses have changed. */
  reschedule(): void {
    this.wake();
  }

  private async run(): Promise<void> {
    if (this.startsFromStale && this.snapshotReader.isPreferred) {
      await this.startFromSnapshot();
    }
    while (!this.stopped) {
      await this.sleepUntil(() => this.computeNextReadAt());
      const isFirst = this.options.catalog.stamp.serverRevision === 0;
      this.announceAttempt();
      const failure = await this.readOnce();
      if (failure === undefined) {
        this.recordSuccess(isFirst);
        await this.writeSnapshot(isFirst);
        await this.pauseAfterRead(isFirst);
      } else if (!this.stopped) {
        await this.handleFailure(failure);
      }
    }
  }

  /** Starts from the stored snapshot, if there is one that can be read. */
  private async startFromSnapshot(): Promise<void> {
    const {catalog, clock} = this.options;
    const sentAt = clock.now();
    this.staleReadSentAt = sentAt;
    const snapshot = await this.snapshotReader.read(
      sentAt + SNAPSHOT_TIMEOUT_MS,
    );
    this.staleReadSentAt = undefined;
    const reading = snapshot.unwrapOr(undefined);
    if (reading !== undefined && !this.stopped) {
      catalog.applyStale(reading, sentAt);
      this.startsFromStale = false;
      this.recordSuccess(true);
      await this.pauseAfterRead(true);
    }
  }

  /** Returns when to read next, in monotonic milliseconds; -Infinity: now. */
  private computeNextReadAt(): number {
    const {catalog, clock, election} = this.options;
    if (catalog.stamp.serverRevision === 0) {
      return this.options.isPulling()
        ? this.firstReadAt + PULL_GRACE_MS
        : this.firstReadAt;
    }
    const now = clock.now();
    this.logReaderChange(now);
    return election.isReader(now) || this.options.isAlone()
      ? -Infinity
      : Math.min(election.nextCandidacyAt(now), this.confirmationDueAt);
  }

  private resetConfirmationTimeout(): void {
    const {inForceLimitMs, random} = this.options;
    const timeoutMs = Math.max(MIN_CONFIRMATION_TIMEOUT_MS, inForceLimitMs);
    this.confirmationTimeoutMs = timeoutMs * (1 + random.next() / 2);
  }

  /**
   * When the catalog has to be confirmed by an own read; monotonic milliseconds. A read
   * that another daemon attempted puts it off, since its success would be gossiped.
   */
  private get confirmationDueAt(): number {
    const {catalog, clock, election} = this.options;
    const {routesConfirmedAt, serversConfirmedAt} = catalog.stamp;
    // Before the first routes are published, only servers can be confirmed.
    const confirmedAt = catalog.isComplete
      ? Math.min(routesConfirmedAt, serversConfirmedAt)
      : serversConfirmedAt;
    const triedAt = election.lastAttemptAt(clock.now());
    const since = Math.max(this.startedAt, this.lastReadAt);
    return Math.max(confirmedAt, triedAt, since) + this.confirmationTimeoutMs;
  }

  /** Logs when this daemon becomes an elected reader or ceases to be one. */
  private logReaderChange(now: number): void {
    const {election, log} = this.options;
    const waits = election.isReader(now);
    if (waits !== this.wasReader) {
      this.wasReader = waits;
      log.info('reader-changed', {waits, readers: election.countReaders(now)});
    }
  }

  /** Announces a read by a daemon that is not a reader, so that others hold back. */
  private announceAttempt(): void {
    const {catalog, clock, election} = this.options;
    const now = clock.now();
    if (catalog.stamp.serverRevision > 0 && !election.isReader(now)) {
      election.recordAttempt(now);
      this.options.announce();
    }
  }

  /** Returns how long the next call waits for events; 0: it returns at once. */
  private eventWaitMs(now: number): number {
    const {inForceLimitMs, election} = this.options;
    if (this.options.isAlone()) {
      return inForceLimitMs * ISOLATED_WAIT_FRACTION;
    }
    return election.isReader(now)
      ? this.readerWaitMs(
          now,
          Math.min(MAX_EVENT_WAIT_MS, inForceLimitMs * EVENT_WAIT_FRACTION),
        )
      : 0;
  }

  /**
   * Returns the length of a reader's wait. The second reader shortens a wait that would not
   * end about midway between two reads of the first one, so that a store which stops
   * answering both is noticed after half of a wait.
   */
  private readerWaitMs(now: number, fullWaitMs: number): number {
    const firstReadAt = this.options.election.firstReaderReadAt(now);
    if (firstReadAt === undefined) {
      return fullWaitMs;
    }
    const periodMs = fullWaitMs + EVENT_BATCH_MS;
    const phaseMs = (now + fullWaitMs - firstReadAt) % periodMs;
    const lateMs = phaseMs - periodMs / 2;
    const isEarly = lateMs < -periodMs * MAX_PHASE_ERROR;
    const excessMs = isEarly ? lateMs + periodMs : Math.max(0, lateMs);
    return fullWaitMs - Math.min(excessMs, fullWaitMs);
  }

  private async readOnce(): Promise<SourceFailure | undefined> {
    const {catalog, clock} = this.options;
    const sentAt = clock.now();
    this.answerDueAt = Infinity;
    if (catalog.stamp.serverRevision === 0 && this.startsFromStale) {
      return this.readStaleCatalog(sentAt);
    }
    if (this.needsFullRead || catalog.stamp.serverRevision === 0) {
      return this.readAll(sentAt);
    }
    const events = await this.awaitEvents(sentAt);
    return events.match(
      reported => this.applyEvents(reported, sentAt),
      failure => failure,
    );
  }

  /**
   * Reads the initial catalog as a stale read, which costs the store a tenth of a
   * full one: all daemons may start at once. Later reads or peers bring it up to date.
   */
  private async readStaleCatalog(
    sentAt: number,
  ): Promise<SourceFailure | undefined> {
    const {catalog, source} = this.options;
    this.staleReadSentAt = sentAt;
    const reading = await source.readStale(sentAt + READ_TIMEOUT_MS);
    this.staleReadSentAt = undefined;
    return reading.match(
      read => {
        catalog.applyStale(read, sentAt);
        this.startsFromStale = false;
        return undefined;
      },
      failure => failure,
    );
  }

  private async readAll(sentAt: number): Promise<SourceFailure | undefined> {
    const reading = await this.options.source.readAll(sentAt + READ_TIMEOUT_MS);
    return reading.match(
      read => this.applyReading(read, sentAt),
      failure => failure,
    );
  }

  private awaitEvents(
    sentAt: number,
  ): Promise<Result<EventsReading, SourceFailure>> {
    const {catalog, source} = this.options;
    const deadline = sentAt + this.eventWaitMs(sentAt);
    this.answerDueAt = deadline;
    const {serverRevision} = catalog.stamp;
    return Promise.resolve(source.awaitEvents(serverRevision, deadline));
  }

  private applyReading(reading: CatalogReading, sentAt: number): undefined {
    const {catalog} = this.options;
    if (reading.routes !== undefined) {
      catalog.applyRoutes(reading.routes, sentAt);
    }
    catalog.applyServers(reading.servers, sentAt);
    this.needsFullRead = false;
  }

  /**
   * Applies the result of a wait. One without writes confirms the catalog as of its
   * start, and its end revision is not adopted: if it missed an event, the next wait
   * still returns that event.
   */
  private applyEvents(events: EventsReading, sentAt: number): undefined {
    const {catalog, clock} = this.options;
    this.snapshotWriter.recordWrite(events.snapshotRevision ?? 0);
    if (events.changeCount === 0) {
      catalog.confirmAll(sentAt);
    } else {
      catalog.applyEvents(events, clock.now());
    }
  }

  /**
   * Records a read as of the store's answer: a slow daemon handles it much later. A first
   * read makes no daemon a reader, since all of them may start at once.
   */
  private recordSuccess(isFirst: boolean): void {
    const {log, clock, election} = this.options;
    const now = clock.now();
    if (this.consecutiveFailures > 0) {
      log.warn('source-regained', {failures: this.consecutiveFailures});
    }
    this.consecutiveFailures = 0;
    this.lastReadAt = now;
    this.resetConfirmationTimeout();
    if (!isFirst) {
      election.recordSuccess(Math.min(now, this.answerDueAt), now);
    }
    this.options.announce();
  }

  /** The first reader stores a snapshot at the source. */
  private async writeSnapshot(isFirst: boolean): Promise<void> {
    const {election, clock} = this.options;
    if (!isFirst && election.isFirstReader(clock.now())) {
      await this.snapshotWriter.write();
    }
  }

  private async handleFailure(failure: SourceFailure): Promise<void> {
    const {clock, log, random, election} = this.options;
    this.needsFullRead = true;
    const fields = {kind: failure.kind, cause: failure.message};
    if (failure.kind === SourceFailureKind.HISTORY_LOST) {
      log.info('source-history-lost', fields);
      return;
    }
    this.consecutiveFailures += 1;
    this.resetConfirmationTimeout();
    this.options.catalog.recordReadFailure(clock.now());
    election.recordFailure(clock.now());
    this.options.announce();
    log.warn(
      this.consecutiveFailures === 1 ? 'source-lost' : 'source-read-failed',
      fields,
    );
    const until = clock.now() + this.retryDelayMs() * (0.5 + random.next());
    await this.sleepUntil(() => until);
  }

  /** Returns the delay after a failed read; the election may add to it. */
  private retryDelayMs(): number {
    const doubled =
      INITIAL_RETRY_DELAY_MS * 2 ** Math.min(10, this.consecutiveFailures - 1);
    return Math.min(doubled, MAX_RETRY_DELAY_MS);
  }

  private async pauseAfterRead(isFirst: boolean): Promise<void> {
    const until = this.options.clock.now() + this.pauseMs(isFirst);
    await this.sleepUntil(() => until);
  }

  private pauseMs(isFirst: boolean): number {
    if (isFirst) {
      return FIRST_READ_PAUSE_MS;
    }
    return this.options.isAlone()
      ? this.options.inForceLimitMs * ISOLATED_PAUSE_FRACTION
      : EVENT_BATCH_MS;
  }

  /** Sleeps until the time that `due` returns, re-evaluated on each wake-up. */
  private async sleepUntil(due: () => number): Promise<void> {
    const {clock} = this.options;
    while (!this.stopped) {
      const deadline = due();
      if (deadline <= clock.now()) {
        return;
      }
      await new Promise<void>(resolve => {
        this.wake = resolve;
        this.timer = clock.callAt(deadline, resolve);
      });
      this.timer?.cancel();
    }
  }
}

/** Returns the head start of peers over the first read. */
function computePeerHeadStartMs(linkMbps: number): number {
  const onLink = Math.min(
    MAX_PEER_HEAD_START_MS,
    PEER_HEAD_START_KILOBITS / linkMbps,
  );
  return Math.max(MIN_PEER_HEAD_START_MS, onLink);
}
