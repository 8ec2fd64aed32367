/**
 * The routes of the newest version known to a daemon, with the services that any known
 * version assigned to each destination.
 */
import {destinationKey} from '../routing/flow-key.js';
import type {
  CatalogRoute,
  ColdRateLimit,
  Destination,
  RouteChanges,
  RouteListing,
  RouteUpdate,
} from './records.js';
import {RouteHistory, areEqualRoutes} from './route-history.js';

/** A route with all services that any known version assigned to it. */
export interface KnownRoute extends CatalogRoute {
  readonly allowedServices: ReadonlySet<string>;
}

/** Route table of one daemon, by destination. */
export class RouteTable {
  /** Routes of the newest version by `destinationKey`. */
  private readonly routes = new Map<number, KnownRoute>();
  /** Services that any known version assigned to a destination, by `destinationKey`. */
  private readonly allowedByDestination = new Map<number, Set<string>>();
  private readonly history = RouteHistory.create();
  private cold: readonly ColdRateLimit[] = [];
  /** All declared services; undefined if a known version omits them. */
  private services: Set<string> | undefined = new Set();
  private newestVersion = 0;
  private lastConfirmedAt = -Infinity;
  /** Monotonic milliseconds at which the newest version was applied. */
  private changedAt = Infinity;

  private constructor(
    /** Maximum lifetime of a flow. */
    private readonly flowLifetimeMs: number,
  ) {}

  static create(flowLifetimeMs: number): RouteTable {
    return new RouteTable(flowLifetimeMs);
  }

  /** The newest version; 0: none yet. */
  get version(): number {
    return this.newestVersion;
  }

  /** Monotonic milliseconds at which the version was last confirmed to be the newest. */
  get confirmedAt(): number {
    return this.lastConfirmedAt;
  }

  /**
   * Whether all live flows were opened under known versions. That holds once the newest
   * version has been unchanged for a flow lifetime; a version that was superseded before
   * this daemon read it could have opened flows until then.
   */
  get hasFullHistory(): boolean {
    return this.lastConfirmedAt - this.changedAt >= this.flowLifetimeMs;
  }

  /** Returns the route of a destination. */
  find(address: number, port: number): KnownRoute | undefined {
    return this.routes.get(destinationKey(address, port));
  }

  /** Returns all routes. */
  all(): KnownRoute[] {
    return [...this.routes.values()];
  }

  /** Services that limit the request rate of their cold servers. */
  get coldServices(): readonly ColdRateLimit[] {
    return this.cold;
  }

  /** All services declared by known versions; undefined if one omits them. */
  get serviceNames(): readonly string[] | undefined {
    return this.services && [...this.services];
  }

  /**
   * Whether a known version declares a service. Every service counts as declared while
   * no version is known or one omits its services.
   */
  declaresService(service: string): boolean {
    return this.newestVersion === 0 || this.services?.has(service) !== false;
  }

  /**
   * Applies a version that was the newest at `confirmedAt`, or at an unknown time before
   * `changedAt`; both in monotonic milliseconds. Returns whether it is newer than the
   * current version; an older one is ignored.
   */
  apply(
    listing: RouteListing,
    confirmedAt: number,
    changedAt = confirmedAt,
  ): boolean {
    if (listing.version < this.newestVersion) {
      return false;
    }
    this.confirm(confirmedAt);
    if (listing.version === this.newestVersion) {
      return false;
    }
    const changes = this.diff(listing.routes);
    this.advance(listing, changes, changedAt);
    return true;
  }

  /**
   * Applies the changes that lead to a version that was the newest at `confirmedAt`, in
   * monotonic milliseconds. Returns whether it is newer than the current version; changes
   * relative to another version than the current one are ignored.
   */
  applyUpdate(update: RouteUpdate, confirmedAt: number): boolean {
    if (update.version === this.newestVersion) {
      this.confirm(confirmedAt);
    }
    const isNext =
      update.baseVersion === this.newestVersion &&
      update.version > this.newestVersion;
    if (isNext) {
      this.confirm(confirmedAt);
      this.advance(update, update.changes, confirmedAt);
    }
    return isNext;
  }

  /** Returns the changes since a version; undefined if they are not known. */
  changesSince(version: number): RouteChanges | undefined {
    return this.history.changesSince(version);
  }

  /** Returns the changes from the current routes to others. */
  private diff(routes: readonly CatalogRoute[]): RouteChanges {
    const written = routes.filter(
      route => !areEqualRoutes(this.find(route.address, route.port), route),
    );
    const added = written.filter(
      ({address, port}) => this.find(address, port) === undefined,
    );
    const isAnyRemoved = this.routes.size + added.length > routes.length;
    return {written, removed: isAnyRemoved ? this.listMissing(routes) : []};
  }

  /** Lists the destinations of the current routes that are missing from others. */
  private listMissing(routes: readonly CatalogRoute[]): Destination[] {
    const listed = new Set(
      routes.map(({address, port}) => destinationKey(address, port)),
    );
    return [...this.routes]
      .filter(([key]) => !listed.has(key))
      .map(([, {address, port}]) => ({address, port}));
  }

  /** Makes a version the current one by its changes. */
  private advance(
    listing: Omit<RouteListing, 'routes'>,
    changes: RouteChanges,
    changedAt: number,
  ): void {
    if (this.newestVersion > 0) {
      this.history.append(this.newestVersion, changes);
    }
    this.newestVersion = listing.version;
    this.changedAt = changedAt;
    this.cold = listing.coldServices;
    changes.removed.forEach(({address, port}) =>
      this.routes.delete(destinationKey(address, port)),
    );
    changes.written.forEach(route => this.put(route));
    this.mergeServices(listing.services, changes.written);
  }

  /** Records that the current version was still the newest at a time. */
  confirm(at: number): void {
    this.lastConfirmedAt = Math.max(this.lastConfirmedAt, at);
  }

  /** Adds the services that a version declares, and those that its new routes name. */
  private mergeServices(
    services: readonly string[] | undefined,
    routes: readonly CatalogRoute[],
  ): void {
    const routed = routes.flatMap(({shares}) =>
      shares.map(({service}) => service),
    );
    this.services =
      services === undefined || this.services === undefined
        ? undefined
        : new Set([...this.services, ...services, ...routed]);
  }

  private put(route: CatalogRoute): void {
    const key = destinationKey(route.address, route.port);
    const services = route.shares.map(({service}) => service);
    const allowedServices = this.allowServices(key, services);
    this.routes.set(key, {...route, allowedServices});
  }

  /** Adds to the services of a destination; returns all of them. */
  private allowServices(key: number, services: readonly string[]): Set<string> {
    const known = this.allowedByDestination.get(key) ?? new Set<string>();
    services.forEach(service => known.add(service));
    this.allowedByDestination.set(key, known);
    return known;
  }
}
