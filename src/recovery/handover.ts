/** Plans which flow entries move when partitions change holders. */
import {PARTITION_COUNT} from '../routing/flow-key.js';
import type {Ownership} from '../routing/ownership.js';

/** Partitions whose entries go to one member. */
export interface PartitionTransfer {
  readonly receiver: string;
  readonly partitions: ReadonlySet<number>;
  /**
   * Whether cached answers of peers are sent too, because no former holder
   * runs.
   */
  readonly includeCached: boolean;
}

/**
 * A partition that this daemon now owns and whose state others may still have.
 */
export interface PartitionTakeover {
  readonly partition: number;
  /** Holders before the change, and holders by views that lack this daemon. */
  readonly formerHolders: readonly string[];
}

/** What one daemon does after a change of ownership. */
export interface HandoverPlan {
  readonly transfers: readonly PartitionTransfer[];
  readonly takeovers: readonly PartitionTakeover[];
}

/** Input of the plan. */
export interface HandoverContext {
  readonly self: string;
  readonly before: Ownership;
  readonly after: Ownership;
  /** Ownership among the members after the change, without this daemon. */
  readonly withoutSelf: Ownership;
  /** Whether a member handles packets; includes leaving members. */
  isRunning(member: string): boolean;
}

const PARTITIONS = Array.from({length: PARTITION_COUNT}, (_, index) => index);

/** Plans the moves of one daemon; each daemon plans its own. */
export function planHandover(context: HandoverContext): HandoverPlan {
  return {
    transfers: planTransfers(context),
    takeovers: PARTITIONS.flatMap(partition =>
      planTakeover(partition, context),
    ),
  };
}

/**
 * Groups the partitions to send by receiver and by whether cached answers are
 * included.
 */
function planTransfers(context: HandoverContext): PartitionTransfer[] {
  const groups = new Map<
    string,
    PartitionTransfer & {partitions: Set<number>}
  >();
  PARTITIONS.forEach(partition => {
    const includeCached = hasLostAllHolders(partition, context);
    if (!includeCached && !isSender(partition, context)) {
      return;
    }
    newHolders(partition, context).forEach(receiver => {
      const key = `${receiver}/${includeCached}`;
      const group = groups.get(key) ?? {
        receiver,
        includeCached,
        partitions: new Set<number>(),
      };
      group.partitions.add(partition);
      groups.set(key, group);
    });
  });
  return [...groups.values()];
}

/** Holders that did not hold the partition before, this daemon excluded. */
function newHolders(partition: number, context: HandoverContext): string[] {
  const before = context.before.holdersOf(partition);
  return context.after
    .holdersOf(partition)
    .filter(holder => !before.includes(holder) && holder !== context.self);
}

/** Whether this daemon is the first former holder that still runs. */
function isSender(partition: number, context: HandoverContext): boolean {
  return (
    context.before.holdersOf(partition).find(id => context.isRunning(id)) ===
    context.self
  );
}

function hasLostAllHolders(
  partition: number,
  context: HandoverContext,
): boolean {
  const before = context.before.holdersOf(partition);
  return before.length > 0 && !before.some(id => context.isRunning(id));
}

/**
 * Plans the takeover of a partition. Another daemon that joined recently may
 * own it by views that lack this daemon, so the holders by such a view are
 * queried too.
 */
function planTakeover(
  partition: number,
  context: HandoverContext,
): PartitionTakeover[] {
  const {self, before, after, withoutSelf} = context;
  const holdersBefore = before.holdersOf(partition);
  const holdersWithoutSelf = withoutSelf.holdersOf(partition);
  const formerHolders = [
    ...new Set([...holdersBefore, ...holdersWithoutSelf]),
  ].filter(id => id !== self && context.isRunning(id));
  const takesOver =
    after.ownerOf(partition) === self &&
    (!holdersBefore.includes(self) ||
      holdersWithoutSelf.some(id => !holdersBefore.includes(id)));
  return takesOver && formerHolders.length > 0
    ? [{partition, formerHolders}]
    : [];
}
