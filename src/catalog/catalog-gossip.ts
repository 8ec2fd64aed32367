/**
 * Replicates the catalog by gossip. Heartbeats carry the sender's catalog versions and
 * the age of its last read; a daemon that hears of a newer version pulls it from the
 * sender. In a small fleet heartbeats go to every peer, in a large one to a random
 * few, and changes are relayed at once.
 */
import type {EvidenceExchange} from '../feedback/evidence-exchange.js';
import {
  ReadState,
  type Beat,
  type PeerAge,
  type ServerEvidence,
  type ServerWork,
} from '../generated/catalog.js';
import type {PeerDaemon} from '../membership/peer-daemon.js';
import type {PeerClocks} from '../membership/peer-clocks.js';
import type {PeerView} from '../membership/peer-view.js';
import type {Clock, Timer} from '../ports/clock.js';
import type {FleetChannel} from '../ports/fleet-channel.js';
import type {Log} from '../ports/log.js';
import {formatIpv4} from '../routing/ipv4.js';
import {ProbeResult} from '../ports/server-prober.js';
import {
  VOTE_TIMEOUT_MS,
  type ServerReachability,
} from '../reachability/server-reachability.js';
import type {Random} from '../routing/random.js';
import {
  encodeAge,
  decodeReaderStatus,
  encodeReaderStatus,
  isKnownReadState,
} from './catalog-messages.js';
import type {Catalog} from './catalog.js';
import {CatalogExchange} from './catalog-exchange.js';
import {ageHeartbeat} from './heartbeat-ages.js';
import type {ReaderElection} from './reader-election.js';
import {UnknownContent} from './unknown-content.js';
import {BootstrappingPeers} from './bootstrapping-peers.js';

/** Interval between heartbeat rounds, before a jitter of 10% either way. */
const HEARTBEAT_INTERVAL_MS = 500;
/**
 * Interval during the startup period while no peer is live: its seeds may start too. After
 * the loss of all daemons fast ones have the catalog before their seeds run.
 */
const STARTUP_HEARTBEAT_INTERVAL_MS = 30;
/** Length of the startup period. */
const STARTUP_PERIOD_MS = 5_000;
/**
 * How often a daemon without a catalog tells the other bootstrapping peers which
 * daemons have one. A holder that many of them ask refers them on.
 */
const MAX_BOOTSTRAP_NOTICES = 3;
/** Delay before such a notice, in which further bootstrapping peers are collected. */
const BOOTSTRAP_NOTICE_DELAY_MS = 10;
/** Live peers up to which heartbeats go to all of them. */
const MAX_FULL_MESH_PEERS = 16;
/** Receivers in the own failure domain in a larger fleet, besides one in any domain. */
const SAME_DOMAIN_FANOUT = 2;
/**
 * Rounds between pings of silent peers, while any peer is live. A daemon without live peers
 * pings in each round, since it reads the source by itself until it hears of one.
 */
const SILENT_PEER_PING_ROUNDS = 4;
/** How much fresher the catalog has to become for a heartbeat to be relayed. */
const RELAY_THRESHOLD_MS = 300;
/** Limits relays to 120 heartbeats (some 30 kB) a second. */
const MIN_RELAY_INTERVAL_MS = 25;
/** Time from a heartbeat to the next one that relays evidence against servers. */
const EVIDENCE_RELAY_INTERVAL_MS = 250;
/** Delay of a heartbeat from which it is logged, and time between two such lines. */
const LOGGED_DELAY_MS = 500;
const DELAY_LOG_INTERVAL_MS = 1_000;

/** Dependencies and callbacks of `CatalogGossip`. */
export interface CatalogGossipOptions {
  readonly catalog: Catalog;
  readonly peers: PeerView;
  readonly peerClocks: PeerClocks;
  readonly election: ReaderElection;
  readonly reach: ServerReachability;
  /** Evidence against servers; undefined: none is sent or taken in. */
  readonly evidence: EvidenceExchange | undefined;
  readonly channel: FleetChannel;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  /** Bandwidth of the instance's link, in megabits per second. */
  readonly linkMbps: number;
  /** Build that heartbeats name; empty: none. */
  readonly build: string;
  /** Returns the configured addresses of other daemons, as IPv4 numbers. */
  seeds(): readonly number[];
  /** Returns this daemon's current entry for the membership views of its peers. */
  self(): PeerAge;
  /**
   * Returns the server load to gossip. In a large fleet it is limited to silent
   * servers, because too few daemons hear each other for counts to be useful.
   */
  selectLoadToGossip(isLarge: boolean): ServerWork[];
  /** Returns until when a snapshot from the source is awaited; monotonic milliseconds. */
  snapshotExpectedUntil(): number;
  /** Called when a peer becomes a reader of the source, tries to, or ceases to be one. */
  onElectionChange(): void;
  /** Called with the server load that a peer reported at a time. */
  onLoadReport(sender: number, work: readonly ServerWork[], at: number): void;
  /** Called with the build that a peer names; empty: none. */
  onPeerBuild(sender: number, build: string): void;
}

/** Exchanges heartbeats and catalog updates with the peers of one daemon. */
export class CatalogGossip {
  private timer: Timer | undefined;
  private round = 0;
  /** Set while a relay is scheduled. */
  private relayTimer: Timer | undefined;
  /** Time of the last relay; monotonic milliseconds. */
  private relayedAt = -Infinity;
  /** Set while a relay of evidence is scheduled. */
  private evidenceTimer: Timer | undefined;
  /** Time of the last heartbeat to several peers; monotonic milliseconds. */
  private roundSentAt = -Infinity;
  private readonly exchange: CatalogExchange;
  private readonly bootstrappingPeers = BootstrappingPeers.create();
  /** Bootstrap notices scheduled so far. */
  private bootstrapNotices = 0;
  private bootstrapNoticeTimer: Timer | undefined;
  private hasAnnouncedCopy = false;
  private readonly unknownContent: UnknownContent;
  /** Earliest time of the next line on a delayed heartbeat; monotonic milliseconds. */
  private nextDelayLogAt = -Infinity;
  private readonly startedAt: number;

  private constructor(private readonly options: CatalogGossipOptions) {
    this.startedAt = options.clock.now();
    this.unknownContent = UnknownContent.create(options.log);
    this.exchange = CatalogExchange.create({
      ...options,
      self: options.self().address,
      onApplied: () => this.relay(),
      onUnanswered: peer => this.onPullUnanswered(peer),
    });
  }

  /** Creates the gossip of one daemon, which is idle until started. */
  static create(options: CatalogGossipOptions): CatalogGossip {
    return new CatalogGossip(options);
  }

  /** Starts serving peers and sending heartbeats; the returned function stops both. */
  async start(): Promise<() => void> {
    const {channel, catalog} = this.options;
    await channel.serve({
      onHeartbeat: (sender, heartbeat) =>
        this.handleHeartbeat(sender, heartbeat),
      onPull: held => this.exchange.answerPull(held),
    });
    catalog.onChange(() => this.announceFirstCopy());
    this.tick();
    return () => {
      this.timer?.cancel();
      this.relayTimer?.cancel();
      this.evidenceTimer?.cancel();
      this.bootstrapNoticeTimer?.cancel();
      void channel.close();
    };
  }

  /** Has another daemon read the source if a reader does not deliver what it has read. */
  private onPullUnanswered(peer: number): void {
    const {election, clock, log} = this.options;
    if (election.recordUnserved(peer, clock.now())) {
      log.info('reader-unserved', {reader: formatIpv4(peer)});
      this.options.onElectionChange();
    }
  }

  /** Whether a catalog pull is in progress. */
  get isPulling(): boolean {
    return this.exchange.isPulling;
  }

  /** Sends a heartbeat outside the regular rounds. */
  announce(): void {
    this.sendToAll(this.selectReceivers(), false);
  }

  /** Asks daemons to check whether they can reach a server. */
  requestReachabilityCheck(daemons: readonly number[], server: string): void {
    const heartbeat = {...this.createHeartbeat(false), reachAsks: [server]};
    daemons.forEach(address => this.send(address, heartbeat));
  }

  /** Sends the result of a reachability check to the daemon that asked for it. */
  sendReachabilityVote(
    daemon: number,
    server: string,
    result: ProbeResult,
  ): void {
    const reached = result === ProbeResult.REACHED;
    this.send(daemon, {
      ...this.createHeartbeat(false),
      reachVotes: [{server, reached}],
    });
  }

  private tick(): void {
    const {clock, random} = this.options;
    const isStartingAlone =
      this.countLivePeers() === 0 &&
      clock.now() - this.startedAt < STARTUP_PERIOD_MS;
    const interval = isStartingAlone
      ? STARTUP_HEARTBEAT_INTERVAL_MS
      : HEARTBEAT_INTERVAL_MS;
    const pause = interval * (0.9 + random.next() / 5);
    this.timer = clock.callAt(clock.now() + pause, () => this.tick());
    this.sendRound();
    const isAlone = this.countLivePeers() === 0;
    if (isAlone || this.round % SILENT_PEER_PING_ROUNDS === 0) {
      this.pingSilentPeers();
    }
    this.round += 1;
    this.logLostPeers();
  }

  /** Logs each peer that was lost or has left since the last round. */
  private logLostPeers(): void {
    const {peers, clock, log} = this.options;
    const now = clock.now();
    peers.takeLost(now).forEach(({address, failureDomain, leaving, aliveAt}) =>
      log.info(leaving ? 'peer-left' : 'peer-lost', {
        peer: formatIpv4(address),
        failureDomain,
        silentMs: Math.round(now - aliveAt),
      }),
    );
  }

  /**
   * Sends the heartbeats of one round, as pings to the peers that are due for one. In
   * a large fleet the least recently heard peer of the own failure domain is pinged as
   * well, so that its failure is detected before newer entries evict it from all views.
   */
  private sendRound(): void {
    const {peers, clock} = this.options;
    const now = clock.now();
    const receivers = this.selectReceivers();
    const leastRecent = this.isLargeFleet()
      ? this.leastRecentDomainPeers(1)
      : [];
    const pinged = new Map(
      [...peers.selectPeersToPing(now), ...leastRecent].map(peer => [
        peer.address,
        peer,
      ]),
    );
    pinged.forEach(peer => peers.recordPing(peer, now));
    this.sendToAll([...pinged.values()], true);
    // The ping of the least recently heard peer replaces one heartbeat.
    const others = receivers
      .slice(leastRecent.length)
      .filter(({address}) => !pinged.has(address));
    this.sendToAll(others, false);
  }

  /** Pings silent seeds and one silent peer, so that the fleet rejoins after a partition. */
  private pingSilentPeers(): void {
    const {peers, clock, random} = this.options;
    const now = clock.now();
    const live = new Set(peers.live(now).map(({address}) => address));
    const silentSeeds = this.options
      .seeds()
      .filter(address => !live.has(address));
    const silentPeer = random.pick(peers.silent(now));
    const addresses = silentPeer === undefined ? [] : [silentPeer.address];
    const pinged = new Set([...silentSeeds, ...addresses]);
    this.sendToAll(
      [...pinged].map(address => ({address})),
      true,
    );
  }

  /** Selects the receivers of a heartbeat. */
  private selectReceivers(): PeerDaemon[] {
    const {peers, clock} = this.options;
    const live = peers.live(clock.now());
    if (live.length <= MAX_FULL_MESH_PEERS) {
      return live;
    }
    // Only the last one may be in another failure domain.
    const sameDomain = this.liveDomainPeers();
    return [
      ...peers.sample(sameDomain, SAME_DOMAIN_FANOUT),
      ...peers.sample(live, 1),
    ];
  }

  /** Live peers of the own failure domain, the least recently heard first. */
  private leastRecentDomainPeers(count: number): PeerDaemon[] {
    return this.liveDomainPeers()
      .sort((a, b) => a.aliveAt - b.aliveAt)
      .slice(0, count);
  }

  /** Live peers of the own failure domain. */
  private liveDomainPeers(): PeerDaemon[] {
    const {peers, clock} = this.options;
    const {failureDomain} = this.options.self();
    return peers
      .live(clock.now())
      .filter(peer => peer.failureDomain === failureDomain);
  }

  /** Sends one heartbeat to several peers; with `hello` each replies at once. */
  private sendToAll(
    receivers: ReadonlyArray<Pick<PeerDaemon, 'address'>>,
    hello: boolean,
  ): void {
    if (receivers.length > 0) {
      // A ping may go to a peer that is not running: evidence would be wasted on it.
      const evidence = hello ? [] : this.selectEvidence(receivers.length);
      const heartbeat = {...this.createHeartbeat(hello), evidence};
      receivers.forEach(({address}) => this.send(address, heartbeat));
    }
  }

  private selectEvidence(receivers: number): ServerEvidence[] {
    const {evidence, clock} = this.options;
    const now = clock.now();
    this.roundSentAt = now;
    return (
      evidence?.selectEvidenceToGossip(receivers, this.isLargeFleet(), now) ??
      []
    );
  }

  /** Sends a heartbeat, except to this daemon itself, which may be one of the seeds. */
  private send(address: number, heartbeat: Beat): void {
    if (address !== this.options.self().address) {
      this.options.channel.sendHeartbeat(address, heartbeat);
    }
  }

  /** Builds a heartbeat of the current state; with `hello` it asks for a reply. */
  private createHeartbeat(hello: boolean): Beat {
    const {catalog, peers, election, reach, clock} = this.options;
    const now = clock.now();
    const {stamp} = catalog;
    return {
      sender: this.options.self(),
      peers: peers.selectPeersToGossip(now),
      routeVersion: stamp.routeVersion,
      routesAgeMs: encodeAge(stamp.routesConfirmedAt, now),
      serverRevision: stamp.serverRevision,
      serverDigest: stamp.serverDigest,
      serversAgeMs: encodeAge(stamp.serversConfirmedAt, now),
      work: this.options.selectLoadToGossip(this.isLargeFleet()),
      hello,
      reads: election
        .selectStatusesToGossip(now)
        .map(status => encodeReaderStatus(status, now)),
      reachAsks: [],
      reachVotes: [],
      reachNews: reach
        .selectFindingsToGossip(now)
        .map(({server, reached, at, startTime}) => ({
          server,
          reached,
          ageMs: encodeAge(at, now),
          startTime,
        })),
      unreadableDigest: catalog.unreadableDigest,
      evidence: [],
      build: this.options.build,
      sent: this.options.peerClocks.stamp(),
    };
  }

  private handleHeartbeat(sender: number, received: Beat): void {
    const {clock, peers, peerClocks} = this.options;
    const now = clock.now();
    const delayMs = peerClocks.measureHeartbeat(sender, received.sent);
    const heartbeat = ageHeartbeat(received, delayMs);
    this.logDelay(sender, delayMs, now);
    if (heartbeat.sender !== undefined) {
      this.recordSender(sender, heartbeat.sender, heartbeat.hello, now);
    }
    heartbeat.peers.forEach(entry => peers.merge(entry, now));
    this.options.onLoadReport(sender, heartbeat.work, now - delayMs);
    this.options.onPeerBuild(sender, heartbeat.build);
    // The daemon that asked for probes no longer waits for later votes.
    if (delayMs <= VOTE_TIMEOUT_MS) {
      this.handleReachabilityChecks(sender, heartbeat);
    }
    this.mergeEvidence(heartbeat, now);
    const gainMs = Math.max(
      this.confirmCatalog(heartbeat, now),
      this.mergeReaderStatuses(sender, heartbeat, now),
      this.mergeReachabilityFindings(sender, heartbeat, now),
    );
    this.bootstrapFrom(heartbeat);
    void this.exchange.pullRecords(sender, heartbeat);
    if (this.exchange.holdsNewer(heartbeat)) {
      void this.exchange.pullNewer(sender, heartbeat);
    } else if (gainMs > RELAY_THRESHOLD_MS) {
      this.relay();
    }
  }

  /** Logs a heartbeat that was handled late, which mostly means a pause of this process. */
  private logDelay(sender: number, delayMs: number, now: number): void {
    if (delayMs >= LOGGED_DELAY_MS && now >= this.nextDelayLogAt) {
      this.nextDelayLogAt = now + DELAY_LOG_INTERVAL_MS;
      this.options.log.info('heartbeat-delayed', {
        peer: formatIpv4(sender),
        delayMs: Math.round(delayMs),
      });
    }
  }

  private recordSender(
    sender: number,
    entry: PeerAge,
    hello: boolean,
    now: number,
  ): void {
    const isNew = this.options.peers.merge({...entry, address: sender}, now);
    if (isNew) {
      this.options.log.info('peer-found', {
        peer: formatIpv4(sender),
        failureDomain: entry.failureDomain,
      });
    }
    const reportedAt = now - entry.ageMs;
    this.bootstrappingPeers.record(sender, entry.hasCopy, reportedAt);
    if (isNew || hello) {
      this.reply(sender, entry.hasCopy);
    }
  }

  /** Replies to a peer that sent a ping or is new to the view. */
  private reply(sender: number, hasCopy: boolean): void {
    if (hasCopy) {
      this.send(sender, this.createHeartbeat(false));
    } else {
      this.sendBootstrapHeartbeats([sender]);
    }
  }

  /**
   * While this daemon has no catalog, pulls one from a daemon that the heartbeat says
   * has one, and tells the other bootstrapping peers.
   */
  private bootstrapFrom(heartbeat: Beat): void {
    const holders = [heartbeat.sender, ...heartbeat.peers].flatMap(entry =>
      entry?.hasCopy === true ? [entry.address] : [],
    );
    const holder = this.options.random.pick(holders);
    if (holder === undefined || this.options.self().hasCopy) {
      return;
    }
    void this.exchange.pullFirst(holder);
    this.scheduleBootstrapNotice();
  }

  /** Schedules a heartbeat to the bootstrapping peers, a limited number of times. */
  private scheduleBootstrapNotice(): void {
    const {clock} = this.options;
    if (
      this.bootstrapNoticeTimer === undefined &&
      this.bootstrapNotices < MAX_BOOTSTRAP_NOTICES
    ) {
      this.bootstrapNotices += 1;
      this.bootstrapNoticeTimer = clock.callAt(
        clock.now() + BOOTSTRAP_NOTICE_DELAY_MS,
        () => {
          this.bootstrapNoticeTimer = undefined;
          this.sendBootstrapHeartbeats(
            this.bootstrappingPeers.listRecent(clock.now()),
          );
        },
      );
    }
  }

  /** Tells the bootstrapping peers, once, that this daemon now has a catalog. */
  private announceFirstCopy(): void {
    if (!this.hasAnnouncedCopy && this.options.self().hasCopy) {
      this.hasAnnouncedCopy = true;
      this.sendBootstrapHeartbeats(
        this.bootstrappingPeers.listRecent(this.options.clock.now()),
      );
    }
  }

  /** Sends heartbeats whose peer list is chosen for daemons without a catalog. */
  private sendBootstrapHeartbeats(addresses: readonly number[]): void {
    const {peers, clock} = this.options;
    if (addresses.length > 0) {
      const listed = peers.selectPeersForBootstrap(clock.now());
      const heartbeat = {...this.createHeartbeat(false), peers: listed};
      addresses.forEach(address => this.send(address, heartbeat));
    }
  }

  /**
   * Confirms the held versions as of the reads that a heartbeat reports. Returns by how
   * many milliseconds the newest confirmation advanced.
   */
  private confirmCatalog(heartbeat: Beat, now: number): number {
    const {catalog} = this.options;
    const before = catalog.stamp;
    catalog.confirmRoutes(heartbeat.routeVersion, now - heartbeat.routesAgeMs);
    catalog.confirmServers(
      {
        revision: heartbeat.serverRevision,
        digest: heartbeat.serverDigest,
        routeVersion: heartbeat.routeVersion,
      },
      now - heartbeat.serversAgeMs,
    );
    const after = catalog.stamp;
    return Math.max(
      after.routesConfirmedAt - before.routesConfirmedAt,
      after.serversConfirmedAt - before.serversConfirmedAt,
    );
  }

  /** Handles requests for reachability checks, and the results of own requests. */
  private handleReachabilityChecks(sender: number, heartbeat: Beat): void {
    const {reach} = this.options;
    heartbeat.reachAsks.forEach(
      server => void reach.onProbeRequest(sender, server),
    );
    heartbeat.reachVotes.forEach(({server, reached}) =>
      reach.onVote(
        sender,
        server,
        reached ? ProbeResult.REACHED : ProbeResult.TIMEOUT,
      ),
    );
  }

  /** Merges findings on servers; returns Infinity if one is new, else 0. */
  private mergeReachabilityFindings(
    sender: number,
    heartbeat: Beat,
    now: number,
  ): number {
    const {reach, log} = this.options;
    const changes = heartbeat.reachNews.filter(({ageMs, ...finding}) =>
      reach.mergeFinding({...finding, at: now - ageMs}),
    );
    changes.forEach(({server, reached, ageMs}) =>
      log.info('server-finding', {
        server,
        reached,
        ageMs,
        peer: formatIpv4(sender),
      }),
    );
    return changes.length > 0 ? Infinity : 0;
  }

  private mergeEvidence({evidence}: Beat, now: number): void {
    const isLarge = this.isLargeFleet();
    if (this.options.evidence?.applyEvidence(evidence, isLarge, now) === true) {
      this.relayEvidence();
    }
  }

  /**
   * Merges reader statuses, but those in a state that this build does not know; returns
   * the largest gain, as of `ReaderStatuses.merge`.
   */
  private mergeReaderStatuses(
    sender: number,
    heartbeat: Beat,
    now: number,
  ): number {
    const {election, catalog} = this.options;
    const known = heartbeat.reads.filter(({state}) => isKnownReadState(state));
    if (known.length < heartbeat.reads.length) {
      this.unknownContent.report(sender, 'reader state', now);
    }
    const statuses = known.map(status => decodeReaderStatus(status, now));
    statuses
      .filter(({state}) => state === ReadState.READ_CEASED)
      .forEach(({at}) => catalog.recordReadFailure(at));
    const gains = statuses.map(status => election.mergePeerStatus(status, now));
    if (gains.includes(Infinity)) {
      this.options.onElectionChange();
    }
    return Math.max(0, ...gains);
  }

  /** Relays changes in a large fleet, where a heartbeat does not reach every peer. */
  private relay(): void {
    if (!this.isLargeFleet() || this.relayTimer !== undefined) {
      return;
    }
    const {clock} = this.options;
    const wait = this.relayedAt + MIN_RELAY_INTERVAL_MS - clock.now();
    if (wait <= 0) {
      this.relayNow();
      return;
    }
    this.relayTimer = clock.callAt(clock.now() + wait, () => {
      this.relayTimer = undefined;
      this.relayNow();
    });
  }

  /**
   * Tells new evidence in a large fleet. Regular heartbeats carry most of it; between
   * two of them goes one heartbeat without what changes less often.
   */
  relayEvidence(): void {
    if (!this.isLargeFleet() || this.evidenceTimer !== undefined) {
      return;
    }
    const {clock} = this.options;
    this.evidenceTimer = clock.callAt(
      Math.max(clock.now(), this.roundSentAt + EVIDENCE_RELAY_INTERVAL_MS),
      () => {
        this.evidenceTimer = undefined;
        this.relayEvidenceNow();
      },
    );
  }

  private relayEvidenceNow(): void {
    const receivers = this.selectReceivers();
    const evidence = this.selectEvidence(receivers.length);
    if (evidence.length > 0) {
      const whole = this.createHeartbeat(false);
      const heartbeat = {
        ...whole,
        peers: [],
        reads: [],
        reachNews: [],
        evidence,
      };
      receivers.forEach(({address}) => this.send(address, heartbeat));
    }
  }

  private relayNow(): void {
    this.relayedAt = this.options.clock.now();
    this.announce();
  }

  private isLargeFleet(): boolean {
    return this.countLivePeers() > MAX_FULL_MESH_PEERS;
  }

  private countLivePeers(): number {
    const {peers, clock} = this.options;
    return peers.live(clock.now()).length;
  }
}
