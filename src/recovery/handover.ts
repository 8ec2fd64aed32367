/** Moves flow state when partitions change hands. */
import {PARTITION_COUNT} from '../routing/flow-key.js';
import type {Ownership} from '../routing/ownership.js';

/** A set of partitions whose entries go to one member. */
export interface PartitionTransfer {
  readonly receiver: string;
  readonly partitions: ReadonlySet<number>;
  /** Every earlier holder is gone: what peers' answers left behind goes too. */
  readonly includeCached: boolean;
}

/** A partition that this daemon owns and whose state others may still have. */
export interface PartitionTakeover {
  readonly partition: number;
  /** Holders before, and those that hold it by views without this daemon. */
  readonly formerHolders: readonly string[];
}

/** What a change of ownership asks of one daemon. */
export interface HandoverPlan {
  readonly transfers: readonly PartitionTransfer[];
  readonly takeovers: readonly PartitionTakeover[];
}

/** What the plan depends on. */
export interface HandoverContext {
  readonly self: string;
  readonly before: Ownership;
  readonly after: Ownership;
  /** The ownership among the members after, this daemon left out. */
  readonly withoutSelf: Ownership;
  /** Whether a member runs, leaving ones included. */
  isRunning(member: string): boolean;
}

const PARTITIONS = Array.from({length: PARTITION_COUNT}, (_, index) => index);

/** Plans the moves of one daemon; every daemon plans its own. */
export function planHandover(context: HandoverContext): HandoverPlan {
  return {
    transfers: planTransfers(context),
    takeovers: PARTITIONS.flatMap(partition =>
      planTakeover(partition, context),
    ),
  };
}

/** Groups the partitions to send by receiver and by how much is sent. */
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

/** The first earlier holder that runs is the one that sends. */
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
 * Another daemon that joined a moment ago may have owned the partition by the
 * views of some, unknown to this daemon until now; so it is asked as well.
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
    ? [{partition, formerHolders: formerHolders}]
    : [];
}
