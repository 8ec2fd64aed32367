/**
 * Reads routes and servers from the source when nobody else has of late.
 *
 * The first two daemons wait for events at the source all the time. Another one
 * reads when its copy was confirmed longer ago than its rank allows. Reads of
 * others are told by beats and put its own off, so a fleet of any size makes
 * about as many calls as two daemons, and one that hears of nobody reads alone.
 */
import type {Result} from 'neverthrow';
import {
  SourceFailureKind,
  type CatalogReading,
  type CatalogSource,
  type SourceFailure,
} from '../ports/catalog-source.js';
import type {Clock, Timer} from '../ports/clock.js';
import type {Log} from '../ports/log.js';
import type {Random} from '../routing/random.js';
import type {Catalog} from './catalog.js';
import type {CatalogEvents} from './records.js';

/** Ranks that wait for events at the source all the time. */
const WAITING_RANKS = 2;
/**
 * Length of one wait for events, in milliseconds. It bounds the time for which
 * a connection that lost its other end goes unnoticed.
 */
const EVENT_WAIT_MS = 1_500;
/** Age of the copy at which the third daemon reads, in milliseconds. */
const THIRD_READ_MS = 2_300;
/** Further wait for each rank behind, in milliseconds. */
const WAIT_A_RANK_MS = 300;
/** Longest wait for others, in milliseconds; up to half as much is added by chance. */
const LONGEST_WAIT_MS = 3_500;
/**
 * Deadline of a read of everything, in milliseconds: a store that answers in 300 ms
 * gives ten pages. A source that is silent ends the read earlier.
 */
const READ_LIMIT_MS = 3_000;
/** First pause after a failed read, in milliseconds; doubles up to the longest. */
const RETRY_MS = 200;
const LONGEST_RETRY_MS = 1_200;
/**
 * Head start of the peers' answers over a starting daemon's own read, in
 * milliseconds: a few round trips between failure domains and the peer's work. It is
 * short, since all daemons lose it when all of them start.
 */
const PEER_HEAD_START_MS = 10;
/**
 * Longest head start when the fleet starts for the first time, in milliseconds:
 * callers come seconds later, and a fleet that reads at once reads in vain.
 */
const FIRST_HEAD_START_MS = 5_000;
/** Longest wait for a pull that is under way, in milliseconds. */
const PULL_PATIENCE_MS = 200;
/** Time in which events are gathered before the next wait, in milliseconds. */
const GATHER_MS = 200;
/**
 * The same at a daemon that hears of nobody: many such daemons may all read by
 * themselves.
 */
const LONELY_GATHER_MS = 800;
/**
 * Pause after a failed read while there are peers, in milliseconds: the first
 * figure and as much again for each of them as the second says, so that a large
 * fleet as a whole tries about as often as a small one.
 */
const SHARED_RETRY_MS = 1_500;
const RETRY_A_PEER_MS = 250;
const LONGEST_SHARED_RETRY_MS = 4_500;
/** Time for which a daemon whose read failed ranks behind others, in milliseconds. */
const OUT_OF_TOUCH_MS = 4_000;

/** What a reader is made from. */
export interface ReaderOptions {
  readonly catalog: Catalog;
  readonly source: CatalogSource;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** This daemon's rank among the live ones, from 0. */
  rank(): number;
  /** Peers that live. */
  peerCount(): number;
  /** Whether a peer is being asked for its copy. */
  isPulling(): boolean;
  /** Called after each read that succeeded. */
  onRead(): void;
}

/** The reading task of one daemon. */
export class CatalogReader {
  private stopped = false;
  /** The next read takes everything, since events may have been missed. */
  private needsWhole = false;
  private failures = 0;
  /** Whether its rank has this daemon wait for events all the time. */
  private waitsAtSource = false;
  private outOfTouchUntil = -Infinity;
  private timer: Timer | undefined;
  /** When the first read is due if no peer answers; monotonic milliseconds. */
  private readonly firstReadAt: number;

  private constructor(private readonly options: ReaderOptions) {
    const {clock, random, isFirstStart} = options;
    const headStart = isFirstStart
      ? FIRST_HEAD_START_MS * random.next()
      : PEER_HEAD_START_MS;
    this.firstReadAt = clock.now() + headStart;
  }

  /** Creates a reader that does nothing until started. */
  static create(options: ReaderOptions): CatalogReader {
    return new CatalogReader(options);
  }

  /** Whether the source did not answer this daemon of late. */
  isOutOfTouch(): boolean {
    return this.outOfTouchUntil > this.options.clock.now();
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

  /** Reads for as long as the daemon runs. */
  private async readOn(): Promise<void> {
    while (!this.stopped) {
      await this.sleepUntil(() => this.nextRead());
      const failure = await this.readOnce();
      if (failure === undefined) {
        this.noteSuccess();
        await this.gather();
      } else if (!this.stopped) {
        await this.pauseAfter(failure);
      }
    }
  }

  /** When this daemon has to read, in monotonic milliseconds. */
  private nextRead(): number {
    const {catalog, random} = this.options;
    if (catalog.stamp.serverRevision === 0) {
      return this.options.isPulling()
        ? this.firstReadAt + PULL_PATIENCE_MS
        : this.firstReadAt;
    }
    const rank = this.options.rank();
    this.noteRank(rank);
    if (rank < WAITING_RANKS) {
      return -Infinity;
    }
    const {routesConfirmedAt, serversConfirmedAt} = catalog.stamp;
    const wait = THIRD_READ_MS + (rank - WAITING_RANKS) * WAIT_A_RANK_MS;
    const bounded =
      wait < LONGEST_WAIT_MS ? wait : LONGEST_WAIT_MS * (1 + random.next() / 2);
    // While nothing is published, there are no routes to be confirmed.
    const confirmedAt = catalog.isComplete
      ? Math.min(routesConfirmedAt, serversConfirmedAt)
      : serversConfirmedAt;
    return confirmedAt + bounded;
  }

  /** Logs when this daemon takes up, or gives up, waiting at the source. */
  private noteRank(rank: number): void {
    const waits = rank < WAITING_RANKS;
    if (waits !== this.waitsAtSource) {
      this.waitsAtSource = waits;
      const peers = this.options.peerCount();
      this.options.log.info('reader-changed', {waits, rank, peers});
    }
  }

  private async readOnce(): Promise<SourceFailure | undefined> {
    const {catalog, clock} = this.options;
    const sentAt = clock.now();
    if (this.needsWhole || catalog.stamp.serverRevision === 0) {
      const reading = await this.options.source.readAll(sentAt + READ_LIMIT_MS);
      return reading.match(
        read => this.takeAll(read, sentAt),
        failure => failure,
      );
    }
    const events = await this.awaitEvents(sentAt);
    return events.match(
      taken => this.takeEvents(taken, sentAt),
      failure => failure,
    );
  }

  private awaitEvents(
    sentAt: number,
  ): Promise<Result<CatalogEvents, SourceFailure>> {
    const {catalog, source} = this.options;
    const wait = this.options.rank() < WAITING_RANKS ? EVENT_WAIT_MS : 0;
    const deadline = sentAt + wait;
    const {serverRevision} = catalog.stamp;
    return Promise.resolve(source.awaitEvents(serverRevision, deadline));
  }

  private takeAll(reading: CatalogReading, sentAt: number): undefined {
    const {catalog} = this.options;
    catalog.takeServers(reading.servers, sentAt);
    if (reading.routes !== undefined) {
      catalog.takeRoutes(reading.routes, sentAt);
    }
    this.needsWhole = false;
  }

  /**
   * A wait that ended without events confirms the copy as of its start. The
   * revision that it ended with is not taken, so that an event which it failed
   * to show is still ahead of the next wait.
   */
  private takeEvents(events: CatalogEvents, sentAt: number): undefined {
    const {catalog, clock} = this.options;
    const {routes, written, removed} = events;
    const isEmpty =
      routes === undefined && written.length === 0 && removed.length === 0;
    if (isEmpty) {
      catalog.confirmAll(sentAt);
    } else {
      catalog.takeEvents(events, clock.now());
    }
  }

  private noteSuccess(): void {
    if (this.failures > 0) {
      this.options.log.warn('source-regained', {failures: this.failures});
    }
    this.failures = 0;
    this.outOfTouchUntil = -Infinity;
    this.options.onRead();
  }

  private async pauseAfter(failure: SourceFailure): Promise<void> {
    const {clock, log, random} = this.options;
    this.needsWhole = true;
    const fields = {kind: failure.kind, cause: failure.message};
    if (failure.kind === SourceFailureKind.HISTORY_LOST) {
      log.info('source-history-lost', fields);
      return;
    }
    this.failures += 1;
    this.outOfTouchUntil = clock.now() + OUT_OF_TOUCH_MS;
    log.warn(
      this.failures === 1 ? 'source-lost' : 'source-read-failed',
      fields,
    );
    const until = clock.now() + this.retryPause() * (0.5 + random.next());
    await this.sleepUntil(() => until);
  }

  /** A daemon that has a copy leaves it to its peers to try at once. */
  private retryPause(): number {
    const peers = this.options.peerCount();
    if (this.options.catalog.isComplete && peers > 0) {
      const shared = SHARED_RETRY_MS + peers * RETRY_A_PEER_MS;
      return Math.min(shared, LONGEST_SHARED_RETRY_MS);
    }
    const doubled = RETRY_MS * 2 ** Math.min(10, this.failures - 1);
    return Math.min(doubled, LONGEST_RETRY_MS);
  }

  /** Lets events come together, so that a burst of them takes few calls. */
  private async gather(): Promise<void> {
    const {clock} = this.options;
    const pause = this.options.peerCount() > 0 ? GATHER_MS : LONELY_GATHER_MS;
    const until = clock.now() + pause;
    await this.sleepUntil(() => until);
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
        this.timer = clock.callAt(deadline, resolve);
      });
    }
  }
}
