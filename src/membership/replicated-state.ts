/**
 * The newest revision and server marks, staged and active.
 *
 * "Staged" is all that this daemon knows; flows opened elsewhere by it are
 * expected. "Active" is what every peer has staged; flows are opened by it.
 */
import type {Change, RevisionBundle, ServerMark} from '../generated/peer.js';
import type {RoutingRevision} from '../routing/routed-address.js';
import {ServerMarks} from '../routing/server-marks.js';
import type {ChangeLog} from './change-log.js';
import {ACTIVATION_HOLD_MS} from './timing.js';

/** Snapshots that wait for confirmation; the oldest are merged away. */
const MAXIMUM_WAITING = 32;

/** What was staged when the log reached an index. */
interface Snapshot {
  readonly index: number;
  readonly revision: number;
  readonly marks: ServerMarks;
  /** When it may become active, once every peer has staged it; monotonic. */
  activeFromMs: number | undefined;
}

/** Told of what becomes staged and active. */
export interface ReplicatedStateListener {
  onStaged(revision: RoutingRevision, marks: ServerMarks): void;
  onActive(revision: number, marks: ServerMarks): void;
  /** A mark that was new. */
  onMark(mark: ServerMark): void;
}

/** Reads the document of a revision; undefined when it is not readable. */
export type RevisionReader = (
  bundle: RevisionBundle,
) => RoutingRevision | undefined;

/** The knowledge of one daemon. */
export class ReplicatedState {
  readonly marks = ServerMarks.create();
  private revision: RoutingRevision = {revision: 0, addresses: []};
  private document: RevisionBundle | undefined;
  private waiting: Snapshot[] = [];
  private activeIndex = 0;
  private activeRevision = 0;

  private constructor(
    private readonly log: ChangeLog,
    private readonly read: RevisionReader,
    private readonly listener: ReplicatedStateListener,
  ) {}

  /** Creates empty knowledge. */
  static create(
    log: ChangeLog,
    read: RevisionReader,
    listener: ReplicatedStateListener,
  ): ReplicatedState {
    return new ReplicatedState(log, read, listener);
  }

  /** The newest revision that is staged. */
  get staged(): RoutingRevision {
    return this.revision;
  }

  /** The revision that flows are opened by. */
  get active(): number {
    return this.activeRevision;
  }

  /** The newest revision as it was received. */
  get bundle(): RevisionBundle | undefined {
    return this.document;
  }

  /** Takes changes; returns whether any of them was news. */
  apply(changes: readonly Omit<Change, 'index'>[]): boolean {
    const news = changes.filter(change => this.applyOne(change));
    if (news.length === 0) {
      return false;
    }
    this.listener.onStaged(this.revision, this.marks);
    this.waiting = [
      ...this.waiting,
      {
        index: this.log.top,
        revision: this.revision.revision,
        marks: this.marks.copy(),
        activeFromMs: undefined,
      },
    ].slice(-MAXIMUM_WAITING);
    return true;
  }

  /** Activates what all the peers have staged for a while. */
  activateConfirmed(peers: readonly string[], nowMs: number): void {
    const confirmed = this.log.confirmedBy(peers);
    this.waiting
      .filter(({index}) => index <= confirmed)
      .forEach(snapshot => {
        snapshot.activeFromMs ??= nowMs + ACTIVATION_HOLD_MS;
      });
    const ripe = this.waiting.filter(
      ({activeFromMs}) => activeFromMs !== undefined && activeFromMs <= nowMs,
    );
    const newest = ripe[ripe.length - 1];
    if (newest === undefined || newest.index <= this.activeIndex) {
      return;
    }
    this.activeIndex = newest.index;
    this.activeRevision = newest.revision;
    this.waiting = this.waiting.filter(({index}) => index > newest.index);
    this.listener.onActive(newest.revision, newest.marks);
  }

  private applyOne(change: Omit<Change, 'index'>): boolean {
    if (change.mark !== undefined) {
      return this.applyMark(change.mark);
    }
    return change.revision !== undefined && this.applyRevision(change.revision);
  }

  private applyMark(mark: ServerMark): boolean {
    if (!this.marks.apply(mark)) {
      return false;
    }
    this.log.append({mark, revision: undefined});
    this.listener.onMark(mark);
    return true;
  }

  /** Only newer revisions are taken, so none ever reverts. */
  private applyRevision(bundle: RevisionBundle): boolean {
    if (bundle.revision <= this.revision.revision) {
      return false;
    }
    const read = this.read(bundle);
    if (read === undefined) {
      return false;
    }
    this.revision = read;
    this.document = bundle;
    this.log.append({revision: bundle, mark: undefined});
    return true;
  }
}
