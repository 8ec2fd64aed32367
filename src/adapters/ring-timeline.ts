/** In-memory timeline of the newest events, stamped by a hybrid logical clock. */
import type {Clock} from '../ports/clock.js';
import {
  Timeline,
  type EventKind,
  type HybridTimestamp,
  type TimelineRecord,
} from '../ports/timeline.js';

const CAPACITY_EVENTS = 4_096;

/** Timeline of one process. */
export class RingTimeline extends Timeline {
  private records: TimelineRecord[] = [];
  private stamp: HybridTimestamp = {physicalMs: 0, logical: 0};

  private constructor(
    private readonly process: string,
    private readonly clock: Clock,
  ) {
    super();
  }

  /** Creates an empty timeline. */
  static create(process: string, clock: Clock): RingTimeline {
    return new RingTimeline(process, clock);
  }

  record(
    kind: EventKind,
    detail: Readonly<Record<string, string | number | boolean>>,
  ): void {
    this.stamp = this.nextStamp(this.stamp);
    const {process, stamp} = this;
    this.records.push({process, stamp, kind, detail});
    if (this.records.length > CAPACITY_EVENTS * 2) {
      this.records = this.records.slice(-CAPACITY_EVENTS);
    }
  }

  observe(stamp: HybridTimestamp): void {
    const later =
      stamp.physicalMs > this.stamp.physicalMs ||
      (stamp.physicalMs === this.stamp.physicalMs &&
        stamp.logical > this.stamp.logical);
    this.stamp = later ? stamp : this.stamp;
  }

  recent(limit: number): readonly TimelineRecord[] {
    return this.records.slice(-Math.min(limit, CAPACITY_EVENTS));
  }

  /** Returns the wall clock, or the next logical step when that is not ahead of `stamp`. */
  private nextStamp(stamp: HybridTimestamp): HybridTimestamp {
    const wall = this.clock.wall();
    return wall > stamp.physicalMs
      ? {physicalMs: wall, logical: 0}
      : {physicalMs: stamp.physicalMs, logical: stamp.logical + 1};
  }
}
