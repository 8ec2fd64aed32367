/**
 * Configuration revision and server marks of one daemon, staged and active.
 *
 * Staged is all that this daemon knows: it expects that peers place flows by
 * it. Active is what every peer has staged: this daemon places flows by it.
 */
import type {Change, RevisionBundle, ServerMark} from '../generated/peer.js';
import type {RoutingRevision} from '../routing/routed-address.js';
import {ServerMarks} from '../routing/server-marks.js';
import type {ChangeLog} from './change-log.js';
import {ACTIVATION_DELAY_MS} from './timing.js';

/**
 * Maximum snapshots waiting for activation; the oldest are dropped, as newer
 * ones include them.
 */
const MAXIMUM_PENDING = 32;

/** What was staged when the log reached an index. */
interface StagedSnapshot {
  readonly index: number;
  readonly revision: number;
  readonly marks: ServerMarks;
  /**
   * Monotonic time from which it may be activated; undefined until all peers
   * have confirmed it.
   */
  activeFromMs: number | undefined;
}

/** Notified of what is staged and activated. */
export interface ReplicatedStateListener {
  onStaged(revision: RoutingRevision, marks: ServerMarks): void;
  onActive(revision: number, marks: ServerMarks): void;
  /** Called for each newly applied mark. */
  onMark(mark: ServerMark): void;
}

/** Parses the document of a revision; undefined when it is invalid. */
export type RevisionParser = (
  bundle: RevisionBundle,
) => RoutingRevision | undefined;

/** Staged and active state of one daemon. */
export class ReplicatedState {
  readonly marks = ServerMarks.create();
  private stagedRevision: RoutingRevision = {revision: 0, addresses: []};
  private stagedBundle: RevisionBundle | undefined;
  private pending: StagedSnapshot[] = [];
  private activeIndex = 0;
  private activeRevision = 0;

  private constructor(
    private readonly log: ChangeLog,
    private readonly parseRevision: RevisionParser,
    private readonly listener: ReplicatedStateListener,
  ) {}

  /** Creates the state without a revision or marks. */
  static create(
    log: ChangeLog,
    read: RevisionParser,
    listener: ReplicatedStateListener,
  ): ReplicatedState {
    return new ReplicatedState(log, read, listener);
  }

  /** The newest staged revision. */
  get staged(): RoutingRevision {
    return this.stagedRevision;
  }

  /** The active revision, by which flows are placed. */
  get active(): number {
    return this.activeRevision;
  }

  /** The newest revision as received; undefined before the first one. */
  get bundle(): RevisionBundle | undefined {
    return this.stagedBundle;
  }

  /** Applies and logs changes; returns whether any of them was new. */
  apply(changes: readonly Omit<Change, 'index'>[]): boolean {
    const accepted = changes.filter(change => this.applyOne(change));
    if (accepted.length === 0) {
      return false;
    }
    this.listener.onStaged(this.stagedRevision, this.marks);
    this.pending = [
      ...this.pending,
      {
        index: this.log.top,
        revision: this.stagedRevision.revision,
        marks: this.marks.copy(),
        activeFromMs: undefined,
      },
    ].slice(-MAXIMUM_PENDING);
    return true;
  }

  /**
   * Activates the newest state that all given peers confirmed at least the
   * activation delay ago.
   */
  activateConfirmed(peers: readonly string[], nowMs: number): void {
    const confirmed = this.log.confirmedIndexOf(peers);
    this.pending
      .filter(({index}) => index <= confirmed)
      .forEach(snapshot => {
        snapshot.activeFromMs ??= nowMs + ACTIVATION_DELAY_MS;
      });
    const due = this.pending.filter(
      ({activeFromMs}) => activeFromMs !== undefined && activeFromMs <= nowMs,
    );
    const newest = due[due.length - 1];
    if (newest === undefined || newest.index <= this.activeIndex) {
      return;
    }
    this.activeIndex = newest.index;
    this.activeRevision = newest.revision;
    this.pending = this.pending.filter(({index}) => index > newest.index);
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

  /** Applies newer revisions only, so a revision never reverts. */
  private applyRevision(bundle: RevisionBundle): boolean {
    if (bundle.revision <= this.stagedRevision.revision) {
      return false;
    }
    const parsed = this.parseRevision(bundle);
    if (parsed === undefined) {
      return false;
    }
    this.stagedRevision = parsed;
    this.stagedBundle = bundle;
    this.log.append({revision: bundle, mark: undefined});
    return true;
  }
}
