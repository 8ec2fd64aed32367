/**
 * One daemon's copy of routes and backend servers. Versions only grow: an older
 * listing than the one held changes nothing.
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
  ColdService,
  DomainChange,
  RouteListing,
  ServerListing,
  UnreadableEntry,
} from './records.js';
import {RouteTable, type KnownRoute} from './route-table.js';
import type {ServerChanges} from './server-table.js';

/**
 * Time for which the servers of a restored domain count as cold whatever they say, in
 * milliseconds: a heartbeat of theirs (0.8 s) and its way here. They may have turned
 * cold just before, and the word of it may come after that of the restoration.
 */
const UNSETTLED_MS = 1_000;

/** What changed in the catalog. */
export interface CatalogChange extends AffectedServers {
  /** The version taken; undefined when the routes did not change. */
  readonly routeVersion?: number;
  /** Whether these are the first servers that were ever taken. */
  readonly isFirstListing: boolean;
  /** Servers whose end is certain from now on; they may have departed long ago. */
  readonly ended: readonly CatalogServer[];
  /** Failure domains that were evacuated or restored. */
  readonly domains: readonly DomainChange[];
}

/** A change that alters nothing. */
const NO_CHANGE: CatalogChange = {
  isFirstListing: false,
  changed: [],
  restarted: [],
  unreadable: [],
  departed: [],
  ended: [],
  domains: [],
};

/** What another daemon told of the servers that it holds. */
export interface ServerAnnouncement {
  readonly revision: number;
  readonly digest: number;
  readonly routeVersion: number;
}

/** Told of each change after it was taken. */
export type CatalogListener = (change: CatalogChange) => void;

/** What a catalog is made from. */
export interface CatalogOptions {
  readonly hasher: Hasher;
  /** Time for which a flow may live, in milliseconds. */
  readonly flowLifetimeMs: number;
}

/** Routes and backend servers as one daemon knows them. */
export class Catalog {
  private readonly servers: KnownServers;
  private readonly routes: RouteTable;
  /** Masks of the cookies of routes that saw packets, by `destinationKey`. */
  private readonly cookieMasks = new Map<number, number>();
  /**
   * Until when the servers of a restored domain count as cold, by domain; monotonic
   * milliseconds.
   */
  private readonly unsettledUntil = new Map<string, number>();
  private readonly listeners: CatalogListener[] = [];
  private serverRevision = 0;
  private serversConfirmedAt = -Infinity;

  private constructor(options: CatalogOptions) {
    this.routes = RouteTable.create(options.flowLifetimeMs);
    this.servers = KnownServers.create({
      ...options,
      isNamed: service => this.routes.names(service),
    });
  }

  /** Creates an empty catalog. */
  static create(options: CatalogOptions): Catalog {
    return new Catalog(options);
  }

  /** Adds a listener. */
  onChange(listener: CatalogListener): void {
    this.listeners.push(listener);
  }

  /** What tells this state apart from another daemon's. */
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

  /** Whether both routes and servers were ever read. */
  get isComplete(): boolean {
    return this.routes.version > 0 && this.serverRevision > 0;
  }

  /** The route of a destination in the newest version. */
  routeOf(address: number, port: number): KnownRoute | undefined {
    return this.routes.find(address, port);
  }

  /** All routes of the newest version. */
  allRoutes(): KnownRoute[] {
    return this.routes.all();
  }

  /** Services whose cold servers take no more than a stated rate. */
  coldServices(): readonly ColdService[] {
    return this.routes.coldServices;
  }

  /** Requests a second that a cold server of a service takes; 0: none is stated. */
  coldRateOf(service: string): number {
    return (
      this.coldServices().find(cold => cold.service === service)
        ?.requestsPerSecond ?? 0
    );
  }

  /** All services that versions known here named; undefined: one did not tell. */
  serviceNames(): readonly string[] | undefined {
    return this.routes.serviceNames;
  }

  /** All servers in the list. */
  allServers(): CatalogServer[] {
    return this.servers.listed();
  }

  /** Entries of the list that cannot be read. */
  unreadableEntries(): UnreadableEntry[] {
    return this.servers.unreadableEntries();
  }

  /** Hash over the records of servers whose entries cannot be read; 0: none. */
  get unreadableDigest(): number {
    return this.servers.unreadableDigest;
  }

  /** Servers of a service that are in the list, or left it not long ago. */
  countServers(service: string): number {
    return [...this.allServers(), ...this.servers.departed()].filter(
      server => server.service === service,
    ).length;
  }

  /** Whether a server is in the list. */
  isListed(id: string): boolean {
    return this.servers.isListed(id);
  }

  /** A server in the list, or one that left it not long ago. */
  serverById(id: string): CatalogServer | undefined {
    return this.servers.serverById(id);
  }

  /** Servers of a service that take new flows, lapsed ones that may live included. */
  openServers(service: string): readonly CatalogServer[] {
    return this.servers.openServers(service);
  }

  /** Failure domains whose servers take no new flows. */
  evacuatedDomains(): string[] {
    return this.servers.evacuatedDomains();
  }

  /** Whether a server is slow: from its start, or since its domain was restored. */
  isCold({coldUntil, failureDomain}: CatalogServer, now: number): boolean {
    const unsettledUntil = this.unsettledUntil.get(failureDomain) ?? -Infinity;
    return Math.max(coldUntil, unsettledUntil) > now;
  }

  /** The cookie that names a server at a route, or undefined if there is none. */
  cookieOf(server: CatalogServer, route: KnownRoute): number | undefined {
    return this.servers.cookies.cookieOf(server, this.maskOf(route));
  }

  /**
   * The server of a cookie at a route. While the versions by which flows that live
   * were opened may not all be known, the cookie alone shows that one of them gave
   * the server's service to the route; later the service must be known to be one of
   * theirs. After the loss of all instances this keeps the flows that a former version
   * opened: 84 of some 300 when four servers had such flows alone, nearly all when a
   * route had gone to another service. Their callers would wait in vain and then come
   * back all at once; requests served over 50 s, weighed by their worth and lateness,
   * were 0.977 of all without it and 0.987 with it.
   */
  serverOf(cookie: number, route: KnownRoute): CatalogServer | undefined {
    const named = this.servers.cookies.find(cookie, this.maskOf(route));
    const allowed = named.find(
      ({server}) =>
        server !== undefined && route.allowedServices.has(server.service),
    );
    const owner = allowed ?? (this.routes.knowsVersions ? undefined : named[0]);
    return owner?.server;
  }

  /** Whether a cookie names any server at a route, of whatever service. */
  hasCookie(cookie: number, route: KnownRoute): boolean {
    return this.servers.cookies.find(cookie, this.maskOf(route)).length > 0;
  }

  /** Whether a server that lives would surely be in the list by now. */
  get isAuthoritative(): boolean {
    return this.servers.isAuthoritative;
  }

  /** Whether a server has ended for certain. */
  hasEnded(server: CatalogServer): boolean {
    return this.servers.hasEnded(server.id);
  }

  /**
   * Takes a version of the routes that a read at `confirmedAt` (monotonic
   * milliseconds) showed to be the newest. An older version changes nothing.
   */
  takeRoutes(
    listing: RouteListing,
    confirmedAt: number,
    changedAt = confirmedAt,
  ): void {
    if (!this.routes.take(listing, confirmedAt, changedAt)) {
      return;
    }
    this.cookieMasks.clear();
    this.servers.noteServices();
    this.tell({...NO_CHANGE, routeVersion: listing.version});
  }

  /** Notes that a version, if it is held, was still the newest at a time. */
  confirmRoutes(version: number, at: number): void {
    if (version === this.routes.version) {
      this.routes.confirm(at);
    }
  }

  /**
   * Takes a list of servers read at `confirmedAt` (monotonic milliseconds). An older one
   * tells no more than what servers were whose newest entries cannot be read.
   */
  takeServers(listing: ServerListing, confirmedAt: number): void {
    const {revision} = listing;
    this.fillRecords(listing.servers);
    if (revision < this.serverRevision) {
      return;
    }
    if (this.serverRevision === 0) {
      this.servers.startAt(revision);
    }
    this.apply(this.servers.changesTo(listing), revision, confirmedAt);
  }

  /**
   * Takes everything as it was some time before `readAt` (monotonic milliseconds), and
   * confirms nothing: a daemon that starts may forward by it, and refuses nothing aloud.
   */
  takeOld(reading: CatalogReading, readAt: number): void {
    if (reading.routes !== undefined) {
      this.takeRoutes(reading.routes, -Infinity, readAt);
    }
    this.takeServers(reading.servers, -Infinity);
  }

  /** Takes what the store reported since the revision that is held. */
  takeEvents(events: CatalogEvents, confirmedAt: number): void {
    if (events.routes === undefined) {
      this.routes.confirm(confirmedAt);
    } else {
      this.takeRoutes(events.routes, confirmedAt);
    }
    this.takeListingChange(events, events.revision, confirmedAt);
  }

  /**
   * Takes changes of the servers, and the domains that were evacuated, as a peer held
   * them at a revision; what is older than what is held is left.
   */
  takeServerChanges(
    changes: ServerChanges,
    {revision, evacuated}: Pick<ServerListing, 'revision' | 'evacuated'>,
    confirmedAt: number,
  ): void {
    const domains = this.servers.changesOfDomainsTo(evacuated);
    this.takeListingChange({...changes, domains}, revision, confirmedAt);
  }

  /** Changes of the servers after a revision, if they are still known. */
  serverChangesSince(revision: number): ServerChanges | undefined {
    return this.servers.changesSince(revision);
  }

  /** Notes that nothing was written up to a time. */
  confirmAll(at: number): void {
    this.routes.confirm(at);
    this.noteServersConfirmed(at);
    this.tellNews(NO_CHANGE);
  }

  /**
   * Notes that another daemon, which holds the same servers, read them at a
   * time. Its revision is taken only if its routes are held here as well.
   */
  confirmServers(told: ServerAnnouncement, at: number): void {
    if (told.digest !== this.servers.digest || this.serverRevision === 0) {
      return;
    }
    if (told.routeVersion <= this.routes.version) {
      this.serverRevision = Math.max(this.serverRevision, told.revision);
    }
    this.noteServersConfirmed(at);
    this.tellNews(NO_CHANGE);
  }

  /**
   * Servers have a revision each. The domains are held as of the revision of the whole
   * list, so changes that lead to an earlier one are known already.
   */
  private takeListingChange(
    change: ListingChange,
    revision: number,
    confirmedAt: number,
  ): void {
    const isNewest = revision >= this.serverRevision;
    const domains = isNewest ? change.domains : [];
    const newest = Math.max(revision, this.serverRevision);
    this.apply({...change, domains}, newest, confirmedAt);
  }

  private noteServersConfirmed(at: number): void {
    this.serversConfirmedAt = Math.max(this.serversConfirmedAt, at);
    this.servers.confirm(at);
  }

  /** Brings the servers and the domains to a revision. */
  private apply(
    change: ListingChange,
    revision: number,
    confirmedAt: number,
  ): void {
    const isFirstListing = this.serverRevision === 0;
    this.serverRevision = revision;
    this.noteServersConfirmed(confirmedAt);
    const news = this.servers.take(change, confirmedAt);
    const domains = change.domains.filter(domain =>
      this.changeDomain(domain, confirmedAt),
    );
    this.tellNews({...NO_CHANGE, ...news, isFirstListing, domains});
  }

  /** Takes records of servers whose entries cannot be read, where they are lacking. */
  private fillRecords(servers: readonly CatalogServer[]): void {
    const restarted = this.servers.takeRecords(servers);
    this.tellNews({...NO_CHANGE, restarted});
  }

  private changeDomain(domain: DomainChange, at: number): boolean {
    const {failureDomain, isEvacuated} = domain;
    if (!isEvacuated) {
      this.unsettledUntil.set(failureDomain, at + UNSETTLED_MS);
    }
    return this.servers.changeDomain(domain);
  }

  /** Worked out at a route's first packet: most routes see none for a while. */
  private maskOf({address, port}: KnownRoute): number {
    const key = destinationKey(address, port);
    const known = this.cookieMasks.get(key);
    if (known !== undefined) {
      return known;
    }
    const mask = this.servers.cookies.maskOf(key);
    this.cookieMasks.set(key, mask);
    return mask;
  }

  /** Tells of a change, and of servers that have ended since, if there is any. */
  private tellNews(change: CatalogChange): void {
    const ended = this.servers.takeEnded();
    const {changed, restarted, unreadable, departed, domains} = change;
    const parts = [changed, restarted, unreadable, departed, domains, ended];
    if (parts.some(part => part.length > 0)) {
      this.tell({...change, ended});
    }
  }

  private tell(change: CatalogChange): void {
    this.listeners.forEach(listener => listener(change));
  }
}
