/**
 * Load balancer daemon for a fabric with cookies. Assigns new flows to backend servers,
 * forwards the packets of open flows to the server that their cookie names, and keeps
 * the catalog of routes and servers in sync with its peers by gossip.
 */
import {awaitCatalogChange} from '../catalog/catalog-wait.js';
import {Catalog, type CatalogChange} from '../catalog/catalog.js';
import {ReaderElection} from '../catalog/reader-election.js';
import {CatalogReader} from '../catalog/catalog-reader.js';
import {CatalogGossip} from '../catalog/catalog-gossip.js';
import {ServerFeedback} from '../feedback/server-feedback.js';
import {
  UniformRatings,
  type ServerRatings,
} from '../feedback/server-ratings.js';
import type {PeerAge} from '../generated/catalog.js';
import {PeerBuilds} from '../membership/peer-builds.js';
import {PeerClocks} from '../membership/peer-clocks.js';
import {PeerView} from '../membership/peer-view.js';
import type {CatalogSource} from '../ports/catalog-source.js';
import type {Clock} from '../ports/clock.js';
import type {CookieFabric} from '../ports/cookie-fabric.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {FleetChannel} from '../ports/fleet-channel.js';
import type {Hasher} from '../ports/hasher.js';
import type {Log, LogFields} from '../ports/log.js';
import type {ServerProber} from '../ports/server-prober.js';
import {ServerReachability} from '../reachability/server-reachability.js';
import {CookieRouter} from '../routing/cookie-router.js';
import {formatIpv4} from '../routing/ipv4.js';
import {LocalLoadPlacement, type Placement} from '../routing/placement.js';
import type {Random} from '../routing/random.js';
import {ServerLoadTracker} from '../routing/server-load-tracker.js';
import {FlowTerminator} from './flow-terminator.js';
import {
  catalogVersionFields,
  leaveFields,
  logCatalogChange,
  processTimeFields,
} from './log-fields.js';
import {PacketHandler} from './packet-handler.js';
import {GracefulShutdown} from './graceful-shutdown.js';
import type {EntrySettings} from './settings.js';

/** Settings, ports and adapters of an `EntryDaemon`. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  /** Build of the program, in log lines and heartbeats; undefined: not named. */
  readonly build?: string;
  readonly fabric: CookieFabric;
  readonly channel: FleetChannel;
  readonly source: CatalogSource;
  readonly prober: ServerProber;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly random: Random;
  readonly counters: Counters;
  readonly log: Log;
  /** Placement of new flows; undefined: by the load that this daemon observes itself. */
  readonly placement?: Placement;
  /** Creates the ratings of servers; undefined: all are rated equally. */
  createRatings?(catalog: Catalog): ServerRatings;
}

/** A daemon, from `run` until `stop`. */
export class EntryDaemon {
  readonly catalog: Catalog;
  /** Performance feedback; undefined while the feature is off. */
  readonly feedback: ServerFeedback | undefined;
  private readonly peers: PeerView;
  private readonly peerBuilds: PeerBuilds;
  private readonly serverLoad: ServerLoadTracker;
  private readonly placement: Placement;
  private readonly router: CookieRouter;
  private readonly gossip: CatalogGossip;
  private readonly election: ReaderElection;
  private readonly reachability: ServerReachability;
  private readonly reader: CatalogReader;
  private readonly packetHandler: PacketHandler;
  private readonly terminator: FlowTerminator;
  private readonly stopCallbacks: Array<() => void> = [];
  private seeds: readonly number[];
  private isLeaving = false;
  private wasReady = false;

  private constructor(private readonly options: EntryDaemonOptions) {
    const {settings, hasher, random} = options;
    const {flowLifetimeMs, address, failureDomain, seeds} = settings;
    this.seeds = seeds;
    this.catalog = Catalog.create({hasher, flowLifetimeMs});
    this.peers = PeerView.create({self: address, failureDomain, random});
    this.peerBuilds = PeerBuilds.create(options.build ?? '', options.log);
    this.serverLoad = ServerLoadTracker.create(hasher);
    this.placement = options.placement ?? LocalLoadPlacement.create();
    this.feedback = settings.features.ratings
      ? this.createFeedback()
      : undefined;
    this.router = this.createRouter();
    this.packetHandler = this.createPacketHandler();
    this.election = this.createElection();
    this.reachability = this.createReachability();
    this.terminator = this.createTerminator();
    this.gossip = this.createGossip();
    this.reader = this.createReader();
  }

  /** Creates a daemon; it is idle until `run` is called. */
  static create(options: EntryDaemonOptions): EntryDaemon {
    return new EntryDaemon(options);
  }

  /**
   * Starts all tasks. Packets stay in the socket's receive buffer until the catalog is
   * complete, since none can be routed before.
   */
  async run(): Promise<void> {
    const {fabric, log, settings} = this.options;
    this.catalog.onChange(change => this.onCatalogChange(change));
    this.onceComplete(() =>
      fabric.onPacket(packet => this.packetHandler.handle(packet)),
    );
    // Requests the catalog first, so that the read overlaps with opening the channel.
    this.stopCallbacks.push(this.reader.start());
    this.stopCallbacks.push(await this.gossip.start());
    if (this.feedback !== undefined) {
      this.stopCallbacks.push(this.feedback.start());
    }
    log.info('started', {
      address: formatIpv4(settings.address),
      failureDomain: settings.failureDomain,
      build: this.options.build ?? '',
      seeds: settings.seeds.length,
      ...processTimeFields(this.options.clock),
    });
  }

  /** Applies reloaded settings; only the seed addresses take effect. */
  reload(settings: EntrySettings): void {
    this.seeds = settings.seeds;
    this.options.log.warn('reloaded', {seeds: settings.seeds.length});
  }

  /** Whether the fabric may send packets to this daemon; logs each change. */
  isReady(): boolean {
    const ready = this.catalog.isComplete && !this.isLeaving;
    if (ready !== this.wasReady) {
      this.wasReady = ready;
      const {log, clock} = this.options;
      log.warn(ready ? 'ready' : 'not-ready', {
        ...this.versionFields(),
        ...processTimeFields(clock),
      });
    }
    return ready;
  }

  /** Refreshes the gauges; call it before the counters are read. */
  updateGauges(): void {
    const {counters, clock, settings} = this.options;
    counters.set(Metric.FLOWS_HELD, this.router.flows.size);
    counters.set(Metric.REVISION_ACTIVE, this.catalog.stamp.routeVersion);
    this.feedback?.updateGauges();
    if (settings.features.feedback) {
      counters.set(Metric.FLEET_BUILDS, this.peerBuilds.count(clock.now()));
    }
  }

  /**
   * Waits until the catalog is complete or `deadline` (monotonic milliseconds) passes,
   * and returns whether the daemon is ready. Holding the fabric's check open avoids the
   * wait of up to 500 ms for its next one.
   */
  async waitUntilReady(deadline: number): Promise<boolean> {
    if (!this.catalog.isComplete && !this.isLeaving) {
      const {catalog} = this;
      const {clock} = this.options;
      const isComplete = () => catalog.isComplete;
      await awaitCatalogChange(catalog, clock, deadline, isComplete);
    }
    return this.isReady();
  }

  /**
   * Shuts down gracefully: waits until the failure domain has enough other daemons,
   * reports not ready, and forwards until the fabric sends no more packets.
   */
  async stop(): Promise<void> {
    const {clock, log, settings} = this.options;
    const shutdown = GracefulShutdown.create({
      clock,
      peers: this.peers,
      failureDomain: settings.failureDomain,
      stopLimitMs: settings.stopLimitMs,
      lastPacketAt: () => this.packetHandler.lastPacketAt,
    });
    log.warn('stopping', this.versionFields());
    const stoppingAt = clock.now();
    const leave = await shutdown.awaitPeerCapacity();
    this.isLeaving = true;
    this.election.recordLeaving(clock.now());
    log.warn('leaving', {
      ...this.versionFields(),
      ...leaveFields(leave),
      waitedMs: Math.round(clock.now() - stoppingAt),
    });
    this.gossip.announce();
    await shutdown.awaitTrafficEnd();
    this.reachability.stop();
    this.terminator.stop();
    this.stopCallbacks.forEach(callback => callback());
    this.options.fabric.close();
    log.warn('stopped', {
      flows: this.router.flows.size,
      quietMs: Math.round(clock.now() - this.packetHandler.lastPacketAt),
    });
  }

  /** Calls `task` once, as soon as the catalog is complete. */
  private onceComplete(task: () => void): void {
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

  private createFeedback(): ServerFeedback {
    return ServerFeedback.create({
      ...this.options,
      self: this.options.settings.address,
      openServers: (service, now) => this.catalog.openServers(service, now),
      listServers: () => this.catalog.allServers(),
      reportDueRequests: () => this.router.reportDueRequests(),
      onEvidence: () => this.gossip.relayEvidence(),
    });
  }

  private createRatings(): ServerRatings {
    const {createRatings} = this.options;
    return (
      createRatings?.(this.catalog) ??
      this.feedback?.ratings ??
      UniformRatings.create()
    );
  }

  private createRouter(): CookieRouter {
    const {clock, random, counters, settings} = this.options;
    return CookieRouter.create({
      catalog: this.catalog,
      loadTracker: this.serverLoad,
      placement: this.placement,
      clock,
      random,
      counters,
      inForceLimitMs: settings.inForceLimitMs,
      onUnresponsive: ({id}) => this.onServerUnresponsive(id),
      onUnanswered: server => this.reachability.investigate(server),
      isUnreachable: id => this.reachability.isUnreachable(id),
      regionOf: domain => settings.regions.get(domain),
      coldLimits: settings.coldLimits,
      countDaemons: () => this.peers.countDaemons(clock.now()),
      ratings: this.createRatings(),
      observer: this.feedback?.observer,
      retainsPackets: settings.features.feedback,
    });
  }

  private createPacketHandler(): PacketHandler {
    const {fabric, counters, clock, log} = this.options;
    return PacketHandler.create({
      fabric,
      counters,
      clock,
      log,
      router: this.router,
      serverLoad: this.serverLoad,
      versionFields: () => this.versionFields(),
    });
  }

  private createElection(): ReaderElection {
    const {settings, hasher, clock} = this.options;
    const {address, failureDomain, capacity, inForceLimitMs} = settings;
    return ReaderElection.create({
      self: {reader: address, failureDomain, capacity},
      hasher,
      inForceLimitMs,
      countDaemons: () => this.peers.countDaemons(clock.now()),
    });
  }

  private createReachability(): ServerReachability {
    const {settings, prober, clock, log} = this.options;
    const {address, failureDomain, flowLifetimeMs} = settings;
    return ServerReachability.create({
      self: address,
      failureDomain,
      flowLifetimeMs,
      prober,
      peers: this.peers,
      clock,
      log,
      serverById: id => this.catalog.serverById(id),
      isListed: id => this.catalog.isListed(id),
      countServers: service => this.catalog.countServers(service),
      lastAnsweredAt: id => this.serverLoad.lastAnsweredAt(id),
      requestProbes: (daemons, server) =>
        this.gossip.requestReachabilityCheck(daemons, server),
      sendVote: (daemon, server, result) =>
        this.gossip.sendReachabilityVote(daemon, server, result),
      announce: () => this.gossip.announce(),
      onUnreachable: server => void this.terminator.onServerUnreachable(server),
    });
  }

  private createTerminator(): FlowTerminator {
    const {settings} = this.options;
    const {catalog, router, serverLoad, packetHandler, reachability} = this;
    return FlowTerminator.create({
      ...this.options,
      isEnabled: settings.features.feedback,
      linkMbps: settings.linkMbps,
      catalog,
      router,
      serverLoad,
      packetHandler,
      reachability,
    });
  }

  private createGossip(): CatalogGossip {
    const {channel, clock, log, random, settings, build} = this.options;
    const {feedback} = settings.features;
    return CatalogGossip.create({
      catalog: this.catalog,
      peers: this.peers,
      peerClocks: PeerClocks.create(clock),
      election: this.election,
      reach: this.reachability,
      evidence: this.feedback,
      channel,
      clock,
      log,
      random,
      linkMbps: settings.linkMbps,
      build: feedback ? (build ?? '') : '',
      seeds: () => this.seeds,
      self: () => this.describeSelf(),
      selectLoadToGossip: isLarge =>
        this.serverLoad.selectLoadToGossip(
          clock.now(),
          isLarge || !this.placement.usesPeerLoad,
        ),
      snapshotExpectedUntil: () => this.reader.snapshotExpectedUntil,
      onElectionChange: () => this.reader.reschedule(),
      onLoadReport: (sender, work, at) =>
        this.serverLoad.applyPeerLoad(sender, work, at),
      onPeerBuild: (sender, named) => {
        if (feedback) {
          this.peerBuilds.record(sender, named, clock.now());
        }
      },
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
      election: this.election,
      isFirstStart: settings.isFirstStart,
      linkMbps: settings.linkMbps,
      inForceLimitMs: settings.inForceLimitMs,
      isAlone: () => this.peers.live(clock.now()).length === 0,
      isPulling: () => this.gossip.isPulling,
      announce: () => this.gossip.announce(),
    });
  }

  /** This daemon's record in heartbeats. */
  private describeSelf(): PeerAge {
    const {address, failureDomain} = this.options.settings;
    return {
      address,
      failureDomain,
      leaving: this.isLeaving,
      hasCopy: this.catalog.isComplete,
      ageMs: 0,
    };
  }

  /** Gossips at once, before peers open more flows at the server. */
  private onServerUnresponsive(server: string): void {
    this.options.log.info('server-silent', {server});
    this.gossip.announce();
  }

  /** Logs a change, passes it on, and drops the load records of departed servers. */
  private onCatalogChange(change: CatalogChange): void {
    logCatalogChange(
      this.options.log,
      this.catalog,
      change,
      this.versionFields(),
    );
    this.reachability.onListingChange(change);
    this.terminator.onCatalogChange(change);
    this.feedback?.onCatalogChange(change);
    if (change.departed.length > 0) {
      this.serverLoad.retain(this.catalog.allServers().map(({id}) => id));
    }
  }

  /** Log fields with the versions and ages of routes and servers. */
  private versionFields(): LogFields {
    return catalogVersionFields(this.catalog, this.options.clock.now());
  }
}
