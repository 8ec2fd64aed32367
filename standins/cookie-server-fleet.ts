/**
 * Manages the backend servers of a simulated or emulated platform: their store entries,
 * the reuse of their addresses, drains, restarts and crashes.
 */
import {ServerState, type CatalogServer} from '../src/catalog/records.js';
import type {Clock} from '../src/ports/clock.js';
import type {CookiePacket} from '../src/ports/cookie-fabric.js';
import type {CatalogStore} from './catalog-store.js';
import {flowName} from './cookie-callers.js';
import {CookieServer, type ServerPacket} from './cookie-servers.js';
import type {InvariantChecker} from './invariant-checker.js';

/** Store entry of a server to start. */
export type NewServer = Omit<
  CatalogServer,
  'state' | 'revision' | 'createdRevision'
>;

/** How a server processes requests. */
export interface ServerWorkPlan {
  /** Processing time of a request, in milliseconds. */
  readonly workMs: number;
  /** Requests that may be queued while all slots are busy; further ones are dropped. */
  readonly queueLength: number;
  /** Whether it acknowledges requests before it answers them; undefined: no. */
  readonly confirms?: boolean;
}

/** Options of a fleet of servers. */
export interface CookieServerFleetOptions {
  readonly store: CatalogStore;
  readonly invariants: InvariantChecker;
  readonly clock: Clock;
  /** Sends a packet of a server to its caller. */
  send(packet: ServerPacket): void;
  /** Runs a task after some time. */
  runAfter(milliseconds: number, task: () => void): void;
}

/** The backend servers of one platform. */
export class CookieServerFleet {
  private readonly servers = new Map<string, CookieServer>();
  /** The latest server at each address. */
  private readonly serversByAddress = new Map<number, CookieServer>();

  private constructor(private readonly options: CookieServerFleetOptions) {}

  /** Creates a fleet without servers. */
  static create(options: CookieServerFleetOptions): CookieServerFleet {
    return new CookieServerFleet(options);
  }

  /** Starts a server, which takes over its address from a server before it. */
  start(published: NewServer, plan: ServerWorkPlan): CookieServer {
    const {store, clock} = this.options;
    const entry = store.putServer({...published, state: ServerState.READY});
    this.options.invariants.recordServerStart(entry.id);
    const server = CookieServer.create({
      entry,
      clock,
      ...plan,
      send: packet => this.options.send(packet),
    });
    this.servers.set(entry.id, server);
    this.serversByAddress.set(entry.address, server);
    return server;
  }

  /**
   * Restarts a server under its id without its former flows, with a new start time and
   * address. A pause of the former incarnation counts as one of the new one.
   */
  restart(
    former: CookieServer,
    changes: {startTime: number; address: number},
    plan: ServerWorkPlan,
  ): CookieServer {
    const resumedAt = former.isSilent
      ? this.options.clock.now()
      : former.resumedAt;
    former.crash(true);
    if (this.serversByAddress.get(former.entry.address) === former) {
      this.serversByAddress.delete(former.entry.address);
    }
    const server = this.start({...former.entry, ...changes}, plan);
    server.resumedAt = resumedAt;
    return server;
  }

  /** Returns the latest server with an id, running or not. */
  find(id: string): CookieServer | undefined {
    return this.servers.get(id);
  }

  /** Lists servers of a service that are neither draining nor crashed. */
  listReady(service: string): CookieServer[] {
    return [...this.servers.values()].filter(
      ({entry, hasCrashed, state}) =>
        entry.service === service && !hasCrashed && state === ServerState.READY,
    );
  }

  /** Starts draining a server, which terminates `afterMs` later. */
  drain(server: CookieServer, afterMs: number): void {
    const {store} = this.options;
    server.state = ServerState.DRAINING;
    store.putServer({...server.entry, state: ServerState.DRAINING});
    this.options.invariants.recordDrainStart(server.entry.id);
    this.options.runAfter(afterMs, () => {
      server.crash(false);
      this.removeEntry(server);
    });
  }

  /** Makes a server unresponsive for a while; its flows and its entry stay. */
  pause(server: CookieServer, durationMs: number): void {
    server.setSilent(true);
    this.options.runAfter(durationMs, () =>
      server.setSilent(server.hasCrashed),
    );
  }

  /** Crashes a server; its store entry expires `entryTtlMs` later. */
  crash(server: CookieServer, isSilent: boolean, entryTtlMs: number): void {
    server.crash(isSilent);
    this.options.runAfter(entryTtlMs, () => this.removeEntry(server));
  }

  /** Removes a server's entry, unless the server has restarted since. */
  private removeEntry(server: CookieServer): void {
    const {id} = server.entry;
    if (this.servers.get(id) === server) {
      this.options.store.removeServer(id);
    }
  }

  /** Whether the host at an address responds, if only by refusing connections. */
  isHostResponsive(address: number): boolean {
    return this.serversByAddress.get(address)?.isSilent !== true;
  }

  /** Delivers a packet for the server `targetId` to the server at an address. */
  deliver(
    packet: CookiePacket,
    address: number,
    targetId: string,
    cookie: number,
  ): void {
    const server = this.serversByAddress.get(address);
    if (server === undefined || server.entry.id !== targetId) {
      this.options.invariants.checkMisroutedPacket(packet, targetId);
      return;
    }
    this.options.invariants.checkArrival(packet, server);
    server.receive(flowName(packet), packet, cookie);
  }
}
