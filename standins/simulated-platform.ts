/**
 * A platform whose packets carry cookies, in memory and on virtual time: a
 * router that checks readiness, daemons, servers, callers and the store, with
 * faults to order. It keeps a list of every promise that it saw broken.
 */
import {MemoryCounters} from '../src/adapters/memory-counters.js';
import type {
  CatalogRoute,
  CatalogServer,
  ColdService,
  RouteListing,
} from '../src/catalog/records.js';
import {EntryDaemon} from '../src/entry/entry-daemon.js';
import type {EntryFeatures, EntrySettings} from '../src/entry/settings.js';
import type {CallerPosition, CookiePacket} from '../src/ports/cookie-fabric.js';
import type {Hasher} from '../src/ports/hasher.js';
import type {ColdLimits} from '../src/routing/cold-openings.js';
import type {Placement} from '../src/routing/placement.js';
import {Random} from '../src/routing/random.js';
import {
  CatalogStore,
  MemoryCatalogSource,
  STORE_LINK,
} from './catalog-store.js';
import {CookieCallerFleet} from './cookie-caller-fleet.js';
import {CallEnd, flowName, type CookieCaller} from './cookie-callers.js';
import {CookieServerFleet, type ServerWorkPlan} from './cookie-server-fleet.js';
import type {CookieServer, ServerPacket} from './cookie-servers.js';
import {FakeClock, ProcessClock} from './fake-clock.js';
import {ChannelNetwork, MemoryChannel} from './memory-channel.js';
import {MemoryContact} from './memory-contact.js';
import {MemoryLog, type LoggedLine} from './memory-log.js';
import {chooseDaemon, noteCheck, type CheckedDaemon} from './packet-router.js';
import {
  PromiseJudge,
  type BrokenPromise,
  type PromiseBounds,
} from './promise-judge.js';
import {SimulatedFabric} from './simulated-fabric.js';

/** One way between any two processes, in milliseconds. */
const WAY_MS = 1;
/** What a link carries that is not told to be slow, in megabits a second. */
const FAST_LINK_MBPS = 1_000;
/** Time that a fleet has to start before callers come, in milliseconds. */
const SETTLE_MS = 8_000;
/** Time between two readiness checks, in milliseconds. */
const CHECK_MS = 500;
const FIRST_DAEMON_ADDRESS = 0x0a000001;
const FIRST_SERVER_ADDRESS = 0x0a800001;
const FIRST_FREE_ADDRESS = 0x0a900001;
const FIRST_CALLER_ADDRESS = 0x64400001;
const CALLER_ADDRESSES = 50;
const SERVER_PORT = 8_080;
const QUEUE_LENGTH = 8;
/** What cold servers take, as on the users' platform. */
export const COLD_LIMITS: ColdLimits = {excess: 1.5, slack: 5};

/** What the clocks of servers' hosts say at starts, in turn; Unix milliseconds. */
const RESTART_TIMES: readonly number[] = [1_800_000_000_000, 1_700_000_000_000];

const NO_FEATURES: EntryFeatures = {feedback: false, pressure: false};

/** How the world is laid out. */
export interface SimulationPlan {
  readonly seed: number;
  readonly daemons: number;
  readonly failureDomains: readonly string[];
  readonly services: ReadonlyArray<{
    name: string;
    servers: number;
    slots: number;
    workMs: number;
  }>;
  readonly routes: readonly CatalogRoute[];
  readonly bounds: PromiseBounds;
  /** Services that state a rate for cold servers; none if undefined. */
  readonly coldServices?: readonly ColdService[];
  /** Regions of the failure domains; none are known if undefined. */
  readonly regions?: ReadonlyMap<string, string>;
  /** Megabits a second of the store's link, and of daemons' in turn; any if undefined. */
  readonly storeLinkMbps?: number;
  readonly linksMbps?: readonly number[];
  /** Whether servers confirm requests before they answer them; undefined: no. */
  readonly confirms?: boolean;
  /** How daemons place; the usual way if undefined. */
  readonly placement?: Placement;
  /** What the deployment asks for; nothing if undefined. */
  readonly features?: EntryFeatures;
}

/** One daemon, running or not. */
export interface SimulatedDaemon extends CheckedDaemon {
  readonly settings: EntrySettings;
  running: EntryDaemon | undefined;
  clock: ProcessClock;
  fabric: SimulatedFabric;
}

/** Callers' ends by kind, and how long answered ones took. */
export interface CallTally {
  readonly ends: Record<CallEnd, number>;
  readonly tookMs: number[];
}

/** The world. */
export class SimulatedPlatform {
  readonly clock = FakeClock.create();
  readonly random: Random;
  readonly store: CatalogStore;
  readonly network: ChannelNetwork;
  readonly daemons = new Map<string, SimulatedDaemon>();
  readonly lines: LoggedLine[] = [];
  /** Daemons whose packets do not reach servers. */
  readonly cutFromServers = new Set<string>();
  readonly judge: PromiseJudge;
  readonly tally: CallTally = {
    ends: {answered: 0, refused: 0, cut: 0, 'timed-out': 0},
    tookMs: [],
  };
  private readonly servers: CookieServerFleet;
  private readonly callers: CookieCallerFleet;
  private routes: RouteListing = {version: 0, routes: [], coldServices: []};
  private serverCount = 0;
  private restarts = 0;

  private constructor(
    private readonly plan: SimulationPlan,
    private readonly hasher: Hasher,
  ) {
    this.random = Random.create(plan.seed);
    this.store = CatalogStore.create(this.clock);
    this.network = ChannelNetwork.create(this.clock, this.random);
    this.judge = PromiseJudge.create({
      clock: this.clock,
      bounds: plan.bounds,
      ownerOf: flow => this.servers.find(this.callers.serverOf(flow) ?? ''),
    });
    this.servers = CookieServerFleet.create({
      store: this.store,
      judge: this.judge,
      clock: this.clock,
      send: packet => this.sendToCaller(packet),
      later: (milliseconds, task) => {
        this.clock.callAt(this.clock.now() + milliseconds, task);
      },
    });
    this.callers = CookieCallerFleet.create({
      clock: this.clock,
      firstAddress: FIRST_CALLER_ADDRESS,
      addresses: CALLER_ADDRESSES,
      send: packet => this.sendToFabric(packet),
      onEnd: (end, startedAt) => this.noteEnd(end, startedAt),
    });
  }

  /** Creates a world whose daemons run and whose routes are published. */
  static async create(
    plan: SimulationPlan,
    hasher: Hasher,
  ): Promise<SimulatedPlatform> {
    const world = new SimulatedPlatform(plan, hasher);
    if (plan.storeLinkMbps !== undefined) {
      world.network.links.setRate(STORE_LINK, plan.storeLinkMbps);
    }
    plan.services.forEach(service =>
      Array.from({length: service.servers}, () =>
        world.startServer(service.name),
      ),
    );
    world.publish(plan.routes);
    Array.from({length: plan.daemons}, (_daemon, index) =>
      world.addDaemon(index),
    );
    await Promise.all(
      [...world.daemons.keys()].map(name => world.startDaemon(name, true)),
    );
    world.checkReadiness();
    await world.clock.advance(SETTLE_MS);
    return world;
  }

  /** Publishes a new version of the routes. */
  publish(routes: readonly CatalogRoute[]): void {
    this.judge.notePublished(routes);
    this.routes = {
      version: this.routes.version + 1,
      routes,
      coldServices: this.plan.coldServices ?? [],
    };
    this.store.putRoutes(this.routes);
  }

  /** Evacuates a failure domain of servers. */
  evacuate(failureDomain: string): void {
    this.judge.noteEvacuated(failureDomain);
    this.store.evacuate(failureDomain);
  }

  /** Restores a failure domain of servers. */
  restore(failureDomain: string): void {
    this.judge.noteRestored(failureDomain);
    this.store.restore(failureDomain);
  }

  /** The promises that were seen broken. */
  get broken(): readonly BrokenPromise[] {
    return this.judge.broken;
  }

  /** The routes in force. */
  get publishedRoutes(): readonly CatalogRoute[] {
    return this.routes.routes;
  }

  /** Starts a server; at the address of one that has ended, if told. */
  startServer(service: string, address?: number): CookieServer {
    this.serverCount += 1;
    const plan = this.plan.services.find(({name}) => name === service);
    return this.servers.start(
      {
        id: `s-${this.serverCount.toString(16).padStart(8, '0')}`,
        service,
        address: address ?? FIRST_SERVER_ADDRESS + this.serverCount,
        port: SERVER_PORT,
        failureDomain: this.domainOf(this.serverCount),
        slots: plan?.slots ?? 1,
        coldUntil: this.clock.now(),
        startTime: 0,
      },
      this.workOf(service),
    );
  }

  /** Has a server start again under its id, elsewhere if told. */
  restartServer(server: CookieServer, address?: number): CookieServer {
    const {entry} = server;
    this.restarts += 1;
    // Any other number is another life: the clocks of hosts jump.
    const startTime = RESTART_TIMES[this.restarts % RESTART_TIMES.length];
    return this.servers.restart(
      server,
      {startTime: startTime + this.restarts, address: address ?? entry.address},
      this.workOf(entry.service),
    );
  }

  /** The same at an address where nobody was. */
  moveServer(server: CookieServer): CookieServer {
    return this.restartServer(server, FIRST_FREE_ADDRESS + this.restarts);
  }

  /** Has another writer write over a server's entry. */
  spoilEntry(server: CookieServer): void {
    this.store.spoilServer(server.entry.id);
  }

  /** Has a server write its entry again, if it lives. */
  mendEntry({entry, state, hasCrashed}: CookieServer): void {
    if (!hasCrashed) {
      this.store.putServer({...entry, state});
    }
  }

  private workOf(service: string): ServerWorkPlan {
    const plan = this.plan.services.find(({name}) => name === service);
    const {confirms} = this.plan;
    const workMs = plan?.workMs ?? 1;
    return {workMs, queueLength: QUEUE_LENGTH, confirms};
  }

  /** A server by id, whether it runs or not. */
  serverOf(id: string): CookieServer | undefined {
    return this.servers.find(id);
  }

  /** Servers of a service that neither drain nor have ended. */
  liveServers(service: string): CookieServer[] {
    return this.servers.live(service);
  }

  /** Has a server drain, and end `afterMs` later. */
  drainServer(server: CookieServer, afterMs: number): void {
    this.servers.drain(server, afterMs);
  }

  /** Ends a server unplanned; its entry lapses `lapseMs` later. */
  crashServer(server: CookieServer, silent: boolean, lapseMs: number): void {
    this.servers.crash(server, silent, lapseMs);
  }

  /** Silences a server for a while, as a cut of its links would. */
  pauseServer(server: CookieServer, forMs: number): void {
    this.servers.pause(server, forMs);
  }

  /** Starts a daemon that does not run. */
  async startDaemon(name: string, isFirstStart = false): Promise<void> {
    const daemon = this.daemonOf(name);
    daemon.clock = ProcessClock.create(this.clock);
    daemon.fabric = SimulatedFabric.create(this, name);
    const {clock, fabric} = daemon;
    const settings = {...daemon.settings, isFirstStart};
    const {address} = settings;
    daemon.running = EntryDaemon.create({
      settings,
      clock,
      fabric,
      hasher: this.hasher,
      random: Random.create(this.random.below(1_000_000)),
      counters: MemoryCounters.create(),
      log: MemoryLog.create(name, this.lines),
      channel: MemoryChannel.create(address, this.network, clock),
      contact: MemoryContact.create(clock, server =>
        this.answers(server, name),
      ),
      source: MemoryCatalogSource.create(
        name,
        this.store,
        clock,
        this.network.links,
        String(address),
      ),
      placement: this.plan.placement,
    });
    await daemon.running.run();
  }

  /** Kills a daemon: it is gone from one moment to the next. */
  killDaemon(name: string): void {
    const daemon = this.daemonOf(name);
    daemon.running = undefined;
    daemon.clock.freeze();
    daemon.fabric.close();
    this.network.detach(daemon.settings.address);
  }

  /** Stops a daemon as planned; resolves when it has ended. */
  async stopDaemon(name: string): Promise<void> {
    const daemon = this.daemonOf(name);
    const {running} = daemon;
    await running?.stop();
    if (daemon.running === running) {
      daemon.running = undefined;
    }
  }

  /** Cuts a daemon off from its peers, or heals the cut. */
  cutFromPeers(name: string, isCut: boolean): void {
    this.daemons.forEach(other => this.cutBetween(name, other.name, isCut));
  }

  /** Cuts two daemons off from each other, or heals the cut. */
  cutBetween(name: string, other: string, isCut: boolean): void {
    const one = this.daemonOf(name).settings.address;
    const two = this.daemonOf(other).settings.address;
    [`${one}>${two}`, `${two}>${one}`].forEach(way =>
      isCut ? this.network.cut.add(way) : this.network.cut.delete(way),
    );
  }

  /** Whether a server's host answers a daemon. */
  private answers({address}: {address: number}, name: string): boolean {
    return !this.cutFromServers.has(name) && this.servers.answersAt(address);
  }

  /** A daemon by name. */
  daemonOf(name: string): SimulatedDaemon {
    const daemon = this.daemons.get(name);
    if (daemon === undefined) {
      throw new Error(`no daemon ${name} in this world`);
    }
    return daemon;
  }

  /** Starts a caller with some requests on one flow, and pauses between them. */
  call(
    route: CatalogRoute,
    requests: number,
    limitMs: number,
    pauseMs = 0,
  ): CookieCaller {
    return this.callers.start(route, requests, limitMs, pauseMs);
  }

  /** Hands a daemon's packet over to the server that it means. */
  deliverToServer(
    packet: CookiePacket,
    meant: CatalogServer,
    cookie: number,
    daemon: string,
  ): void {
    const {address, id} = meant;
    if (!this.cutFromServers.has(daemon)) {
      this.after(() => this.servers.deliver(packet, address, id, cookie));
    }
  }

  /** Hands a daemon's reset over to its caller. */
  deliverReset(caller: CallerPosition, daemon: string): void {
    this.after(() => {
      const flow = flowName(caller);
      const {destinationAddress: address, destinationPort: port} = caller;
      this.judge.judgeReset(flow, {address, port}, daemon);
      this.callers.find(flow)?.receiveReset();
    });
  }

  private addDaemon(index: number): void {
    const name = `d${index}`;
    const address = FIRST_DAEMON_ADDRESS + index;
    const seeds = [0, 1, 2].map(offset => FIRST_DAEMON_ADDRESS + offset);
    const links = this.plan.linksMbps ?? [];
    const linkMbps = links[index % links.length] ?? FAST_LINK_MBPS;
    if (links.length > 0) {
      this.network.links.setRate(String(address), linkMbps);
    }
    this.daemons.set(name, {
      name,
      settings: {
        name,
        address,
        failureDomain: this.domainOf(index),
        regions: this.plan.regions ?? new Map(),
        fabricListen: '',
        fabricForm: '',
        readinessListen: '',
        peerPort: 0,
        isFirstStart: true,
        seeds,
        storeAddress: '',
        capacity: 500,
        linkMbps,
        stopLimitMs: 6_000,
        flowLifetimeMs: 60_000,
        inForceLimitMs: Math.min(
          this.plan.bounds.configurationMs,
          this.plan.bounds.evacuationMs,
        ),
        coldLimits: COLD_LIMITS,
        features: this.plan.features ?? NO_FEATURES,
      },
      running: undefined,
      clock: ProcessClock.create(this.clock),
      fabric: SimulatedFabric.create(this, name),
      misses: 0,
      isIn: false,
    });
  }

  private domainOf(index: number): string {
    const {failureDomains} = this.plan;
    return failureDomains[index % failureDomains.length];
  }

  /** The router asks every daemon twice a second. */
  private checkReadiness(): void {
    this.daemons.forEach(daemon => {
      const ready = daemon.running?.isReady() === true;
      noteCheck(daemon, ready);
    });
    this.clock.callAt(this.clock.now() + CHECK_MS, () => this.checkReadiness());
  }

  private sendToFabric(packet: CookiePacket): void {
    const chosen = chooseDaemon(
      [...this.daemons.values()],
      flowName(packet),
      this.hasher,
    );
    this.after(() => chosen?.fabric.deliver(packet));
  }

  private sendToCaller(packet: ServerPacket): void {
    this.after(() => this.callers.find(packet.flow)?.receive(packet));
  }

  private after(task: () => void): void {
    this.clock.callAt(this.clock.now() + WAY_MS, task);
  }

  private noteEnd(end: CallEnd, startedAt: number): void {
    this.tally.ends[end] += 1;
    if (end === CallEnd.ANSWERED) {
      this.tally.tookMs.push(this.clock.now() - startedAt);
    }
  }
}
