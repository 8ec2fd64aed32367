/**
 * Greetings that peers have not answered. Who is greeted answers at once, so several
 * greetings without an answer, and no word of the peer from anyone else, tell a peer
 * that is lost from one that merely was not spoken of.
 */
import type {PeerDaemon} from './peer-daemon.js';

/** Greetings without an answer, each a round of beats apart, that make a peer lost. */
const GREETINGS = 3;

interface Unanswered {
  readonly peer: PeerDaemon;
  readonly count: number;
  /** When the first of them was sent; monotonic milliseconds. */
  readonly since: number;
}

/** The greetings of one daemon. */
export class PendingPings {
  private readonly unanswered = new Map<number, Unanswered>();

  private constructor() {}

  /** Creates a record without greetings. */
  static create(): PendingPings {
    return new PendingPings();
  }

  /** Notes that a peer was greeted at `now` (monotonic milliseconds). */
  note(peer: PeerDaemon, now: number): void {
    const {count, since} = this.unanswered.get(peer.address) ?? {
      count: 0,
      since: now,
    };
    this.unanswered.set(peer.address, {peer, count: count + 1, since});
  }

  /** Takes news of a peer: a sign of life since the first greeting answers it. */
  hear(peer: PeerDaemon): void {
    const known = this.unanswered.get(peer.address);
    if (known === undefined) {
      return;
    }
    if (peer.aliveAt >= known.since) {
      this.unanswered.delete(peer.address);
    } else {
      this.unanswered.set(peer.address, {...known, peer});
    }
  }

  /** Peers that owe an answer. */
  owing(): PeerDaemon[] {
    return [...this.unanswered.values()].map(({peer}) => peer);
  }

  /** Whether a peer owes an answer. */
  isOwing(address: number): boolean {
    return this.unanswered.has(address);
  }

  /** Takes out the peers that were greeted often enough, and last lived before a time. */
  takeLost(livedBefore: number): PeerDaemon[] {
    const lost = [...this.unanswered.values()]
      .filter(
        ({peer, count}) => count >= GREETINGS && peer.aliveAt < livedBefore,
      )
      .map(({peer}) => peer);
    lost.forEach(({address}) => this.unanswered.delete(address));
    return lost;
  }
}
