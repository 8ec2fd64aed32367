/**
 * Backend servers that left the list. An entry may lapse although its server
 * lives, while the store is away; so a departed server is taken to be gone only
 * when the list was read without it for a while without a gap.
 */
import {ServerState, type CatalogServer} from './records.js';

/**
 * Time in which the entry of a living server is back once the store is, in
 * milliseconds: 2 s by the platform's word, and some time for the reads.
 */
const LAPSE_GRACE_MS = 2_600;

/**
 * Time for which a server may serve on whose entry was removed although it was ready
 * and the store was there, in milliseconds. Either it crashed, or it leaves without
 * saying so: then it serves on for the drain time (3 s to 5 s on the deployments of
 * today), at times for many seconds more. The two look alike.
 */
const QUIET_LEAVE_MS = 20_000;

/**
 * Time between two reads above which the store may have been away, in
 * milliseconds: three reads missed.
 */
const OUTAGE_GAP_MS = 2_600;

/** A server that is not in the newest list. */
interface Departure {
  readonly server: CatalogServer;
  /** Monotonic milliseconds since when reads without a gap have missed it. */
  missingSince: number;
  /** Time without its entry after which its end is certain, in milliseconds. */
  readonly graceMs: number;
  /** It may have lapsed in an outage: new flows are still sent to it. */
  readonly mayHaveLapsed: boolean;
  /** Its end is certain. */
  gone: boolean;
  /** Monotonic milliseconds at which it may be forgotten. */
  readonly forgetAt: number;
}

/** The departed servers of one daemon. */
export class Departures {
  private readonly departures = new Map<string, Departure>();
  /**
   * Ids of entries that went and were never readable here, and when they may be
   * forgotten; monotonic milliseconds.
   */
  private readonly ids = new Map<string, number>();
  /** Servers whose end became certain and that were not asked for yet. */
  private newlyGone: CatalogServer[] = [];
  /** What `lapsed` answers; undefined once a departure may have changed. */
  private lapsedNow: readonly CatalogServer[] | undefined;
  private confirmedAt = -Infinity;
  /** Reads have had no gap since then; monotonic milliseconds. */
  private steadySince = -Infinity;

  private constructor(
    /** Time for which a flow may live, in milliseconds. */
    private readonly flowLifetimeMs: number,
  ) {}

  /** Creates an empty record. */
  static create(flowLifetimeMs: number): Departures {
    return new Departures(flowLifetimeMs);
  }

  /**
   * Notes that the list was read at a time, whatever it said; returns the ids of
   * servers that are forgotten with it.
   */
  confirm(at: number): string[] {
    if (at <= this.confirmedAt) {
      return [];
    }
    if (at - this.confirmedAt > OUTAGE_GAP_MS) {
      this.steadySince = at;
      this.departures.forEach(departure => {
        departure.missingSince = Math.max(departure.missingSince, at);
      });
    }
    this.confirmedAt = at;
    this.lapsedNow = undefined;
    this.departures.forEach(departure => {
      if (at - departure.missingSince >= departure.graceMs) {
        this.end(departure);
      }
    });
    return this.forgetOld(at);
  }

  /**
   * Whether reads without a gap go back further than a server may serve on after its
   * entry went.
   */
  get isSteady(): boolean {
    return this.confirmedAt - this.steadySince >= QUIET_LEAVE_MS;
  }

  /** Records a server that the list read at `at` does not hold. */
  add(server: CatalogServer, at: number): void {
    const isDrained = server.state === ServerState.DRAINING;
    this.lapsedNow = undefined;
    const mayHaveLapsed = !isDrained && at - this.steadySince < LAPSE_GRACE_MS;
    const isExplained = isDrained || mayHaveLapsed;
    this.departures.set(server.id, {
      server,
      missingSince: at,
      graceMs: isExplained ? LAPSE_GRACE_MS : QUIET_LEAVE_MS,
      mayHaveLapsed,
      gone: false,
      forgetAt: at + this.flowLifetimeMs,
    });
  }

  /** Whether a server's entry may have lapsed although the server lives. */
  mayHaveLapsed(id: string): boolean {
    return this.departures.get(id)?.mayHaveLapsed === true;
  }

  /** Records that the entry of a server went of which no record is known. */
  addId(id: string, at: number): void {
    this.ids.set(id, at + this.flowLifetimeMs);
  }

  /** Takes a server back that is in the list again. */
  remove(id: string): void {
    this.lapsedNow = undefined;
    this.departures.delete(id);
    this.ids.delete(id);
  }

  /** Marks servers whose address a later server has taken: they have ended. */
  supersede(address: number, port: number): void {
    this.lapsedNow = undefined;
    this.departures.forEach(departure => {
      const {server} = departure;
      if (server.address === address && server.port === port) {
        this.end(departure);
      }
    });
  }

  /** Servers whose end became certain since this was asked last. */
  takeGone(): CatalogServer[] {
    const gone = this.newlyGone;
    this.newlyGone = [];
    return gone;
  }

  /** All departed servers that are not forgotten yet. */
  all(): CatalogServer[] {
    return [...this.departures.values()].map(({server}) => server);
  }

  /** A departed server that is not forgotten yet. */
  serverById(id: string): CatalogServer | undefined {
    return this.departures.get(id)?.server;
  }

  /** Whether the server's end is certain. */
  isGone(id: string): boolean {
    return this.departures.get(id)?.gone === true;
  }

  /** Servers that may live on although their entries lapsed. */
  lapsed(): readonly CatalogServer[] {
    this.lapsedNow ??= [...this.departures.values()]
      .filter(({gone, mayHaveLapsed}) => mayHaveLapsed && !gone)
      .map(({server}) => server);
    return this.lapsedNow;
  }

  private end(departure: Departure): void {
    if (!departure.gone) {
      departure.gone = true;
      this.newlyGone.push(departure.server);
    }
  }

  /** Forgets servers that no flow can name any more; returns their ids. */
  private forgetOld(at: number): string[] {
    const forgetTimes = [
      ...[...this.departures].map(
        ([id, {forgetAt}]) => [id, forgetAt] as const,
      ),
      ...this.ids,
    ];
    const old = forgetTimes
      .filter(([, forgetAt]) => forgetAt <= at)
      .map(([id]) => id);
    old.forEach(id => {
      this.departures.delete(id);
      this.ids.delete(id);
    });
    return old;
  }
}
