/**
 * The choice of a backend server for a new flow: who may take it at all, who of them
 * answers, and which of those is lightest.
 */
import type {Catalog} from '../catalog/catalog.js';
import type {CatalogServer} from '../catalog/records.js';
import type {KnownRoute} from '../catalog/route-table.js';
import type {ServerRatings} from '../feedback/server-ratings.js';
import {ColdOpenings, type ColdLimits} from './cold-openings.js';
import type {Candidate, Placement} from './placement.js';
import type {Random} from './random.js';
import type {ServerLoadTracker} from './server-load-tracker.js';

/**
 * Servers that are weighed for one opening: with 32, one that is idle is among
 * them for certain enough, and the cost does not grow with the service.
 */
const LARGEST_CHOICE = 32;

/** Share of its slots that a server has while it is slow from its start. */
const COLD_SHARE = 0.6;

/** What a choice is made from. */
export interface ServerChoiceOptions {
  readonly catalog: Catalog;
  readonly work: ServerLoadTracker;
  readonly placement: Placement;
  readonly random: Random;
  /** What callers' packets tell of each server beside the others of its service. */
  readonly ratings: ServerRatings;
  /** Told of a server that left a packet unanswered and is avoided from now on. */
  onSilent(server: CatalogServer): void;
  /** Told of each packet that a server left unanswered. */
  onUnanswered(server: CatalogServer): void;
  /** Whether daemons of several failure domains cannot reach a server. */
  isUnreachable(server: string): boolean;
  /** The region of a failure domain; undefined if none is known. */
  regionOf(failureDomain: string): string | undefined;
  readonly coldLimits: ColdLimits;
  /** How many daemons open flows; undefined while that is not known. */
  countDaemons(): number | undefined;
}

/** Chooses servers for the new flows of one daemon. */
export class ServerChoice {
  private readonly coldOpenings: ColdOpenings;

  private constructor(private readonly options: ServerChoiceOptions) {
    const {coldLimits, random} = options;
    this.coldOpenings = ColdOpenings.create(coldLimits, random);
  }

  /** Creates a choice without any history. */
  static create(options: ServerChoiceOptions): ServerChoice {
    return new ServerChoice(options);
  }

  /** A server for a new flow; undefined when the route's service has none. */
  choose(
    route: KnownRoute,
    tried: readonly CatalogServer[],
    now: number,
  ): CatalogServer | undefined {
    const {catalog, placement, random} = this.options;
    const service = this.chooseService(route);
    const open = this.withinRegions(catalog.openServers(service), route);
    const admitted = this.withinColdRate(open, service, now);
    const servers = this.sample(admitted).filter(
      server => catalog.cookieOf(server, route) !== undefined,
    );
    this.noteOverdue(servers, now);
    const usable = this.usableOf(servers, tried, now);
    if (usable.length === 0) {
      return undefined;
    }
    const candidates = usable.map((server, index) =>
      this.candidateOf(server, index, now),
    );
    return usable[placement.choose(candidates, random.below(usable.length))];
  }

  /** Servers that may take a route's flows: all, unless it is bound to regions. */
  private withinRegions(
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
   * Warm servers alone, where a service states what a cold one takes. While it has none,
   * the cold ones at which this daemon may open a flow now; none if the daemons cannot
   * be counted.
   */
  private withinColdRate(
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
      this.coldOpenings.admits(id, rate, daemons, now),
    );
  }

  /** Notes that a flow was opened; a cold server takes the next by a new chance. */
  noteOpening(server: CatalogServer, now: number): void {
    const {catalog} = this.options;
    const rate = catalog.coldRateOf(server.service);
    const daemons = this.options.countDaemons();
    if (rate > 0 && daemons !== undefined && catalog.isCold(server, now)) {
      this.coldOpenings.noteOpening(server.id, rate, daemons, now);
    }
  }

  /** All of a small service; of a large one some neighbours, by chance. */
  private sample(servers: readonly CatalogServer[]): readonly CatalogServer[] {
    if (servers.length <= LARGEST_CHOICE) {
      return servers;
    }
    const start = this.options.random.below(servers.length);
    const end = servers.slice(start, start + LARGEST_CHOICE);
    return [...end, ...servers.slice(0, LARGEST_CHOICE - end.length)];
  }

  /** Servers that left an opening unanswered for longer than usual are avoided. */
  private noteOverdue(servers: readonly CatalogServer[], now: number): void {
    const {work} = this.options;
    servers
      .filter(({id}) => work.hasRefused(id, now))
      .forEach(server => this.noteUnanswered(server, now));
  }

  /**
   * Servers not tried yet that answer. When fewer than half of the servers
   * answer, silence counts for nothing: it may be this daemon's network.
   */
  private usableOf(
    servers: readonly CatalogServer[],
    tried: readonly CatalogServer[],
    now: number,
  ): readonly CatalogServer[] {
    const {work} = this.options;
    const answering = servers.filter(
      ({id}) => !work.isSilent(id, now) && !this.options.isUnreachable(id),
    );
    const trusted =
      answering.length * 2 >= servers.length ? answering : servers;
    const rated = this.withoutEjected(trusted, now);
    const untried = rated.filter(
      ({id}) => !tried.some(server => server.id === id),
    );
    return untried.length > 0 ? untried : rated;
  }

  /** Servers that are not ejected; all if every one of them is. */
  private withoutEjected(
    servers: readonly CatalogServer[],
    now: number,
  ): readonly CatalogServer[] {
    const {ratings} = this.options;
    const kept = servers.filter(({id}) => !ratings.ratingOf(id, now).isEjected);
    return kept.length > 0 ? kept : servers;
  }

  /** A server as the placement sees it; `index` is its position in the choice. */
  private candidateOf(
    server: CatalogServer,
    index: number,
    now: number,
  ): Candidate {
    const {work, placement, catalog, ratings} = this.options;
    const rating = ratings.ratingOf(server.id, now);
    const warm = catalog.isCold(server, now) ? COLD_SHARE : 1;
    const ownFlows = work.countLocalInFlight(server.id);
    const flows = placement.usesPeerLoad
      ? work.countInFlight(server.id, now)
      : ownFlows;
    const weight = server.slots * warm * rating.weight;
    return {server: index, weight, flows, ownFlows};
  }

  /** One of the route's services, by their weights. */
  private chooseService(route: KnownRoute): string {
    const total = route.shares.reduce((sum, {weight}) => sum + weight, 0);
    const point = this.options.random.next() * total;
    // The end of each share on the line from 0 to the total.
    const ends = route.shares.map((_share, index) =>
      route.shares
        .slice(0, index + 1)
        .reduce((sum, {weight}) => sum + weight, 0),
    );
    const index = ends.findIndex(end => point < end);
    return route.shares[Math.max(0, index)]?.service ?? '';
  }

  /** Counts a packet without an answer; tells of a server that falls silent. */
  noteUnanswered(server: CatalogServer, now: number): void {
    if (this.options.work.noteUnanswered(server.id, now)) {
      this.options.onSilent(server);
    }
    this.options.onUnanswered(server);
  }
}
