/**
 * The peers of one daemon, by how long ago each was known to live. Daemons tell
 * each other these ages; the youngest that anyone told counts. Ages need no
 * clock that daemons share, and nobody has to be declared dead.
 */
import type {PeerAge} from '../generated/catalog.js';
import type {Random} from '../routing/random.js';

/** Silence after which a peer counts as down, in milliseconds: five beats. */
export const LIVE_AGE_MS = 2_500;

/** Silence after which a peer is forgotten, in milliseconds. */
const FORGET_AGE_MS = 60_000;

/** Peers that one beat tells of; bounds its size at 8 * 30 bytes. */
const TOLD_IN_A_BEAT = 8;

/** A daemon as its peers know it. */
export interface PeerDaemon {
  /** IPv4 address as an unsigned number. */
  readonly address: number;
  readonly failureDomain: string;
  /** Processor share in thousandths of a core. */
  readonly capacity: number;
  readonly leaving: boolean;
  /** The store did not answer it of late. */
  readonly outOfTouch: boolean;
  /** Monotonic milliseconds at which it was last known to live. */
  readonly aliveAt: number;
}

/** What one daemon knows of the others. */
export class PeerAges {
  private readonly peers = new Map<number, PeerDaemon>();
  /** When peers were last looked through for lost ones; monotonic milliseconds. */
  private lookedAt = -Infinity;

  private constructor(
    private readonly self: number,
    private readonly random: Random,
  ) {}

  /** Creates an empty view of the daemon at address `self`. */
  static create(self: number, random: Random): PeerAges {
    return new PeerAges(self, random);
  }

  /** Takes what was told of a daemon; true when it was unknown or down before. */
  merge(told: PeerAge, now: number): boolean {
    const aliveAt = now - told.ageMs;
    const known = this.peers.get(told.address);
    const outdated = known !== undefined && known.aliveAt >= aliveAt;
    if (told.address === this.self || told.ageMs > FORGET_AGE_MS || outdated) {
      return false;
    }
    const {address, failureDomain, capacity, leaving, outOfTouch} = told;
    this.peers.set(address, {
      address,
      failureDomain,
      capacity,
      leaving,
      outOfTouch,
      aliveAt,
    });
    return (
      now - aliveAt <= LIVE_AGE_MS &&
      (known === undefined || now - known.aliveAt > LIVE_AGE_MS)
    );
  }

  /** Peers that were known to live of late. */
  live(now: number): PeerDaemon[] {
    return [...this.peers.values()].filter(
      ({aliveAt}) => now - aliveAt <= LIVE_AGE_MS,
    );
  }

  /** Peers that are silent, and may be back some day. */
  silent(now: number): PeerDaemon[] {
    return [...this.peers.values()].filter(
      ({aliveAt}) => now - aliveAt > LIVE_AGE_MS,
    );
  }

  /** Peers that have come to count as down since the last call. */
  takeLost(now: number): PeerDaemon[] {
    const since = this.lookedAt;
    this.lookedAt = now;
    return this.silent(now).filter(
      ({aliveAt}) => since - aliveAt <= LIVE_AGE_MS,
    );
  }

  /** Ages to tell in the next beat: all of a small fleet, some of a large one. */
  told(now: number): PeerAge[] {
    this.forget(now);
    return this.sample(this.live(now), TOLD_IN_A_BEAT).map(peer => ({
      address: peer.address,
      ageMs: Math.round(now - peer.aliveAt),
      failureDomain: peer.failureDomain,
      capacity: peer.capacity,
      leaving: peer.leaving,
      outOfTouch: peer.outOfTouch,
    }));
  }

  /** Up to `count` of the peers, by chance. */
  sample(peers: readonly PeerDaemon[], count: number): PeerDaemon[] {
    if (peers.length <= count) {
      return [...peers];
    }
    const left = [...peers];
    return Array.from({length: count}, () => {
      const place = this.random.below(left.length);
      const [taken] = left.splice(place, 1);
      return taken;
    });
  }

  private forget(now: number): void {
    this.peers.forEach((peer, address) => {
      if (now - peer.aliveAt > FORGET_AGE_MS) {
        this.peers.delete(address);
      }
    });
  }
}
