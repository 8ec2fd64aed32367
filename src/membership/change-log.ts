/**
 * What daemons must know before flows are opened by it: the newest
 * configuration revision and the marks of servers.
 *
 * Each daemon keeps its own log with the newest value of each item, and
 * records how far each peer has staged that log. A change becomes active here
 * when every peer has staged it or has been silent for so long that it no
 * longer trusts its own tables.
 */
import type {Change, ChangeList} from '../generated/peer.js';
import type {Hasher} from '../ports/hasher.js';

const DIGEST_SEED = 23;

/** How far two daemons know each other's logs. */
interface PeerProgress {
  /** Epoch and index of the peer's log that is staged here. */
  seenEpoch: number;
  seenTop: number;
  /** Index of this log that the peer has staged. */
  confirmed: number;
}

/** The log of one daemon. */
export class ChangeLog {
  private readonly items = new Map<string, Change>();
  private readonly progress = new Map<string, PeerProgress>();
  private newest = 0;
  private knowledge = 0;

  private constructor(
    /** Differs between runs, so that a restarted daemon's log is read anew. */
    readonly epoch: number,
    private readonly hasher: Hasher,
  ) {}

  /** Creates an empty log; `epoch` is an unsigned 32-bit number. */
  static create(epoch: number, hasher: Hasher): ChangeLog {
    return new ChangeLog(epoch >>> 0, hasher);
  }

  /** Newest index; 0 when the log is empty. */
  get top(): number {
    return this.newest;
  }

  /** Hash over all items; equal hashes mean that both know the same. */
  get digest(): number {
    return this.knowledge;
  }

  /** Adds a change in place of the item's earlier one; returns its index. */
  append(change: Omit<Change, 'index'>): number {
    this.newest += 1;
    this.items.set(itemOf(change), {...change, index: this.newest});
    this.knowledge = this.computeDigest();
    return this.newest;
  }

  /** Changes that a peer lacks; all of them when its epoch is another. */
  since(epoch: number, after: number): ChangeList {
    const from = epoch === this.epoch ? after : 0;
    const changes = [...this.items.values()]
      .filter(change => change.index > from)
      .sort((a, b) => a.index - b.index);
    return {epoch: this.epoch, top: this.newest, changes};
  }

  /** Whether the peer's log has something that is not staged here. */
  isBehind(peer: string, epoch: number, top: number): boolean {
    const progress = this.of(peer);
    return top > 0 && (progress.seenEpoch !== epoch || progress.seenTop < top);
  }

  /** What was staged of the peer's log. */
  seen(peer: string): {epoch: number; top: number} {
    const {seenEpoch, seenTop} = this.of(peer);
    return {epoch: seenEpoch, top: seenTop};
  }

  /** Records that the peer's log is staged here up to an index. */
  markSeen(peer: string, epoch: number, top: number): void {
    const progress = this.of(peer);
    progress.seenTop =
      progress.seenEpoch === epoch ? Math.max(progress.seenTop, top) : top;
    progress.seenEpoch = epoch;
  }

  /** Records how far the peer says that it has staged this log. */
  markConfirmed(peer: string, epoch: number, top: number): void {
    const progress = this.of(peer);
    progress.confirmed =
      epoch === this.epoch ? Math.max(progress.confirmed, top) : 0;
  }

  /** Index up to which all the peers have staged this log. */
  confirmedBy(peers: readonly string[]): number {
    return peers.reduce(
      (lowest, peer) => Math.min(lowest, this.of(peer).confirmed),
      this.newest,
    );
  }

  private of(peer: string): PeerProgress {
    const known = this.progress.get(peer);
    if (known !== undefined) {
      return known;
    }
    const created = {seenEpoch: 0, seenTop: 0, confirmed: 0};
    this.progress.set(peer, created);
    return created;
  }

  private computeDigest(): number {
    const text = [...this.items]
      .map(([item, change]) => `${item}@${versionOf(change)}`)
      .sort()
      .join();
    return this.hasher.hashText(text, DIGEST_SEED);
  }
}

/** The item that a change is of. */
function itemOf(change: Omit<Change, 'index'>): string {
  return change.mark === undefined
    ? 'revision'
    : `${change.mark.kind}/${change.mark.server}`;
}

function versionOf(change: Change): number {
  return change.mark?.version ?? change.revision?.revision ?? 0;
}
