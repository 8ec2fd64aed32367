/**
 * Compacted log of the changes that every daemon must know before flows are
 * placed by them: the newest configuration revision and the newest mark of each
 * server and kind.
 *
 * Each daemon appends what it learns to its own log and tracks how far each
 * peer has staged that log. A change is activated once every peer has staged
 * it, or has been silent for so long that it no longer trusts its own tables.
 */
import type {Change, ChangeList} from '../generated/peer.js';
import type {Hasher} from '../ports/hasher.js';

const DIGEST_SEED = 23;

/** How far this daemon and one peer have staged each other's logs. */
interface PeerProgress {
  /** Epoch and index up to which the peer's log is staged here. */
  stagedEpoch: number;
  stagedTop: number;
  /** Index up to which the peer has staged this log; 0 for another epoch. */
  confirmedIndex: number;
}

/** Changes known to one daemon, the newest of each item. */
export class ChangeLog {
  private readonly items = new Map<string, Change>();
  private readonly progress = new Map<string, PeerProgress>();
  private newestIndex = 0;
  private currentDigest = 0;

  private constructor(
    /**
     * Unique to this run of the daemon, so that peers fetch a restarted
     * daemon's log from the start.
     */
    readonly epoch: number,
    private readonly hasher: Hasher,
  ) {}

  /**
   * Creates an empty log; `epoch` is truncated to an unsigned 32-bit number.
   */
  static create(epoch: number, hasher: Hasher): ChangeLog {
    return new ChangeLog(epoch >>> 0, hasher);
  }

  /** Index of the newest change; 0 when the log is empty. */
  get top(): number {
    return this.newestIndex;
  }

  /**
   * Hash over the versions of all items; equal for logs with equal contents.
   */
  get digest(): number {
    return this.currentDigest;
  }

  /**
   * Appends a change, which replaces an earlier one of the same item. Returns
   * its index.
   */
  append(change: Omit<Change, 'index'>): number {
    this.newestIndex += 1;
    this.items.set(itemKeyOf(change), {...change, index: this.newestIndex});
    this.currentDigest = this.computeDigest();
    return this.newestIndex;
  }

  /** Changes after an index; all of them when the epoch is not this log's. */
  since(epoch: number, after: number): ChangeList {
    const from = epoch === this.epoch ? after : 0;
    const changes = [...this.items.values()]
      .filter(change => change.index > from)
      .sort((a, b) => a.index - b.index);
    return {epoch: this.epoch, top: this.newestIndex, changes};
  }

  /** Whether the peer's log has changes that are not staged here. */
  hasUnstagedChanges(peer: string, epoch: number, top: number): boolean {
    const record = this.progressOf(peer);
    return top > 0 && (record.stagedEpoch !== epoch || record.stagedTop < top);
  }

  /** Epoch and index up to which the peer's log is staged here. */
  stagedPosition(peer: string): {epoch: number; top: number} {
    const {stagedEpoch, stagedTop} = this.progressOf(peer);
    return {epoch: stagedEpoch, top: stagedTop};
  }

  /** Records that the peer's log is staged here up to an index. */
  recordStaged(peer: string, epoch: number, top: number): void {
    const progress = this.progressOf(peer);
    progress.stagedTop =
      progress.stagedEpoch === epoch ? Math.max(progress.stagedTop, top) : top;
    progress.stagedEpoch = epoch;
  }

  /** Records the index up to which the peer reports having staged this log. */
  recordConfirmation(peer: string, epoch: number, top: number): void {
    const progress = this.progressOf(peer);
    progress.confirmedIndex =
      epoch === this.epoch ? Math.max(progress.confirmedIndex, top) : 0;
  }

  /** Index up to which all the given peers have staged this log. */
  confirmedIndexOf(peers: readonly string[]): number {
    return peers.reduce(
      (lowest, peer) => Math.min(lowest, this.progressOf(peer).confirmedIndex),
      this.newestIndex,
    );
  }

  private progressOf(peer: string): PeerProgress {
    const known = this.progress.get(peer);
    if (known !== undefined) {
      return known;
    }
    const created = {stagedEpoch: 0, stagedTop: 0, confirmedIndex: 0};
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

/** Key of the item that a change replaces. */
function itemKeyOf(change: Omit<Change, 'index'>): string {
  return change.mark === undefined
    ? 'revision'
    : `${change.mark.kind}/${change.mark.server}`;
}

function versionOf(change: Change): number {
  return change.mark?.version ?? change.revision?.revision ?? 0;
}
