/**
 * One daemon's copy of routes and backend servers. Versions only grow: an older
 * listing than the one held changes nothing.
 */
import type {Hasher} from '../ports/hasher.js';
import {destinationKey} from '../routing/flow-key.js';
import {CookieIndex} from './cookie-index.js';
import {Departures} from './departures.js';
import {
  ServerState,
  type CatalogEvents,
  type CatalogRoute,
  type CatalogServer,
  type CatalogStamp,
  type RouteListing,
  type ServerListing,
} from './records.js';

/** Sets the digest's hashes apart from those of other uses. */
const DIGEST_SEED = 23;

/** A route with every service that a version ever gave to it. */
export interface KnownRoute extends CatalogRoute {
  readonly allowedServices: ReadonlySet<string>;
}

/** What changed in the catalog. */
export interface CatalogChange {
  /** The version taken; undefined when the routes did not change. */
  readonly routeVersion?: number;
  /** Servers that are new or whose state changed. */
  readonly changed: readonly CatalogServer[];
  /** Servers that left the list. */
  readonly departed: readonly CatalogServer[];
}

/** What another daemon told of the servers that it holds. */
export interface ToldServers {
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
  private readonly servers = new Map<string, CatalogServer>();
  private readonly byService = new Map<string, CatalogServer[]>();
  /** Listed servers whose address a later server has taken: they have ended. */
  private readonly succeeded = new Set<string>();
  private readonly departures: Departures;
  private readonly cookies: CookieIndex;
  private readonly routes = new Map<number, KnownRoute>();
  private readonly allowed = new Map<number, Set<string>>();
  private readonly listeners: CatalogListener[] = [];
  private routeVersion = 0;
  private routesConfirmedAt = -Infinity;
  private serverRevision = 0;
  private serverDigest = 0;
  private serversConfirmedAt = -Infinity;

  private constructor(private readonly options: CatalogOptions) {
    this.departures = Departures.create(options.flowLifetimeMs);
    this.cookies = CookieIndex.create(options.hasher);
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
    const {routeVersion, routesConfirmedAt} = this;
    const {serverRevision, serverDigest, serversConfirmedAt} = this;
    return {
      routeVersion,
      routesConfirmedAt,
      serverRevision,
      serverDigest,
      serversConfirmedAt,
    };
  }

  /** Whether both routes and servers were ever read. */
  get isComplete(): boolean {
    return this.routeVersion > 0 && this.serverRevision > 0;
  }

  /** The route of a destination in the newest version. */
  routeOf(address: number, port: number): KnownRoute | undefined {
    return this.routes.get(destinationKey(address, port));
  }

  /** All routes of the newest version. */
  allRoutes(): KnownRoute[] {
    return [...this.routes.values()];
  }

  /** All servers in the list. */
  allServers(): CatalogServer[] {
    return [...this.servers.values()];
  }

  /** Servers of a service that take new flows. */
  openServers(service: string): readonly CatalogServer[] {
    return this.byService.get(service) ?? [];
  }

  /** The cookie that names a server, or undefined while it names another too. */
  cookieOf(server: CatalogServer): number | undefined {
    return this.cookies.cookieOf(server);
  }

  /** The server of a cookie among those that a route allows. */
  serverOf(cookie: number, route: KnownRoute): CatalogServer | undefined {
    return this.cookies.find(cookie, route.allowedServices);
  }

  /** Whether a cookie names any server, of whatever service. */
  hasCookie(cookie: number): boolean {
    return this.cookies.has(cookie);
  }

  /** Whether a server that lives would surely be in the list by now. */
  get isSteady(): boolean {
    return this.departures.isSteady;
  }

  /** Whether a server has ended for certain. */
  isGone(server: CatalogServer): boolean {
    return this.succeeded.has(server.id) || this.departures.isGone(server.id);
  }

  /**
   * Takes a version of the routes that a read at `confirmedAt` (monotonic
   * milliseconds) showed to be the newest. `earlier` are services that former
   * versions gave to a destination. An older version changes nothing.
   */
  takeRoutes(
    listing: RouteListing,
    confirmedAt: number,
    earlier: ReadonlyMap<number, readonly string[]> = new Map(),
  ): void {
    if (listing.version < this.routeVersion) {
      return;
    }
    earlier.forEach((services, key) => this.allow(key, services));
    this.routesConfirmedAt = Math.max(this.routesConfirmedAt, confirmedAt);
    if (listing.version === this.routeVersion) {
      return;
    }
    this.routeVersion = listing.version;
    this.routes.clear();
    listing.routes.forEach(route => this.putRoute(route));
    this.tell({routeVersion: listing.version, changed: [], departed: []});
  }

  /** Notes that the routes held were still the newest at a time. */
  confirmRoutes(version: number, at: number): void {
    if (version === this.routeVersion) {
      this.routesConfirmedAt = Math.max(this.routesConfirmedAt, at);
    }
  }

  /** Takes a list of servers read at `confirmedAt` (monotonic milliseconds). */
  takeServers(listing: ServerListing, confirmedAt: number): void {
    if (listing.revision < this.serverRevision) {
      return;
    }
    this.serverRevision = listing.revision;
    const present = new Set(listing.servers.map(({id}) => id));
    const departed = this.allServers().filter(({id}) => !present.has(id));
    const changed = listing.servers.filter(server => this.isNews(server));
    this.noteServersConfirmed(confirmedAt);
    departed.forEach(server => this.depart(server, confirmedAt));
    listing.servers.forEach(server => this.putServer(server));
    this.findSucceeded();
    this.rebuildOpen();
    if (changed.length > 0 || departed.length > 0) {
      this.serverDigest = this.digest();
      this.tell({changed, departed});
    }
  }

  /** Takes what the store reported since the revision that is held. */
  takeEvents(events: CatalogEvents, confirmedAt: number): void {
    const {written, removed, revision} = events;
    if (events.routes === undefined) {
      this.confirmRoutes(this.routeVersion, confirmedAt);
    } else {
      this.takeRoutes(events.routes, confirmedAt);
    }
    const servers = new Map(this.servers);
    written
      .filter(server => isLater(server, servers.get(server.id)))
      .forEach(server => servers.set(server.id, server));
    removed
      .filter(entry => isLater(entry, servers.get(entry.id)))
      .forEach(({id}) => servers.delete(id));
    this.takeServers(
      {
        revision: Math.max(revision, this.serverRevision),
        servers: [...servers.values()],
      },
      confirmedAt,
    );
  }

  /** Notes that nothing was written up to a time. */
  confirmAll(at: number): void {
    this.routesConfirmedAt = Math.max(this.routesConfirmedAt, at);
    this.noteServersConfirmed(at);
  }

  /**
   * Notes that another daemon, which holds the same servers, read them at a
   * time. Its revision is taken only if its routes are held here as well.
   */
  confirmServers(told: ToldServers, at: number): void {
    if (told.digest !== this.serverDigest || this.serverRevision === 0) {
      return;
    }
    if (told.routeVersion <= this.routeVersion) {
      this.serverRevision = Math.max(this.serverRevision, told.revision);
    }
    this.noteServersConfirmed(at);
  }

  private noteServersConfirmed(at: number): void {
    this.serversConfirmedAt = Math.max(this.serversConfirmedAt, at);
    const lapsedBefore = this.departures.lapsed().length;
    this.departures.confirm(at);
    if (this.departures.lapsed().length !== lapsedBefore) {
      this.rebuildOpen();
    }
    this.cookies.retain([...this.servers.values(), ...this.departures.all()]);
  }

  private isNews(server: CatalogServer): boolean {
    const known = this.servers.get(server.id);
    return known === undefined || known.state !== server.state;
  }

  private depart(server: CatalogServer, at: number): void {
    this.servers.delete(server.id);
    this.departures.add(server, at);
  }

  private putServer(server: CatalogServer): void {
    const known = this.servers.get(server.id);
    this.departures.remove(server.id);
    if (known === undefined) {
      this.departures.supersede(server.address, server.port);
      this.cookies.add(server);
    }
    this.servers.set(server.id, server);
  }

  private putRoute(route: CatalogRoute): void {
    const key = destinationKey(route.address, route.port);
    const services = route.shares.map(({service}) => service);
    this.routes.set(key, {
      ...route,
      allowedServices: this.allow(key, services),
    });
  }

  private allow(key: number, services: readonly string[]): Set<string> {
    const known = this.allowed.get(key) ?? new Set<string>();
    services.forEach(service => known.add(service));
    this.allowed.set(key, known);
    return known;
  }

  private findSucceeded(): void {
    const newest = new Map<number, CatalogServer>();
    this.servers.forEach(server => {
      const key = destinationKey(server.address, server.port);
      const other = newest.get(key);
      if (
        other === undefined ||
        other.createdRevision < server.createdRevision
      ) {
        newest.set(key, server);
      }
    });
    this.succeeded.clear();
    this.servers.forEach(server => {
      const key = destinationKey(server.address, server.port);
      if (newest.get(key) !== server) {
        this.succeeded.add(server.id);
      }
    });
  }

  private rebuildOpen(): void {
    this.byService.clear();
    [...this.servers.values(), ...this.departures.lapsed()]
      .filter(({state}) => state === ServerState.READY)
      .filter(({id}) => !this.succeeded.has(id))
      .forEach(server => {
        const others = this.byService.get(server.service) ?? [];
        this.byService.set(server.service, [...others, server]);
      });
  }

  /** The same for equal sets of servers, in whatever order they came. */
  private digest(): number {
    return this.allServers()
      .map(({id, state}) =>
        this.options.hasher.hashText(`${id}/${state}`, DIGEST_SEED),
      )
      .reduce((sum, hash) => (sum ^ hash) >>> 0, 0);
  }

  private tell(change: CatalogChange): void {
    this.listeners.forEach(listener => listener(change));
  }
}

function isLater(
  next: {readonly revision: number},
  known: CatalogServer | undefined,
): boolean {
  return known === undefined || next.revision > known.revision;
}
