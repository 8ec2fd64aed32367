/**
 * Tombstones of removed server entries. They tell peers what was removed since a revision
 * and keep a delayed answer from listing a removed server again.
 */
import type {RemovedServer} from './records.js';

/** Maximum number of tombstones kept; peers that lag behind them pull the whole list. */
const MAXIMUM_TOMBSTONES = 2_000;

/** The newest removals of one daemon's server list. */
export class Tombstones {
  /** Revisions of removals by server id, in order of recording. */
  private readonly revisions = new Map<string, number>();
  /** Revision after which the tombstones are complete. */
  private completeSince = 0;

  private constructor() {}

  static create(): Tombstones {
    return new Tombstones();
  }

  /** Declares removals up to a revision unknown. */
  startHistoryAt(revision: number): void {
    this.completeSince = revision;
  }

  /** Returns the revision of the newest removal of an id; -Infinity: none known. */
  revisionOf(id: string): number {
    return this.revisions.get(id) ?? -Infinity;
  }

  /** Records a removal; drops the oldest half when the maximum is exceeded. */
  recordRemoval({id, revision}: RemovedServer): void {
    const newest = Math.max(revision, this.revisionOf(id));
    this.revisions.delete(id);
    this.revisions.set(id, newest);
    if (this.revisions.size > MAXIMUM_TOMBSTONES) {
      const dropped = [...this.revisions].slice(0, MAXIMUM_TOMBSTONES / 2);
      dropped.forEach(([old]) => this.revisions.delete(old));
      const upTo = dropped.map(([, at]) => at);
      this.completeSince = Math.max(this.completeSince, ...upTo);
    }
  }

  /** Returns the removals after a revision; undefined if some may have been dropped. */
  listAfter(revision: number): RemovedServer[] | undefined {
    return revision < this.completeSince
      ? undefined
      : [...this.revisions]
          .filter(([, at]) => at > revision)
          .map(([id, at]) => ({id, revision: at}));
  }
}
