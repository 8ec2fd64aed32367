/**
 * When the entries of servers went, for peers that ask what changed, and so that a late
 * answer does not list a server again.
 */
import type {RemovedServer} from './records.js';

/** Removals remembered; older ones cost peers that pull the whole list. */
const MAXIMUM_REMOVALS = 2_000;

/** The newest removals of one daemon's list. */
export class Tombstones {
  /** Revisions at which entries went, by id, the newest last. */
  private readonly revisions = new Map<string, number>();
  /** All removals after this revision are remembered. */
  private completeSince = 0;

  private constructor() {}

  /** Creates an empty record. */
  static create(): Tombstones {
    return new Tombstones();
  }

  /** Notes that nothing is known of removals up to a revision. */
  startAt(revision: number): void {
    this.completeSince = revision;
  }

  /** The revision of the newest removal of an id; -Infinity: none is known. */
  revisionOf(id: string): number {
    return this.revisions.get(id) ?? -Infinity;
  }

  /** Remembers a removal; when there are too many, the older half is dropped. */
  note({id, revision}: RemovedServer): void {
    const newest = Math.max(revision, this.revisionOf(id));
    this.revisions.delete(id);
    this.revisions.set(id, newest);
    if (this.revisions.size > MAXIMUM_REMOVALS) {
      const dropped = [...this.revisions].slice(0, MAXIMUM_REMOVALS / 2);
      dropped.forEach(([old]) => this.revisions.delete(old));
      const upTo = dropped.map(([, at]) => at);
      this.completeSince = Math.max(this.completeSince, ...upTo);
    }
  }

  /** Removals after a revision; undefined when not all of them are remembered. */
  after(revision: number): RemovedServer[] | undefined {
    return revision < this.completeSince
      ? undefined
      : [...this.revisions]
          .filter(([, at]) => at > revision)
          .map(([id, at]) => ({id, revision: at}));
  }
}
