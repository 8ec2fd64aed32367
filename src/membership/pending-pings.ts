/**
 * Tracks pings that peers have not answered. A live peer answers immediately,
 * so several unanswered pings, without news of the peer from anyone else,
 * distinguish a lost peer from one that is merely not gossiped about.
 */
import type {PeerDaemon} from './peer-daemon.js';

/** Unanswered pings, one per heartbeat round, after which a peer is lost. */
const PINGS_BEFORE_LOST = 3;

interface UnansweredPings {
  readonly peer: PeerDaemon;
  readonly count: number;
  /** Monotonic milliseconds at which the first of them was sent. */
  readonly firstSentAt: number;
}

/** Unanswered pings of one daemon. */
export class PendingPings {
  private readonly unanswered = new Map<number, UnansweredPings>();

  private constructor() {}

  static create(): PendingPings {
    return new PendingPings();
  }

  /** Records a ping sent to a peer at `now` (monotonic milliseconds). */
  record(peer: PeerDaemon, now: number): void {
    const {count, firstSentAt: since} = this.unanswered.get(peer.address) ?? {
      count: 0,
      firstSentAt: now,
    };
    this.unanswered.set(peer.address, {
      peer,
      count: count + 1,
      firstSentAt: since,
    });
  }

  /**
   * Applies news of a peer: a sign of life since the first unanswered ping
   * answers them all.
   */
  updatePeer(peer: PeerDaemon): void {
    const known = this.unanswered.get(peer.address);
    if (known === undefined) {
      return;
    }
    if (peer.aliveAt >= known.firstSentAt) {
      this.unanswered.delete(peer.address);
    } else {
      this.unanswered.set(peer.address, {...known, peer});
    }
  }

  /** Peers with unanswered pings. */
  listPending(): PeerDaemon[] {
    return [...this.unanswered.values()].map(({peer}) => peer);
  }

  /** Whether a peer has unanswered pings. */
  isPending(address: number): boolean {
    return this.unanswered.has(address);
  }

  /**
   * Removes and returns the peers that left enough pings unanswered and were
   * last alive before a time.
   */
  takeLost(aliveBefore: number): PeerDaemon[] {
    const lost = [...this.unanswered.values()]
      .filter(
        ({peer, count}) =>
          count >= PINGS_BEFORE_LOST && peer.aliveAt < aliveBefore,
      )
      .map(({peer}) => peer);
    lost.forEach(({address}) => this.unanswered.delete(address));
    return lost;
  }
}
