/**
 * Which daemon owns each partition of the flow keys, and which backs it up.
 *
 * Every daemon computes it from its own view of the members, so two daemons
 * agree as far as their views do.
 */
import type {Hasher} from '../ports/hasher.js';
import {PARTITION_COUNT} from './flow-key.js';

/** A member that may own partitions. */
export interface OwnerCandidate {
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
  static create(members: readonly OwnerCandidate[], hasher: Hasher): Ownership {
    const partitions = members.length === 0 ? 0 : PARTITION_COUNT;
    const scored = members.map(member => ({
      member,
      scores: scoresOf(member.id, hasher),
    }));
    return new Ownership(
      Array.from({length: partitions}, (_, partition) =>
        holdersOf(partition, scored),
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

/** A member with its score for each partition. */
interface ScoredMember {
  readonly member: OwnerCandidate;
  readonly scores: Uint32Array;
}

/** Scores by member id; a member's scores never change. */
const knownScores = new WeakMap<Hasher, Map<string, Uint32Array>>();
/** Members whose scores are kept; ids of replaced daemons pile up. */
const MAXIMUM_KNOWN = 10_000;

/**
 * The backup is the best member of another failure domain than the owner's.
 * It need not be the next owner: state is moved when the owner changes.
 */
function holdersOf(
  partition: number,
  members: readonly ScoredMember[],
): PartitionHolders {
  const owner = bestOf(partition, members);
  const domain = owner?.member.failureDomain;
  const elsewhere = members.filter(
    ({member}) => member.failureDomain !== domain,
  );
  const others = members.filter(scored => scored !== owner);
  const backup = bestOf(partition, elsewhere) ?? bestOf(partition, others);
  return {owner: owner?.member.id ?? '', backup: backup?.member.id};
}

/** The member with the highest score; of equals the one with the lower id. */
function bestOf(
  partition: number,
  members: readonly ScoredMember[],
): ScoredMember | undefined {
  return members.reduce<ScoredMember | undefined>((best, next) => {
    const lead =
      best === undefined ? 1 : next.scores[partition] - best.scores[partition];
    const wins =
      lead > 0 ||
      (lead === 0 && best !== undefined && next.member.id < best.member.id);
    return wins ? next : best;
  }, undefined);
}

function scoresOf(id: string, hasher: Hasher): Uint32Array {
  const known = knownScores.get(hasher) ?? new Map<string, Uint32Array>();
  knownScores.set(hasher, known);
  const scores =
    known.get(id) ??
    Uint32Array.from({length: PARTITION_COUNT}, (_, partition) =>
      hasher.hashText(id, partition),
    );
  if (known.size >= MAXIMUM_KNOWN) {
    known.clear();
  }
  known.set(id, scores);
  return scores;
}
