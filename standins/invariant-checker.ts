/**
 * Checks the invariants that daemons guarantee, from what servers and callers of a fabric
 * with cookies observe. The simulated and the emulated platform use it.
 */
import type {CatalogRoute, CatalogServer} from '../src/catalog/records.js';
import type {Clock} from '../src/ports/clock.js';
import type {CookiePacket} from '../src/ports/cookie-fabric.js';
import {destinationKey} from '../src/routing/flow-key.js';
import type {CookieServer} from './cookie-servers.js';
import {flowName} from './cookie-callers.js';

/** Time after a server responds again in which daemons may still reset its flows. */
export const RESUME_GRACE_MS = 4_000;

/** Consecutive misrouted packets at which a flow counts as broken. */
const MISROUTED_PACKET_LIMIT = 3;

/**
 * Time in which new flows must stop after the start of a drain, the removal of a route,
 * and an evacuation.
 */
export interface InvariantBounds {
  readonly drainMs: number;
  readonly configurationMs: number;
  readonly evacuationMs: number;
}

/** A violated invariant; `promise` names which one. */
export interface InvariantViolation {
  readonly promise:
    | 'route'
    | 'drain'
    | 'configuration'
    | 'evacuation'
    | 'flow'
    | 'reset'
    | 'withdrawal';
  readonly atMs: number;
  readonly detail: string;
}

/** Options of an invariant checker. */
export interface InvariantCheckerOptions {
  readonly clock: Clock;
  readonly bounds: InvariantBounds;
  /** Returns the server that accepted a flow; undefined: none has. */
  findFlowServer(flow: string): CookieServer | undefined;
}

/** Records the violations that it observes. */
export class InvariantChecker {
  readonly violations: InvariantViolation[] = [];
  private readonly misroutedPackets = new Map<string, number>();
  /** Services that any published version routed a destination to. */
  private readonly allowedServices = new Map<number, Set<string>>();
  private readonly routeRemovedAt = new Map<number, number>();
  private readonly drainStartedAt = new Map<string, number>();
  private readonly evacuationStartedAt = new Map<string, number>();
  private routes: readonly CatalogRoute[] = [];

  private constructor(private readonly options: InvariantCheckerOptions) {}

  /** Creates a checker without observations. */
  static create(options: InvariantCheckerOptions): InvariantChecker {
    return new InvariantChecker(options);
  }

  /** Records that a version of the routes is published now. */
  recordRoutes(routes: readonly CatalogRoute[]): void {
    const kept = new Set(routes.map(routeKey));
    this.routes
      .map(routeKey)
      .filter(key => !kept.has(key))
      .forEach(key => this.routeRemovedAt.set(key, this.options.clock.now()));
    kept.forEach(key => this.routeRemovedAt.delete(key));
    routes.forEach(route => this.addAllowedServices(route));
    this.routes = routes;
  }

  /** Records that a server starts to drain now. */
  recordDrainStart(server: string): void {
    this.drainStartedAt.set(server, this.options.clock.now());
  }

  /** Records the start or restart of a server, which ends its drain. */
  recordServerStart(server: string): void {
    this.drainStartedAt.delete(server);
  }

  /** Records that a failure domain is evacuated now. */
  recordEvacuation(failureDomain: string): void {
    const since = this.evacuationStartedAt.get(failureDomain);
    this.evacuationStartedAt.set(
      failureDomain,
      since ?? this.options.clock.now(),
    );
  }

  /** Records that the evacuation of a failure domain ends. */
  recordRestoration(failureDomain: string): void {
    this.evacuationStartedAt.delete(failureDomain);
  }

  /** Records that the router still uses a daemon that should have been withdrawn. */
  recordLateWithdrawal(daemon: string): void {
    this.reportViolation('withdrawal', `${daemon} is still in service`);
  }

  /** Checks a packet that reached its target server. */
  checkArrival(packet: CookiePacket, server: CookieServer): void {
    const {entry} = server;
    const key = destinationKey(
      packet.destinationAddress,
      packet.destinationPort,
    );
    if (this.allowedServices.get(key)?.has(entry.service) !== true) {
      this.reportViolation(
        'route',
        `${flowName(packet)} reached ${entry.service}`,
      );
    }
    if (packet.opens) {
      this.checkOpening(packet, entry, key);
    } else if (!server.hasFlow(flowName(packet))) {
      this.checkMisroutedPacket(packet, entry.id);
    } else {
      this.misroutedPackets.delete(flowName(packet));
    }
  }

  /** Checks a packet that was sent to a server which does not hold its flow. */
  checkMisroutedPacket(packet: CookiePacket, server: string): void {
    const flow = flowName(packet);
    const owner = this.options.findFlowServer(flow);
    if (packet.opens || owner?.hasFlow(flow) !== true) {
      return;
    }
    const count = (this.misroutedPackets.get(flow) ?? 0) + 1;
    this.misroutedPackets.set(flow, count);
    if (count === MISROUTED_PACKET_LIMIT) {
      this.reportViolation(
        'flow',
        `${flow} of ${owner.entry.id} was sent to ${server}`,
      );
    }
  }

  /** Checks a reset that a daemon sent to the caller of a flow. */
  checkReset(
    flow: string,
    destination: {address: number; port: number},
    daemon: string,
  ): void {
    const owner = this.options.findFlowServer(flow);
    const key = destinationKey(destination.address, destination.port);
    const isRouted = !this.routeRemovedAt.has(key);
    const mayReset =
      owner?.isSilent === true ||
      this.options.clock.now() - (owner?.resumedAt ?? -Infinity) <
        RESUME_GRACE_MS;
    if (owner?.hasFlow(flow) === true && !mayReset && isRouted) {
      this.reportViolation(
        'reset',
        `${daemon} reset ${flow} of ${owner.entry.id}`,
      );
    }
  }

  private checkOpening(
    packet: CookiePacket,
    entry: CatalogServer,
    key: number,
  ): void {
    const now = this.options.clock.now();
    const {drainMs, configurationMs, evacuationMs} = this.options.bounds;
    const {id, failureDomain} = entry;
    const evacuatedAt = this.evacuationStartedAt.get(failureDomain) ?? Infinity;
    const drainedAt = this.drainStartedAt.get(id) ?? Infinity;
    const removedAt = this.routeRemovedAt.get(key) ?? Infinity;
    if (now - drainedAt > drainMs) {
      this.reportViolation('drain', `${flowName(packet)} opened at ${id}`);
    }
    if (now - evacuatedAt > evacuationMs) {
      this.reportViolation('evacuation', `${flowName(packet)} opened at ${id}`);
    }
    if (now - removedAt > configurationMs) {
      this.reportViolation(
        'configuration',
        `${flowName(packet)} has no route any more`,
      );
    }
  }

  private addAllowedServices(route: CatalogRoute): void {
    const services =
      this.allowedServices.get(routeKey(route)) ?? new Set<string>();
    route.shares.forEach(({service}) => services.add(service));
    this.allowedServices.set(routeKey(route), services);
  }

  private reportViolation(
    promise: InvariantViolation['promise'],
    detail: string,
  ): void {
    const atMs = this.options.clock.now();
    this.violations.push({promise, atMs, detail});
  }
}

function routeKey(route: CatalogRoute): number {
  return destinationKey(route.address, route.port);
}
