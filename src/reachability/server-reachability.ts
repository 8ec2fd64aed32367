/**
 * Finds out, together with peers, which backend servers have fallen silent for good.
 *
 * The pattern answered: servers that lose power by the dozen without a word. Their
 * callers send again and again on open flows until their own deadline, seconds later,
 * and no daemon alone can tell such a server from a lost packet. So the daemon that
 * sees the first packet sent again has daemons of other failure domains try to reach
 * the server's host, as it does itself; only if all of them fail, all within a third of
 * a second, the flows whose requests may be repeated are reset, and their callers come
 * again at once.
 *
 * A server that lives and is undisturbed is not found unreachable: its host answers a
 * connection within a round trip however busy the server is, and at least three
 * connections of two daemons have to be lost besides the packet. One that is cut off is
 * found unreachable as long as it is.
 */
import type {ServerNews} from '../catalog/listing-change.js';
import type {CatalogServer} from '../catalog/records.js';
import type {PeerView} from '../membership/peer-view.js';
import type {PeerDaemon} from '../membership/peer-daemon.js';
import type {Clock} from '../ports/clock.js';
import type {Log} from '../ports/log.js';
import {ContactResult, type ServerContact} from '../ports/server-contact.js';
import {ReachInquiry} from './reach-inquiry.js';
import {UnreachableServers, type ReachFinding} from './unreachable-servers.js';

/** Daemons that are asked to try besides the one that asks. */
const HELPERS = 2;
/**
 * Time in which a server has to answer, in milliseconds: a hundred usual round trips.
 * A caller sends again after 200 ms, so the end is found out some 0.6 s after it.
 */
const CONTACT_MS = 300;
/** Time in which helpers have to answer, in milliseconds: their attempt and the way. */
const VOTES_MS = CONTACT_MS + 100;
/** Time by which a timer may be late before an attempt proves nothing, in milliseconds. */
const LATE_MS = 80;
/** Time after an attempt in which a server is not tried again, in milliseconds. */
const HOLD_MS = 1_000;
/** Time after which a finding is confirmed, in milliseconds, while it is needed. */
const CONFIRM_MS = 2_500;
/** Time for which findings on a service stay in doubt, in milliseconds. */
const DOUBT_MS = 3_500;
/** Inquiries and attempts for others at once; each takes two connections. */
const MAXIMUM_INQUIRIES = 16;
const MAXIMUM_ATTEMPTS = 64;
/** Servers on hold that are remembered. */
const MAXIMUM_HOLDS = 1_024;

/** What reachability is made from. */
export interface ServerReachabilityOptions {
  /** Address of this daemon. */
  readonly self: number;
  readonly failureDomain: string;
  readonly flowLifetimeMs: number;
  readonly contact: ServerContact;
  readonly peers: PeerView;
  readonly clock: Clock;
  readonly log: Log;
  /** A server that is listed or that left not long ago, by id. */
  serverById(id: string): CatalogServer | undefined;
  /** Whether a server is listed. */
  isListed(id: string): boolean;
  /** Servers of a service that are listed, or left not long ago. */
  serverCount(service: string): number;
  /** When a server last answered a caller through this daemon; monotonic milliseconds. */
  answeredAt(id: string): number;
  /** Asks daemons to try to reach a server. */
  ask(daemons: readonly number[], server: string): void;
  /** Tells the daemon that asked what came of it. */
  vote(daemon: number, server: string, result: ContactResult): void;
  /** Tells the peers at once what was found. */
  announce(): void;
  /** Told of a server that is lost to this daemon from now on. */
  onLost(server: CatalogServer): void;
}

/** What one daemon finds out and knows. */
export class ServerReachability {
  private readonly known: UnreachableServers;
  private readonly inquiries = new Map<string, ReachInquiry>();
  /** Until when servers are not tried again; monotonic milliseconds. */
  private readonly holds = new Map<string, number>();
  /** Until when findings on a service count for nothing; monotonic milliseconds. */
  private readonly doubts = new Map<string, number>();
  /** Servers that this daemon could not reach either, by id, with the life meant. */
  private readonly lost = new Map<string, number>();
  private attempts = 0;
  private isStopped = false;

  private constructor(private readonly options: ServerReachabilityOptions) {
    this.known = UnreachableServers.create(options.flowLifetimeMs);
  }

  /** Creates the reachability of a daemon that suspects nobody. */
  static create(options: ServerReachabilityOptions): ServerReachability {
    return new ServerReachability(options);
  }

  /** Takes up no further inquiries. */
  stop(): void {
    this.isStopped = true;
  }

  /** Looks into a server that left a packet without an answer. */
  suspect(server: CatalogServer): void {
    const {id} = server;
    const now = this.options.clock.now();
    const isHeld = (this.holds.get(id) ?? -Infinity) > now;
    const isBusy =
      this.isStopped ||
      this.inquiries.has(id) ||
      this.inquiries.size >= MAXIMUM_INQUIRIES;
    if (!isHeld && !isBusy && !this.known.has(id, now)) {
      void this.inquire(server);
    }
  }

  /** Whether a server cannot be reached, and that is not in doubt. */
  isUnreachable(id: string): boolean {
    const now = this.options.clock.now();
    const service = this.options.serverById(id)?.service;
    return (
      service !== undefined &&
      this.known.has(id, now) &&
      !this.isInDoubt(service, now)
    );
  }

  /** Tries to reach a server for a peer. */
  async onAsk(asker: number, id: string): Promise<void> {
    const server = this.options.serverById(id);
    if (server === undefined || this.attempts >= MAXIMUM_ATTEMPTS) {
      return;
    }
    this.hold(id);
    const result = await this.attempt(server);
    this.options.vote(asker, id, result);
  }

  /**
   * Whether a server cannot be reached by others, nor by this daemon: those that found it
   * so may be cut off themselves, and a flow of a server that lives must not be reset.
   */
  isLost(id: string): boolean {
    const startTime = this.options.serverById(id)?.startTime;
    return this.lost.get(id) === startTime && this.isUnreachable(id);
  }

  /** Takes what a peer found that was asked. */
  onVote(daemon: number, id: string, result: ContactResult): void {
    this.inquiries.get(id)?.vote(daemon, result);
  }

  /** Takes what others found; true if it is news of the life that is known. */
  hear(finding: ReachFinding): boolean {
    const server = this.options.serverById(finding.server);
    if (server !== undefined && server.startTime !== finding.startTime) {
      return false;
    }
    return this.take(finding, server, found => {
      this.lost.delete(found.id);
      void this.tryMyself(found);
    });
  }

  /** Findings to tell in a beat. */
  told(now: number): ReachFinding[] {
    return this.known.told(now);
  }

  /** Takes changes of the list of servers. */
  noteListing({changed, departed, restarted}: ServerNews): void {
    const now = this.options.clock.now();
    changed.forEach(({id}) => this.known.noteListed(id));
    restarted.forEach(({id}) => this.noteRestarted(id));
    departed.forEach(({id}) => this.known.noteDeparted(id, now));
  }

  /** What was found of a former life, or is being found, says nothing of the new one. */
  private noteRestarted(id: string): void {
    this.known.noteRestarted(id);
    this.lost.delete(id);
    this.inquiries.delete(id);
    this.holds.delete(id);
  }

  /** Takes a finding; true if it is news. A server that was not unreachable calls a task. */
  private take(
    finding: ReachFinding,
    server: CatalogServer | undefined,
    onUnreachable: (server: CatalogServer) => void,
  ): boolean {
    const wasKnown = this.known.has(finding.server, this.options.clock.now());
    const isNews = this.known.take(finding, this.options.clock.now());
    const isFound =
      !wasKnown && server !== undefined && this.isUnreachable(server.id);
    if (isNews && isFound) {
      onUnreachable(server);
    }
    return isNews;
  }

  /** Tries a server that others could not reach; tells all if it was reached. */
  private async tryMyself(server: CatalogServer): Promise<void> {
    if (this.attempts >= MAXIMUM_ATTEMPTS) {
      await this.sleepUntil(this.options.clock.now() + CONTACT_MS);
    }
    const result = await this.attempt(server);
    if (this.isStopped) {
      return;
    }
    if (result === ContactResult.SILENT) {
      this.lose(server);
    } else if (this.isUnreachable(server.id)) {
      this.find(server, true);
    }
  }

  /** Takes a server for lost that this daemon could not reach, if others could not. */
  private lose(server: CatalogServer): void {
    this.lost.set(server.id, server.startTime);
    if (this.isLost(server.id)) {
      this.options.onLost(server);
    } else {
      this.lost.delete(server.id);
    }
  }

  /** Asks peers, tries as well, and tells everyone if nobody reached the server. */
  private async inquire(server: CatalogServer): Promise<void> {
    const {clock, self, log} = this.options;
    const {id} = server;
    const startedAt = clock.now();
    const helpers = this.helpersFor(server).map(({address}) => address);
    if (helpers.length === 0) {
      return;
    }
    const inquiry = ReachInquiry.create(self, helpers);
    this.inquiries.set(id, inquiry);
    this.options.ask(helpers, id);
    inquiry.vote(self, await this.attempt(server));
    await Promise.race([
      inquiry.settled,
      this.sleepUntil(startedAt + VOTES_MS),
    ]);
    if (this.inquiries.get(id) !== inquiry) {
      // The server has started again meanwhile.
      return;
    }
    this.inquiries.delete(id);
    this.hold(id);
    const {isUnreachable, voteCount} = inquiry;
    log.info('server-tried', {server: id, isUnreachable, votes: voteCount});
    if (isUnreachable && !this.isStopped) {
      this.find(server, false);
      await this.confirmOn(server);
    }
  }

  /** Confirms a finding for as long as it is needed, or takes it back. */
  private async confirmOn(server: CatalogServer): Promise<void> {
    const {clock} = this.options;
    await this.sleepUntil(clock.now() + CONFIRM_MS);
    const isNeeded = !this.isStopped && this.options.isListed(server.id);
    if (!isNeeded || !this.known.has(server.id, clock.now())) {
      return;
    }
    const result = await this.attempt(server);
    const reached = result === ContactResult.REACHED;
    this.find(server, reached);
    if (!reached) {
      await this.confirmOn(server);
    }
  }

  /** Takes and tells what was found of one life of a server, unless it has ended. */
  private find(server: CatalogServer, reached: boolean): void {
    const {log, clock} = this.options;
    const {id, startTime} = server;
    if (this.options.serverById(id)?.startTime !== startTime) {
      return;
    }
    log.warn(reached ? 'server-reached-again' : 'server-unreachable', {
      server: id,
    });
    const finding = {server: id, reached, at: clock.now(), startTime};
    // Its own attempt was part of the finding.
    this.take(finding, server, found => this.lose(found));
    this.options.announce();
  }

  /** Tries to reach a server; one that answers callers meanwhile was reached. */
  private async attempt(server: CatalogServer): Promise<ContactResult> {
    const {clock, contact} = this.options;
    const startedAt = clock.now();
    const deadline = startedAt + CONTACT_MS;
    this.attempts += 1;
    const result = await contact.reach(server, deadline);
    this.attempts -= 1;
    const isLate = clock.now() > deadline + LATE_MS;
    const answers = this.options.answeredAt(server.id) >= startedAt;
    return isLate || answers ? ContactResult.REACHED : result;
  }

  /**
   * Whether more than half of a service seemed unreachable of late. It may be the
   * network between daemons and servers then, and callers that wait are better off than
   * those that come again in vain; after its return servers are reached one by one.
   */
  private isInDoubt(service: string, now: number): boolean {
    const unreachable = this.known
      .all(now)
      .filter(id => this.options.serverById(id)?.service === service);
    if (unreachable.length * 2 > this.options.serverCount(service)) {
      this.doubts.set(service, now + DOUBT_MS);
    }
    return (this.doubts.get(service) ?? -Infinity) > now;
  }

  /** Peers of other failure domains, one of the server's own domain among them. */
  private helpersFor({failureDomain}: CatalogServer): PeerDaemon[] {
    const {peers, clock} = this.options;
    const live = peers.live(clock.now()).filter(({leaving}) => !leaving);
    const shuffled = peers.sample(live, live.length);
    const own = this.options.failureDomain;
    const rankOf = (peer: PeerDaemon) =>
      peer.failureDomain === own
        ? 2
        : peer.failureDomain === failureDomain
          ? 0
          : 1;
    const [first, ...rest] = shuffled.sort((a, b) => rankOf(a) - rankOf(b));
    if (first === undefined) {
      return [];
    }
    const elsewhere = rest.filter(
      peer => peer.failureDomain !== first.failureDomain,
    );
    return [first, ...elsewhere, ...rest].slice(0, HELPERS);
  }

  private hold(id: string): void {
    const now = this.options.clock.now();
    this.holds.delete(id);
    this.holds.set(id, now + HOLD_MS);
    if (this.holds.size > MAXIMUM_HOLDS) {
      const [oldest] = this.holds.keys();
      this.holds.delete(oldest);
    }
  }

  private sleepUntil(deadline: number): Promise<void> {
    return new Promise(resolve => {
      this.options.clock.callAt(deadline, resolve);
    });
  }
}
