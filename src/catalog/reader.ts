/**
 * Reads routes and servers from the source. The daemons whose turn it is wait for
 * events there all the time and tell all others; one that hears of nobody reads
 * alone, and one whose copy was not confirmed for long reads whoever else does.
 */
import type {Result} from 'neverthrow';
import {
  SourceFailureKind,
  type CatalogReading,
  type EventsReading,
  type CatalogSource,
  type SourceFailure,
} from '../ports/catalog-source.js';
import type {Clock, Timer} from '../ports/clock.js';
import type {Log} from '../ports/log.js';
import type {Random} from '../routing/random.js';
import type {Catalog} from './catalog.js';
import {CopyKeeper} from './copy-keeper.js';
import {FirstCopy} from './first-copy.js';
import type {ReadTurns} from './read-turns.js';
import type {CatalogEvents} from './records.js';

/**
 * Length of one wait for events: a share of the limit for a version to be in force,
 * and the most, in milliseconds. It bounds the time for which a connection that lost
 * its other end goes unnoticed.
 */
const EVENT_WAIT_SHARE = 1 / 2;
const LONGEST_EVENT_WAIT_MS = 1_500;
/**
 * Age of the copy at which a daemon reads although others do, in milliseconds, if
 * the limit for a version to be in force is not longer; up to half as much is added
 * by chance. Its peers' news does not reach it.
 */
const LONGEST_UNCONFIRMED_MS = 3_500;
/**
 * Deadline of a read of everything, in milliseconds: a store that answers in 300 ms
 * gives ten pages in 3 s, and 2,800 routes take a link of 2 Mbit/s some 3 s. A source that is
 * silent ends the read earlier.
 */
const READ_LIMIT_MS = 10_000;
/** First pause after a failed read, in milliseconds; doubles up to the longest. */
const RETRY_MS = 200;
const LONGEST_RETRY_MS = 1_200;
/**
 * Time over which daemons take turns to read when the fleet starts for the first time,
 * in milliseconds: callers come seconds later, and what one reads all others pull.
 */
const FIRST_TURNS_MS = 3_000;
/**
 * Head start of the peers' answers over a starting daemon's own read: in milliseconds,
 * a few round trips between failure domains and the peer's work; on a slow link the
 * time that this many kilobits take there. An answer of the store with 1,400 routes is
 * 300 kB, a peer's copy of the same 55 kB; and when all start at once, ample daemons
 * have their copies from the store before others are there. It is short, since all
 * daemons lose it when nobody has a copy.
 */
const PEER_HEAD_START_MS = 10;
const HEAD_START_KILOBITS = 1_000;
/**
 * Longest head start, in milliseconds: ample daemons are there before slow ones. A fleet
 * that has none waits in vain; with 0.5 s in place of 60 ms, on links of 2 Mbit/s, 213 of
 * 340 requests were late in the two seconds around the loss of all, not 147 of them.
 */
const LONGEST_HEAD_START_MS = 60;
/** Longest wait for a pull that is under way, in milliseconds. */
const PULL_PATIENCE_MS = 200;
/**
 * Time after which a starting daemon asks its peers besides the source for a copy, in
 * milliseconds: 25 usual answers of the source.
 */
const COPY_PATIENCE_MS = 100;
/**
 * Pause after the old copy that a daemon starts with, in milliseconds. Peers bring the
 * copy up to date meanwhile; one that hears of nobody then reads by itself.
 */
const START_PAUSE_MS = 500;
/** Time in which events are gathered before the next wait, in milliseconds. */
const GATHER_MS = 200;
/**
 * Shares of the limit for a version to be in force. A daemon that hears of nobody
 * pauses after a read for the first, and waits for events for the second: as many
 * daemons as a cut divides a fleet into all read by themselves.
 */
const LONELY_PAUSE_SHARE = 1 / 2;
const LONELY_WAIT_SHARE = 1 / 4;

/** What a reader is made from. */
export interface ReaderOptions {
  readonly catalog: Catalog;
  readonly source: CatalogSource;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  readonly turns: ReadTurns;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** What the instance's link carries, in megabits a second. */
  readonly linkMbps: number;
  /** Time in which a version has to be in force everywhere, in milliseconds. */
  readonly inForceLimitMs: number;
  /** Whether this daemon hears of no other one. */
  isAlone(): boolean;
  /** Whether a peer is being asked for its copy. */
  isPulling(): boolean;
  /** Tells the peers at once what the turns and the copy are now. */
  announce(): void;
}

/** The reading task of one daemon. */
export class CatalogReader {
  private stopped = false;
  /** The next read takes everything, since events may have been missed. */
  private needsWhole = false;
  private failures = 0;
  /** Whether this daemon waits for events all the time. */
  private waitsAtSource = false;
  /** For how long the copy may stay unconfirmed, in milliseconds. */
  private patienceMs = 0;
  private timer: Timer | undefined;
  /** Ends the sleep that is under way. */
  private wake: () => void = () => undefined;
  /** When the first read is due if no peer answers; monotonic milliseconds. */
  private readonly firstReadAt: number;
  /** Whether an old copy is good enough for the first read. */
  private startsFromOld: boolean;
  /** When the old copy was asked for that has not come yet; monotonic milliseconds. */
  private oldReadSentAt: number | undefined;
  /** Monotonic milliseconds. */
  private readonly startedAt: number;
  /** When a read last succeeded; monotonic milliseconds. */
  private readAt = -Infinity;

  private readonly firstCopy: FirstCopy;
  private readonly keeper: CopyKeeper;

  private constructor(private readonly options: ReaderOptions) {
    const {clock, turns, isFirstStart, linkMbps} = options;
    this.firstCopy = FirstCopy.create(options);
    this.keeper = CopyKeeper.create(options);
    const wait = isFirstStart
      ? FIRST_TURNS_MS * turns.place
      : headStartOf(linkMbps);
    this.startedAt = clock.now();
    this.firstReadAt = this.startedAt + wait;
    this.startsFromOld = !isFirstStart;
    this.drawPatience();
  }

  /** Creates a reader that does nothing until started. */
  static create(options: ReaderOptions): CatalogReader {
    return new CatalogReader(options);
  }

  /** Starts to read; the returned function stops it. */
  start(): () => void {
    void this.readOn();
    return () => {
      this.stopped = true;
      this.timer?.cancel();
      this.options.source.close();
    };
  }

  /**
   * Until when a first copy is expected from the source; monotonic milliseconds. The
   * same copy from a peer costs a starting daemon more than it gains.
   */
  get copyExpectedUntil(): number {
    return this.oldReadSentAt === undefined
      ? -Infinity
      : this.oldReadSentAt + COPY_PATIENCE_MS;
  }

  /** Works out anew when to read: there is news of those that do. */
  lookAgain(): void {
    this.wake();
  }

  /** Reads for as long as the daemon runs. */
  private async readOn(): Promise<void> {
    if (this.startsFromOld && this.firstCopy.isWorthwhile) {
      await this.startFromKept();
    }
    while (!this.stopped) {
      await this.sleepUntil(() => this.nextRead());
      const isFirst = this.options.catalog.stamp.serverRevision === 0;
      this.noteAttempt();
      const failure = await this.readOnce();
      if (failure === undefined) {
        this.noteSuccess(isFirst);
        await this.keepCopy(isFirst);
        await this.pauseAfterRead(isFirst);
      } else if (!this.stopped) {
        await this.pauseAfter(failure);
      }
    }
  }

  /** Takes the kept copy, if there is one; it is an old copy like any other. */
  private async startFromKept(): Promise<void> {
    const {catalog, clock} = this.options;
    const sentAt = clock.now();
    this.oldReadSentAt = sentAt;
    const kept = await this.firstCopy.read(sentAt + COPY_PATIENCE_MS);
    this.oldReadSentAt = undefined;
    const reading = kept.unwrapOr(undefined);
    if (reading !== undefined && !this.stopped) {
      catalog.takeOld(reading, sentAt);
      this.startsFromOld = false;
      this.noteSuccess(true);
      await this.pauseAfterRead(true);
    }
  }

  /** When this daemon has to read, in monotonic milliseconds. */
  private nextRead(): number {
    const {catalog, clock, turns} = this.options;
    if (catalog.stamp.serverRevision === 0) {
      return this.options.isPulling()
        ? this.firstReadAt + PULL_PATIENCE_MS
        : this.firstReadAt;
    }
    const now = clock.now();
    this.noteTurn(now);
    return turns.isReader(now) || this.options.isAlone()
      ? -Infinity
      : Math.min(turns.due(now), this.unconfirmedUntil);
  }

  /** Draws anew for how long the copy may stay unconfirmed. */
  private drawPatience(): void {
    const {inForceLimitMs, random} = this.options;
    const longest = Math.max(LONGEST_UNCONFIRMED_MS, inForceLimitMs);
    this.patienceMs = longest * (1 + random.next() / 2);
  }

  /**
   * Until when the copy may do without being confirmed; monotonic milliseconds. While
   * others are heard to try in vain, their success would be heard of too.
   */
  private get unconfirmedUntil(): number {
    const {catalog, clock, turns} = this.options;
    const {routesConfirmedAt, serversConfirmedAt} = catalog.stamp;
    // While nothing is published, there are no routes to be confirmed.
    const confirmedAt = catalog.isComplete
      ? Math.min(routesConfirmedAt, serversConfirmedAt)
      : serversConfirmedAt;
    const triedAt = turns.lastTryAt(clock.now());
    const since = Math.max(this.startedAt, this.readAt);
    return Math.max(confirmedAt, triedAt, since) + this.patienceMs;
  }

  /** Logs when this daemon takes up, or gives up, waiting at the source for all. */
  private noteTurn(now: number): void {
    const {turns, log} = this.options;
    const waits = turns.isReader(now);
    if (waits !== this.waitsAtSource) {
      this.waitsAtSource = waits;
      log.info('reader-changed', {waits, readers: turns.readerCount(now)});
    }
  }

  /** An attempt of a daemon that is no reader is told, so that others hold back. */
  private noteAttempt(): void {
    const {catalog, clock, turns} = this.options;
    const now = clock.now();
    if (catalog.stamp.serverRevision > 0 && !turns.isReader(now)) {
      turns.noteTry(now);
      this.options.announce();
    }
  }

  /** How long the next call waits for events, in milliseconds. */
  private waitMs(now: number): number {
    const {inForceLimitMs, turns} = this.options;
    if (this.options.isAlone()) {
      return inForceLimitMs * LONELY_WAIT_SHARE;
    }
    return turns.isReader(now)
      ? Math.min(LONGEST_EVENT_WAIT_MS, inForceLimitMs * EVENT_WAIT_SHARE)
      : 0;
  }

  private async readOnce(): Promise<SourceFailure | undefined> {
    const {catalog, clock} = this.options;
    const sentAt = clock.now();
    if (catalog.stamp.serverRevision === 0 && this.startsFromOld) {
      return this.readOld(sentAt);
    }
    if (this.needsWhole || catalog.stamp.serverRevision === 0) {
      return this.readAll(sentAt);
    }
    const events = await this.awaitEvents(sentAt);
    return events.match(
      taken => this.takeEvents(taken, sentAt),
      failure => failure,
    );
  }

  /**
   * Reads what a daemon starts with. All daemons of a fleet may start at once, and an
   * old copy costs a tenth; one of them, or peers that kept running, bring the news.
   */
  private async readOld(sentAt: number): Promise<SourceFailure | undefined> {
    const {catalog, source} = this.options;
    this.oldReadSentAt = sentAt;
    const reading = await source.readOld(sentAt + READ_LIMIT_MS);
    this.oldReadSentAt = undefined;
    return reading.match(
      read => {
        catalog.takeOld(read, sentAt);
        this.startsFromOld = false;
        return undefined;
      },
      failure => failure,
    );
  }

  private async readAll(sentAt: number): Promise<SourceFailure | undefined> {
    const reading = await this.options.source.readAll(sentAt + READ_LIMIT_MS);
    return reading.match(
      read => this.takeAll(read, sentAt),
      failure => failure,
    );
  }

  private awaitEvents(
    sentAt: number,
  ): Promise<Result<EventsReading, SourceFailure>> {
    const {catalog, source} = this.options;
    const deadline = sentAt + this.waitMs(sentAt);
    const {serverRevision} = catalog.stamp;
    return Promise.resolve(source.awaitEvents(serverRevision, deadline));
  }

  private takeAll(reading: CatalogReading, sentAt: number): undefined {
    const {catalog} = this.options;
    if (reading.routes !== undefined) {
      catalog.takeRoutes(reading.routes, sentAt);
    }
    catalog.takeServers(reading.servers, sentAt);
    this.needsWhole = false;
  }

  /**
   * A wait that ended without events confirms the copy as of its start. The
   * revision that it ended with is not taken, so that an event which it failed
   * to show is still ahead of the next wait.
   */
  private takeEvents(events: EventsReading, sentAt: number): undefined {
    const {catalog, clock} = this.options;
    this.keeper.noteWritten(events.keptRevision ?? 0);
    if (events.changeCount === 0) {
      catalog.confirmAll(sentAt);
    } else {
      catalog.takeEvents(events, clock.now());
    }
  }

  /** A first read makes no reader: all daemons may start at once. */
  private noteSuccess(isFirst: boolean): void {
    const {log, clock, turns} = this.options;
    if (this.failures > 0) {
      log.warn('source-regained', {failures: this.failures});
    }
    this.failures = 0;
    this.readAt = clock.now();
    this.drawPatience();
    if (!isFirst) {
      turns.noteRead(clock.now());
    }
    this.options.announce();
  }

  /** The first of the daemons that wait for events keeps a copy at the source. */
  private async keepCopy(isFirst: boolean): Promise<void> {
    const {turns, clock} = this.options;
    if (!isFirst && turns.isFirstReader(clock.now())) {
      await this.keeper.keep();
    }
  }

  private async pauseAfter(failure: SourceFailure): Promise<void> {
    const {clock, log, random, turns} = this.options;
    this.needsWhole = true;
    const fields = {kind: failure.kind, cause: failure.message};
    if (failure.kind === SourceFailureKind.HISTORY_LOST) {
      log.info('source-history-lost', fields);
      return;
    }
    this.failures += 1;
    this.drawPatience();
    turns.noteFailure(clock.now());
    this.options.announce();
    log.warn(
      this.failures === 1 ? 'source-lost' : 'source-read-failed',
      fields,
    );
    const until = clock.now() + this.retryPause() * (0.5 + random.next());
    await this.sleepUntil(() => until);
  }

  /** Pause after a failed read, in milliseconds; with peers the turns decide too. */
  private retryPause(): number {
    const doubled = RETRY_MS * 2 ** Math.min(10, this.failures - 1);
    return Math.min(doubled, LONGEST_RETRY_MS);
  }

  /** Lets events come together, so that a burst of them takes few calls. */
  private async pauseAfterRead(isFirst: boolean): Promise<void> {
    const until = this.options.clock.now() + this.pauseMs(isFirst);
    await this.sleepUntil(() => until);
  }

  private pauseMs(isFirst: boolean): number {
    if (isFirst) {
      return START_PAUSE_MS;
    }
    return this.options.isAlone()
      ? this.options.inForceLimitMs * LONELY_PAUSE_SHARE
      : GATHER_MS;
  }

  /** Sleeps until the time that `due` gives, which may move meanwhile. */
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

/** Head start of the peers over a daemon's own first read, in milliseconds. */
function headStartOf(linkMbps: number): number {
  const onLink = Math.min(
    LONGEST_HEAD_START_MS,
    HEAD_START_KILOBITS / linkMbps,
  );
  return Math.max(PEER_HEAD_START_MS, onLink);
}
