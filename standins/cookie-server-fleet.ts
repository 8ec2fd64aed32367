/**
 * All backend servers of a platform whose packets carry cookies: their entries
 * in the store, the addresses that they hold one after the other, and their ends.
 */
import {ServerState, type CatalogServer} from '../src/catalog/records.js';
import type {Clock} from '../src/ports/clock.js';
import type {CookiePacket} from '../src/ports/cookie-fabric.js';
import type {CatalogStore} from './catalog-store.js';
import {flowName} from './cookie-callers.js';
import {CookieServer, type ServerPacket} from './cookie-servers.js';
import type {PromiseJudge} from './promise-judge.js';

/** What is published of a new server that is ready. */
export type NewServer = Omit<
  CatalogServer,
  'state' | 'revision' | 'createdRevision'
>;

/** How a server works on requests. */
export interface ServerWorkPlan {
  /** Milliseconds that one request takes. */
  readonly workMs: number;
  /** Requests that wait while all slots are taken. */
  readonly queueLength: number;
  /** Whether it confirms requests before it answers them; undefined: no. */
  readonly confirms?: boolean;
}

/** What a fleet of servers is made from. */
export interface CookieServerFleetOptions {
  readonly store: CatalogStore;
  readonly judge: PromiseJudge;
  readonly clock: Clock;
  /** Takes what a server sends to a caller. */
  send(packet: ServerPacket): void;
  /** Calls a task after some time, in milliseconds. */
  later(milliseconds: number, task: () => void): void;
}

/** The servers of one emulated platform. */
export class CookieServerFleet {
  private readonly servers = new Map<string, CookieServer>();
  /** The newest server at each address. */
  private readonly occupants = new Map<number, CookieServer>();

  private constructor(private readonly options: CookieServerFleetOptions) {}

  /** Creates a fleet without servers. */
  static create(options: CookieServerFleetOptions): CookieServerFleet {
    return new CookieServerFleet(options);
  }

  /** Starts a server, also at the address of one that has ended. */
  start(published: NewServer, plan: ServerWorkPlan): CookieServer {
    const {store, clock, judge} = this.options;
    const entry = store.putServer({...published, state: ServerState.READY});
    judge.noteStarted(entry.id);
    const server = CookieServer.create({
      entry,
      clock,
      ...plan,
      send: packet => this.options.send(packet),
    });
    this.servers.set(entry.id, server);
    this.occupants.set(entry.address, server);
    return server;
  }

  /**
   * Has a server start again under its id, which knows nothing of before, at an address
   * of its own choice.
   */
  restart(
    former: CookieServer,
    part: {startTime: number; address: number},
    plan: ServerWorkPlan,
  ): CookieServer {
    // What disturbed the server of late disturbed it, in whichever life.
    const resumedAt = former.isSilent
      ? this.options.clock.now()
      : former.resumedAt;
    former.crash(true);
    if (this.occupants.get(former.entry.address) === former) {
      this.occupants.delete(former.entry.address);
    }
    const server = this.start({...former.entry, ...part}, plan);
    server.resumedAt = resumedAt;
    return server;
  }

  /** The server of an id, whether it runs or not. */
  find(id: string): CookieServer | undefined {
    return this.servers.get(id);
  }

  /** Servers of a service that neither drain nor have ended. */
  live(service: string): CookieServer[] {
    return [...this.servers.values()].filter(
      ({entry, hasCrashed, state}) =>
        entry.service === service && !hasCrashed && state === ServerState.READY,
    );
  }

  /** Has a server drain, and end `afterMs` later. */
  drain(server: CookieServer, afterMs: number): void {
    const {store, judge} = this.options;
    server.state = ServerState.DRAINING;
    store.putServer({...server.entry, state: ServerState.DRAINING});
    judge.noteDraining(server.entry.id);
    this.options.later(afterMs, () => {
      server.crash(false);
      this.removeEntry(server);
    });
  }

  /** Silences a server that lives on, for a while; its entry stays. */
  pause(server: CookieServer, forMs: number): void {
    server.setSilent(true);
    this.options.later(forMs, () => server.setSilent(server.hasCrashed));
  }

  /** Ends a server unplanned; its entry lapses `lapseMs` later. */
  crash(server: CookieServer, silent: boolean, lapseMs: number): void {
    server.crash(silent);
    this.options.later(lapseMs, () => this.removeEntry(server));
  }

  /** Removes a server's entry, unless it is that of a later run by now. */
  private removeEntry(server: CookieServer): void {
    const {id} = server.entry;
    if (this.servers.get(id) === server) {
      this.options.store.removeServer(id);
    }
  }

  /** Whether the host at an address answers; one without a server refuses. */
  answersAt(address: number): boolean {
    return this.occupants.get(address)?.isSilent !== true;
  }

  /** Hands a packet to whoever is at an address now; `meant` is a server's id. */
  deliver(
    packet: CookiePacket,
    address: number,
    meant: string,
    cookie: number,
  ): void {
    const {judge} = this.options;
    const server = this.occupants.get(address);
    if (server === undefined || server.entry.id !== meant) {
      judge.judgeStray(packet, meant);
      return;
    }
    judge.judgeArrival(packet, server);
    server.receive(flowName(packet), packet, cookie);
  }
}
