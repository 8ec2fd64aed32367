/** A bounded ring of events with a hybrid logical clock. */
import type {Clock} from '../ports/clock.js';
import {
  Timeline,
  type EventKind,
  type Stamp,
  type TimelineRecord,
} from '../ports/timeline.js';

const CAPACITY = 4_096;

/** Time line of one process, in memory. */
export class RingTimeline extends Timeline {
  private records: TimelineRecord[] = [];
  private stamp: Stamp = {physicalMs: 0, logical: 0};

  private constructor(
    private readonly process: string,
    private readonly clock: Clock,
  ) {
    super();
  }

  /** Creates an empty time line. */
  static create(process: string, clock: Clock): RingTimeline {
    return new RingTimeline(process, clock);
  }

  record(
    kind: EventKind,
    detail: Readonly<Record<string, string | number | boolean>>,
  ): void {
    this.stamp = this.next(this.stamp);
    const {process, stamp} = this;
    this.records.push({process, stamp, kind, detail});
    if (this.records.length > CAPACITY * 2) {
      this.records = this.records.slice(-CAPACITY);
    }
  }

  observe(stamp: Stamp): void {
    const later =
      stamp.physicalMs > this.stamp.physicalMs ||
      (stamp.physicalMs === this.stamp.physicalMs &&
        stamp.logical > this.stamp.logical);
    this.stamp = later ? stamp : this.stamp;
  }

  recent(limit: number): readonly TimelineRecord[] {
    return this.records.slice(-Math.min(limit, CAPACITY));
  }

  /** The wall clock, or one step after the newest stamp when that is later. */
  private next(stamp: Stamp): Stamp {
    const wall = this.clock.wall();
    return wall > stamp.physicalMs
      ? {physicalMs: wall, logical: 0}
      : {physicalMs: stamp.physicalMs, logical: stamp.logical + 1};
  }
}
