/**
 * Former holders of partitions that this daemon took over. They are asked for
 * flows that this daemon has no entry for, until the partition's state arrives.
 */
import type {Clock} from '../ports/clock.js';

/** Limits the members asked per partition. */
const MAXIMUM_FORMER_HOLDERS = 3;

/** A former holder of one partition. */
interface FormerHolder {
  readonly member: string;
  /** Monotonic milliseconds until which it is asked. */
  readonly deadline: number;
}

/** The former holders of each partition that this daemon took over. */
export class FormerHolders {
  /** By partition, the latest holder first. */
  private readonly holders = new Map<number, FormerHolder[]>();

  private constructor(private readonly clock: Clock) {}

  /** Creates an empty record. */
  static create(clock: Clock): FormerHolders {
    return new FormerHolders(clock);
  }

  /** Adds former holders of a partition until `deadline`, in monotonic milliseconds. */
  add(partition: number, members: readonly string[], deadline: number): void {
    const known = this.holders.get(partition) ?? [];
    const others = known.filter(({member}) => !members.includes(member));
    const latest = members.map(member => ({member, deadline}));
    this.holders.set(
      partition,
      [...latest, ...others].slice(0, MAXIMUM_FORMER_HOLDERS),
    );
  }

  /** Removes a member that left from all partitions. */
  removeMember(removed: string): void {
    this.holders.forEach((known, partition) =>
      this.holders.set(
        partition,
        known.filter(({member}) => member !== removed),
      ),
    );
  }

  /** Returns the former holders whose deadline has not passed, the latest first. */
  list(partition: number): string[] {
    const known = this.holders.get(partition);
    if (known === undefined) {
      return [];
    }
    const now = this.clock.now();
    const current = known.filter(({deadline}) => deadline > now);
    if (current.length === 0) {
      this.holders.delete(partition);
    }
    return current.map(({member}) => member);
  }
}
