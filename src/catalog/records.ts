/** Records of the catalog that all daemons replicate: routes and backend servers. */

/** State that a backend server reports in its entry. */
export const ServerState = {READY: 'ready', DRAINING: 'draining'} as const;
/** A value of `ServerState`. */
export type ServerState = (typeof ServerState)[keyof typeof ServerState];

/**
 * One incarnation of a backend server, from its newest readable entry. A server may
 * restart under the same id with another start time; its flows are lost then.
 */
export interface CatalogServer {
  readonly id: string;
  readonly service: string;
  /** IPv4 address as an unsigned number. */
  readonly address: number;
  readonly port: number;
  readonly failureDomain: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly state: ServerState;
  /** Monotonic milliseconds until which the server is cold, which means in slow start. */
  readonly coldUntil: number;
  /** Store revision at which the entry was created. */
  readonly createdRevision: number;
  /** Store revision at which the entry was last written. */
  readonly revision: number;
  /**
   * Start time in Unix milliseconds by the server's own clock; 0: not reported. It
   * identifies an incarnation but does not order incarnations.
   */
  readonly startTime: number;
}

/** A server entry that cannot be parsed. Its server may be alive but gets no new flows. */
export interface UnreadableEntry {
  readonly id: string;
  readonly revision: number;
  /** Parse error; empty for an entry learned from a peer. */
  readonly cause: string;
}

/**
 * All backend servers as of one store revision, and the failure domains that operators
 * have evacuated: their servers accept no new flows until the domain is restored.
 */
export interface ServerListing {
  readonly revision: number;
  readonly servers: readonly CatalogServer[];
  /** Entries that cannot be read; undefined: none. */
  readonly unreadable?: readonly UnreadableEntry[];
  readonly evacuated: readonly string[];
}

/** A service and its weight in the distribution of a route's new flows. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** A destination address of callers. */
export interface Destination {
  /** IPv4 address as an unsigned number. */
  readonly address: number;
  readonly port: number;
}

/** A destination and the services that serve it. */
export interface CatalogRoute extends Destination {
  readonly shares: readonly ServiceShare[];
  /** Whether callers retry requests that were not answered. */
  readonly repeatable: boolean;
  /** Regions whose servers may serve the route; empty: all regions. */
  readonly regions: readonly string[];
  /** Priority of its requests; 0 is the highest. */
  readonly priority: number;
  /** Target response time; Infinity: none configured. */
  readonly targetMs: number;
  /** Request timeout of its callers; Infinity: none configured. */
  readonly limitMs: number;
}

/** Removal of a server's entry, with the store revision of the removal. */
export interface RemovedServer {
  readonly id: string;
  readonly revision: number;
}

/** Evacuation or restoration of a failure domain by an operator. */
export interface DomainChange {
  readonly failureDomain: string;
  /** False after a restoration. */
  readonly isEvacuated: boolean;
}

/** Events that the store reported since an earlier revision. */
export interface CatalogEvents {
  /** Revision up to which the events are complete. */
  readonly revision: number;
  /** The newest route version written; undefined: none. */
  readonly routes: RouteListing | undefined;
  /** Written server entries; of several for one id, the newest comes last. */
  readonly written: readonly CatalogServer[];
  /** Written entries that cannot be parsed; undefined: none. */
  readonly unreadable?: readonly UnreadableEntry[];
  readonly removed: readonly RemovedServer[];
  /** Domain changes; of several for one domain, the newest comes last. */
  readonly domains: readonly DomainChange[];
  /** Revision at which the catalog snapshot was last written; undefined: not written. */
  readonly snapshotRevision?: number;
}

/** Rate limit for the cold servers of a service, as configured by operators. */
export interface ColdRateLimit {
  readonly service: string;
  /** Requests per second to one cold server, summed over all daemons. */
  readonly requestsPerSecond: number;
}

/** One version of the route configuration. */
export interface RouteListing {
  readonly version: number;
  readonly routes: readonly CatalogRoute[];
  /** Services with a rate limit for their cold servers. */
  readonly coldServices: readonly ColdRateLimit[];
  /** All declared services; undefined: not listed, so any service name is accepted. */
  readonly services?: readonly string[];
}

/** Routes written or removed since a version. */
export interface RouteChanges {
  readonly written: readonly CatalogRoute[];
  readonly removed: readonly Destination[];
}

/** The changes that lead from one version of the route configuration to another. */
export interface RouteUpdate extends Omit<RouteListing, 'routes'> {
  /** Version that the changes are relative to. */
  readonly baseVersion: number;
  readonly changes: RouteChanges;
}

/** Version stamp of a catalog: versions, digest and when they were last confirmed. */
export interface CatalogStamp {
  /** Version of the routes; 0: none yet. */
  readonly routeVersion: number;
  /** Monotonic milliseconds at which the routes were last confirmed to be current. */
  readonly routesConfirmedAt: number;
  /** Revision of the newest list of servers; 0: none yet. */
  readonly serverRevision: number;
  /** Hash over all servers, their states and incarnations, and the evacuated domains. */
  readonly serverDigest: number;
  /** Monotonic milliseconds at which the servers were last confirmed to be current. */
  readonly serversConfirmedAt: number;
}
