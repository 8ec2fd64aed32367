/**
 * Routing over a fabric whose packets carry cookies. Opening packets are placed;
 * every later packet goes to the server that its cookie names, so any daemon
 * decides alike without memory of the flow.
 */
import {NO_COOKIE} from '../catalog/cookie-index.js';
import type {CatalogServer} from '../catalog/records.js';
import type {KnownRoute} from '../catalog/route-table.js';
import type {Clock} from '../ports/clock.js';
import type {CallerPosition, CookiePacket} from '../ports/cookie-fabric.js';
import type {Counters} from '../ports/counters.js';
import {KeptPackets} from './kept-packets.js';
import type {RequestObserver} from './request-outcome.js';
import {RequestWatch} from './request-watch.js';
import {SeenFlows} from './seen-flows.js';
import {ServerChoice, type ServerChoiceOptions} from './server-choice.js';
import {UnknownCookies} from './unknown-cookies.js';

/**
 * Time by which a refusal lies within the limit for a version to be in force, in
 * milliseconds: a round trip to the store and one to the caller.
 */
const REFUSAL_MARGIN_MS = 200;

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
export interface CookieRouterOptions extends ServerChoiceOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  /** Time in which a version has to be in force everywhere, in milliseconds. */
  readonly inForceLimitMs: number;
  /** Whether neither others nor this daemon can reach a server. */
  isLost(server: string): boolean;
  /** Told of callers' requests as they end; undefined where nobody asks. */
  readonly observer: RequestObserver | undefined;
  /** Whether packets are kept for servers that start again; undefined: no. */
  readonly keepsPackets?: boolean;
}

/** Decides on packets that carry cookies. */
export class CookieRouter {
  readonly flows: SeenFlows;
  private readonly watch: RequestWatch | undefined;
  private readonly unknown = UnknownCookies.create();
  private readonly choice: ServerChoice;

  private constructor(private readonly options: CookieRouterOptions) {
    const {counters, work, clock, observer, keepsPackets} = options;
    this.choice = ServerChoice.create(options);
    this.watch = observer && RequestWatch.create(observer);
    this.flows = SeenFlows.create({
      counters,
      work,
      watch: this.watch,
      packets: keepsPackets === true ? KeptPackets.create() : undefined,
      onUnanswered: server => this.choice.noteUnanswered(server, clock.now()),
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

  /** Tells the observer of requests that have ended by now. */
  settleRequests(): void {
    this.watch?.settle(this.options.clock.now());
  }

  /** Sends a later packet where its cookie says. */
  private follow(packet: CookiePacket, route: KnownRoute): CookieDecision {
    const {catalog, clock} = this.options;
    const named = catalog.serverOf(packet.cookie, route);
    if (packet.cookie === NO_COOKIE || named === undefined) {
      return this.refuseUnknown(packet, route);
    }
    const server = this.flows.notePacket(packet, route, named, clock.now());
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
    return this.flows.takeWaiting(
      server.id,
      clock.now(),
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
    return route.repeatable && !packet.resets && this.options.isLost(server.id);
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
    tried.slice(-1).forEach(last => this.choice.noteUnanswered(last, now));
    const server = this.choice.choose(route, tried, now);
    const cookie =
      server === undefined ? undefined : catalog.cookieOf(server, route);
    if (server === undefined || cookie === undefined) {
      return this.refuse(packet, RefusalReason.NO_SERVER);
    }
    this.flows.noteOpening(packet, server, now);
    this.choice.noteOpening(server, now);
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
  isCurrent(): boolean {
    const {catalog, clock, inForceLimitMs} = this.options;
    const oldest = clock.now() - (inForceLimitMs - REFUSAL_MARGIN_MS);
    const {routesConfirmedAt, serversConfirmedAt} = catalog.stamp;
    return routesConfirmedAt >= oldest && serversConfirmedAt >= oldest;
  }
}
