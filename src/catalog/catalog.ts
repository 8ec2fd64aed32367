/**
 * A daemon's replica of the routes and backend servers in the store. Route versions and
 * server revisions never decrease, so reads may arrive late or out of order.
 */
import type {CatalogReading} from '../ports/catalog-source.js';
import type {Hasher} from '../ports/hasher.js';
import {destinationKey} from '../routing/flow-key.js';
import {KnownServers} from './known-servers.js';
import type {ListingChange, AffectedServers} from './listing-change.js';
import type {
  CatalogEvents,
  CatalogServer,
  CatalogStamp,
  ColdRateLimit,
  DomainChange,
  RouteChanges,
  RouteListing,
  RouteUpdate,
  ServerListing,
  UnreadableEntry,
} from './records.js';
import {RouteTable, type KnownRoute} from './route-table.js';
import type {ServerChanges} from './server-table.js';

/**
 * How long all servers of a restored failure domain count as cold. A server that turned
 * cold just before the restoration may report it only with its next heartbeat (0.8 s).
 */
const RESTORED_DOMAIN_COLD_MS = 1_000;

/** A change of the catalog, as passed to listeners. */
export interface CatalogChange extends AffectedServers {
  /** The new route version; undefined when the routes did not change. */
  readonly routeVersion?: number;
  /** Whether this is the first list of servers applied since the daemon started. */
  readonly isFirstListing: boolean;
  /** Servers now known to have ended; they may have left the list earlier. */
  readonly ended: readonly CatalogServer[];
  /** Failure domains that were evacuated or restored. */
  readonly domains: readonly DomainChange[];
}

const NO_CHANGE: CatalogChange = {
  isFirstListing: false,
  changed: [],
  restarted: [],
  unreadable: [],
  departed: [],
  ended: [],
  domains: [],
};

/** The state of a peer's server list, as gossiped by the peer. */
export interface ServerAnnouncement {
  readonly revision: number;
  readonly digest: number;
  readonly routeVersion: number;
}

/** Called with each change after it was applied. */
export type CatalogListener = (change: CatalogChange) => void;

/** Options of a catalog. */
export interface CatalogOptions {
  readonly hasher: Hasher;
  /** Maximum lifetime of a flow. */
  readonly flowLifetimeMs: number;
}

/** Routes and backend servers known to one daemon. */
export class Catalog {
  private readonly servers: KnownServers;
  private readonly routes: RouteTable;
  /** Cookie masks of routes that have received packets, by `destinationKey`. */
  private readonly cookieMasks = new Map<number, number>();
  /** Monotonic milliseconds until which a restored domain's servers count as cold. */
  private readonly domainColdUntil = new Map<string, number>();
  private readonly listeners = new Set<CatalogListener>();
  private serverRevision = 0;
  private serversConfirmedAt = -Infinity;

  private constructor(options: CatalogOptions) {
    this.routes = RouteTable.create(options.flowLifetimeMs);
    this.servers = KnownServers.create({
      ...options,
      isDeclared: service => this.routes.declaresService(service),
    });
  }

  static create(options: CatalogOptions): Catalog {
    return new Catalog(options);
  }

  /** Adds a listener; the returned function removes it. */
  onChange(listener: CatalogListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Version stamp that daemons compare to detect differing catalogs. */
  get stamp(): CatalogStamp {
    const {routes, serverRevision, serversConfirmedAt} = this;
    return {
      routeVersion: routes.version,
      routesConfirmedAt: routes.confirmedAt,
      serverRevision,
      serverDigest: this.servers.digest,
      serversConfirmedAt,
    };
  }

  /** Whether both routes and servers have been read at least once. */
  get isComplete(): boolean {
    return this.routes.version > 0 && this.serverRevision > 0;
  }

  /** Returns the route of a destination in the newest version. */
  findRoute(address: number, port: number): KnownRoute | undefined {
    return this.routes.find(address, port);
  }

  allRoutes(): KnownRoute[] {
    return this.routes.all();
  }

  /** Returns the services that limit the request rate of their cold servers. */
  coldServices(): readonly ColdRateLimit[] {
    return this.routes.coldServices;
  }

  /** Returns the requests per second for a cold server of a service; 0: no limit. */
  coldRateOf(service: string): number {
    return (
      this.coldServices().find(cold => cold.service === service)
        ?.requestsPerSecond ?? 0
    );
  }

  /** Returns all declared services; undefined if a known route version omits them. */
  serviceNames(): readonly string[] | undefined {
    return this.routes.serviceNames;
  }

  /** Returns all listed servers. */
  allServers(): CatalogServer[] {
    return this.servers.listed();
  }

  /** Returns the listed entries that cannot be read. */
  unreadableEntries(): UnreadableEntry[] {
    return this.servers.unreadableEntries();
  }

  /** Hash of the last readable records of servers with unreadable entries; 0: none. */
  get unreadableDigest(): number {
    return this.servers.unreadableDigest;
  }

  /** Counts the listed and recently departed servers of a service. */
  countServers(service: string): number {
    return [...this.allServers(), ...this.servers.departed()].filter(
      server => server.service === service,
    ).length;
  }

  isListed(id: string): boolean {
    return this.servers.isListed(id);
  }

  /** Returns a listed or recently departed server. */
  serverById(id: string): CatalogServer | undefined {
    return this.servers.serverById(id);
  }

  /**
   * Returns the servers of a service that accept new flows at `now`, in monotonic
   * milliseconds, including those whose entries may have expired in a store outage while
   * most of the service is missing.
   */
  openServers(service: string, now: number): readonly CatalogServer[] {
    return this.servers.openServers(service, now);
  }

  /** Whether a departed server's entry may have expired in a store outage. */
  mayHaveExpired(id: string): boolean {
    return this.servers.mayHaveExpired(id);
  }

  /** Returns the failure domains whose servers accept no new flows. */
  evacuatedDomains(): string[] {
    return this.servers.evacuatedDomains();
  }

  /** Whether a server is in slow start, after its own start or its domain's restoration. */
  isCold({coldUntil, failureDomain}: CatalogServer, now: number): boolean {
    const domainColdUntil =
      this.domainColdUntil.get(failureDomain) ?? -Infinity;
    return Math.max(coldUntil, domainColdUntil) > now;
  }

  /** Returns a server's cookie at a route; undefined if the server owns none. */
  cookieOf(server: CatalogServer, route: KnownRoute): number | undefined {
    return this.servers.cookies.cookieOf(server, this.getMask(route));
  }

  /**
   * Returns the server that a cookie names at a route. Its service must be one that a
   * known version assigned to the route. Until the route history covers a whole flow
   * lifetime, the cookie alone suffices: a daemon that restarted without the former
   * versions would otherwise drop the flows opened under them.
   */
  findServerByCookie(
    cookie: number,
    route: KnownRoute,
  ): CatalogServer | undefined {
    const owners = this.servers.cookies.find(cookie, this.getMask(route));
    const allowed = owners.find(
      ({server}) =>
        server !== undefined && route.allowedServices.has(server.service),
    );
    const owner =
      allowed ?? (this.routes.hasFullHistory ? undefined : owners[0]);
    return owner?.server;
  }

  /** Whether a cookie names a server of any service at a route. */
  hasCookie(cookie: number, route: KnownRoute): boolean {
    return this.servers.cookies.find(cookie, this.getMask(route)).length > 0;
  }

  /** Whether a server that is missing from the list is certain to have ended. */
  get isAuthoritative(): boolean {
    return this.servers.isAuthoritative;
  }

  /** Whether a server is known to have ended. */
  hasEnded(server: CatalogServer): boolean {
    return this.servers.hasEnded(server.id);
  }

  /**
   * Applies a version of the routes that was the newest at `confirmedAt`, in monotonic
   * milliseconds. Ignores versions older than the current one.
   */
  applyRoutes(
    listing: RouteListing,
    confirmedAt: number,
    changedAt = confirmedAt,
  ): void {
    if (this.routes.apply(listing, confirmedAt, changedAt)) {
      this.onNewRoutes();
    }
  }

  /**
   * Applies the changes that lead to a version of the routes that was the newest at
   * `confirmedAt`, in monotonic milliseconds, unless they are relative to another version
   * than the current one.
   */
  applyRouteUpdate(update: RouteUpdate, confirmedAt: number): void {
    if (this.routes.applyUpdate(update, confirmedAt)) {
      this.onNewRoutes();
    }
  }

  /** Returns the changes of the routes since a version; undefined if they are not known. */
  routeChangesSince(version: number): RouteChanges | undefined {
    return this.routes.changesSince(version);
  }

  private onNewRoutes(): void {
    this.cookieMasks.clear();
    this.servers.applyDeclaredServices();
    this.notify({...NO_CHANGE, routeVersion: this.routes.version});
  }

  /** Records that a version was still the newest at a time, if it is the current one. */
  confirmRoutes(version: number, at: number): void {
    if (version === this.routes.version) {
      this.routes.confirm(at);
    }
  }

  /**
   * Applies a list of servers read at `confirmedAt`, in monotonic milliseconds. From an
   * older list only the last readable records of unreadable entries are used.
   */
  applyServers(listing: ServerListing, confirmedAt: number): void {
    const {revision} = listing;
    this.applyMissingRecords(listing.servers);
    if (revision < this.serverRevision) {
      return;
    }
    if (this.serverRevision === 0) {
      this.servers.startHistoryAt(revision);
    }
    this.applyChange(this.servers.diffListing(listing), revision, confirmedAt);
  }

  /**
   * Applies a reading that may be stale at `readAt`, in monotonic milliseconds, without
   * confirming it. A starting daemon may forward by it but not reset flows by it.
   */
  applyStale(reading: CatalogReading, readAt: number): void {
    if (reading.routes !== undefined) {
      this.applyRoutes(reading.routes, -Infinity, readAt);
    }
    this.applyServers(reading.servers, -Infinity);
  }

  /** Applies the events that the store reported since the current revision. */
  applyEvents(events: CatalogEvents, confirmedAt: number): void {
    if (events.routes === undefined) {
      this.routes.confirm(confirmedAt);
    } else {
      this.applyRoutes(events.routes, confirmedAt);
    }
    this.applyListingChange(events, events.revision, confirmedAt);
  }

  /**
   * Applies a peer's server changes and evacuated domains as of a revision, skipping
   * whatever is older than the local state.
   */
  applyServerChanges(
    changes: ServerChanges,
    {revision, evacuated}: Pick<ServerListing, 'revision' | 'evacuated'>,
    confirmedAt: number,
  ): void {
    const domains = this.servers.diffDomains(evacuated);
    this.applyListingChange({...changes, domains}, revision, confirmedAt);
  }

  /** Returns the server changes after a revision; undefined if the history is too short. */
  serverChangesSince(revision: number): ServerChanges | undefined {
    return this.servers.changesSince(revision);
  }

  /**
   * Records that a daemon failed to read the store at a time, in monotonic milliseconds.
   * Entries may have expired since the latest read.
   */
  recordReadFailure(at: number): void {
    this.servers.recordReadFailure(at);
  }

  /** Records that the store held no newer data at a time. */
  confirmAll(at: number): void {
    this.routes.confirm(at);
    this.recordServersConfirmed(at);
    this.notifyIfChanged(NO_CHANGE);
  }

  /**
   * Records that a peer with the same servers read them at a time. Adopts the peer's
   * revision only if its route version is known here; otherwise the next watch, which
   * starts at this revision, would miss that version.
   */
  confirmServers(announced: ServerAnnouncement, at: number): void {
    if (announced.digest !== this.servers.digest || this.serverRevision === 0) {
      return;
    }
    if (announced.routeVersion <= this.routes.version) {
      this.serverRevision = Math.max(this.serverRevision, announced.revision);
    }
    this.recordServersConfirmed(at);
    this.notifyIfChanged(NO_CHANGE);
  }

  /**
   * Applies changes up to a revision. Servers carry a revision each; domains do not, so
   * their changes are skipped when the local list is newer.
   */
  private applyListingChange(
    change: ListingChange,
    revision: number,
    confirmedAt: number,
  ): void {
    const isNewest = revision >= this.serverRevision;
    const domains = isNewest ? change.domains : [];
    const newest = Math.max(revision, this.serverRevision);
    this.applyChange({...change, domains}, newest, confirmedAt);
  }

  private recordServersConfirmed(at: number): void {
    this.serversConfirmedAt = Math.max(this.serversConfirmedAt, at);
    this.servers.confirm(at);
  }

  private applyChange(
    change: ListingChange,
    revision: number,
    confirmedAt: number,
  ): void {
    const isFirstListing = this.serverRevision === 0;
    this.serverRevision = revision;
    this.recordServersConfirmed(confirmedAt);
    const affected = this.servers.apply(change, confirmedAt);
    const domains = change.domains.filter(domain =>
      this.changeDomain(domain, confirmedAt),
    );
    this.notifyIfChanged({...NO_CHANGE, ...affected, isFirstListing, domains});
  }

  /** Fills in missing records of servers whose newest entries cannot be read. */
  private applyMissingRecords(servers: readonly CatalogServer[]): void {
    const restarted = this.servers.applyMissingRecords(servers);
    this.notifyIfChanged({...NO_CHANGE, restarted});
  }

  private changeDomain(domain: DomainChange, at: number): boolean {
    const {failureDomain, isEvacuated} = domain;
    if (!isEvacuated) {
      this.domainColdUntil.set(failureDomain, at + RESTORED_DOMAIN_COLD_MS);
    }
    return this.servers.changeDomain(domain);
  }

  /** Returns a route's cookie mask, computed on the route's first packet. */
  private getMask({address, port}: KnownRoute): number {
    const key = destinationKey(address, port);
    const known = this.cookieMasks.get(key);
    if (known !== undefined) {
      return known;
    }
    const mask = this.servers.cookies.computeMask(key);
    this.cookieMasks.set(key, mask);
    return mask;
  }

  /** Notifies the listeners of a change and newly ended servers, if there are any. */
  private notifyIfChanged(change: CatalogChange): void {
    const ended = this.servers.takeEnded();
    const {changed, restarted, unreadable, departed, domains} = change;
    const parts = [changed, restarted, unreadable, departed, domains, ended];
    if (parts.some(part => part.length > 0)) {
      this.notify({...change, ended});
    }
  }

  private notify(change: CatalogChange): void {
    [...this.listeners].forEach(listener => listener(change));
  }
}
