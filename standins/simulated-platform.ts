/**
 * Simulates a platform whose packets carry cookies, in memory and on virtual time: a
 * router with readiness checks, daemons, backend servers, callers and the store. Tests
 * inject faults and read the invariant violations that the simulation recorded.
 */
import {MemoryCounters} from '../src/adapters/memory-counters.js';
import type {Catalog} from '../src/catalog/catalog.js';
import type {
  CatalogRoute,
  CatalogServer,
  ColdRateLimit,
  RouteListing,
} from '../src/catalog/records.js';
import {EntryDaemon} from '../src/entry/entry-daemon.js';
import type {EntryFeatures, EntrySettings} from '../src/entry/settings.js';
import type {ServerRatings} from '../src/feedback/server-ratings.js';
import type {CallerPosition, CookiePacket} from '../src/ports/cookie-fabric.js';
import type {Hasher} from '../src/ports/hasher.js';
import type {ColdStartLimits} from '../src/routing/cold-start-limiter.js';
import type {Placement} from '../src/routing/placement.js';
import {Random} from '../src/routing/random.js';
import {
  CatalogStore,
  MemoryCatalogSource,
  STORE_LINK,
} from './catalog-store.js';
import {CookieCallerFleet} from './cookie-caller-fleet.js';
import {CallOutcome, flowName, type CookieCaller} from './cookie-callers.js';
import {CookieServerFleet, type ServerWorkPlan} from './cookie-server-fleet.js';
import type {CookieServer, ServerPacket} from './cookie-servers.js';
import {FakeClock, ProcessClock} from './fake-clock.js';
import {ChannelNetwork, MemoryChannel} from './memory-channel.js';
import {MemoryContact} from './memory-contact.js';
import {MemoryLog, type LogEntry} from './memory-log.js';
import {
  selectDaemon,
  recordReadinessCheck,
  type RoutedDaemon,
} from './packet-router.js';
import {
  InvariantChecker,
  type InvariantViolation,
  type InvariantBounds,
} from './invariant-checker.js';
import {SimulatedFabric} from './simulated-fabric.js';

/** Latency between any two processes. */
const ONE_WAY_LATENCY_MS = 1;
/** Link rate that daemons are configured with unless the plan sets one. */
const DEFAULT_LINK_MBPS = 1_000;
/** Time that daemons have to start before `create` resolves. */
const STARTUP_WAIT_MS = 8_000;
const READINESS_INTERVAL_MS = 500;
const FIRST_DAEMON_ADDRESS = 0x0a000001;
const FIRST_SERVER_ADDRESS = 0x0a800001;
const FIRST_UNUSED_ADDRESS = 0x0a900001;
const FIRST_CALLER_ADDRESS = 0x64400001;
const CALLER_ADDRESS_COUNT = 50;
const SERVER_PORT = 8_080;
const QUEUE_LENGTH = 8;
/** Limits on new flows to cold servers. */
export const COLD_LIMITS: ColdStartLimits = {excess: 1.5, slack: 5};

/** Start times that restarted servers report in turn: forward and backward jumps. */
const RESTART_START_TIMES_MS: readonly number[] = [
  1_800_000_000_000, 1_700_000_000_000,
];

const NO_FEATURES: EntryFeatures = {
  feedback: false,
  ratings: false,
  pressure: false,
};

/** Layout of a simulated platform. */
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
  readonly bounds: InvariantBounds;
  /** Services with a warm-up rate for cold servers; undefined: none. */
  readonly coldServices?: readonly ColdRateLimit[];
  /** Region by failure domain; undefined: no regions. */
  readonly regions?: ReadonlyMap<string, string>;
  /** Rate of the store's link; undefined: unlimited. */
  readonly storeLinkMbps?: number;
  /** Rates of the daemons' links, assigned round-robin; undefined: unlimited. */
  readonly linksMbps?: readonly number[];
  /** Whether servers acknowledge requests before they answer them; undefined: no. */
  readonly confirms?: boolean;
  /** Placement policy of the daemons; undefined: the default one. */
  readonly placement?: Placement;
  /** Optional features of the daemons; undefined: all off. */
  readonly features?: EntryFeatures;
  /** Creates the ratings of one daemon; undefined: all servers are rated equally. */
  createRatings?(catalog: Catalog): ServerRatings;
  /** Called for each packet that a server sends. */
  onServerPacket?(packet: ServerPacket): void;
}

/** A simulated daemon, running or stopped. */
export interface SimulatedDaemon extends RoutedDaemon {
  readonly settings: EntrySettings;
  running: EntryDaemon | undefined;
  clock: ProcessClock;
  fabric: SimulatedFabric;
  isPaused: boolean;
}

/** Counts of finished calls by outcome, and durations of the answered ones. */
export interface CallResults {
  readonly outcomes: Record<CallOutcome, number>;
  readonly durationsMs: number[];
}

/** A simulated platform with its daemons, servers, callers, router and store. */
export class SimulatedPlatform {
  readonly clock = FakeClock.create();
  readonly random: Random;
  readonly store: CatalogStore;
  readonly network: ChannelNetwork;
  readonly daemons = new Map<string, SimulatedDaemon>();
  readonly logEntries: LogEntry[] = [];
  /** Names of the daemons whose packets do not reach servers. */
  readonly partitionedFromServers = new Set<string>();
  readonly invariants: InvariantChecker;
  readonly callResults: CallResults = {
    outcomes: {answered: 0, refused: 0, cut: 0, 'timed-out': 0},
    durationsMs: [],
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
    this.invariants = InvariantChecker.create({
      clock: this.clock,
      bounds: plan.bounds,
      findFlowServer: flow =>
        this.servers.find(this.callers.findServerId(flow) ?? ''),
    });
    this.servers = CookieServerFleet.create({
      store: this.store,
      invariants: this.invariants,
      clock: this.clock,
      send: packet => this.sendToCaller(packet),
      runAfter: (milliseconds, task) => {
        this.clock.callAt(this.clock.now() + milliseconds, task);
      },
    });
    this.callers = CookieCallerFleet.create({
      clock: this.clock,
      firstAddress: FIRST_CALLER_ADDRESS,
      addressCount: CALLER_ADDRESS_COUNT,
      send: packet => this.sendToFabric(packet),
      onEnd: (end, startedAt) => this.recordCallOutcome(end, startedAt),
    });
  }

  /** Creates a platform with running daemons and published routes. */
  static async create(
    plan: SimulationPlan,
    hasher: Hasher,
  ): Promise<SimulatedPlatform> {
    const platform = new SimulatedPlatform(plan, hasher);
    if (plan.storeLinkMbps !== undefined) {
      platform.network.links.setRate(STORE_LINK, plan.storeLinkMbps);
    }
    plan.services.forEach(service =>
      Array.from({length: service.servers}, () =>
        platform.startServer(service.name),
      ),
    );
    platform.publishRoutes(plan.routes);
    Array.from({length: plan.daemons}, (_daemon, index) =>
      platform.addDaemon(index),
    );
    await Promise.all(
      [...platform.daemons.keys()].map(name =>
        platform.startDaemon(name, true),
      ),
    );
    platform.pollReadiness();
    await platform.clock.advance(STARTUP_WAIT_MS);
    return platform;
  }

  /** Publishes a new version of the routes. */
  publishRoutes(routes: readonly CatalogRoute[]): void {
    this.invariants.recordRoutes(routes);
    this.routes = {
      version: this.routes.version + 1,
      routes,
      coldServices: this.plan.coldServices ?? [],
    };
    this.store.putRoutes(this.routes);
  }

  /** Evacuates the servers of a failure domain. */
  evacuateDomain(failureDomain: string): void {
    this.invariants.recordEvacuation(failureDomain);
    this.store.evacuateDomain(failureDomain);
  }

  /** Ends the evacuation of a failure domain. */
  restoreDomain(failureDomain: string): void {
    this.invariants.recordRestoration(failureDomain);
    this.store.restoreDomain(failureDomain);
  }

  /** Violations recorded so far. */
  get violations(): readonly InvariantViolation[] {
    return this.invariants.violations;
  }

  /** Routes of the version published last. */
  get publishedRoutes(): readonly CatalogRoute[] {
    return this.routes.routes;
  }

  /** Starts a server, at an unused address unless `address` is given. */
  startServer(service: string, address?: number): CookieServer {
    this.serverCount += 1;
    const plan = this.plan.services.find(({name}) => name === service);
    return this.servers.start(
      {
        id: `s-${this.serverCount.toString(16).padStart(8, '0')}`,
        service,
        address: address ?? FIRST_SERVER_ADDRESS + this.serverCount,
        port: SERVER_PORT,
        failureDomain: this.selectFailureDomain(this.serverCount),
        slots: plan?.slots ?? 1,
        coldUntil: this.clock.now(),
        startTime: 0,
      },
      this.createWorkPlan(service),
    );
  }

  /** Restarts a server under its id, at its old address unless `address` is given. */
  restartServer(server: CookieServer, address?: number): CookieServer {
    const {entry} = server;
    this.restarts += 1;
    // A new start time marks a new incarnation, also when it lies before the old one.
    const startTime =
      RESTART_START_TIMES_MS[this.restarts % RESTART_START_TIMES_MS.length];
    return this.servers.restart(
      server,
      {startTime: startTime + this.restarts, address: address ?? entry.address},
      this.createWorkPlan(entry.service),
    );
  }

  /** Restarts a server under its id at an unused address. */
  moveServer(server: CookieServer): CookieServer {
    return this.restartServer(server, FIRST_UNUSED_ADDRESS + this.restarts);
  }

  /** Overwrites a server's store entry with unreadable data. */
  corruptEntry(server: CookieServer): void {
    this.store.corruptServer(server.entry.id);
  }

  /** Writes a server's store entry again unless the server has crashed. */
  rewriteEntry({entry, state, hasCrashed}: CookieServer): void {
    if (!hasCrashed) {
      this.store.putServer({...entry, state});
    }
  }

  private createWorkPlan(service: string): ServerWorkPlan {
    const plan = this.plan.services.find(({name}) => name === service);
    const {confirms} = this.plan;
    const workMs = plan?.workMs ?? 1;
    return {workMs, queueLength: QUEUE_LENGTH, confirms};
  }

  /** Returns the latest server with an id, running or not. */
  findServer(id: string): CookieServer | undefined {
    return this.servers.find(id);
  }

  /** Lists servers of a service that are neither draining nor crashed. */
  listReadyServers(service: string): CookieServer[] {
    return this.servers.listReady(service);
  }

  /** Starts draining a server, which terminates `afterMs` later. */
  drainServer(server: CookieServer, afterMs: number): void {
    this.servers.drain(server, afterMs);
  }

  /** Removes a server's store entry unannounced; the server serves on. */
  removeEntry({entry}: CookieServer): void {
    this.invariants.recordDrainStart(entry.id);
    this.store.removeServer(entry.id);
  }

  /** Crashes a server; its store entry expires `entryTtlMs` later. */
  crashServer(
    server: CookieServer,
    isSilent: boolean,
    entryTtlMs: number,
  ): void {
    this.servers.crash(server, isSilent, entryTtlMs);
  }

  /** Makes a server unresponsive for a while, as a network partition would. */
  pauseServer(server: CookieServer, durationMs: number): void {
    this.servers.pause(server, durationMs);
  }

  /** Starts a daemon that is not running; resolves when it has started. */
  async startDaemon(name: string, isFirstStart = false): Promise<void> {
    const daemon = this.getDaemon(name);
    daemon.clock = ProcessClock.create(this.clock);
    daemon.fabric = SimulatedFabric.create(this, name);
    daemon.isPaused = false;
    const {clock, fabric} = daemon;
    const settings = {...daemon.settings, isFirstStart};
    const {address} = settings;
    daemon.running = EntryDaemon.create({
      settings,
      clock,
      fabric,
      hasher: this.hasher,
      random: Random.create(this.random.nextInt(1_000_000)),
      counters: MemoryCounters.create(),
      log: MemoryLog.create(name, this.logEntries),
      channel: MemoryChannel.create(address, this.network, clock),
      prober: MemoryContact.create(clock, server =>
        this.isHostResponsive(server, name),
      ),
      source: MemoryCatalogSource.create(
        name,
        this.store,
        clock,
        this.network.links,
        String(address),
      ),
      placement: this.plan.placement,
      createRatings: this.plan.createRatings,
    });
    await daemon.running.run();
  }

  /** Kills a daemon without a shutdown. */
  killDaemon(name: string): void {
    const daemon = this.getDaemon(name);
    daemon.running = undefined;
    daemon.clock.freeze();
    daemon.fabric.close();
    this.network.detach(daemon.settings.address);
  }

  /** Pauses a daemon's process: its timers are held, and what it receives is buffered. */
  pauseDaemon(name: string): void {
    const daemon = this.getDaemon(name);
    daemon.isPaused = true;
    daemon.clock.freeze();
    daemon.fabric.pause();
    this.network.pause(daemon.settings.address);
  }

  /** Resumes a paused daemon, which runs its timers first. */
  resumeDaemon(name: string): void {
    const daemon = this.getDaemon(name);
    daemon.isPaused = false;
    daemon.clock.thaw();
    this.network.resume(daemon.settings.address);
    daemon.fabric.resume();
  }

  /** Stops a daemon gracefully; resolves when it has terminated. */
  async stopDaemon(name: string): Promise<void> {
    const daemon = this.getDaemon(name);
    const {running} = daemon;
    await running?.stop();
    if (daemon.running === running) {
      daemon.running = undefined;
    }
  }

  /** Partitions a daemon from all its peers, or ends the partition. */
  setPartitionedFromPeers(name: string, isPartitioned: boolean): void {
    this.daemons.forEach(other =>
      this.setPartitionedBetween(name, other.name, isPartitioned),
    );
  }

  /** Partitions two daemons from each other, or ends the partition. */
  setPartitionedBetween(
    name: string,
    other: string,
    isPartitioned: boolean,
  ): void {
    const one = this.getDaemon(name).settings.address;
    const two = this.getDaemon(other).settings.address;
    [`${one}>${two}`, `${two}>${one}`].forEach(path =>
      isPartitioned
        ? this.network.blockedPaths.add(path)
        : this.network.blockedPaths.delete(path),
    );
  }

  /** Whether the host at a server's address responds to a daemon. */
  private isHostResponsive(
    {address}: {address: number},
    name: string,
  ): boolean {
    return (
      !this.partitionedFromServers.has(name) &&
      this.servers.isHostResponsive(address)
    );
  }

  /** Returns a daemon by name; throws if there is none. */
  getDaemon(name: string): SimulatedDaemon {
    const daemon = this.daemons.get(name);
    if (daemon === undefined) {
      throw new Error(`simulated platform has no daemon ${name}`);
    }
    return daemon;
  }

  /** Starts a caller that sends `requests` requests on one flow, `pauseMs` apart. */
  startCaller(
    route: CatalogRoute,
    requests: number,
    timeoutMs: number,
    pauseMs = 0,
  ): CookieCaller {
    return this.callers.start(route, requests, timeoutMs, pauseMs);
  }

  /** Delivers a daemon's packet to the address of `target`. */
  deliverToServer(
    packet: CookiePacket,
    target: CatalogServer,
    cookie: number,
    daemon: string,
  ): void {
    const {address, id} = target;
    if (!this.partitionedFromServers.has(daemon)) {
      this.runAfterLatency(() =>
        this.servers.deliver(packet, address, id, cookie),
      );
    }
  }

  /** Delivers a daemon's reset to the caller of the flow. */
  deliverReset(caller: CallerPosition, daemon: string): void {
    this.runAfterLatency(() => {
      const flow = flowName(caller);
      const {destinationAddress: address, destinationPort: port} = caller;
      this.invariants.checkReset(flow, {address, port}, daemon);
      this.callers.find(flow)?.handleDaemonReset();
    });
  }

  private addDaemon(index: number): void {
    const name = `d${index}`;
    const address = FIRST_DAEMON_ADDRESS + index;
    const seeds = [0, 1, 2].map(offset => FIRST_DAEMON_ADDRESS + offset);
    const links = this.plan.linksMbps ?? [];
    const linkMbps = links[index % links.length] ?? DEFAULT_LINK_MBPS;
    if (links.length > 0) {
      this.network.links.setRate(String(address), linkMbps);
    }
    this.daemons.set(name, {
      name,
      settings: {
        name,
        address,
        failureDomain: this.selectFailureDomain(index),
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
      isPaused: false,
      consecutiveFailures: 0,
      isInService: false,
    });
  }

  private selectFailureDomain(index: number): string {
    const {failureDomains} = this.plan;
    return failureDomains[index % failureDomains.length];
  }

  /** Checks the readiness of all daemons for the router, and schedules the next check. */
  private pollReadiness(): void {
    this.daemons.forEach(daemon => {
      const ready = !daemon.isPaused && daemon.running?.isReady() === true;
      recordReadinessCheck(daemon, ready);
    });
    this.clock.callAt(this.clock.now() + READINESS_INTERVAL_MS, () =>
      this.pollReadiness(),
    );
  }

  private sendToFabric(packet: CookiePacket): void {
    const chosen = selectDaemon(
      [...this.daemons.values()],
      flowName(packet),
      this.hasher,
    );
    this.runAfterLatency(() => chosen?.fabric.deliver(packet));
  }

  private sendToCaller(packet: ServerPacket): void {
    this.plan.onServerPacket?.(packet);
    this.runAfterLatency(() => this.callers.find(packet.flow)?.receive(packet));
  }

  private runAfterLatency(task: () => void): void {
    this.clock.callAt(this.clock.now() + ONE_WAY_LATENCY_MS, task);
  }

  private recordCallOutcome(end: CallOutcome, startedAt: number): void {
    this.callResults.outcomes[end] += 1;
    if (end === CallOutcome.ANSWERED) {
      this.callResults.durationsMs.push(this.clock.now() - startedAt);
    }
  }
}
