/**
 * The routes of the newest version that one daemon knows, and what it remembers of
 * the versions before.
 */
import {destinationKey} from '../routing/flow-key.js';
import type {CatalogRoute, ColdService, RouteListing} from './records.js';

/** A route with every service that a version known here gave to it. */
export interface KnownRoute extends CatalogRoute {
  readonly allowedServices: ReadonlySet<string>;
}

/** Routes by destination. */
export class RouteTable {
  /** Routes of the newest version by `destinationKey`. */
  private readonly routes = new Map<number, KnownRoute>();
  /** Services that any version gave to a destination, by `destinationKey`. */
  private readonly allowed = new Map<number, Set<string>>();
  private cold: readonly ColdService[] = [];
  /** What `serviceNames` answers. */
  private services: Set<string> | undefined = new Set();
  private newestVersion = 0;
  private lastConfirmedAt = -Infinity;
  /** When a version was last taken; monotonic milliseconds. */
  private changedAt = Infinity;

  private constructor(
    /** Time for which a flow may live, in milliseconds. */
    private readonly flowLifetimeMs: number,
  ) {}

  /** Creates a table without a version. */
  static create(flowLifetimeMs: number): RouteTable {
    return new RouteTable(flowLifetimeMs);
  }

  /** The newest version; 0: none yet. */
  get version(): number {
    return this.newestVersion;
  }

  /** Monotonic milliseconds at which the version was last known to be the newest. */
  get confirmedAt(): number {
    return this.lastConfirmedAt;
  }

  /**
   * Whether every flow that lives was opened by a version that is known: no other
   * one came for as long as a flow lives, neither here nor skipped on the way here.
   */
  get knowsVersions(): boolean {
    return this.lastConfirmedAt - this.changedAt >= this.flowLifetimeMs;
  }

  /** The route of a destination. */
  find(address: number, port: number): KnownRoute | undefined {
    return this.routes.get(destinationKey(address, port));
  }

  /** All routes. */
  all(): KnownRoute[] {
    return [...this.routes.values()];
  }

  /** Services whose cold servers take no more than a stated rate. */
  get coldServices(): readonly ColdService[] {
    return this.cold;
  }

  /** All services that versions known here named; undefined: one did not tell. */
  get serviceNames(): readonly string[] | undefined {
    return this.services && [...this.services];
  }

  /**
   * Whether a version known here names a service. What is of another may be anybody's;
   * while no version tells all services, nothing is.
   */
  names(service: string): boolean {
    return this.newestVersion === 0 || this.services?.has(service) !== false;
  }

  /**
   * Takes a version that a read at `confirmedAt` (monotonic milliseconds) showed to be
   * the newest, or that was the newest some time before `changedAt`; true if it is newer
   * than the one held. An older one changes nothing.
   */
  take(
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
    this.newestVersion = listing.version;
    this.changedAt = changedAt;
    this.cold = listing.coldServices;
    this.routes.clear();
    listing.routes.forEach(route => this.put(route));
    this.noteServices(listing);
    return true;
  }

  /** Notes that the version held was still the newest at a time. */
  confirm(at: number): void {
    this.lastConfirmedAt = Math.max(this.lastConfirmedAt, at);
  }

  private noteServices({services, routes}: RouteListing): void {
    const shared = routes.flatMap(({shares}) =>
      shares.map(({service}) => service),
    );
    this.services =
      services === undefined || this.services === undefined
        ? undefined
        : new Set([...this.services, ...services, ...shared]);
  }

  private put(route: CatalogRoute): void {
    const key = destinationKey(route.address, route.port);
    const services = route.shares.map(({service}) => service);
    const allowedServices = this.allow(key, services);
    this.routes.set(key, {...route, allowedServices});
  }

  /** Adds services to those of a destination; returns all of them. */
  private allow(key: number, services: readonly string[]): Set<string> {
    const known = this.allowed.get(key) ?? new Set<string>();
    services.forEach(service => known.add(service));
    this.allowed.set(key, known);
    return known;
  }
}
