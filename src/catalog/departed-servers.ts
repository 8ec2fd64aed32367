/**
 * Backend servers that left the list. During a store outage the entry of a live server
 * may expire, so a departed server counts as ended only after the list was read without
 * it, and without a gap between reads, for a grace period. A gap is an outage only if a
 * read failed in it: the readers may have been lost while the store was available.
 */
import {ServerState, type CatalogServer} from './records.js';

/**
 * Time within which a live server registers again after a store outage (2 s, as specified
 * by the platform) and a read shows it.
 */
const REREGISTRATION_GRACE_MS = 2_600;

/**
 * Longest time for which a server may serve on after its entry was removed while it was
 * ready and the store available. It may have crashed, or may be shutting down without
 * having announced it: the drain time is 3 s to 5 s, and some servers take much longer.
 */
const UNANNOUNCED_SHUTDOWN_MS = 20_000;

/** Longest time between two reads that is no gap: three missed reads. */
const MAX_READ_INTERVAL_MS = 2_600;

/** A server that is not in the newest list. */
interface Departure {
  readonly server: CatalogServer;
  /** Monotonic milliseconds since which gapless reads have not contained the server. */
  missingSince: number;
  /** Time without an entry after which the server counts as ended. */
  readonly graceMs: number;
  /** Whether the entry may have expired in an outage, and the server be alive. */
  readonly mayHaveExpired: boolean;
  /**
   * Until when it may get new flows, unless another outage begins; monotonic milliseconds,
   * -Infinity if it gets none.
   */
  openUntil: number;
  isEnded: boolean;
  /** Monotonic milliseconds after which no flow can name the server. */
  readonly evictAt: number;
}

/** Departed servers of one daemon, kept for the lifetime of their flows. */
export class DepartedServers {
  private readonly departures = new Map<string, Departure>();
  /**
   * Ids of departed servers that never had a readable entry here, with their eviction
   * times in monotonic milliseconds.
   */
  private readonly idsWithoutRecord = new Map<string, number>();
  /** Ended servers that `takeEnded` has not returned yet. */
  private newlyEnded: CatalogServer[] = [];
  private confirmedAt = -Infinity;
  /** Monotonic milliseconds since which reads have had no gap. */
  private gaplessSince = -Infinity;
  /** Monotonic milliseconds of the latest failed read by any daemon. */
  private readFailedAt = -Infinity;
  /** Monotonic milliseconds of the first read after the latest store outage. */
  private outageEndedAt = -Infinity;

  private constructor(
    /** Maximum lifetime of a flow. */
    private readonly flowLifetimeMs: number,
  ) {}

  static create(flowLifetimeMs: number): DepartedServers {
    return new DepartedServers(flowLifetimeMs);
  }

  /** Records that a daemon failed to read the list at a time. */
  recordReadFailure(at: number): void {
    this.readFailedAt = Math.max(this.readFailedAt, at);
  }

  /** Records that the list was read at a time; returns the ids of evicted servers. */
  confirm(at: number): string[] {
    if (at <= this.confirmedAt) {
      return [];
    }
    if (this.isOutage(at)) {
      this.endOutage(at);
    }
    if (this.isGap(at)) {
      this.gaplessSince = at;
      this.departures.forEach(departure => {
        departure.missingSince = Math.max(departure.missingSince, at);
      });
    }
    this.confirmedAt = at;
    this.departures.forEach(departure => {
      if (at - departure.missingSince >= departure.graceMs) {
        this.markEnded(departure);
      }
    });
    return this.evictOld(at);
  }

  /**
   * Whether reads have been gapless for as long as a server may serve on after its entry
   * was removed, so that a server missing from the list has ended.
   */
  get isAuthoritative(): boolean {
    return this.confirmedAt - this.gaplessSince >= UNANNOUNCED_SHUTDOWN_MS;
  }

  /** Adds a server that is missing from the list read at `at`. */
  add(server: CatalogServer, at: number): void {
    const isDrained = server.state === ServerState.DRAINING;
    const openUntil = this.outageEndedAt + REREGISTRATION_GRACE_MS;
    const mayHaveExpired = !isDrained && at < openUntil;
    const hasKnownCause = isDrained || mayHaveExpired;
    this.departures.set(server.id, {
      server,
      missingSince: at,
      graceMs: hasKnownCause
        ? REREGISTRATION_GRACE_MS
        : UNANNOUNCED_SHUTDOWN_MS,
      mayHaveExpired,
      openUntil: mayHaveExpired ? at + REREGISTRATION_GRACE_MS : -Infinity,
      isEnded: false,
      evictAt: at + this.flowLifetimeMs,
    });
  }

  /** Adds a server whose entry was removed without ever having been readable here. */
  addWithoutRecord(id: string, at: number): void {
    this.idsWithoutRecord.set(id, at + this.flowLifetimeMs);
  }

  /** Removes a server that is listed again. */
  remove(id: string): void {
    this.departures.delete(id);
    this.idsWithoutRecord.delete(id);
  }

  /** Marks the servers at an address as ended, since a newer server has taken it. */
  supersedeAt(address: number, port: number): void {
    this.departures.forEach(departure => {
      const {server} = departure;
      if (server.address === address && server.port === port) {
        this.markEnded(departure);
      }
    });
  }

  /** Returns the servers that became known to have ended since the last call. */
  takeEnded(): CatalogServer[] {
    const ended = this.newlyEnded;
    this.newlyEnded = [];
    return ended;
  }

  /** Returns all departed servers that are not evicted. */
  all(): CatalogServer[] {
    return [...this.departures.values()].map(({server}) => server);
  }

  /** Returns a departed server that is not evicted. */
  serverById(id: string): CatalogServer | undefined {
    return this.departures.get(id)?.server;
  }

  /** Whether a departed server is known to have ended. */
  hasEnded(id: string): boolean {
    return this.departures.get(id)?.isEnded === true;
  }

  /** Whether a departed server's entry may have expired in a store outage. */
  mayHaveExpired(id: string): boolean {
    return this.departures.get(id)?.mayHaveExpired === true;
  }

  /**
   * Returns the servers that may be alive although their entries expired, and may get new
   * flows; `now` is monotonic milliseconds.
   */
  listExpired(now: number): CatalogServer[] {
    const isOutage = this.isOutage(now);
    return [...this.departures.values()]
      .filter(
        ({isEnded, mayHaveExpired, openUntil}) =>
          mayHaveExpired && !isEnded && (isOutage || now < openUntil),
      )
      .map(({server}) => server);
  }

  /** Whether there has been no read for too long at a time. */
  private isGap(at: number): boolean {
    return at - this.confirmedAt > MAX_READ_INTERVAL_MS;
  }

  /** Whether the store has been unavailable since the latest read. */
  private isOutage(at: number): boolean {
    return this.isGap(at) && this.readFailedAt > this.confirmedAt;
  }

  /** Gives live servers time to register again. */
  private endOutage(at: number): void {
    this.outageEndedAt = at;
    [...this.departures.values()]
      .filter(({mayHaveExpired}) => mayHaveExpired)
      .forEach(departure => {
        departure.openUntil = at + REREGISTRATION_GRACE_MS;
      });
  }

  private markEnded(departure: Departure): void {
    if (!departure.isEnded) {
      departure.isEnded = true;
      this.newlyEnded.push(departure.server);
    }
  }

  /** Evicts servers that no flow can name any more; returns their ids. */
  private evictOld(at: number): string[] {
    const evictionTimes = [
      ...[...this.departures].map(([id, {evictAt}]) => [id, evictAt] as const),
      ...this.idsWithoutRecord,
    ];
    const old = evictionTimes
      .filter(([, evictAt]) => evictAt <= at)
      .map(([id]) => id);
    old.forEach(id => {
      this.departures.delete(id);
      this.idsWithoutRecord.delete(id);
    });
    return old;
  }
}
