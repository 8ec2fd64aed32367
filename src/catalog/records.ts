/** What all daemons have to know alike: routes and backend servers. */

/** What a backend server says of itself. */
export const ServerState = {READY: 'ready', DRAINING: 'draining'} as const;
/** One of the states in `ServerState`. */
export type ServerState = (typeof ServerState)[keyof typeof ServerState];

/**
 * One life of a backend server, by its newest entry that can be read. A server may start
 * again under its id; it then holds nothing of before, and says another time of start.
 */
export interface CatalogServer {
  readonly id: string;
  readonly service: string;
  /** IPv4 address as an unsigned number. */
  readonly address: number;
  readonly port: number;
  readonly failureDomain: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly state: ServerState;
  /** Monotonic milliseconds until which it is slow from its start. */
  readonly coldUntil: number;
  /** Revision of the store at which it first appeared. */
  readonly createdRevision: number;
  /** Revision of the store at which its entry last changed. */
  readonly revision: number;
  /**
   * Unix milliseconds of its start by its own clock, which tell its lives apart and say
   * nothing of their order; 0: not said.
   */
  readonly startTime: number;
}

/** An entry that cannot be read: it names no server to use, and nobody as gone. */
export interface UnreadableEntry {
  readonly id: string;
  readonly revision: number;
  /** Why it cannot be read; empty where another daemon told of it. */
  readonly cause: string;
}

/**
 * All backend servers as of one revision of the store, and the failure domains that the
 * operators have evacuated: their servers take no new flows until they are restored.
 */
export interface ServerListing {
  readonly revision: number;
  readonly servers: readonly CatalogServer[];
  /** Entries that cannot be read; undefined: none. */
  readonly unreadable?: readonly UnreadableEntry[];
  readonly evacuated: readonly string[];
}

/** A service and its share of a route's new flows. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** An address that callers open flows to. */
export interface CatalogRoute {
  readonly address: number;
  readonly port: number;
  readonly shares: readonly ServiceShare[];
  /** Whether callers send its requests again when they had no answer. */
  readonly repeatable: boolean;
  /** Regions whose servers alone may take its flows; empty: all may. */
  readonly regions: readonly string[];
  /** How urgent its requests are: 0 is the most urgent. */
  readonly priority: number;
  /** Time in which a request is to be answered, in milliseconds; Infinity: none stated. */
  readonly targetMs: number;
  /** Time after which its callers wait no longer, in milliseconds; Infinity: none stated. */
  readonly limitMs: number;
}

/** A server whose entry is gone. */
export interface RemovedServer {
  readonly id: string;
  readonly revision: number;
}

/** The operators have evacuated a failure domain, or restored it. */
export interface DomainChange {
  readonly failureDomain: string;
  readonly isEvacuated: boolean;
}

/** What the store reported since an earlier revision. */
export interface CatalogEvents {

  /** All events up to this revision are in it. */
  readonly revision: number;
  /** Undefined when no version of the routes was written. */
  readonly routes: RouteListing | undefined;
  /** Servers whose entries were written, the newest write of each last. */
  readonly written: readonly CatalogServer[];
  /** Entries that were written and cannot be read; undefined: none. */
  readonly unreadable?: readonly UnreadableEntry[];
  readonly removed: readonly RemovedServer[];
  /** Domains that were evacuated or restored, the newest change of each last. */
  readonly domains: readonly DomainChange[];
  /** Revision at which the kept copy was last written; undefined: not since then. */
  readonly keptRevision?: number;
}

/** What the operators state of a service whose cold servers take little. */
export interface ColdService {
  readonly service: string;
  /** Requests a second that a cold server takes from all daemons together. */
  readonly requestsPerSecond: number;
}

/** One version of the operators' routes. */
export interface RouteListing {
  readonly version: number;
  readonly routes: readonly CatalogRoute[];
  /** Services that state a rate for cold servers. */
  readonly coldServices: readonly ColdService[];
  /** All services that there are; undefined: not said, so any name may be one. */
  readonly services?: readonly string[];
}

/** What tells two states of the catalog apart. */
export interface CatalogStamp {
  /** Version of the routes; 0: none yet. */
  readonly routeVersion: number;
  /** Monotonic milliseconds at which a read last confirmed the routes. */
  readonly routesConfirmedAt: number;
  /** Revision of the newest list of servers; 0: none yet. */
  readonly serverRevision: number;
  /** Hash over all servers, their states and the evacuated domains. */
  readonly serverDigest: number;
  /** Monotonic milliseconds at which a read last confirmed the servers. */
  readonly serversConfirmedAt: number;
}
