/**
 * Bounded view of the fleet: which peers are live, silent, leaving or lost.
 * Daemons gossip the time since each peer was last known to be alive, and the
 * smallest age wins, so no synchronized clocks are needed.
 *
 * In a large fleet the view keeps the most recently heard peers of this
 * daemon's failure domain and of the others. A peer is declared lost only after
 * unanswered pings, never because it was evicted from the view.
 */
import type {PeerAge} from '../generated/catalog.js';
import type {Random} from '../routing/random.js';
import {PendingPings} from './pending-pings.js';
import {LIVENESS_TIMEOUT_MS, isLive, type PeerDaemon} from './peer-daemon.js';

/** Silence after which a peer is removed. */
const RETENTION_MS = 60_000;

/**
 * Maximum peers kept of this daemon's failure domain, and of all others
 * together. Newscast gossip stays connected with views of 20 entries; twice as
 * many tolerate losing half of the fleet at once.
 */
const MAXIMUM_OWN_DOMAIN_PEERS = 24;
const MAXIMUM_OTHER_DOMAIN_PEERS = 24;

/** Maximum leaving peers kept of this daemon's failure domain. */
const MAXIMUM_LEAVING_PEERS = 24;

/**
 * Time since the last sign of life in which a peer that stopped is expected to
 * restart. Covers a planned stop and a start.
 */
const RESTART_WINDOW_MS = 8_000;

/** Maximum lost peers kept, to be pinged until a network partition heals. */
const MAXIMUM_LOST_PEERS = 32;

/** Maximum peers in one heartbeat, at up to 25 bytes each. */
const PEERS_PER_HEARTBEAT = 8;
/** Maximum leaving peers among those in one heartbeat. */
const LEAVING_PEERS_PER_HEARTBEAT = 4;

export interface PeerViewOptions {
  /** IPv4 address of this daemon as an unsigned number. */
  readonly self: number;
  readonly failureDomain: string;
  readonly random: Random;
}

/** What one daemon knows of its peers. */
export class PeerView {
  private readonly peers = new Map<number, PeerDaemon>();
  /**
   * Peers of this daemon's failure domain that are leaving or have left, until
   * they return.
   */
  private readonly leavingPeers = new Map<number, PeerDaemon>();
  private readonly lostPeers = new Map<number, PeerDaemon>();
  private readonly pendingPings = PendingPings.create();
  /** Whether the view has ever evicted a peer for lack of room. */
  private hasEvicted = false;

  private constructor(private readonly options: PeerViewOptions) {}

  /** Creates an empty view. */
  static create(options: PeerViewOptions): PeerView {
    return new PeerView(options);
  }

  /**
   * Merges a gossiped age. Returns true for a live peer that was lost before,
   * or that is new while nothing has been evicted from the view.
   */
  merge(reported: PeerAge, now: number): boolean {
    const {address, failureDomain, leaving, hasCopy} = reported;
    const aliveAt = now - reported.ageMs;
    const known = this.peers.get(address) ?? this.lostPeers.get(address);
    const isOutdated = known !== undefined && known.aliveAt >= aliveAt;
    const isSelf = address === this.options.self;
    if (isSelf || isOutdated || reported.ageMs > RETENTION_MS) {
      return false;
    }
    const peer = {address, failureDomain, leaving, hasCopy, aliveAt};
    const hasReturned = this.lostPeers.delete(address);
    const isNew = !this.hasEvicted && !this.peers.has(address);
    this.put(peer);
    return isLive(peer, now) && (hasReturned || isNew);
  }

  /** Peers heard of within the liveness timeout; a subset in a large fleet. */
  live(now: number): PeerDaemon[] {
    return [...this.peers.values()].filter(peer => isLive(peer, now));
  }

  /** Peers that are silent or lost. */
  silent(now: number): PeerDaemon[] {
    return [...this.silentInView(now), ...this.lostPeers.values()];
  }

  /**
   * Peers of this daemon's failure domain that are leaving, or left within the
   * restart window.
   */
  leaving(now: number): PeerDaemon[] {
    return [...this.leavingPeers.values()].filter(
      ({aliveAt}) => now - aliveAt <= RESTART_WINDOW_MS,
    );
  }

  /**
   * Peers of this daemon's failure domain that fell silent within the restart
   * window.
   */
  missing(now: number): PeerDaemon[] {
    return this.silent(now).filter(
      ({failureDomain, aliveAt}) =>
        failureDomain === this.options.failureDomain &&
        now - aliveAt <= RESTART_WINDOW_MS,
    );
  }

  /**
   * Number of running daemons, including this one; undefined when the view
   * holds only part of the fleet.
   */
  countDaemons(now: number): number | undefined {
    return this.hasEvicted ? undefined : this.live(now).length + 1;
  }

  /** Records that a peer is pinged now; a live peer answers immediately. */
  recordPing(peer: PeerDaemon, now: number): void {
    this.pendingPings.record(peer, now);
  }

  /**
   * Peers to ping in this round: those with unanswered pings, and silent ones.
   */
  selectPeersToPing(now: number): PeerDaemon[] {
    const unpinged = this.silentInView(now).filter(
      ({address}) => !this.pendingPings.isPending(address),
    );
    return [...this.pendingPings.listPending(), ...unpinged];
  }

  /**
   * Moves peers that left their pings unanswered to the lost peers and returns
   * them. Each loss is returned once.
   */
  takeLost(now: number): PeerDaemon[] {
    const lost = this.pendingPings.takeLost(now - LIVENESS_TIMEOUT_MS);
    lost.forEach(peer => {
      this.peers.delete(peer.address);
      this.lostPeers.set(peer.address, peer);
    });
    keepNewest(this.lostPeers, MAXIMUM_LOST_PEERS);
    return lost;
  }

  /**
   * Ages to gossip in the next heartbeat: all live peers of a small fleet, a
   * random sample of a large one.
   */
  selectPeersToGossip(now: number): PeerAge[] {
    this.removeExpired(now);
    const leaving = this.sample(this.leaving(now), LEAVING_PEERS_PER_HEARTBEAT);
    const live = this.live(now).filter(
      ({address}) => !this.leavingPeers.has(address),
    );
    const others = this.sample(live, PEERS_PER_HEARTBEAT - leaving.length);
    return [...leaving, ...others].map(peer => toPeerAge(peer, now));
  }

  /**
   * Ages to send to a daemon without a catalog snapshot: peers that hold one
   * first, then others.
   */
  selectPeersForBootstrap(now: number): PeerAge[] {
    const live = this.live(now).filter(({leaving}) => !leaving);
    const withSnapshot = live.filter(({hasCopy}) => hasCopy);
    const withoutSnapshot = live.filter(({hasCopy}) => !hasCopy);
    const selected = this.sample(withSnapshot, PEERS_PER_HEARTBEAT);
    return [
      ...selected,
      ...this.sample(withoutSnapshot, PEERS_PER_HEARTBEAT - selected.length),
    ].map(peer => toPeerAge(peer, now));
  }

  /** Returns a random sample of up to `count` peers. */
  sample(peers: readonly PeerDaemon[], count: number): PeerDaemon[] {
    if (peers.length <= count) {
      return [...peers];
    }
    return this.draw(peers, count);
  }

  /** Returns the peers in random order. */
  shuffle(peers: readonly PeerDaemon[]): PeerDaemon[] {
    return this.draw(peers, peers.length);
  }

  private draw(peers: readonly PeerDaemon[], count: number): PeerDaemon[] {
    const remaining = [...peers];
    return Array.from({length: count}, () => {
      const position = this.options.random.nextInt(remaining.length);
      const [taken] = remaining.splice(position, 1);
      return taken;
    });
  }

  /** Silent peers in the view, without the lost ones. */
  private silentInView(now: number): PeerDaemon[] {
    return [...this.peers.values()].filter(peer => !isLive(peer, now));
  }

  /**
   * Stores a peer; evicts the least recently heard candidate when there is no
   * room.
   */
  private put(peer: PeerDaemon): void {
    this.peers.set(peer.address, peer);
    this.pendingPings.updatePeer(peer);
    this.trackLeaving(peer);
    const pool = this.selectEvictable(peer);
    if (pool.length > 0) {
      const oldest = pool.reduce((a, b) => (b.aliveAt < a.aliveAt ? b : a));
      this.peers.delete(oldest.address);
      this.hasEvicted = true;
    }
  }

  /**
   * Peers of which one has to be evicted to make room for the new one; empty
   * while there is room. Outside this daemon's failure domain they are those of
   * the domain with the most peers, so that a silent domain is not evicted
   * entirely.
   */
  private selectEvictable({failureDomain}: PeerDaemon): readonly PeerDaemon[] {
    const own = this.options.failureDomain;
    const all = [...this.peers.values()];
    if (failureDomain === own) {
      const ownDomain = all.filter(peer => peer.failureDomain === own);
      return ownDomain.length > MAXIMUM_OWN_DOMAIN_PEERS ? ownDomain : [];
    }
    const otherDomains = all.filter(peer => peer.failureDomain !== own);
    return otherDomains.length > MAXIMUM_OTHER_DOMAIN_PEERS
      ? largestDomainOf(otherDomains)
      : [];
  }

  private trackLeaving(peer: PeerDaemon): void {
    const {address, failureDomain, leaving} = peer;
    if (leaving && failureDomain === this.options.failureDomain) {
      this.leavingPeers.set(address, peer);
      keepNewest(this.leavingPeers, MAXIMUM_LEAVING_PEERS);
    } else {
      this.leavingPeers.delete(address);
    }
  }

  private removeExpired(now: number): void {
    [this.peers, this.lostPeers, this.leavingPeers].forEach(known =>
      known.forEach(({aliveAt}, address) => {
        if (now - aliveAt > RETENTION_MS) {
          known.delete(address);
        }
      }),
    );
  }
}

function toPeerAge(peer: PeerDaemon, now: number): PeerAge {
  const {address, failureDomain, leaving, hasCopy, aliveAt} = peer;
  const ageMs = Math.round(now - aliveAt);
  return {address, failureDomain, leaving, hasCopy, ageMs};
}

/** Peers of the failure domain with the most peers. */
function largestDomainOf(peers: readonly PeerDaemon[]): readonly PeerDaemon[] {
  const byDomain = new Map<string, PeerDaemon[]>();
  peers.forEach(peer => {
    const known = byDomain.get(peer.failureDomain) ?? [];
    known.push(peer);
    byDomain.set(peer.failureDomain, known);
  });
  return [...byDomain.values()].reduce((a, b) => (b.length > a.length ? b : a));
}

/** Removes the least recently heard peers until `count` are left. */
function keepNewest(peers: Map<number, PeerDaemon>, count: number): void {
  while (peers.size > count) {
    const oldest = [...peers.values()].reduce((a, b) =>
      b.aliveAt < a.aliveAt ? b : a,
    );
    peers.delete(oldest.address);
  }
}
