/**
 * Selects the backend server for a new flow: filters by region, cold-start rate and
 * responsiveness, then load balances among the remaining servers. A server is cold while
 * in slow start, after its own start or its domain's restoration. Used by `CookieRouter`.
 */
import type {Catalog} from '../catalog/catalog.js';
import type {CatalogServer} from '../catalog/records.js';
import type {KnownRoute} from '../catalog/route-table.js';
import type {ServerRatings} from '../feedback/server-ratings.js';
import {ColdStartLimiter, type ColdStartLimits} from './cold-start-limiter.js';
import type {Candidate, Placement} from './placement.js';
import type {Random} from './random.js';
import type {ServerLoadTracker} from './server-load-tracker.js';

/**
 * Servers compared for one new flow; bounds the cost for large services. Among 32 an idle
 * one is nearly certain.
 */
const MAX_CANDIDATES = 32;

/** Fraction of a cold server's slots that counts in its weight. */
const COLD_CAPACITY_SHARE = 0.6;

/** Dependencies and settings of a `ServerSelector`. */
export interface ServerSelectorOptions {
  readonly catalog: Catalog;
  readonly loadTracker: ServerLoadTracker;
  readonly placement: Placement;
  readonly random: Random;
  /** Performance ratings of the servers relative to others of their service. */
  readonly ratings: ServerRatings;
  /** Called when a server is found unresponsive; it gets no new flows until its backoff ends. */
  onUnresponsive(server: CatalogServer): void;
  /** Called for each packet that a server left unanswered. */
  onUnanswered(server: CatalogServer): void;
  /** Whether daemons in several failure domains found the server unreachable. */
  isUnreachable(server: string): boolean;
  /** Returns the region of a failure domain; undefined if it is not known. */
  regionOf(failureDomain: string): string | undefined;
  /** Limit on the requests per second to a cold server, from its service's rate. */
  readonly coldLimits: ColdStartLimits;
  /** Returns how many daemons open flows; undefined while that is not known. */
  countDaemons(): number | undefined;
}

/** Selects servers for the new flows of one daemon. */
export class ServerSelector {
  private readonly coldStartLimiter: ColdStartLimiter;

  private constructor(private readonly options: ServerSelectorOptions) {
    const {coldLimits, random} = options;
    this.coldStartLimiter = ColdStartLimiter.create(coldLimits, random);
  }

  /** Creates a selector that has opened no flows yet. */
  static create(options: ServerSelectorOptions): ServerSelector {
    return new ServerSelector(options);
  }

  /**
   * Returns a server for a new flow, preferably not one of `triedServers`; undefined when
   * the service selected from the route has no eligible server. `now` is monotonic
   * milliseconds.
   */
  select(
    route: KnownRoute,
    triedServers: readonly CatalogServer[],
    now: number,
  ): CatalogServer | undefined {
    const {catalog, placement, random, ratings} = this.options;
    const service = this.selectService(route);
    const eligible = this.filterByRegion(
      catalog.openServers(service, now),
      route,
    );
    const admitted = this.filterByColdRate(eligible, service, now);
    const isNeutral = ratings.isNeutral(service, now);
    const notEjected = isNeutral
      ? admitted
      : this.excludeEjected(admitted, now);
    // Later packets could not identify a server that has no cookie at the route.
    const servers = this.sample(notEjected).filter(
      server => catalog.cookieOf(server, route) !== undefined,
    );
    this.recordOverdueOpenings(servers, now);
    const usable = this.filterUsable(servers, triedServers, now);
    if (usable.length === 0) {
      return undefined;
    }
    const kept = isNeutral ? usable : this.thinByWeight(usable, now);
    const candidates = this.createCandidates(kept, now);
    return kept[placement.choose(candidates, random.nextInt(kept.length))];
  }

  /** Returns the servers in the regions of a route; all if it is bound to none. */
  private filterByRegion(
    servers: readonly CatalogServer[],
    {regions}: KnownRoute,
  ): readonly CatalogServer[] {
    return regions.length === 0
      ? servers
      : servers.filter(({failureDomain}) => {
          const region = this.options.regionOf(failureDomain);
          return region !== undefined && regions.includes(region);
        });
  }

  /**
   * Returns the warm servers alone if the service limits the request rate of cold ones.
   * While none is warm, returns the cold ones whose rate limit admits a flow now; none if
   * the number of daemons is not known. Without a limit all servers are returned.
   */
  private filterByColdRate(
    servers: readonly CatalogServer[],
    service: string,
    now: number,
  ): readonly CatalogServer[] {
    const {catalog} = this.options;
    const rate = catalog.coldRateOf(service);
    if (rate === 0) {
      return servers;
    }
    const warm = servers.filter(server => !catalog.isCold(server, now));
    const daemons = this.options.countDaemons();
    if (warm.length > 0 || daemons === undefined) {
      return warm;
    }
    return servers.filter(({id}) =>
      this.coldStartLimiter.admits(id, rate, daemons, now),
    );
  }

  /** Records that a flow was opened; at a cold server, it counts against the rate limit. */
  recordOpening(server: CatalogServer, now: number): void {
    const {catalog} = this.options;
    const rate = catalog.coldRateOf(server.service);
    const daemons = this.options.countDaemons();
    if (rate > 0 && daemons !== undefined && catalog.isCold(server, now)) {
      this.coldStartLimiter.recordOpening(server.id, rate, daemons, now);
    }
  }

  /** Returns all servers, or `MAX_CANDIDATES` successive ones from a random position. */
  private sample(servers: readonly CatalogServer[]): readonly CatalogServer[] {
    if (servers.length <= MAX_CANDIDATES) {
      return servers;
    }
    const start = this.options.random.nextInt(servers.length);
    const tail = servers.slice(start, start + MAX_CANDIDATES);
    return [...tail, ...servers.slice(0, MAX_CANDIDATES - tail.length)];
  }

  /** Records servers with an overdue answer to an opening packet as unresponsive. */
  private recordOverdueOpenings(
    servers: readonly CatalogServer[],
    now: number,
  ): void {
    const {loadTracker} = this.options;
    servers
      .filter(({id}) => loadTracker.hasOverdueOpening(id, now))
      .forEach(server => this.recordUnanswered(server, now));
  }

  /**
   * Returns responsive servers, those not tried yet if there are any. When fewer than half
   * are responsive, responsiveness is ignored: the fault may be in this daemon's network.
   */
  private filterUsable(
    servers: readonly CatalogServer[],
    triedServers: readonly CatalogServer[],
    now: number,
  ): readonly CatalogServer[] {
    const {loadTracker} = this.options;
    const responsive = servers.filter(
      ({id}) =>
        !loadTracker.isUnresponsive(id, now) && !this.options.isUnreachable(id),
    );
    const considered =
      responsive.length * 2 >= servers.length ? responsive : servers;
    const untried = considered.filter(
      ({id}) => !triedServers.some(server => server.id === id),
    );
    return untried.length > 0 ? untried : considered;
  }

  /** Returns the servers that are not ejected; all if every one is. */
  private excludeEjected(
    servers: readonly CatalogServer[],
    now: number,
  ): readonly CatalogServer[] {
    const {ratings} = this.options;
    const remaining = servers.filter(
      server => !ratings.ratingOf(server, now).isEjected,
    );
    return remaining.length > 0 ? remaining : servers;
  }

  /**
   * Returns the servers of full weight, and each other one with its weight as probability;
   * all if none is left. A weight that divided the load would exclude its server: most
   * servers have one or no request of a daemon, and one of them is always idle.
   */
  private thinByWeight(
    servers: readonly CatalogServer[],
    now: number,
  ): readonly CatalogServer[] {
    const {random} = this.options;
    const kept = servers.filter(server => {
      const weight = this.weightOf(server, now);
      return weight >= 1 || random.nextBool(weight);
    });
    return kept.length > 0 ? kept : servers;
  }

  private weightOf(server: CatalogServer, now: number): number {
    return this.options.ratings.ratingOf(server, now).weight;
  }

  /**
   * Creates the placement candidates of servers, identified by their indexes. One of
   * reduced weight counts as at least as loaded as another server drawn at random, since
   * it is idle more often and would attract more flows than its weight allows.
   */
  private createCandidates(
    servers: readonly CatalogServer[],
    now: number,
  ): Candidate[] {
    const {random} = this.options;
    const candidates = servers.map((server, index) =>
      this.createCandidate(server, index, now),
    );
    const isTypical = servers.map(server => this.weightOf(server, now) >= 1);
    const typical = candidates.filter((_candidate, index) => isTypical[index]);
    return candidates.map((candidate, index) =>
      isTypical[index] || typical.length === 0
        ? candidate
        : raiseLoad(candidate, typical[random.nextInt(typical.length)]),
    );
  }

  /** Creates the placement candidate of a server; `index` identifies it to the placement. */
  private createCandidate(
    server: CatalogServer,
    index: number,
    now: number,
  ): Candidate {
    const {loadTracker, placement, catalog} = this.options;
    const capacityShare = catalog.isCold(server, now) ? COLD_CAPACITY_SHARE : 1;
    const ownFlows = loadTracker.countLocalInFlight(server.id);
    const flows = placement.usesPeerLoad
      ? loadTracker.countInFlight(server.id, now)
      : ownFlows;
    const weight = server.slots * capacityShare;
    return {server: index, weight, flows, localFlows: ownFlows};
  }

  /** Selects one of the route's services at random by weight; empty if it has none. */
  private selectService(route: KnownRoute): string {
    const total = route.shares.reduce((sum, {weight}) => sum + weight, 0);
    const point = this.options.random.next() * total;
    const cumulativeWeights = route.shares.map((_share, index) =>
      route.shares
        .slice(0, index + 1)
        .reduce((sum, {weight}) => sum + weight, 0),
    );
    const index = cumulativeWeights.findIndex(end => point < end);
    return route.shares[Math.max(0, index)]?.service ?? '';
  }

  /** Records a packet left unanswered and reports a server that became unresponsive. */
  recordUnanswered(server: CatalogServer, now: number): void {
    if (this.options.loadTracker.recordUnanswered(server.id, now)) {
      this.options.onUnresponsive(server);
    }
    this.options.onUnanswered(server);
  }
}

/** Returns a candidate that is at least as loaded as `other`, by weight. */
function raiseLoad(candidate: Candidate, other: Candidate): Candidate {
  const scale = candidate.weight / other.weight;
  return {
    ...candidate,
    flows: Math.max(candidate.flows, other.flows * scale),
    localFlows: Math.max(candidate.localFlows, other.localFlows * scale),
  };
}
