/**
 * Keeps the catalogs of a fleet alike. Each daemon sends beats with the versions
 * that it holds and the age of its newest read; a daemon that hears of a newer
 * version pulls it from the sender. In a small fleet beats go to everyone, in a
 * large one to a few by chance, and news is passed on at once.
 */
import type {Beat, PeerAge, ServerWork} from '../generated/catalog.js';
import type {PeerDaemon} from '../membership/peer-daemon.js';
import type {PeerView} from '../membership/peer-view.js';
import type {Clock, Timer} from '../ports/clock.js';
import type {FleetChannel} from '../ports/fleet-channel.js';
import type {Log} from '../ports/log.js';
import {formatIpv4} from '../routing/ipv4.js';
import {ContactResult} from '../ports/server-contact.js';
import type {ServerReachability} from '../reachability/server-reachability.js';
import type {Random} from '../routing/random.js';
import {
  ageOf,
  decodeReaderStatus,
  encodeReaderStatus,
} from './catalog-messages.js';
import type {Catalog} from './catalog.js';
import {CatalogExchange} from './catalog-exchange.js';
import type {ReaderElection} from './reader-election.js';
import {BootstrappingPeers} from './bootstrapping-peers.js';

/** Time between two beats, in milliseconds; a fifth of it is by chance. */
const BEAT_MS = 500;
/**
 * The same while a daemon has just started and hears of nobody, and for how long. After
 * the loss of all, ample daemons are there first and have a copy before the daemons
 * whose addresses they know; these hear of them as soon as they are there.
 */
const START_BEAT_MS = 30;
const START_MS = 5_000;
/**
 * Times that a daemon without a copy tells others without one who has one: the first
 * may be asked by many, and names others then.
 */
const TIMES_SEEKERS_TOLD = 3;
/** Time in which further ones are gathered before each such time, in milliseconds. */
const SEEKER_GAP_MS = 10;
/** Fleet size up to which a beat goes to everyone. */
const MESH_LIMIT = 16;
/** Receivers of a beat in a larger fleet, besides one anywhere. */
const NEAR_FAN_OUT = 2;
/**
 * Rounds between two beats to a peer that has fallen silent. A daemon that hears of
 * nobody greets in every round: it reads the source by itself until it does.
 */
const ROUNDS_BETWEEN_GREETINGS = 4;
/** How much younger a read must be for its news to be passed on, in milliseconds. */
const RELAY_GAIN_MS = 300;
/**
 * Time from one relay to the next, in milliseconds; news that comes meanwhile goes
 * along. It bounds what a daemon sends while many have news at once: 120 beats a
 * second, some 30 kB.
 */
const RELAY_GAP_MS = 25;

/** What the spread is made from. */
export interface CatalogGossipOptions {
  readonly catalog: Catalog;
  readonly peers: PeerView;
  readonly election: ReaderElection;
  readonly reach: ServerReachability;
  readonly channel: FleetChannel;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  /** What the instance's link carries, in megabits a second. */
  readonly linkMbps: number;
  /** Addresses of daemons that may run, as IPv4 numbers. */
  seeds(): readonly number[];
  /** This daemon as its peers are to know it, now. */
  self(): PeerAge;
  /**
   * Work to tell. In a large fleet too few daemons hear of it for counts to mean
   * anything; only servers that are silent are to be told.
   */
  selectLoadToGossip(isLarge: boolean): ServerWork[];
  /** Until when a first copy is expected from the source; monotonic milliseconds. */
  snapshotExpectedUntil(): number;
  /** Told when another daemon begins to read the source, or ceases to. */
  onElectionChange(): void;
  /** Takes the work that a peer told. */
  onWork(sender: number, work: readonly ServerWork[]): void;
}

/** The exchange of one daemon with its peers. */
export class CatalogGossip {
  private timer: Timer | undefined;
  private round = 0;
  /** Set while news waits to be passed on. */
  private relayTimer: Timer | undefined;
  /** Monotonic milliseconds at which news was last passed on. */
  private relayedAt = -Infinity;
  private readonly copies: CatalogExchange;
  private readonly seekers = BootstrappingPeers.create();
  /** How often those that have no copy were told of others that have one. */
  private timesToldSeekers = 0;
  private seekerTimer: Timer | undefined;
  private hadCopy = false;
  private readonly startedAt: number;

  private constructor(private readonly options: CatalogGossipOptions) {
    this.startedAt = options.clock.now();
    this.copies = CatalogExchange.create({
      ...options,
      self: options.self().address,
      onTaken: () => this.relay(),
    });
  }

  /** Creates a spread that does nothing until started. */
  static create(options: CatalogGossipOptions): CatalogGossip {
    return new CatalogGossip(options);
  }

  /** Starts to serve peers and to send beats; the returned function stops. */
  async start(): Promise<() => void> {
    const {channel, catalog} = this.options;
    await channel.serve({
      onHeartbeat: (sender, beat) => this.onBeat(sender, beat),
      onPull: held => this.copies.give(held),
    });
    catalog.onChange(() => this.tellSeekersOfOwn());
    this.tick();
    return () => {
      this.timer?.cancel();
      this.relayTimer?.cancel();
      this.seekerTimer?.cancel();
      void channel.close();
    };
  }

  /** Whether a peer is being asked for its copy. */
  get isPulling(): boolean {
    return this.copies.isPulling;
  }

  /** Sends a beat now, because there is news. */
  announce(): void {
    this.sendToAll(this.receivers(), false);
  }

  /** Asks peers to try to reach a server. */
  ask(daemons: readonly number[], server: string): void {
    const beat = {...this.beat(false), reachAsks: [server]};
    daemons.forEach(address => this.send(address, beat));
  }

  /** Tells a peer that asked what came of it. */
  vote(daemon: number, server: string, result: ContactResult): void {
    const reached = result === ContactResult.REACHED;
    this.send(daemon, {...this.beat(false), reachVotes: [{server, reached}]});
  }

  private tick(): void {
    const {clock, random} = this.options;
    const isLonelyStart =
      this.livePeers() === 0 && clock.now() - this.startedAt < START_MS;
    const beat = isLonelyStart ? START_BEAT_MS : BEAT_MS;
    const pause = beat * (0.9 + random.next() / 5);
    this.timer = clock.callAt(clock.now() + pause, () => this.tick());
    this.beatAndGreet();
    const isAlone = this.livePeers() === 0;
    if (isAlone || this.round % ROUNDS_BETWEEN_GREETINGS === 0) {
      this.greetSilent();
    }
    this.round += 1;
    this.tellLost();
  }

  /** One line for each peer that is lost, here, or has left. */
  private tellLost(): void {
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
   * The beats of one round. Peers that owe an answer are greeted, and in a large fleet
   * the near one that was not heard of for longest: so a daemon that has ended is
   * found out before news of others crowds it out of the views that hold it.
   */
  private beatAndGreet(): void {
    const {peers, clock} = this.options;
    const now = clock.now();
    const receivers = this.receivers();
    const asked = this.isLarge() ? this.oldestNearPeers(1) : [];
    const greeted = new Map(
      [...peers.selectPeersToPing(now), ...asked].map(peer => [
        peer.address,
        peer,
      ]),
    );
    greeted.forEach(peer => peers.recordPing(peer, now));
    this.sendToAll([...greeted.values()], true);
    // A greeting takes the place of one beat.
    const others = receivers
      .slice(asked.length)
      .filter(({address}) => !greeted.has(address));
    this.sendToAll(others, false);
  }

  /** Beats to those that may be back, so that cuts heal. */
  private greetSilent(): void {
    const {peers, clock, random} = this.options;
    const now = clock.now();
    const live = new Set(peers.live(now).map(({address}) => address));
    const silentSeeds = this.options
      .seeds()
      .filter(address => !live.has(address));
    const silentPeer = random.pick(peers.silent(now));
    const addresses = silentPeer === undefined ? [] : [silentPeer.address];
    const greeted = new Set([...silentSeeds, ...addresses]);
    this.sendToAll(
      [...greeted].map(address => ({address})),
      true,
    );
  }

  /** Peers that the next beat goes to. */
  private receivers(): PeerDaemon[] {
    const {peers, clock} = this.options;
    const live = peers.live(clock.now());
    if (live.length <= MESH_LIMIT) {
      return live;
    }
    // Most beats stay within the failure domain; one may cross.
    const near = this.nearPeers();
    return [...peers.sample(near, NEAR_FAN_OUT), ...peers.sample(live, 1)];
  }

  /** Live peers of the own failure domain that were not heard of for longest. */
  private oldestNearPeers(count: number): PeerDaemon[] {
    return this.nearPeers()
      .sort((a, b) => a.aliveAt - b.aliveAt)
      .slice(0, count);
  }

  /** Live peers of the own failure domain. */
  private nearPeers(): PeerDaemon[] {
    const {peers, clock} = this.options;
    const {failureDomain} = this.options.self();
    return peers
      .live(clock.now())
      .filter(peer => peer.failureDomain === failureDomain);
  }

  /** Sends one beat to some peers; with `hello` each of them answers at once. */
  private sendToAll(
    receivers: ReadonlyArray<Pick<PeerDaemon, 'address'>>,
    hello: boolean,
  ): void {
    if (receivers.length > 0) {
      const beat = this.beat(hello);
      receivers.forEach(({address}) => this.send(address, beat));
    }
  }

  /** Sends a beat to any daemon but this one, which may be among the seeds. */
  private send(address: number, beat: Beat): void {
    if (address !== this.options.self().address) {
      this.options.channel.sendHeartbeat(address, beat);
    }
  }

  /** What this daemon tells now; a beat with `hello` is answered at once. */
  private beat(hello: boolean): Beat {
    const {catalog, peers, election: turns, reach, clock} = this.options;
    const now = clock.now();
    const {stamp} = catalog;
    return {
      sender: this.options.self(),
      peers: peers.selectPeersToGossip(now),
      routeVersion: stamp.routeVersion,
      routesAgeMs: ageOf(stamp.routesConfirmedAt, now),
      serverRevision: stamp.serverRevision,
      serverDigest: stamp.serverDigest,
      serversAgeMs: ageOf(stamp.serversConfirmedAt, now),
      work: this.options.selectLoadToGossip(this.isLarge()),
      hello,
      reads: turns
        .selectStatusesToGossip(now)
        .map(mark => encodeReaderStatus(mark, now)),
      reachAsks: [],
      reachVotes: [],
      reachNews: reach
        .selectFindingsToGossip(now)
        .map(({server, reached, at, startTime}) => ({
          server,
          reached,
          ageMs: ageOf(at, now),
          startTime,
        })),
      unreadableDigest: catalog.unreadableDigest,
    };
  }

  private onBeat(sender: number, beat: Beat): void {
    const {clock, peers} = this.options;
    const now = clock.now();
    if (beat.sender !== undefined) {
      this.noteSender(sender, beat.sender, beat.hello, now);
    }
    beat.peers.forEach(told => peers.merge(told, now));
    this.options.onWork(sender, beat.work);
    this.takeQuestions(sender, beat);
    const gain = Math.max(
      this.confirm(beat, now),
      this.takeMarks(beat, now),
      this.takeReachNews(beat, now),
    );
    this.seekCopy(beat);
    void this.copies.pullRecords(sender, beat);
    if (this.copies.isNewer(beat)) {
      void this.copies.pullNewer(sender, beat);
    } else if (gain > RELAY_GAIN_MS) {
      this.relay();
    }
  }

  private noteSender(
    sender: number,
    told: PeerAge,
    hello: boolean,
    now: number,
  ): void {
    const isNew = this.options.peers.merge(
      {...told, address: sender, ageMs: 0},
      now,
    );
    if (isNew) {
      this.options.log.info('peer-found', {
        peer: formatIpv4(sender),
        failureDomain: told.failureDomain,
      });
    }
    this.seekers.note(sender, told.hasCopy, now);
    if (isNew || hello) {
      this.answer(sender, told.hasCopy);
    }
  }

  /** Beats back to a daemon that greets, or is new here. */
  private answer(sender: number, hasCopy: boolean): void {
    if (hasCopy) {
      this.send(sender, this.beat(false));
    } else {
      this.sendToSeekers([sender]);
    }
  }

  /** Without a copy, asks a daemon that is said to have one, and tells others of it. */
  private seekCopy(beat: Beat): void {
    const having = [beat.sender, ...beat.peers].flatMap(told =>
      told?.hasCopy === true ? [told.address] : [],
    );
    const giver = this.options.random.pick(having);
    if (giver === undefined || this.options.self().hasCopy) {
      return;
    }
    void this.copies.pullFirst(giver);
    this.tellSeekers();
  }

  /** Tells those that have no copy who has one, a few times and not at once. */
  private tellSeekers(): void {
    const {clock} = this.options;
    if (
      this.seekerTimer === undefined &&
      this.timesToldSeekers < TIMES_SEEKERS_TOLD
    ) {
      this.timesToldSeekers += 1;
      this.seekerTimer = clock.callAt(clock.now() + SEEKER_GAP_MS, () => {
        this.seekerTimer = undefined;
        this.sendToSeekers(this.seekers.all(clock.now()));
      });
    }
  }

  /** Tells those that have no copy, once, that this daemon has one now. */
  private tellSeekersOfOwn(): void {
    if (!this.hadCopy && this.options.self().hasCopy) {
      this.hadCopy = true;
      this.sendToSeekers(this.seekers.all(this.options.clock.now()));
    }
  }

  /** Beats for daemons that have no copy. */
  private sendToSeekers(addresses: readonly number[]): void {
    const {peers, clock} = this.options;
    if (addresses.length > 0) {
      const told = peers.selectPeersForBootstrap(clock.now());
      const beat = {...this.beat(false), peers: told};
      addresses.forEach(address => this.send(address, beat));
    }
  }

  /** Takes the ages of a beat; returns how much younger the reads became. */
  private confirm(beat: Beat, now: number): number {
    const {catalog} = this.options;
    const before = catalog.stamp;
    catalog.confirmRoutes(beat.routeVersion, now - beat.routesAgeMs);
    catalog.confirmServers(
      {
        revision: beat.serverRevision,
        digest: beat.serverDigest,
        routeVersion: beat.routeVersion,
      },
      now - beat.serversAgeMs,
    );
    const after = catalog.stamp;
    return Math.max(
      after.routesConfirmedAt - before.routesConfirmedAt,
      after.serversConfirmedAt - before.serversConfirmedAt,
    );
  }

  /** Takes what a peer wants tried, and what it tried itself. */
  private takeQuestions(sender: number, beat: Beat): void {
    const {reach} = this.options;
    beat.reachAsks.forEach(server => void reach.onAsk(sender, server));
    beat.reachVotes.forEach(({server, reached}) =>
      reach.onVote(
        sender,
        server,
        reached ? ContactResult.REACHED : ContactResult.SILENT,
      ),
    );
  }

  /** Takes findings on servers; Infinity if one of them is news. */
  private takeReachNews(beat: Beat, now: number): number {
    const {reach} = this.options;
    const news = beat.reachNews.filter(({ageMs, ...finding}) =>
      reach.hear({...finding, at: now - ageMs}),
    );
    return news.length > 0 ? Infinity : 0;
  }

  /** Takes what a beat says of readers; returns what is the greatest news of it. */
  private takeMarks(beat: Beat, now: number): number {
    const {election: turns} = this.options;
    const gains = beat.reads
      .map(mark => decodeReaderStatus(mark, now))
      .map(mark => turns.hear(mark, now));
    if (gains.includes(Infinity)) {
      this.options.onElectionChange();
    }
    return Math.max(0, ...gains);
  }

  /** Passes news on, where beats do not reach everyone by themselves. */
  private relay(): void {
    if (!this.isLarge() || this.relayTimer !== undefined) {
      return;
    }
    const {clock} = this.options;
    const wait = this.relayedAt + RELAY_GAP_MS - clock.now();
    if (wait <= 0) {
      this.relayNow();
      return;
    }
    this.relayTimer = clock.callAt(clock.now() + wait, () => {
      this.relayTimer = undefined;
      this.relayNow();
    });
  }

  private relayNow(): void {
    this.relayedAt = this.options.clock.now();
    this.announce();
  }

  private isLarge(): boolean {
    return this.livePeers() > MESH_LIMIT;
  }

  private livePeers(): number {
    const {peers, clock} = this.options;
    return peers.live(clock.now()).length;
  }
}
