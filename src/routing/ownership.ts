/**
 * Which daemon owns each partition of the flow keys, and which backs it up.
 *
 * Every daemon computes it from its own view of the members, so two daemons
 * agree as far as their views do.
 */
import type {Hasher} from '../ports/hasher.js';
import {PARTITION_COUNT} from './flow-key.js';

/** A member that may own partitions. */
export interface Candidacy {
  readonly id: string;
  readonly failureDomain: string;
}

/** The daemons that hold a partition's state. */
export interface PartitionHolders {
  readonly owner: string;
  /** Undefined when there is one member only. */
  readonly backup: string | undefined;
}

/** Owner and backup of every partition. */
export class Ownership {
  private constructor(private readonly holders: readonly PartitionHolders[]) {}

  /** Computes the ownership among members; none means no owners. */
  static create(members: readonly Candidacy[], hasher: Hasher): Ownership {
    const partitions = members.length === 0 ? 0 : PARTITION_COUNT;
    return new Ownership(
      Array.from({length: partitions}, (_, partition) =>
        holdersOf(partition, members, hasher),
      ),
    );
  }

  /** The owner of a partition. */
  ownerOf(partition: number): string | undefined {
    return this.holders[partition]?.owner;
  }

  /** The backup of a partition. */
  backupOf(partition: number): string | undefined {
    return this.holders[partition]?.backup;
  }

  /** Owner and backup, the owner first. */
  holdersOf(partition: number): string[] {
    const holders = this.holders[partition];
    return holders === undefined
      ? []
      : [holders.owner, holders.backup].filter(id => id !== undefined);
  }

  /** Partitions that a member owns or backs up. */
  partitionsHeldBy(member: string): number[] {
    return this.holders.flatMap((holders, partition) =>
      holders.owner === member || holders.backup === member ? [partition] : [],
    );
  }
}

/**
 * The backup is the best member of another failure domain than the owner's.
 * It need not be the next owner: state is moved when the owner changes.
 */
function holdersOf(
  partition: number,
  members: readonly Candidacy[],
  hasher: Hasher,
): PartitionHolders {
  const ranked = members
    .map(member => ({member, score: hasher.hashText(member.id, partition)}))
    .sort((a, b) => b.score - a.score || (a.member.id < b.member.id ? -1 : 1))
    .map(({member}) => member);
  const [owner, ...others] = ranked;
  const elsewhere = others.find(
    member => member.failureDomain !== owner.failureDomain,
  );
  return {owner: owner.id, backup: (elsewhere ?? others[0])?.id};
}
