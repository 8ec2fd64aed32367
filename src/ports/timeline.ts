/** The port that keeps the time line of typed events of one process. */

/** What an event tells. */
export const EventKind = {
  STARTED: 'started',
  READY: 'ready',
  STOPPING: 'stopping',
  STOPPED: 'stopped',
  MEMBER_STATE: 'member-state',
  REVISION_STAGED: 'revision-staged',
  REVISION_ACTIVE: 'revision-active',
  SERVER_MARK: 'server-mark',
  OWNERSHIP_CHANGED: 'ownership-changed',
  STATE_PUSHED: 'state-pushed',
  STATE_PULLED: 'state-pulled',
  FLOW_PLACED: 'flow-placed',
  FLOW_TABLE_FULL: 'flow-table-full',
  REQUEST_ENDED: 'request-ended',
  STORE_LOST: 'store-lost',
  STORE_BACK: 'store-back',
  FAULT_INJECTED: 'fault-injected',
  STEP: 'step',
} as const;
/** One of the kinds in `EventKind`. */
export type EventKind = (typeof EventKind)[keyof typeof EventKind];

/** A hybrid logical clock's stamp: wall milliseconds, then a counter. */
export interface Stamp {
  readonly physicalMs: number;
  readonly logical: number;
}

/** One event of one process. */
export interface TimelineRecord {
  readonly process: string;
  readonly stamp: Stamp;
  readonly kind: EventKind;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}

/** Bounded record of events of this process. */
export abstract class Timeline {
  /** Records an event now. */
  abstract record(
    kind: EventKind,
    detail: Readonly<Record<string, string | number | boolean>>,
  ): void;
  /** Takes a stamp received from another process into account. */
  abstract observe(stamp: Stamp): void;
  /** The newest `limit` events, oldest first. */
  abstract recent(limit: number): readonly TimelineRecord[];
}
