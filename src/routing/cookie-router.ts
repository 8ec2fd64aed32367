/**
 * Routes packets of a fabric with cookies. Opening packets are load balanced; every
 * later packet goes to the server that its cookie identifies, so a daemon needs no
 * record of a flow to route it.
 */
import {NO_COOKIE} from '../catalog/cookie-index.js';
import type {CatalogServer} from '../catalog/records.js';
import type {KnownRoute} from '../catalog/route-table.js';
import type {Clock} from '../ports/clock.js';
import type {CallerPosition, CookiePacket} from '../ports/cookie-fabric.js';
import type {Counters} from '../ports/counters.js';
import {RetainedPackets} from './retained-packets.js';
import type {RequestObserver} from './request-outcome.js';
import {RequestTracker} from './request-tracker.js';
import {FlowTracker} from './flow-tracker.js';
import {ServerSelector, type ServerSelectorOptions} from './server-selector.js';
import {UnknownCookieFlows} from './unknown-cookies.js';

/**
 * Deducted from the limit for a version to be in force: a round trip to the store and
 * one to the caller.
 */
const REFUSAL_MARGIN_MS = 200;

/** Action taken on a packet. */
export const CookieVerdict = {
  FORWARD: 'forward',
  RESET: 'reset',
  DROP: 'drop',
} as const;
/** One of the actions in `CookieVerdict`. */
export type CookieVerdict = (typeof CookieVerdict)[keyof typeof CookieVerdict];

/** Why a packet is not forwarded. */
export const RefusalReason = {
  NO_ROUTE: 'no-route',
  NO_SERVER: 'no-server',
  /** The flow's server has permanently ended. */
  SERVER_GONE: 'server-gone',
  /** The flow's server is unreachable, and the route's requests may be retried. */
  SERVER_UNREACHABLE: 'server-unreachable',
  /** The packet's cookie identifies no known server of the route. */
  UNKNOWN_COOKIE: 'unknown-cookie',
  /** The packet is itself a reset, which is never answered with a reset. */
  NOTHING_TO_RESET: 'nothing-to-reset',
} as const;
/** One of the reasons in `RefusalReason`. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A decision to forward the packet to a server. */
export interface CookieForward {
  readonly verdict: typeof CookieVerdict.FORWARD;
  readonly server: CatalogServer;
  readonly cookie: number;
}

/** A decision to answer the packet with a reset or to drop it. */
export interface CookieRefusal {
  readonly verdict: typeof CookieVerdict.RESET | typeof CookieVerdict.DROP;
  readonly reason: RefusalReason;
}

/** A routing decision for one packet. */
export type CookieDecision = CookieForward | CookieRefusal;

/** Dependencies and settings of a `CookieRouter`. */
export interface CookieRouterOptions extends ServerSelectorOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  /** Time within which a route version has to be in force everywhere, in milliseconds. */
  readonly inForceLimitMs: number;
  /** Whether a server is unreachable from this daemon as well as for others. */
  isLost(server: string): boolean;
  /** Called for a packet to an unreachable server that may be reset once it is lost. */
  onUnverified(server: CatalogServer): void;
  /** Notified of requests as they end; undefined disables request tracking. */
  readonly observer: RequestObserver | undefined;
  /** Whether packets are retained for resending to restarted servers; off by default. */
  readonly retainsPackets?: boolean;
}

/** Routes the packets that one daemon receives. */
export class CookieRouter {
  readonly flows: FlowTracker;
  private readonly requestTracker: RequestTracker | undefined;
  private readonly unknownCookieFlows = UnknownCookieFlows.create();
  private readonly serverSelector: ServerSelector;

  private constructor(private readonly options: CookieRouterOptions) {
    const {counters, loadTracker, clock, observer, retainsPackets} = options;
    this.serverSelector = ServerSelector.create(options);
    this.requestTracker = observer && RequestTracker.create(observer);
    this.flows = FlowTracker.create({
      counters,
      loadTracker,
      requestTracker: this.requestTracker,
      retainedPackets:
        retainsPackets === true ? RetainedPackets.create() : undefined,
      onUnanswered: server =>
        this.serverSelector.recordUnanswered(server, clock.now()),
    });
  }

  /** Creates a router that tracks no flows yet. */
  static create(options: CookieRouterOptions): CookieRouter {
    return new CookieRouter(options);
  }

  /** Returns the routing decision for one packet and updates the flow records. */
  decide(packet: CookiePacket): CookieDecision {
    const {catalog} = this.options;
    const route = catalog.findRoute(
      packet.destinationAddress,
      packet.destinationPort,
    );
    if (route === undefined) {
      return this.refuse(packet, RefusalReason.NO_ROUTE);
    }
    return packet.opens
      ? this.routeOpening(packet, route)
      : this.routeByCookie(packet, route);
  }

  /** Reports requests whose answer is complete or overdue to the observer. */
  reportDueRequests(): void {
    this.requestTracker?.reportDue(this.options.clock.now());
  }

  /** Routes a packet other than an opening one to the server in its cookie. */
  private routeByCookie(
    packet: CookiePacket,
    route: KnownRoute,
  ): CookieDecision {
    const {catalog, clock} = this.options;
    const cookieServer = catalog.findServerByCookie(packet.cookie, route);
    if (packet.cookie === NO_COOKIE || cookieServer === undefined) {
      return this.refuseUnknownCookie(packet, route);
    }
    const server = this.flows.recordPacket(
      packet,
      route,
      cookieServer,
      clock.now(),
    );
    if (catalog.hasEnded(server)) {
      return this.refuse(packet, RefusalReason.SERVER_GONE);
    }
    if (this.shouldResetUnreachable(packet, route, server)) {
      const reason = RefusalReason.SERVER_UNREACHABLE;
      return {verdict: CookieVerdict.RESET, reason};
    }
    return {verdict: CookieVerdict.FORWARD, server, cookie: packet.cookie};
  }

  /** Whether a flow awaits an answer from a server where the route allows retries. */
  hasRetryableCallers(server: CatalogServer): boolean {
    return this.flows
      .listWaiting(server.id, this.options.clock.now())
      .some(({caller}) => this.isRetryable(caller));
  }

  /**
   * Marks the flows that await an answer from a lost server as ended, where the route
   * allows retries, and returns their callers so that they can be reset.
   */
  takeRetryableCallers(server: CatalogServer): CallerPosition[] {
    return this.flows.takeWaitingCallers(
      server.id,
      this.options.clock.now(),
      caller => this.isRetryable(caller),
    );
  }

  private isRetryable({
    destinationAddress,
    destinationPort,
  }: CallerPosition): boolean {
    const {catalog} = this.options;
    const route = catalog.findRoute(destinationAddress, destinationPort);
    return route?.repeatable === true;
  }

  /**
   * Whether the caller should be reset because its server is lost. A request that must
   * not be retried stays with its server, which may become reachable again.
   */
  private shouldResetUnreachable(
    packet: CookiePacket,
    route: KnownRoute,
    server: CatalogServer,
  ): boolean {
    const mayReset = route.repeatable && !packet.resets;
    if (!mayReset || !this.options.isUnreachable(server.id)) {
      return false;
    }
    const isLost = this.options.isLost(server.id);
    if (!isLost) {
      this.options.onUnverified(server);
    }
    return isLost;
  }

  /**
   * Drops a packet whose cookie identifies no server. Once an authoritative server list
   * newer than the flow's first packet lacks the cookie too, its server has ended, and
   * the packet is refused as such.
   */
  private refuseUnknownCookie(
    packet: CookiePacket,
    route: KnownRoute,
  ): CookieRefusal {
    const {catalog, clock} = this.options;
    const {serversConfirmedAt} = catalog.stamp;
    const serverHasEnded =
      packet.cookie !== NO_COOKIE &&
      !catalog.hasCookie(packet.cookie, route) &&
      this.unknownCookieFlows.isConfirmedAbsent(
        packet,
        serversConfirmedAt,
        clock.now(),
      ) &&
      catalog.isAuthoritative;
    return serverHasEnded
      ? this.refuse(packet, RefusalReason.SERVER_GONE)
      : {verdict: CookieVerdict.DROP, reason: RefusalReason.UNKNOWN_COOKIE};
  }

  /**
   * Selects a server for an opening packet. A retransmitted one counts against the server
   * that was tried last, and goes to another; once the flow is open, to the flow's server.
   */
  private routeOpening(
    packet: CookiePacket,
    route: KnownRoute,
  ): CookieDecision {
    const {catalog, clock} = this.options;
    const now = clock.now();
    const flow = this.flows.find(packet);
    if (flow?.isOpen === true && packet.openAttempt > 0) {
      return this.forwardLateOpening(flow.server, route);
    }
    const triedServers =
      flow === undefined || flow.isOpen ? [] : flow.triedServers;
    triedServers
      .slice(-1)
      .forEach(last => this.serverSelector.recordUnanswered(last, now));
    const server = this.serverSelector.select(route, triedServers, now);
    const cookie =
      server === undefined ? undefined : catalog.cookieOf(server, route);
    if (server === undefined || cookie === undefined) {
      return this.refuse(packet, RefusalReason.NO_SERVER);
    }
    this.flows.recordOpening(packet, server, now);
    this.serverSelector.recordOpening(server, now);
    return {verdict: CookieVerdict.FORWARD, server, cookie};
  }

  /** Forwards a retransmitted opening packet of an open flow to the flow's server. */
  private forwardLateOpening(
    server: CatalogServer,
    route: KnownRoute,
  ): CookieForward {
    const cookie = this.options.catalog.cookieOf(server, route) ?? NO_COOKIE;
    return {verdict: CookieVerdict.FORWARD, server, cookie};
  }

  /** Resets the caller if the catalog is current; drops the packet otherwise. */
  private refuse(packet: CookiePacket, reason: RefusalReason): CookieRefusal {
    if (packet.resets) {
      return {
        verdict: CookieVerdict.DROP,
        reason: RefusalReason.NOTHING_TO_RESET,
      };
    }
    return this.isCatalogCurrent()
      ? {verdict: CookieVerdict.RESET, reason}
      : {verdict: CookieVerdict.DROP, reason};
  }

  /**
   * Whether the catalog was confirmed recently enough that no unknown version can be in
   * force. An older catalog may lack a route, so callers are not reset because of it.
   */
  isCatalogCurrent(): boolean {
    const {catalog, clock, inForceLimitMs} = this.options;
    const oldest = clock.now() - (inForceLimitMs - REFUSAL_MARGIN_MS);
    const {routesConfirmedAt, serversConfirmedAt} = catalog.stamp;
    return routesConfirmedAt >= oldest && serversConfirmedAt >= oldest;
  }
}
