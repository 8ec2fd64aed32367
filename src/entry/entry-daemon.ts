/**
 * The daemon for a fabric with cookies: takes packets, places new flows, sends
 * all others where their cookies say, and shares a catalog with its peers.
 */
import {Catalog, type CatalogChange} from '../catalog/catalog.js';
import {ReadTurns} from '../catalog/read-turns.js';
import {CatalogReader} from '../catalog/reader.js';
import {CatalogSpread} from '../catalog/spread.js';
import {EqualRatings} from '../feedback/server-ratings.js';
import type {PeerAge} from '../generated/catalog.js';
import {PeerView} from '../membership/peer-view.js';
import type {CatalogSource} from '../ports/catalog-source.js';
import type {Clock} from '../ports/clock.js';
import type {CookieFabric} from '../ports/cookie-fabric.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {FleetChannel} from '../ports/fleet-channel.js';
import type {Hasher} from '../ports/hasher.js';
import type {Log, LogFields} from '../ports/log.js';
import type {ServerContact} from '../ports/server-contact.js';
import {ServerReachability} from '../reachability/server-reachability.js';
import {CookieRouter} from '../routing/cookie-router.js';
import {formatIpv4} from '../routing/ipv4.js';
import {OwnWorkPlacement, type Placement} from '../routing/placement.js';
import type {Random} from '../routing/random.js';
import {ServerWorkLedger} from '../routing/server-work.js';
import {FlowEndings} from './flow-endings.js';
import {logChange, sinceStart, versionsOf} from './log-lines.js';
import {PacketTask} from './packet-task.js';
import {PlannedStop} from './planned-stop.js';
import type {EntrySettings} from './settings.js';

/** What a daemon is made from. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  readonly fabric: CookieFabric;
  readonly channel: FleetChannel;
  readonly source: CatalogSource;
  readonly contact: ServerContact;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly random: Random;
  readonly counters: Counters;
  readonly log: Log;
  /** How new flows are placed; by the daemon's own work if undefined. */
  readonly placement?: Placement;
}

/** One running daemon. */
export class EntryDaemon {
  readonly catalog: Catalog;
  private readonly peers: PeerView;
  private readonly work: ServerWorkLedger;
  private readonly placement: Placement;
  private readonly router: CookieRouter;
  private readonly spread: CatalogSpread;
  private readonly turns: ReadTurns;
  private readonly reach: ServerReachability;
  private readonly reader: CatalogReader;
  private readonly packets: PacketTask;
  private readonly endings: FlowEndings;
  private readonly stops: Array<() => void> = [];
  private seeds: readonly number[];
  private isLeaving = false;
  private wasReady = false;

  private constructor(private readonly options: EntryDaemonOptions) {
    const {settings, hasher, random} = options;
    const {flowLifetimeMs, address, failureDomain, seeds} = settings;
    this.seeds = seeds;
    this.catalog = Catalog.create({hasher, flowLifetimeMs});
    this.peers = PeerView.create({self: address, failureDomain, random});
    this.work = ServerWorkLedger.create(hasher);
    this.placement = options.placement ?? OwnWorkPlacement.create();
    this.router = this.createRouter();
    this.packets = this.createPackets();
    this.turns = this.createTurns();
    this.reach = this.createReachability();
    this.endings = this.createEndings();
    this.spread = this.createSpread();
    this.reader = this.createReader();
  }

  /** Creates a daemon that does nothing until it is run. */
  static create(options: EntryDaemonOptions): EntryDaemon {
    return new EntryDaemon(options);
  }

  /**
   * Starts all tasks. Packets wait in the socket
   * until the daemon knows routes and servers: it could do nothing with them.
   */
  async run(): Promise<void> {
    const {fabric, log, settings} = this.options;
    this.catalog.onChange(change => this.noteChange(change));
    this.whenComplete(() =>
      fabric.onPacket(packet => this.packets.handle(packet)),
    );
    // The first copy is on its way while the daemon gets ready for its peers.
    this.stops.push(this.reader.start());
    this.stops.push(await this.spread.start());
    log.info('started', {
      address: formatIpv4(settings.address),
      failureDomain: settings.failureDomain,
      seeds: settings.seeds.length,
      ...sinceStart(this.options.clock),
    });
  }

  /** Takes changed settings: the addresses of other daemons may change. */
  reload(settings: EntrySettings): void {
    this.seeds = settings.seeds;
    this.options.log.warn('reloaded', {seeds: settings.seeds.length});
  }

  /** Whether the fabric is to hand packets to this daemon. */
  isReady(): boolean {
    const ready = this.catalog.isComplete && !this.isLeaving;
    if (ready !== this.wasReady) {
      this.wasReady = ready;
      const {log, clock} = this.options;
      log.warn(ready ? 'ready' : 'not-ready', {
        ...this.versions(),
        ...sinceStart(clock),
      });
    }
    return ready;
  }

  /** Brings the gauges up to date, before they are read. */
  updateGauges(): void {
    const {counters} = this.options;
    counters.set(Metric.FLOWS_HELD, this.router.flows.size);
    counters.set(Metric.REVISION_ACTIVE, this.catalog.stamp.routeVersion);
  }

  /**
   * Whether the daemon is ready now or becomes so before `deadline` (monotonic
   * milliseconds). The fabric asks only twice a second, so an answer that waits
   * for the first read brings the daemon in earlier than a refusal does.
   */
  async isReadyBy(deadline: number): Promise<boolean> {
    if (!this.catalog.isComplete && !this.isLeaving) {
      await new Promise<void>(resolve => {
        this.options.clock.callAt(deadline, resolve);
        this.whenComplete(resolve);
      });
    }
    return this.isReady();
  }

  /** Ends once its failure domain can spare it and the fabric has left. */
  async stop(): Promise<void> {
    const {clock, log, settings} = this.options;
    const stop = PlannedStop.create({
      clock,
      peers: this.peers,
      failureDomain: settings.failureDomain,
      stopLimitMs: settings.stopLimitMs,
      lastPacketAt: () => this.packets.lastPacketAt,
    });
    log.warn('stopping', this.versions());
    await stop.awaitTurn();
    this.isLeaving = true;
    this.turns.noteLeaving(clock.now());
    log.warn('leaving', this.versions());
    this.spread.announce();
    await stop.awaitQuiet();
    this.reach.stop();
    this.endings.stop();
    this.stops.forEach(end => end());
    this.options.fabric.close();
    log.warn('stopped', {
      flows: this.router.flows.size,
      quietMs: Math.round(clock.now() - this.packets.lastPacketAt),
    });
  }

  /** Calls a task once routes and servers are known. */
  private whenComplete(task: () => void): void {
    let isDone = false;
    const runOnce = () => {
      if (!isDone && this.catalog.isComplete) {
        isDone = true;
        task();
      }
    };
    this.catalog.onChange(runOnce);
    runOnce();
  }

  private createRouter(): CookieRouter {
    const {clock, random, counters, settings} = this.options;
    return CookieRouter.create({
      catalog: this.catalog,
      work: this.work,
      placement: this.placement,
      clock,
      random,
      counters,
      inForceLimitMs: settings.inForceLimitMs,
      onSilent: ({id}) => this.noteSilent(id),
      onUnanswered: server => this.reach.suspect(server),
      isUnreachable: id => this.reach.isUnreachable(id),
      isLost: id => this.reach.isLost(id),
      regionOf: domain => settings.regions.get(domain),
      coldLimits: settings.coldLimits,
      countDaemons: () => this.peers.countDaemons(clock.now()),
      ratings: EqualRatings.create(),
      observer: undefined,
      keepsPackets: settings.features.feedback,
    });
  }

  private createPackets(): PacketTask {
    const {fabric, counters, clock, log} = this.options;
    return PacketTask.create({
      fabric,
      counters,
      clock,
      log,
      router: this.router,
      work: this.work,
      versions: () => this.versions(),
    });
  }

  private createTurns(): ReadTurns {
    const {settings, hasher} = this.options;
    const {address, failureDomain, capacity, inForceLimitMs} = settings;
    return ReadTurns.create({
      self: {reader: address, failureDomain, capacity},
      hasher,
      inForceLimitMs,
    });
  }

  private createReachability(): ServerReachability {
    const {settings, contact, clock, log} = this.options;
    const {address, failureDomain, flowLifetimeMs} = settings;
    return ServerReachability.create({
      self: address,
      failureDomain,
      flowLifetimeMs,
      contact,
      peers: this.peers,
      clock,
      log,
      serverById: id => this.catalog.serverById(id),
      isListed: id => this.catalog.isListed(id),
      serverCount: service => this.catalog.countServers(service),
      answeredAt: id => this.work.answeredAt(id),
      ask: (daemons, server) => this.spread.ask(daemons, server),
      vote: (daemon, server, result) =>
        this.spread.vote(daemon, server, result),
      announce: () => this.spread.announce(),
      onLost: server => this.endings.noteLost(server),
    });
  }

  private createEndings(): FlowEndings {
    const {settings} = this.options;
    const {catalog, router, work, packets, reach} = this;
    return FlowEndings.create({
      ...this.options,
      isOn: settings.features.feedback,
      linkMbps: settings.linkMbps,
      catalog,
      router,
      work,
      packets,
      reach,
    });
  }

  private createSpread(): CatalogSpread {
    const {channel, clock, log, random, settings} = this.options;
    return CatalogSpread.create({
      catalog: this.catalog,
      peers: this.peers,
      turns: this.turns,
      reach: this.reach,
      channel,
      clock,
      log,
      random,
      linkMbps: settings.linkMbps,
      seeds: () => this.seeds,
      self: () => this.self(),
      workToTell: isLarge =>
        this.work.toTell(clock.now(), isLarge || !this.placement.usesPeerWork),
      copyExpectedUntil: () => this.reader.copyExpectedUntil,
      onTurns: () => this.reader.lookAgain(),
      onWork: (sender, work) => this.work.receive(sender, work, clock.now()),
    });
  }

  private createReader(): CatalogReader {
    const {source, clock, log, random, settings} = this.options;
    return CatalogReader.create({
      catalog: this.catalog,
      source,
      clock,
      log,
      random,
      turns: this.turns,
      isFirstStart: settings.isFirstStart,
      linkMbps: settings.linkMbps,
      inForceLimitMs: settings.inForceLimitMs,
      isAlone: () => this.peers.live(clock.now()).length === 0,
      isPulling: () => this.spread.isPulling,
      announce: () => this.spread.announce(),
    });
  }

  /** This daemon as its peers are to know it. */
  private self(): PeerAge {
    const {address, failureDomain} = this.options.settings;
    return {
      address,
      failureDomain,
      leaving: this.isLeaving,
      hasCopy: this.catalog.isComplete,
      ageMs: 0,
    };
  }

  /** Peers are told at once: each opening that they send there is lost. */
  private noteSilent(server: string): void {
    this.options.log.info('server-silent', {server});
    this.spread.announce();
  }

  /** Logs a change; the work of departed servers is forgotten. */
  private noteChange(change: CatalogChange): void {
    logChange(this.options.log, change, this.versions());
    this.reach.noteListing(change);
    this.endings.noteChange(change);
    if (change.departed.length > 0) {
      this.work.retain(this.catalog.allServers().map(({id}) => id));
    }
  }

  /** Versions and ages of what decisions are made from. */
  private versions(): LogFields {
    return versionsOf(this.catalog, this.options.clock.now());
  }
}
