/** Replicates flow entries among the daemons that hold their partitions. */
import type {FlowException} from '../generated/peer.js';
import {FORMER_HOLDER_QUERY_MS} from '../membership/timing.js';
import type {Clock} from '../ports/clock.js';
import {EventKind, type Timeline} from '../ports/timeline.js';
import {partitionOf} from '../routing/flow-key.js';
import type {Ownership} from '../routing/ownership.js';
import type {EntryUpdate, Router} from '../routing/router.js';
import type {PartitionTransfer} from './handover.js';
import type {Replicator} from './replicator.js';

/**
 * An entry written here and the monotonic time until which it may be resent.
 */
interface RecentUpdate {
  readonly update: EntryUpdate;
  readonly deadline: number;
}

export interface EntryExchangeOptions {
  /** Id of this daemon. */
  readonly self: string;
  readonly clock: Clock;
  readonly timeline: Timeline;
  readonly router: Router;
  readonly replicator: Replicator;
  /** Returns the ownership by this daemon's current view. */
  ownership(): Ownership;
}

/**
 * Sends entries to the other holders of their partitions and applies theirs.
 */
export class EntryExchange {
  /** Entries written here recently, in the order of their deadlines. */
  private recentUpdates: RecentUpdate[] = [];

  private constructor(private readonly options: EntryExchangeOptions) {}

  static create(options: EntryExchangeOptions): EntryExchange {
    return new EntryExchange(options);
  }

  /**
   * Applies entries, or relays them to their target. Returns the number
   * accepted.
   */
  receive(
    sender: string,
    exceptions: readonly FlowException[],
    target: string,
  ): number {
    return target === '' || target === this.options.self
      ? this.accept(sender, exceptions)
      : this.relay(target, exceptions);
  }

  /** Drops entries that no longer need to be resent. */
  sweep(): void {
    const now = this.options.clock.now();
    this.recentUpdates = this.recentUpdates.filter(
      ({deadline}) => deadline > now,
    );
  }

  /**
   * Applies entries from a peer. Those of partitions that the sender does not
   * hold are also sent to the other holder, which the sender may be unable to
   * reach.
   */
  private accept(sender: string, exceptions: readonly FlowException[]): number {
    const self = this.options.self;
    exceptions.forEach(exception => {
      const {keyHigh: high, keyLow: low} = exception;
      const holders = this.options
        .ownership()
        .holdersOf(partitionOf({high, low}));
      if (holders.includes(self) && !holders.includes(sender)) {
        holders
          .filter(holder => holder !== self)
          .forEach(holder => this.options.replicator.send(holder, [exception]));
      }
    });
    return this.options.router.applyExceptions(exceptions);
  }

  /** Sends the entries of partitions to their new holder. */
  sendPartitions(transfer: PartitionTransfer): void {
    const entries = this.options.router.listExceptions(
      transfer.partitions,
      transfer.includeCached,
    );
    if (entries.length > 0) {
      this.options.timeline.record(EventKind.STATE_PUSHED, {
        receiver: transfer.receiver,
        entries: entries.length,
      });
      this.options.replicator.send(transfer.receiver, entries);
    }
  }

  /**
   * Sends recently written entries to new holders. Such an entry may still be
   * on its way to holders that have already sent off their state.
   */
  resendRecent(before: Ownership): void {
    const now = this.options.clock.now();
    this.recentUpdates = this.recentUpdates.filter(
      ({deadline}) => deadline > now,
    );
    this.recentUpdates.forEach(({update: {partition, exception}}) => {
      const previousHolders = [
        ...before.holdersOf(partition),
        this.options.self,
      ];
      this.options
        .ownership()
        .holdersOf(partition)
        .filter(holder => !previousHolders.includes(holder))
        .forEach(holder => this.options.replicator.send(holder, [exception]));
    });
  }

  /** Sends changed entries to the other holders of their partitions. */
  flush(): void {
    const updates = this.options.router.takeUpdates();
    const deadline = this.options.clock.now() + FORMER_HOLDER_QUERY_MS;
    updates.forEach(update => this.recentUpdates.push({update, deadline}));
    const byReceiver = new Map<string, FlowException[]>();
    updates.forEach(({partition, exception}) =>
      this.options
        .ownership()
        .holdersOf(partition)
        .filter(holder => holder !== this.options.self)
        .forEach(holder => {
          const entries = byReceiver.get(holder) ?? [];
          entries.push(exception);
          byReceiver.set(holder, entries);
        }),
    );
    byReceiver.forEach((entries, receiver) =>
      this.options.replicator.send(receiver, entries),
    );
  }

  private relay(target: string, exceptions: readonly FlowException[]): number {
    this.options.replicator.send(target, exceptions);
    return exceptions.length;
  }
}
