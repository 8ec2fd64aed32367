/** Port to the timeline of one process's events. */

/** Kinds of events. */
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

/** Timestamp of a hybrid logical clock: wall-clock milliseconds and a counter. */
export interface HybridTimestamp {
  readonly physicalMs: number;
  readonly logical: number;
}

/** A recorded event. */
export interface TimelineRecord {
  readonly process: string;
  readonly stamp: HybridTimestamp;
  readonly kind: EventKind;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}

/** Bounded log of this process's events. */
export abstract class Timeline {
  /** Records an event with the current timestamp. */
  abstract record(
    kind: EventKind,
    detail: Readonly<Record<string, string | number | boolean>>,
  ): void;
  /** Advances the clock past a timestamp received from another process. */
  abstract observe(stamp: HybridTimestamp): void;
  /** Returns the newest `limit` events, oldest first. */
  abstract recent(limit: number): readonly TimelineRecord[];
}
