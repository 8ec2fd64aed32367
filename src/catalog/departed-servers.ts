/**
 * Backend servers that left the list. During a store outage the entry of a live server
 * may expire, so a departed server counts as ended only after the list was read without
 * it, and without a gap between reads, for a grace period.
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

/** Longest gap between reads that does not count as a store outage: three missed reads. */
const OUTAGE_READ_GAP_MS = 2_600;

/** A server that is not in the newest list. */
interface Departure {
  readonly server: CatalogServer;
  /** Monotonic milliseconds since which gapless reads have not contained the server. */
  missingSince: number;
  /** Time without an entry after which the server counts as ended. */
  readonly graceMs: number;
  /** Whether the entry may have expired in an outage; new flows are still sent to it. */
  readonly mayHaveExpired: boolean;
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
  /** Cached result of `listExpired`; undefined when it has to be computed again. */
  private expiredServers: readonly CatalogServer[] | undefined;
  private confirmedAt = -Infinity;
  /** Monotonic milliseconds since which reads have had no gap. */
  private gaplessSince = -Infinity;

  private constructor(
    /** Maximum lifetime of a flow. */
    private readonly flowLifetimeMs: number,
  ) {}

  static create(flowLifetimeMs: number): DepartedServers {
    return new DepartedServers(flowLifetimeMs);
  }

  /** Records that the list was read at a time; returns the ids of evicted servers. */
  confirm(at: number): string[] {
    if (at <= this.confirmedAt) {
      return [];
    }
    if (at - this.confirmedAt > OUTAGE_READ_GAP_MS) {
      this.gaplessSince = at;
      this.departures.forEach(departure => {
        departure.missingSince = Math.max(departure.missingSince, at);
      });
    }
    this.confirmedAt = at;
    this.expiredServers = undefined;
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
    this.expiredServers = undefined;
    const mayHaveExpired =
      !isDrained && at - this.gaplessSince < REREGISTRATION_GRACE_MS;
    const hasKnownCause = isDrained || mayHaveExpired;
    this.departures.set(server.id, {
      server,
      missingSince: at,
      graceMs: hasKnownCause
        ? REREGISTRATION_GRACE_MS
        : UNANNOUNCED_SHUTDOWN_MS,
      mayHaveExpired,
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
    this.expiredServers = undefined;
    this.departures.delete(id);
    this.idsWithoutRecord.delete(id);
  }

  /** Marks the servers at an address as ended, since a newer server has taken it. */
  supersedeAt(address: number, port: number): void {
    this.expiredServers = undefined;
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

  /** Returns the servers that may be alive although their entries expired. */
  listExpired(): readonly CatalogServer[] {
    this.expiredServers ??= [...this.departures.values()]
      .filter(({isEnded, mayHaveExpired}) => mayHaveExpired && !isEnded)
      .map(({server}) => server);
    return this.expiredServers;
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
