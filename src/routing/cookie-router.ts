/**
 * Routing over a fabric whose packets carry cookies. Opening packets are placed;
 * every later packet goes to the server that its cookie names, so any daemon
 * decides alike without memory of the flow.
 */
import type {Catalog} from '../catalog/catalog.js';
import {NO_COOKIE} from '../catalog/cookie-index.js';
import type {CatalogServer} from '../catalog/records.js';
import type {KnownRoute} from '../catalog/route-table.js';
import type {Clock} from '../ports/clock.js';
import type {CallerPosition, CookiePacket} from '../ports/cookie-fabric.js';
import type {Counters} from '../ports/counters.js';
import {ColdOpenings, type ColdLimits} from './cold-openings.js';
import type {Candidate, Placement} from './placement.js';
import type {Random} from './random.js';
import {SeenFlows} from './seen-flows.js';
import type {ServerWorkLedger} from './server-work.js';
import {UnknownCookies} from './unknown-cookies.js';

/**
 * Time by which a refusal lies within the limit for a version to be in force, in
 * milliseconds: a round trip to the store and one to the caller.
 */
const REFUSAL_MARGIN_MS = 200;

/**
 * Servers that are weighed for one opening: with 32, one that is idle is among
 * them for certain enough, and the cost does not grow with the service.
 */
const LARGEST_CHOICE = 32;

/** Share of its slots that a server has while it is slow from its start. */
const COLD_SHARE = 0.6;

/** What becomes of a packet. */
export const Verdict = {
  FORWARD: 'forward',
  RESET: 'reset',
  DROP: 'drop',
} as const;
/** One of the values of `Verdict`. */
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Why a packet is not forwarded. */
export const RefusalReason = {
  NO_ROUTE: 'no-route',
  NO_SERVER: 'no-server',
  /** The flow's server has ended for certain. */
  SERVER_GONE: 'server-gone',
  /** No daemon reaches the flow's server, and its requests may be repeated. */
  SERVER_UNREACHABLE: 'server-unreachable',
  /** No server of the route has the packet's cookie. */
  UNKNOWN_COOKIE: 'unknown-cookie',
  /** A caller gave up a flow that has no route. */
  NOTHING_TO_RESET: 'nothing-to-reset',
} as const;
/** One of the reasons in `RefusalReason`. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Send the packet to a server. */
export interface CookieForward {
  readonly verdict: typeof Verdict.FORWARD;
  readonly server: CatalogServer;
  readonly cookie: number;
}

/** Refuse the packet, aloud or silently. */
export interface CookieRefusal {
  readonly verdict: typeof Verdict.RESET | typeof Verdict.DROP;
  readonly reason: RefusalReason;
}

/** What to do with a packet. */
export type CookieDecision = CookieForward | CookieRefusal;

/** What a router is made from. */
export interface CookieRouterOptions {
  readonly catalog: Catalog;
  readonly work: ServerWorkLedger;
  readonly placement: Placement;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  /** Time in which a version has to be in force everywhere, in milliseconds. */
  readonly inForceLimitMs: number;
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

/** Decides on packets that carry cookies. */
export class CookieRouter {
  readonly flows: SeenFlows;
  private readonly unknown = UnknownCookies.create();
  private readonly coldOpenings: ColdOpenings;

  private constructor(private readonly options: CookieRouterOptions) {
    const {counters, work, clock, coldLimits, random} = options;
    this.coldOpenings = ColdOpenings.create(coldLimits, random);
    this.flows = SeenFlows.create({
      counters,
      work,
      onUnanswered: server => this.noteUnanswered(server, clock.now()),
    });
  }

  /** Creates a router without any flow. */
  static create(options: CookieRouterOptions): CookieRouter {
    return new CookieRouter(options);
  }

  /** Decides on one packet. */
  decide(packet: CookiePacket): CookieDecision {
    const {catalog} = this.options;
    const route = catalog.routeOf(
      packet.destinationAddress,
      packet.destinationPort,
    );
    if (route === undefined) {
      return this.refuse(packet, RefusalReason.NO_ROUTE);
    }
    return packet.opens ? this.open(packet, route) : this.follow(packet, route);
  }

  /** Sends a later packet where its cookie says. */
  private follow(packet: CookiePacket, route: KnownRoute): CookieDecision {
    const {catalog, clock} = this.options;
    const named = catalog.serverOf(packet.cookie, route);
    if (packet.cookie === NO_COOKIE || named === undefined) {
      return this.refuseUnknown(packet, route);
    }
    const server = this.flows.notePacket(packet, named, clock.now());
    if (catalog.isGone(server)) {
      return this.refuse(packet, RefusalReason.SERVER_GONE);
    }
    if (this.isCutOff(packet, route, server)) {
      const reason = RefusalReason.SERVER_UNREACHABLE;
      return {verdict: Verdict.RESET, reason};
    }
    return {verdict: Verdict.FORWARD, server, cookie: packet.cookie};
  }

  /**
   * Callers that waited for a server which cannot be reached from now on, and may send
   * their requests again elsewhere.
   */
  takeCutOff(server: CatalogServer): CallerPosition[] {
    const {catalog, clock} = this.options;
    return this.flows
      .takeWaiting(server.id, clock.now())
      .filter(
        ({destinationAddress, destinationPort}) =>
          catalog.routeOf(destinationAddress, destinationPort)?.repeatable ===
          true,
      );
  }

  /**
   * Whether a packet's caller gains by a reset: its server cannot be reached, and its
   * request may be repeated. One that may not be is better off with the server that has
   * it, should that come back.
   */
  private isCutOff(
    packet: CookiePacket,
    route: KnownRoute,
    server: CatalogServer,
  ): boolean {
    return (
      route.repeatable &&
      !packet.resets &&
      this.options.isUnreachable(server.id)
    );
  }

  /**
   * A cookie that names nobody is dropped; once the list was surely read without
   * its server, and steadily so, the server has ended and the caller is told.
   */
  private refuseUnknown(
    packet: CookiePacket,
    route: KnownRoute,
  ): CookieRefusal {
    const {catalog, clock} = this.options;
    const {serversConfirmedAt} = catalog.stamp;
    const isGone =
      packet.cookie !== NO_COOKIE &&
      !catalog.hasCookie(packet.cookie, route) &&
      this.unknown.isSurelyAbsent(packet, serversConfirmedAt, clock.now()) &&
      catalog.isSteady;
    return isGone
      ? this.refuse(packet, RefusalReason.SERVER_GONE)
      : {verdict: Verdict.DROP, reason: RefusalReason.UNKNOWN_COOKIE};
  }

  /** Places an opening packet; a copy of one goes to another server. */
  private open(packet: CookiePacket, route: KnownRoute): CookieDecision {
    const {catalog, clock} = this.options;
    const now = clock.now();
    const known = this.flows.find(packet);
    if (known?.isOpen === true && packet.openCopy > 0) {
      return this.repeatOpening(known.server, route);
    }
    const tried = known === undefined || known.isOpen ? [] : known.tried;
    tried.slice(-1).forEach(last => this.noteUnanswered(last, now));
    const server = this.place(route, tried, now);
    const cookie =
      server === undefined ? undefined : catalog.cookieOf(server, route);
    if (server === undefined || cookie === undefined) {
      return this.refuse(packet, RefusalReason.NO_SERVER);
    }
    this.flows.noteOpening(packet, server, now);
    this.noteColdOpening(server, now);
    return {verdict: Verdict.FORWARD, server, cookie};
  }

  /** A copy that was overtaken by its flow's later packets goes where they went. */
  private repeatOpening(
    server: CatalogServer,
    route: KnownRoute,
  ): CookieForward {
    const cookie = this.options.catalog.cookieOf(server, route) ?? NO_COOKIE;
    return {verdict: Verdict.FORWARD, server, cookie};
  }

  /** Counts a packet without an answer; tells of a server that falls silent. */
  private noteUnanswered(server: CatalogServer, now: number): void {
    if (this.options.work.noteUnanswered(server.id, now)) {
      this.options.onSilent(server);
    }
    this.options.onUnanswered(server);
  }

  /** A server for a new flow; undefined when the route's service has none. */
  private place(
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

  /** A cold server that took a flow takes the next by a new chance. */
  private noteColdOpening(server: CatalogServer, now: number): void {
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
    const untried = trusted.filter(
      ({id}) => !tried.some(server => server.id === id),
    );
    return untried.length > 0 ? untried : trusted;
  }

  /** A server as the placement sees it; `index` is its position in the choice. */
  private candidateOf(
    server: CatalogServer,
    index: number,
    now: number,
  ): Candidate {
    const {work, placement, catalog} = this.options;
    const warm = catalog.isCold(server, now) ? COLD_SHARE : 1;
    const ownFlows = work.ownUnfinished(server.id);
    const flows = placement.usesPeerWork
      ? work.unfinished(server.id, now)
      : ownFlows;
    return {server: index, weight: server.slots * warm, flows, ownFlows};
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

  /** Refuses aloud only what the catalog surely does not hold. */
  private refuse(packet: CookiePacket, reason: RefusalReason): CookieRefusal {
    if (packet.resets) {
      return {verdict: Verdict.DROP, reason: RefusalReason.NOTHING_TO_RESET};
    }
    return this.isCurrent()
      ? {verdict: Verdict.RESET, reason}
      : {verdict: Verdict.DROP, reason};
  }

  /**
   * Whether no version can be in force yet that is not known: an older copy may
   * lack a route, so the daemon stays silent about what it does not hold.
   */
  private isCurrent(): boolean {
    const {catalog, clock, inForceLimitMs} = this.options;
    const oldest = clock.now() - (inForceLimitMs - REFUSAL_MARGIN_MS);
    const {routesConfirmedAt, serversConfirmedAt} = catalog.stamp;
    return routesConfirmedAt >= oldest && serversConfirmedAt >= oldest;
  }
}
