/**
 * Detects backend servers whose hosts fail without closing their connections. When a
 * caller retransmits to a server, this daemon and peers in other failure domains probe
 * its host; if every probe fails, the server counts as unreachable and the finding is
 * gossiped. A single daemon can't tell a failed host from a lost packet or a partition.
 */
import type {AffectedServers} from '../catalog/listing-change.js';
import type {CatalogServer} from '../catalog/records.js';
import type {PeerView} from '../membership/peer-view.js';
import type {PeerDaemon} from '../membership/peer-daemon.js';
import type {Clock} from '../ports/clock.js';
import type {Log} from '../ports/log.js';
import {ProbeResult, type ServerProber} from '../ports/server-prober.js';
import {ReachabilityPoll} from './reachability-poll.js';
import {
  UnreachableServers,
  type ReachabilityFinding,
} from './unreachable-servers.js';

/** Peers asked to probe a server besides this daemon. */
const HELPER_COUNT = 2;
/**
 * Time limit of one probe, in milliseconds: a hundred usual round trips. A caller retransmits
 * after 200 ms, so a failure is found some 0.6 s after it.
 */
const PROBE_TIMEOUT_MS = 300;
/** Time limit for the votes of helpers: their probe and the network round trip. */
export const VOTE_TIMEOUT_MS = PROBE_TIMEOUT_MS + 100;
/** Delay of the probe's timer from which a failed probe counts as inconclusive. */
const MAX_TIMER_DELAY_MS = 80;
/** Time after a probe in which no poll on the same server starts. */
const PROBE_COOLDOWN_MS = 1_000;
/** Time between two probes of a server that is unreachable. */
const RECONFIRM_INTERVAL_MS = 2_500;
/** Time for which a service's findings are ignored after most of it was unreachable. */
const IGNORE_FINDINGS_MS = 3_500;
/** Limit of concurrent polls. */
const MAX_POLLS = 16;
/** Concurrent probes from which probes for peers and verifications are skipped. */
const MAX_PROBES = 64;
/** Limit of cooldowns kept; the oldest is dropped first. */
const MAX_COOLDOWNS = 1_024;

/** Dependencies and callbacks of `ServerReachability`. */
export interface ServerReachabilityOptions {
  /** Address of this daemon. */
  readonly self: number;
  readonly failureDomain: string;
  readonly flowLifetimeMs: number;
  readonly prober: ServerProber;
  readonly peers: PeerView;
  readonly clock: Clock;
  readonly log: Log;
  /** Returns a listed or recently departed server; undefined if the id is unknown. */
  serverById(id: string): CatalogServer | undefined;
  /** Whether a server is listed. */
  isListed(id: string): boolean;
  /** Counts the listed and recently departed servers of a service. */
  countServers(service: string): number;
  /** Monotonic milliseconds at which a server last answered a caller here. */
  lastAnsweredAt(id: string): number;
  /** Asks peers, by address, to probe a server. */
  requestProbes(daemons: readonly number[], server: string): void;
  /** Sends a probe's result to the daemon that asked for it. */
  sendVote(daemon: number, server: string, result: ProbeResult): void;
  /** Gossips the findings at once. */
  announce(): void;
  /** Called when a server becomes unreachable. */
  onUnreachable(server: CatalogServer): void;
}

/** Runs polls on suspected servers and holds the findings of the fleet. */
export class ServerReachability {
  private readonly findings: UnreachableServers;
  private readonly polls = new Map<string, ReachabilityPoll>();
  /** When the cooldown of each server ends; monotonic milliseconds. */
  private readonly cooldowns = new Map<string, number>();
  /** End of the time in which each service's findings are ignored; monotonic milliseconds. */
  private readonly findingsIgnoredUntil = new Map<string, number>();
  private activeProbes = 0;
  private isStopped = false;

  private constructor(private readonly options: ServerReachabilityOptions) {
    this.findings = UnreachableServers.create(options.flowLifetimeMs);
  }

  /** Creates an instance without findings. */
  static create(options: ServerReachabilityOptions): ServerReachability {
    return new ServerReachability(options);
  }

  /** Starts no more polls and publishes no more findings. */
  stop(): void {
    this.isStopped = true;
  }

  /** Starts a poll on a server that left a packet unanswered, within the limits. */
  investigate(server: CatalogServer): void {
    const {id} = server;
    const now = this.options.clock.now();
    const isCoolingDown = (this.cooldowns.get(id) ?? -Infinity) > now;
    const isBusy =
      this.isStopped || this.polls.has(id) || this.polls.size >= MAX_POLLS;
    if (!isCoolingDown && !isBusy && !this.findings.isUnreachable(id, now)) {
      void this.runPoll(server);
    }
  }

  /**
   * Whether a server is unreachable, has answered no caller here since it was found so, and
   * its service's findings aren't ignored.
   */
  isUnreachable(id: string): boolean {
    const now = this.options.clock.now();
    const service = this.options.serverById(id)?.service;
    return (
      service !== undefined &&
      this.findings.isUnreachable(id, now) &&
      !this.hasAnsweredSinceFinding(id) &&
      !this.areFindingsIgnored(service, now)
    );
  }

  /** Probes a server for a peer and sends it the result, within the limits. */
  async onProbeRequest(requester: number, id: string): Promise<void> {
    const server = this.options.serverById(id);
    if (server === undefined || this.activeProbes >= MAX_PROBES) {
      return;
    }
    this.startCooldown(id);
    const result = await this.probe(server);
    this.options.sendVote(requester, id, result);
  }

  /**
   * Probes a server that peers found unreachable, since those peers may be partitioned
   * themselves. Returns whether it is unreachable from here too; publishes a success.
   */
  async verifyUnreachable(server: CatalogServer): Promise<boolean> {
    if (this.activeProbes >= MAX_PROBES) {
      return false;
    }
    const result = await this.probe(server);
    if (result === ProbeResult.TIMEOUT) {
      return this.isUnreachable(server.id);
    }
    if (!this.isStopped) {
      this.publishFinding(server, true);
    }
    return false;
  }

  /** Records the vote of a peer in the open poll on a server, if there is one. */
  onVote(daemon: number, id: string, result: ProbeResult): void {
    this.polls.get(id)?.recordVote(daemon, result);
  }

  /**
   * Merges a finding; true if it is new and should be gossiped. Findings on another
   * incarnation of the server than the one in the catalog are rejected.
   */
  mergeFinding(finding: ReachabilityFinding): boolean {
    const now = this.options.clock.now();
    const server = this.options.serverById(finding.server);
    if (server !== undefined && server.startTime !== finding.startTime) {
      return false;
    }
    const wasKnown =
      this.findings.isUnreachable(finding.server, now) &&
      !this.hasAnsweredSinceFinding(finding.server);
    const isNew = this.findings.merge(finding, now);
    const isUnreachableNow =
      !wasKnown && server !== undefined && this.isUnreachable(server.id);
    if (isNew && isUnreachableNow) {
      this.options.onUnreachable(server);
    }
    return isNew;
  }

  /** Selects the findings for a heartbeat. */
  selectFindingsToGossip(now: number): ReachabilityFinding[] {
    return this.findings.selectFindingsToGossip(now);
  }

  /** Applies changes of the server list. */
  onListingChange({changed, departed, restarted}: AffectedServers): void {
    const now = this.options.clock.now();
    changed.forEach(({id}) => this.findings.onListed(id));
    restarted.forEach(({id}) => this.onRestarted(id));
    departed
      .filter(({id}) => !this.hasAnsweredSinceFinding(id))
      .forEach(({id}) => this.findings.onDeparted(id, now));
  }

  /** Whether a server answered a caller here after the newest finding on it. */
  private hasAnsweredSinceFinding(id: string): boolean {
    const foundAt = this.findings.findTime(id) ?? Infinity;
    return this.options.lastAnsweredAt(id) > foundAt;
  }

  /** Drops the findings and the open poll on the former incarnation. */
  private onRestarted(id: string): void {
    this.findings.onRestarted(id);
    this.polls.delete(id);
    this.cooldowns.delete(id);
  }

  /** Has peers probe a server, probes it as well, and publishes if all probes failed. */
  private async runPoll(server: CatalogServer): Promise<void> {
    const {clock, self, log} = this.options;
    const {id} = server;
    const startedAt = clock.now();
    const helpers = this.selectHelpers(server).map(({address}) => address);
    if (helpers.length === 0) {
      return;
    }
    const poll = ReachabilityPoll.create(self, helpers);
    this.polls.set(id, poll);
    this.options.requestProbes(helpers, id);
    poll.recordVote(self, await this.probe(server));
    await Promise.race([
      poll.settled,
      this.sleepUntil(startedAt + VOTE_TIMEOUT_MS),
    ]);
    if (this.polls.get(id) !== poll) {
      // The server restarted in the meantime.
      return;
    }
    this.polls.delete(id);
    this.startCooldown(id);
    const {isUnreachable, voteCount} = poll;
    log.info('server-tried', {server: id, isUnreachable, votes: voteCount});
    if (isUnreachable && !this.isStopped) {
      this.publishFinding(server, false);
      await this.reconfirm(server);
    }
  }

  /**
   * Probes an unreachable server periodically and publishes the result, until it is
   * reached, leaves the list or the finding expires.
   */
  private async reconfirm(server: CatalogServer): Promise<void> {
    const {clock} = this.options;
    await this.sleepUntil(clock.now() + RECONFIRM_INTERVAL_MS);
    const isNeeded = !this.isStopped && this.options.isListed(server.id);
    if (!isNeeded || !this.findings.isUnreachable(server.id, clock.now())) {
      return;
    }
    const result = await this.probe(server);
    const reached = result === ProbeResult.REACHED;
    this.publishFinding(server, reached);
    if (!reached) {
      await this.reconfirm(server);
    }
  }

  /** Logs, merges and gossips a finding, unless the server has restarted since. */
  private publishFinding(
    {id, startTime}: CatalogServer,
    reached: boolean,
  ): void {
    const {log, clock} = this.options;
    if (this.options.serverById(id)?.startTime !== startTime) {
      return;
    }
    log.warn(reached ? 'server-reached-again' : 'server-unreachable', {
      server: id,
    });
    this.mergeFinding({server: id, reached, at: clock.now(), startTime});
    this.options.announce();
  }

  /** Probes a server; an answer to a caller in the meantime counts as success. */
  private async probe(server: CatalogServer): Promise<ProbeResult> {
    const {clock, prober} = this.options;
    const startedAt = clock.now();
    const deadline = startedAt + PROBE_TIMEOUT_MS;
    this.activeProbes += 1;
    const result = await prober.probe(server, deadline);
    this.activeProbes -= 1;
    const isLate = clock.now() > deadline + MAX_TIMER_DELAY_MS;
    const answers = this.options.lastAnsweredAt(server.id) >= startedAt;
    return isLate || answers ? ProbeResult.REACHED : result;
  }

  /**
   * Whether more than half of a service was unreachable within `IGNORE_FINDINGS_MS`. That
   * points to the network between daemons and servers, where resets would only make
   * callers reconnect in vain.
   */
  private areFindingsIgnored(service: string, now: number): boolean {
    const unreachable = this.findings
      .list(now)
      .filter(id => this.options.serverById(id)?.service === service);
    if (unreachable.length * 2 > this.options.countServers(service)) {
      this.findingsIgnoredUntil.set(service, now + IGNORE_FINDINGS_MS);
    }
    return (this.findingsIgnoredUntil.get(service) ?? -Infinity) > now;
  }

  /**
   * Selects peers to probe a server: one from the server's failure domain if possible, the
   * other from a further domain. Peers of this daemon's own domain are the last choice;
   * among equal ones the choice is random.
   */
  private selectHelpers({failureDomain}: CatalogServer): PeerDaemon[] {
    const {peers, clock} = this.options;
    const live = peers.live(clock.now()).filter(({leaving}) => !leaving);
    const candidates = peers.shuffle(live);
    const own = this.options.failureDomain;
    const rankOf = (peer: PeerDaemon) =>
      peer.failureDomain === own
        ? 2
        : peer.failureDomain === failureDomain
          ? 0
          : 1;
    const [first, ...rest] = candidates.sort((a, b) => rankOf(a) - rankOf(b));
    if (first === undefined) {
      return [];
    }
    const elsewhere = rest.filter(
      peer => peer.failureDomain !== first.failureDomain,
    );
    return [first, ...elsewhere, ...rest].slice(0, HELPER_COUNT);
  }

  private startCooldown(id: string): void {
    const now = this.options.clock.now();
    this.cooldowns.delete(id);
    this.cooldowns.set(id, now + PROBE_COOLDOWN_MS);
    if (this.cooldowns.size > MAX_COOLDOWNS) {
      const [oldest] = this.cooldowns.keys();
      this.cooldowns.delete(oldest);
    }
  }

  private sleepUntil(deadline: number): Promise<void> {
    return new Promise(resolve => {
      this.options.clock.callAt(deadline, resolve);
    });
  }
}
