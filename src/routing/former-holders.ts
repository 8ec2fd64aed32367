/** Earlier holders of partitions, asked for flows that the owner lacks. */
import type {Clock} from '../ports/clock.js';

/** Earlier holders asked, at the most. */
const MAXIMUM_PREDECESSORS = 3;

/** A previous holder that is asked until a partition's state has arrived. */
interface Predecessor {
  readonly member: string;
  /** Monotonic milliseconds. */
  readonly deadline: number;
}

/** The earlier holders of all partitions that this daemon took over. */
export class FormerHolders {
  /** By partition, the latest first. */
  private readonly predecessors = new Map<number, Predecessor[]>();

  private constructor(private readonly clock: Clock) {}

  /** Creates an empty record. */
  static create(clock: Clock): FormerHolders {
    return new FormerHolders(clock);
  }

  /** Asks earlier holders for unknown flows of a partition until a deadline. */
  use(partition: number, members: readonly string[], deadline: number): void {
    const known = this.predecessors.get(partition) ?? [];
    const others = known.filter(({member}) => !members.includes(member));
    const latest = members.map(member => ({member, deadline}));
    this.predecessors.set(
      partition,
      [...latest, ...others].slice(0, MAXIMUM_PREDECESSORS),
    );
  }

  /** Stops asking a member that is gone. */
  forget(gone: string): void {
    this.predecessors.forEach((known, partition) =>
      this.predecessors.set(
        partition,
        known.filter(({member}) => member !== gone),
      ),
    );
  }

  /** Members to ask, the latest first. */
  of(partition: number): string[] {
    const known = this.predecessors.get(partition);
    if (known === undefined) {
      return [];
    }
    const now = this.clock.now();
    const current = known.filter(({deadline}) => deadline > now);
    if (current.length === 0) {
      this.predecessors.delete(partition);
    }
    return current.map(({member}) => member);
  }
}
