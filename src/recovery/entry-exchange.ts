/** Exchange of flow entries with the other holders of their partitions. */
import type {FlowException} from '../generated/peer.js';
import {FORMER_HOLDER_QUERY_MS} from '../membership/timing.js';
import type {Clock} from '../ports/clock.js';
import {EventKind, type Timeline} from '../ports/timeline.js';
import {partitionOf} from '../routing/flow-key.js';
import type {Ownership} from '../routing/ownership.js';
import type {EntryUpdate, Router} from '../routing/router.js';
import type {PartitionTransfer} from './handover.js';
import type {Replicator} from './replicator.js';

/** An entry made here and the monotonic time until which it may be sent again. */
interface RecentUpdate {
  readonly update: EntryUpdate;
  readonly deadline: number;
}

/** What an exchange is made from. */
export interface EntryExchangeOptions {
  /** Id of this daemon. */
  readonly self: string;
  readonly clock: Clock;
  readonly timeline: Timeline;
  readonly router: Router;
  readonly replicator: Replicator;
  /** The ownership by this daemon's view. */
  ownership(): Ownership;
}

/** Sends entries to the other holders and takes theirs. */
export class EntryExchange {
  /** Entries made here of late, in the order of their deadlines. */
  private recentUpdates: RecentUpdate[] = [];

  private constructor(private readonly options: EntryExchangeOptions) {}

  /** Creates an exchange. */
  static create(options: EntryExchangeOptions): EntryExchange {
    return new EntryExchange(options);
  }

  /** Takes entries, or hands them on to their target; returns how many. */
  receive(
    sender: string,
    exceptions: readonly FlowException[],
    target: string,
  ): number {
    return target === '' || target === this.options.self
      ? this.accept(sender, exceptions)
      : this.relay(target, exceptions);
  }

  /** Forgets entries that need not be sent again. */
  sweep(): void {
    const now = this.options.clock.now();
    this.recentUpdates = this.recentUpdates.filter(
      ({deadline}) => deadline > now,
    );
  }

  /**
   * Takes entries. Those of a daemon that does not hold the partition go to
   * the other holder too, which the sender may not reach.
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

  /** Sends the entries of partitions that changed hands. */
  sendPartitions(transfer: PartitionTransfer): void {
    const entries = this.options.router.exceptionsOf(
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
   * Sends entries made here a moment ago to new holders. They may be on their
   * way to holders that have sent off what they had.
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
