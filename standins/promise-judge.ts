/**
 * Checks daemons against what they promise, from what servers and callers of a
 * fabric with cookies see.
 */
import type {CatalogRoute, CatalogServer} from '../src/catalog/records.js';
import type {Clock} from '../src/ports/clock.js';
import type {CookiePacket} from '../src/ports/cookie-fabric.js';
import {destinationKey} from '../src/routing/flow-key.js';
import type {CookieServer} from './cookie-servers.js';
import {flowName} from './cookie-callers.js';

/**
 * Time after a silence in which a server's flows may be reset, in milliseconds: the
 * shortest after which the users hold machines to their promises again.
 */
const DISTURBED_MS = 4_000;

/** Stray packets of one flow from which a flow counts as broken. */
const STRAY_LIMIT = 3;

/** Bounds that daemons are held to, in milliseconds. */
export interface PromiseBounds {
  readonly drainMs: number;
  readonly configurationMs: number;
  readonly evacuationMs: number;
}

/** A promise that was seen broken. */
export interface BrokenPromise {
  readonly promise:
    'route' | 'drain' | 'configuration' | 'evacuation' | 'flow' | 'reset';
  readonly atMs: number;
  readonly detail: string;
}

/** What a judge is made from. */
export interface PromiseJudgeOptions {
  readonly clock: Clock;
  readonly bounds: PromiseBounds;
  /** The server at which a flow was opened, as its caller knows it. */
  ownerOf(flow: string): CookieServer | undefined;
}

/** Collects the promises that it sees broken. */
export class PromiseJudge {
  readonly broken: BrokenPromise[] = [];
  private readonly strays = new Map<string, number>();
  /** Services that any version gave to a destination. */
  private readonly allowed = new Map<number, Set<string>>();
  private readonly removedRoutes = new Map<number, number>();
  private readonly drainingSince = new Map<string, number>();
  private readonly evacuatedSince = new Map<string, number>();
  private routes: readonly CatalogRoute[] = [];

  private constructor(private readonly options: PromiseJudgeOptions) {}

  /** Creates a judge that has seen nothing. */
  static create(options: PromiseJudgeOptions): PromiseJudge {
    return new PromiseJudge(options);
  }

  /** Notes that a version of the routes was published now. */
  notePublished(routes: readonly CatalogRoute[]): void {
    const kept = new Set(routes.map(keyOf));
    this.routes
      .map(keyOf)
      .filter(key => !kept.has(key))
      .forEach(key => this.removedRoutes.set(key, this.options.clock.now()));
    kept.forEach(key => this.removedRoutes.delete(key));
    routes.forEach(route => this.allow(route));
    this.routes = routes;
  }

  /** Notes that a server began to drain now. */
  noteDraining(server: string): void {
    this.drainingSince.set(server, this.options.clock.now());
  }

  /** Notes that a server started, maybe again. */
  noteStarted(server: string): void {
    this.drainingSince.delete(server);
  }

  /** Notes that a failure domain was evacuated now. */
  noteEvacuated(failureDomain: string): void {
    const since = this.evacuatedSince.get(failureDomain);
    this.evacuatedSince.set(failureDomain, since ?? this.options.clock.now());
  }

  /** Notes that a failure domain was restored now. */
  noteRestored(failureDomain: string): void {
    this.evacuatedSince.delete(failureDomain);
  }

  /** Checks a packet that reached the server it was meant for. */
  judgeArrival(packet: CookiePacket, server: CookieServer): void {
    const {entry} = server;
    const key = destinationKey(
      packet.destinationAddress,
      packet.destinationPort,
    );
    if (this.allowed.get(key)?.has(entry.service) !== true) {
      this.note('route', `${flowName(packet)} reached ${entry.service}`);
    }
    if (packet.opens) {
      this.judgeOpening(packet, entry, key);
    } else if (!server.holds(flowName(packet))) {
      this.judgeStray(packet, entry.id);
    } else {
      this.strays.delete(flowName(packet));
    }
  }

  /** Checks a packet that went to another than its flow's server. */
  judgeStray(packet: CookiePacket, server: string): void {
    const flow = flowName(packet);
    const owner = this.options.ownerOf(flow);
    if (packet.opens || owner?.holds(flow) !== true) {
      return;
    }
    const count = (this.strays.get(flow) ?? 0) + 1;
    this.strays.set(flow, count);
    if (count === STRAY_LIMIT) {
      this.note('flow', `${flow} of ${owner.entry.id} went to ${server}`);
    }
  }

  /** Checks a reset that a daemon sent to a flow's caller. */
  judgeReset(
    flow: string,
    destination: {address: number; port: number},
    daemon: string,
  ): void {
    const owner = this.options.ownerOf(flow);
    const key = destinationKey(destination.address, destination.port);
    const isRouted = !this.removedRoutes.has(key);
    const isDisturbed =
      owner?.isSilent === true ||
      this.options.clock.now() - (owner?.resumedAt ?? -Infinity) < DISTURBED_MS;
    if (owner?.holds(flow) === true && !isDisturbed && isRouted) {
      this.note('reset', `${daemon} reset ${flow} of ${owner.entry.id}`);
    }
  }

  private judgeOpening(
    packet: CookiePacket,
    entry: CatalogServer,
    key: number,
  ): void {
    const now = this.options.clock.now();
    const {drainMs, configurationMs, evacuationMs} = this.options.bounds;
    const {id, failureDomain} = entry;
    const evacuatedAt = this.evacuatedSince.get(failureDomain) ?? Infinity;
    const drainedAt = this.drainingSince.get(id) ?? Infinity;
    const removedAt = this.removedRoutes.get(key) ?? Infinity;
    if (now - drainedAt > drainMs) {
      this.note('drain', `${flowName(packet)} opened at ${id}`);
    }
    if (now - evacuatedAt > evacuationMs) {
      this.note('evacuation', `${flowName(packet)} opened at ${id}`);
    }
    if (now - removedAt > configurationMs) {
      this.note('configuration', `${flowName(packet)} has no route any more`);
    }
  }

  private allow(route: CatalogRoute): void {
    const services = this.allowed.get(keyOf(route)) ?? new Set<string>();
    route.shares.forEach(({service}) => services.add(service));
    this.allowed.set(keyOf(route), services);
  }

  private note(promise: BrokenPromise['promise'], detail: string): void {
    const atMs = this.options.clock.now();
    this.broken.push({promise, atMs, detail});
  }
}

function keyOf(route: CatalogRoute): number {
  return destinationKey(route.address, route.port);
}
