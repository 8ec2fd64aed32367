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
  runs(member: string): boolean;
}

const PARTITIONS = Array.from({length: PARTITION_COUNT}, (_, index) => index);

/** Plans the moves of one daemon; every daemon plans its own. */
export function planHandover(context: HandoverContext): HandoverPlan {
  return {
    transfers: planTransfers(context),
    takeovers: PARTITIONS.flatMap(partition =>
      planAdoption(partition, context),
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
    const includeCached = hasNoHolderLeft(partition, context);
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
    context.before.holdersOf(partition).find(id => context.runs(id)) ===
    context.self
  );
}

function hasNoHolderLeft(partition: number, context: HandoverContext): boolean {
  const before = context.before.holdersOf(partition);
  return before.length > 0 && !before.some(id => context.runs(id));
}

/**
 * Another daemon that joined a moment ago may have owned the partition by the
 * views of some, unknown to this daemon until now; so it is asked as well.
 */
function planAdoption(
  partition: number,
  context: HandoverContext,
): PartitionTakeover[] {
  const {self, before, after, withoutSelf} = context;
  const earlier = before.holdersOf(partition);
  const rivals = withoutSelf.holdersOf(partition);
  const predecessors = [...new Set([...earlier, ...rivals])].filter(
    id => id !== self && context.runs(id),
  );
  const adopts =
    after.ownerOf(partition) === self &&
    (!earlier.includes(self) || rivals.some(id => !earlier.includes(id)));
  return adopts && predecessors.length > 0
    ? [{partition, formerHolders: predecessors}]
    : [];
}
