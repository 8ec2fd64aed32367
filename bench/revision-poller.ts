/** Polls the configuration revisions in effect at a cluster's daemons. */
import {pause, type Cluster} from './cluster.js';

const POLL_INTERVAL_MS = 100;

/** The lowest revision among the daemons that answered one poll. */
interface RevisionSample {
  readonly revision: number;
  readonly atMs: number;
}

/** Polls a cluster until stopped; counts reverts and measures how edits spread. */
export class RevisionPoller {
  /** Number of times that a daemon reported an older revision than before. */
  reverts = 0;
  /** Edits that were in the stored configuration at any poll. */
  readonly editIds = new Set<string>();
  private readonly highestRevisions = new Map<string, number>();
  private readonly samples: RevisionSample[] = [];
  private stopped = false;

  private constructor(private readonly cluster: Cluster) {}

  /** Creates a poller and starts it. */
  static create(cluster: Cluster): RevisionPoller {
    const poller = new RevisionPoller(cluster);
    void poller.run();
    return poller;
  }

  /** Stops after the poll in progress. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Returns the milliseconds from `sinceMs` until all daemons that answered had the
   * revision; undefined when no poll has seen that.
   */
  timeUntilInEffect(revision: number, sinceMs: number): number | undefined {
    const found = this.samples.find(
      entry => entry.revision >= revision && entry.atMs >= sinceMs,
    );
    return found === undefined ? undefined : found.atMs - sinceMs;
  }

  /** Polls sequentially: a late answer to an earlier poll would count as a revert. */
  private async run(): Promise<void> {
    while (!this.stopped) {
      await this.poll();
      await pause(POLL_INTERVAL_MS);
    }
  }

  private async poll(): Promise<void> {
    const statuses = await this.cluster.readStatuses();
    statuses.forEach(({id, revision}) => {
      const before = this.highestRevisions.get(id) ?? 0;
      this.reverts += revision < before ? 1 : 0;
      this.highestRevisions.set(id, Math.max(revision, before));
    });
    const lowest = Math.min(...statuses.map(({revision}) => revision));
    if (statuses.length > 0) {
      this.samples.push({revision: lowest, atMs: Date.now()});
    }
    const read = await this.cluster.platform.editor.read();
    read.map(({document}) =>
      document.edits.forEach(({editId}) => this.editIds.add(editId)),
    );
  }
}
