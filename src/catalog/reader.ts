/**
 * Reads routes and servers from the source when nobody else has of late.
 *
 * A daemon reads when its copy was confirmed longer ago than its rank allows.
 * Reads of others are told by beats and put its own off, so a fleet of any size
 * makes about as many reads as its first two daemons.
 */
import type {Result} from 'neverthrow';
import type {
  CatalogSource,
  RouteReading,
  SourceFailure,
} from '../ports/catalog-source.js';
import type {Clock, Timer} from '../ports/clock.js';
import type {Log} from '../ports/log.js';
import type {Random} from '../routing/random.js';
import type {Catalog} from './catalog.js';

/** Age at which the first daemon reads the servers again, in milliseconds. */
const SERVER_READ_MS = 900;
/** Age at which the second one does: two reads of the first failed. */
const SECOND_SERVER_READ_MS = 1_900;
/** Further wait for each rank behind, in milliseconds. */
const WAIT_A_RANK_MS = 350;
/** Longest wait for others, in milliseconds. */
const LONGEST_WAIT_MS = 3_800;
/** Ranks that wait for new routes at the source all the time. */
const WAITING_RANKS = 2;
/** Age of the routes at which the third daemon reads them, in milliseconds. */
const THIRD_ROUTE_READ_MS = 2_300;
/**
 * Length of one wait for new routes, in milliseconds. It bounds the time that a
 * connection which lost its other end goes unnoticed.
 */
const ROUTE_WAIT_MS = 1_500;
/** Deadline of a read over connecting, sending and answering, in milliseconds. */
const READ_LIMIT_MS = 1_000;
/** First pause after a failed read, in milliseconds; doubles up to the longest. */
const RETRY_MS = 250;
const LONGEST_RETRY_MS = 1_500;

/** What a reader is made from. */
export interface ReaderOptions {
  readonly catalog: Catalog;
  readonly source: CatalogSource;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  /** This daemon's rank among the live ones, from 0. */
  rank(): number;
  /** Called after each read that succeeded. */
  onRead(): void;
}

/** The reading tasks of one daemon. */
export class CatalogReader {
  private stopped = false;
  private position = 0;
  private lost = false;
  private readonly timers = new Set<Timer>();

  private constructor(private readonly options: ReaderOptions) {}

  /** Creates a reader that does nothing until started. */
  static create(options: ReaderOptions): CatalogReader {
    return new CatalogReader(options);
  }

  /** Starts to read; the returned function stops it. */
  start(): () => void {
    void this.readServers();
    void this.readRoutes();
    return () => {
      this.stopped = true;
      this.timers.forEach(timer => timer.cancel());
      this.options.source.close();
    };
  }

  /** Reads the servers for as long as the daemon runs. */
  private async readServers(): Promise<void> {
    const {catalog, source, clock} = this.options;
    let failures = 0;
    while (!this.stopped) {
      await this.sleepUntil(() =>
        catalog.stamp.serverRevision === 0
          ? -Infinity
          : catalog.stamp.serversConfirmedAt + this.serverWait(),
      );
      const sentAt = clock.now();
      const listing = await source.readServers(sentAt + READ_LIMIT_MS);
      failures = listing.isOk() ? 0 : failures + 1;
      if (listing.isOk()) {
        catalog.takeServers(listing.value, sentAt);
      }
      await this.finish('servers', listing, failures);
    }
  }

  /** Reads the routes, or waits for new ones, for as long as the daemon runs. */
  private async readRoutes(): Promise<void> {
    const {clock} = this.options;
    let failures = 0;
    while (!this.stopped) {
      await this.sleepUntil(() => this.nextRouteRead());
      const sentAt = clock.now();
      const reading = await this.readOrAwaitRoutes(sentAt);
      failures = reading.isOk() ? 0 : failures + 1;
      if (reading.isOk()) {
        this.takeRoutes(reading.value, sentAt);
      } else {
        // The next read takes the whole, whatever was missed.
        this.position = 0;
      }
      await this.finish('routes', reading, failures);
    }
  }

  private readOrAwaitRoutes(
    now: number,
  ): Promise<Result<RouteReading, SourceFailure>> {
    const {source, catalog} = this.options;
    const whole = this.position === 0 || catalog.stamp.routeVersion === 0;
    const reading = whole
      ? source.readRoutes(now + READ_LIMIT_MS)
      : source.awaitRoutes(this.position, now + ROUTE_WAIT_MS);
    return Promise.resolve(reading);
  }

  /**
   * A wait that ended without news confirms the routes as of its start, not of
   * its end. Its position is kept, so that an event which it did not show is
   * still ahead of the next wait.
   */
  private takeRoutes(reading: RouteReading, sentAt: number): void {
    const {catalog} = this.options;
    if (reading.listing !== undefined) {
      catalog.takeRoutes(reading.listing, sentAt);
      this.position = reading.position;
      return;
    }
    catalog.confirmRoutes(catalog.stamp.routeVersion, sentAt);
    this.position = this.position === 0 ? reading.position : this.position;
  }

  private nextRouteRead(): number {
    const {catalog} = this.options;
    const rank = this.options.rank();
    if (catalog.stamp.routeVersion === 0 || rank < WAITING_RANKS) {
      return -Infinity;
    }
    const wait = THIRD_ROUTE_READ_MS + (rank - WAITING_RANKS) * WAIT_A_RANK_MS;
    return (
      catalog.stamp.routesConfirmedAt + Math.min(wait, LONGEST_WAIT_MS)
    );
  }

  private serverWait(): number {
    const rank = this.options.rank();
    return rank === 0
      ? SERVER_READ_MS
      : Math.min(
          SECOND_SERVER_READ_MS + (rank - 1) * WAIT_A_RANK_MS,
          LONGEST_WAIT_MS,
        );
  }

  /** Tells of the read and pauses after a failure. */
  private async finish(
    what: string,
    read: Result<unknown, SourceFailure>,
    failures: number,
  ): Promise<void> {
    if (read.isOk()) {
      this.noteRegained(what);
      this.options.onRead();
      return;
    }
    if (this.stopped) {
      return;
    }
    this.noteLost(what, read.error);
    const {clock, random} = this.options;
    const pause = Math.min(RETRY_MS * 2 ** (failures - 1), LONGEST_RETRY_MS);
    const until = clock.now() + pause * (0.5 + random.next());
    await this.sleepUntil(() => until);
  }

  private noteLost(what: string, failure: SourceFailure): void {
    const fields = {what, kind: failure.kind, cause: failure.message};
    if (!this.lost) {
      this.lost = true;
      this.options.log.warn('source-lost', fields);
      return;
    }
    this.options.log.info('source-read-failed', fields);
  }

  private noteRegained(what: string): void {
    if (this.lost) {
      this.lost = false;
      this.options.log.warn('source-regained', {what});
    }
  }

  /** Sleeps until the time that `due` gives, which may move meanwhile. */
  private async sleepUntil(due: () => number): Promise<void> {
    const {clock} = this.options;
    while (!this.stopped && due() > clock.now()) {
      const deadline = due();
      await new Promise<void>(resolve => {
        const timer = clock.callAt(deadline, () => {
          this.timers.delete(timer);
          resolve();
        });
        this.timers.add(timer);
      });
    }
  }
}
