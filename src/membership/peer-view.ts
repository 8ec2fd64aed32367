/**
 * The peers of one daemon, by how long ago each was known to live. Daemons tell
 * each other these ages; the youngest that anyone told counts, so ages need no
 * clock that daemons share.
 *
 * The view is bounded: of a large fleet it holds the peers that were heard of last,
 * some of the own failure domain and some of others. A peer that falls out of it is
 * not lost, and one that is in it is lost only after greetings without an answer.
 * So the same state serves 8 daemons, who all know each other, and thousands.
 */
import type {PeerAge} from '../generated/catalog.js';
import type {Random} from '../routing/random.js';
import {PendingPings} from './pending-pings.js';
import {LIVE_AGE_MS, isLive, type PeerDaemon} from './peer-daemon.js';

/** Silence after which a peer is forgotten, in milliseconds. */
const FORGET_AGE_MS = 60_000;

/**
 * Peers kept of the own failure domain and of all others together. Views of the
 * newest 20 entries keep a gossip in one piece (Newscast); twice as many bear the
 * loss of half of the fleet at once.
 */
const OWN_DOMAIN_PEERS = 24;
const OTHER_PEERS = 24;

/** Peers of the own failure domain that leave; kept at the most. */
const LEAVING_PEERS = 24;

/**
 * Time after the last sign of life for which a peer that left counts as one that
 * comes back, in milliseconds: its planned stop and its start.
 */
const RETURN_MS = 8_000;

/** Lost peers that are kept, to be greeted until a cut heals. */
const LOST_PEERS = 32;

/** Peers that one beat tells of; bounds its size at 8 * 25 bytes. */
const TOLD_IN_A_BEAT = 8;
/** Peers that leave among those that one beat tells of, at the most. */
const TOLD_LEAVING = 4;

/** What a view is made from. */
export interface PeerViewOptions {
  /** Address of this daemon. */
  readonly self: number;
  /** Failure domain of this daemon. */
  readonly failureDomain: string;
  readonly random: Random;
}

/** What one daemon knows of the others. */
export class PeerView {
  private readonly peers = new Map<number, PeerDaemon>();
  /** Peers of the own failure domain that leave or have left, until they are back. */
  private readonly leavers = new Map<number, PeerDaemon>();
  private readonly lost = new Map<number, PeerDaemon>();
  private readonly greetings = PendingPings.create();
  /** Whether a peer ever gave way to another one. */
  private isPartial = false;

  private constructor(private readonly options: PeerViewOptions) {}

  /** Creates a view without peers. */
  static create(options: PeerViewOptions): PeerView {
    return new PeerView(options);
  }

  /**
   * Takes what was told of a daemon; true when it is back after it was lost, or new
   * to a view that has room for all.
   */
  merge(told: PeerAge, now: number): boolean {
    const {address, failureDomain, leaving, hasCopy} = told;
    const aliveAt = now - told.ageMs;
    const known = this.peers.get(address) ?? this.lost.get(address);
    const isOutdated = known !== undefined && known.aliveAt >= aliveAt;
    const isSelf = address === this.options.self;
    if (isSelf || isOutdated || told.ageMs > FORGET_AGE_MS) {
      return false;
    }
    const peer = {address, failureDomain, leaving, hasCopy, aliveAt};
    const isBack = this.lost.delete(address);
    const isNew = !this.isPartial && !this.peers.has(address);
    this.put(peer);
    return isLive(peer, now) && (isBack || isNew);
  }

  /** Peers that lived of late: all of a small fleet, some of a large one. */
  live(now: number): PeerDaemon[] {
    return [...this.peers.values()].filter(peer => isLive(peer, now));
  }

  /** Peers that are silent, and may be back some day. */
  silent(now: number): PeerDaemon[] {
    return [...this.quiet(now), ...this.lost.values()];
  }

  /** Peers of the own failure domain that leave, or have left and may come back. */
  leaving(now: number): PeerDaemon[] {
    return [...this.leavers.values()].filter(
      ({aliveAt}) => now - aliveAt <= RETURN_MS,
    );
  }

  /** Peers of the own failure domain that fell silent of late, and may come back. */
  missing(now: number): PeerDaemon[] {
    return this.silent(now).filter(
      ({failureDomain, aliveAt}) =>
        failureDomain === this.options.failureDomain &&
        now - aliveAt <= RETURN_MS,
    );
  }

  /**
   * Daemons that run, this one included; undefined where the view holds but a part of
   * them.
   */
  countDaemons(now: number): number | undefined {
    return this.isPartial ? undefined : this.live(now).length + 1;
  }

  /** Notes that a peer is greeted now; it answers at once if it can. */
  recordPing(peer: PeerDaemon, now: number): void {
    this.greetings.note(peer, now);
  }

  /** Peers to greet in this round: those that owe an answer, and silent ones. */
  selectPeersToPing(now: number): PeerDaemon[] {
    const quiet = this.quiet(now).filter(
      ({address}) => !this.greetings.isOwing(address),
    );
    return [...this.greetings.owing(), ...quiet];
  }

  /** Peers that were lost since the last call. */
  takeLost(now: number): PeerDaemon[] {
    const lost = this.greetings.takeLost(now - LIVE_AGE_MS);
    lost.forEach(peer => {
      this.peers.delete(peer.address);
      this.lost.set(peer.address, peer);
    });
    keepNewest(this.lost, LOST_PEERS);
    return lost;
  }

  /** Ages to tell in the next beat: all of a small fleet, some of a large one. */
  selectPeersToGossip(now: number): PeerAge[] {
    this.forget(now);
    const leaving = this.sample(this.leaving(now), TOLD_LEAVING);
    const live = this.live(now).filter(
      ({address}) => !this.leavers.has(address),
    );
    const others = this.sample(live, TOLD_IN_A_BEAT - leaving.length);
    return [...leaving, ...others].map(peer => toldOf(peer, now));
  }

  /** Ages to tell a daemon that has no copy: who has one, and whom to know. */
  selectPeersForBootstrap(now: number): PeerAge[] {
    const live = this.live(now).filter(({leaving}) => !leaving);
    const having = live.filter(({hasCopy}) => hasCopy);
    const others = live.filter(({hasCopy}) => !hasCopy);
    const told = this.sample(having, TOLD_IN_A_BEAT);
    return [...told, ...this.sample(others, TOLD_IN_A_BEAT - told.length)].map(
      peer => toldOf(peer, now),
    );
  }

  /** Up to `count` of the peers, by chance. */
  sample(peers: readonly PeerDaemon[], count: number): PeerDaemon[] {
    if (peers.length <= count) {
      return [...peers];
    }
    const left = [...peers];
    return Array.from({length: count}, () => {
      const place = this.options.random.below(left.length);
      const [taken] = left.splice(place, 1);
      return taken;
    });
  }

  /** Peers that are in the view, and silent. */
  private quiet(now: number): PeerDaemon[] {
    return [...this.peers.values()].filter(peer => !isLive(peer, now));
  }

  /** Takes news of a peer; where there is no room, the oldest news gives way. */
  private put(peer: PeerDaemon): void {
    this.peers.set(peer.address, peer);
    this.greetings.hear(peer);
    this.noteLeaving(peer);
    const crowd = this.crowdAround(peer);
    if (crowd.length > 0) {
      const oldest = crowd.reduce((a, b) => (b.aliveAt < a.aliveAt ? b : a));
      this.peers.delete(oldest.address);
      this.isPartial = true;
    }
  }

  /**
   * Peers of which one has to give way for a new one; empty while there is room. Of
   * the other failure domains the one with the most peers gives way, so that none
   * falls out of the view while it is silent.
   */
  private crowdAround({failureDomain}: PeerDaemon): readonly PeerDaemon[] {
    const own = this.options.failureDomain;
    const all = [...this.peers.values()];
    if (failureDomain === own) {
      const near = all.filter(peer => peer.failureDomain === own);
      return near.length > OWN_DOMAIN_PEERS ? near : [];
    }
    const far = all.filter(peer => peer.failureDomain !== own);
    return far.length > OTHER_PEERS ? largestDomainOf(far) : [];
  }

  private noteLeaving(peer: PeerDaemon): void {
    const {address, failureDomain, leaving} = peer;
    if (leaving && failureDomain === this.options.failureDomain) {
      this.leavers.set(address, peer);
      keepNewest(this.leavers, LEAVING_PEERS);
    } else {
      this.leavers.delete(address);
    }
  }

  private forget(now: number): void {
    [this.peers, this.lost, this.leavers].forEach(known =>
      known.forEach(({aliveAt}, address) => {
        if (now - aliveAt > FORGET_AGE_MS) {
          known.delete(address);
        }
      }),
    );
  }
}

/** A peer as it is told of. */
function toldOf(peer: PeerDaemon, now: number): PeerAge {
  const {address, failureDomain, leaving, hasCopy, aliveAt} = peer;
  const ageMs = Math.round(now - aliveAt);
  return {address, failureDomain, leaving, hasCopy, ageMs};
}

/** The peers of the failure domain that has the most of them. */
function largestDomainOf(peers: readonly PeerDaemon[]): readonly PeerDaemon[] {
  const byDomain = new Map<string, PeerDaemon[]>();
  peers.forEach(peer => {
    const known = byDomain.get(peer.failureDomain) ?? [];
    known.push(peer);
    byDomain.set(peer.failureDomain, known);
  });
  return [...byDomain.values()].reduce((a, b) => (b.length > a.length ? b : a));
}

/** Drops the peers heard of longest ago until `count` are left. */
function keepNewest(peers: Map<number, PeerDaemon>, count: number): void {
  while (peers.size > count) {
    const oldest = [...peers.values()].reduce((a, b) =>
      b.aliveAt < a.aliveAt ? b : a,
    );
    peers.delete(oldest.address);
  }
}
