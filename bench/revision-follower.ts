/** Watches the revisions in force at a cluster's daemons, one look at a time. */
import {pause, type Cluster} from './cluster.js';

const POLL_MS = 100;

/** A moment at which every daemon that answered had a revision. */
interface Reached {
  readonly revision: number;
  readonly atMs: number;
}

/** Follows a cluster until it is stopped. */
export class RevisionFollower {
  /** Times that a daemon's revision went back. */
  reverts = 0;
  /** Edits that were in the configuration at any look. */
  readonly editIds = new Set<string>();
  private readonly highest = new Map<string, number>();
  private readonly reached: Reached[] = [];
  private stopped = false;

  private constructor(private readonly cluster: Cluster) {}

  /** Starts to follow. */
  static create(cluster: Cluster): RevisionFollower {
    const follower = new RevisionFollower(cluster);
    void follower.run();
    return follower;
  }

  /** Ends following. */
  stop(): void {
    this.stopped = true;
  }

  /** Time from a moment until a revision was in force everywhere. */
  timeInForce(revision: number, sinceMs: number): number | undefined {
    const found = this.reached.find(
      entry => entry.revision >= revision && entry.atMs >= sinceMs,
    );
    return found === undefined ? undefined : found.atMs - sinceMs;
  }

  /** Looks never overlap: an answer that comes late would seem to go back. */
  private async run(): Promise<void> {
    while (!this.stopped) {
      await this.look();
      await pause(POLL_MS);
    }
  }

  private async look(): Promise<void> {
    const statuses = await this.cluster.statuses();
    statuses.forEach(({id, revision}) => {
      const before = this.highest.get(id) ?? 0;
      this.reverts += revision < before ? 1 : 0;
      this.highest.set(id, Math.max(revision, before));
    });
    const lowest = Math.min(...statuses.map(({revision}) => revision));
    if (statuses.length > 0) {
      this.reached.push({revision: lowest, atMs: Date.now()});
    }
    const read = await this.cluster.platform.editor.read();
    read.map(({document}) =>
      document.edits.forEach(({editId}) => this.editIds.add(editId)),
    );
  }
}
