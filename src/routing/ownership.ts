/**
 * Assigns each partition of the flow keys an owner and a backup daemon by
 * rendezvous hashing. Each daemon computes it from its own membership view, so
 * daemons with different views may disagree.
 */
import type {Hasher} from '../ports/hasher.js';
import {PARTITION_COUNT} from './flow-key.js';

/** A member that may own partitions. */
export interface OwnerCandidate {
  readonly id: string;
  readonly failureDomain: string;
}

/** The ids of the daemons that store a partition's state. */
export interface PartitionHolders {
  readonly owner: string;
  /** Undefined when there is only one member. */
  readonly backup: string | undefined;
}

/** Owner and backup of every partition. */
export class Ownership {
  private constructor(private readonly holders: readonly PartitionHolders[]) {}

  /** Computes the ownership among members; without members there are no owners. */
  static create(members: readonly OwnerCandidate[], hasher: Hasher): Ownership {
    const partitions = members.length === 0 ? 0 : PARTITION_COUNT;
    const scored = members.map(member => ({
      member,
      scores: scoresOf(member.id, hasher),
    }));
    return new Ownership(
      Array.from({length: partitions}, (_, partition) =>
        selectHolders(partition, scored),
      ),
    );
  }

  /** Returns the owner of a partition; undefined without members. */
  ownerOf(partition: number): string | undefined {
    return this.holders[partition]?.owner;
  }

  /** Returns the backup of a partition; undefined with fewer than two members. */
  backupOf(partition: number): string | undefined {
    return this.holders[partition]?.backup;
  }

  /** Returns the owner and then the backup of a partition, as far as there are any. */
  holdersOf(partition: number): string[] {
    const holders = this.holders[partition];
    return holders === undefined
      ? []
      : [holders.owner, holders.backup].filter(id => id !== undefined);
  }

  /** Returns the partitions that a member owns or backs up. */
  partitionsHeldBy(member: string): number[] {
    return this.holders.flatMap((holders, partition) =>
      holders.owner === member || holders.backup === member ? [partition] : [],
    );
  }
}

/** A member with its score for each partition, by partition number. */
interface ScoredMember {
  readonly member: OwnerCandidate;
  readonly scores: Uint32Array;
}

/** Scores by member id, which depend on nothing else. */
const scoreCache = new WeakMap<Hasher, Map<string, Uint32Array>>();
/** Limits the cache, which would otherwise grow with each replaced daemon. */
const MAXIMUM_CACHED_MEMBERS = 10_000;

/**
 * Selects the owner, and as backup the highest-scored member of another failure
 * domain, or of the owner's if there is no other. The backup is not always the
 * next owner: state is transferred when the owner changes.
 */
function selectHolders(
  partition: number,
  members: readonly ScoredMember[],
): PartitionHolders {
  const owner = findHighestScore(partition, members);
  const domain = owner?.member.failureDomain;
  const elsewhere = members.filter(
    ({member}) => member.failureDomain !== domain,
  );
  const others = members.filter(scored => scored !== owner);
  const backup =
    findHighestScore(partition, elsewhere) ??
    findHighestScore(partition, others);
  return {owner: owner?.member.id ?? '', backup: backup?.member.id};
}

/** Returns the member with the highest score; ties go to the lower id. */
function findHighestScore(
  partition: number,
  members: readonly ScoredMember[],
): ScoredMember | undefined {
  return members.reduce<ScoredMember | undefined>((best, next) => {
    const difference =
      best === undefined ? 1 : next.scores[partition] - best.scores[partition];
    const isHigher =
      difference > 0 ||
      (difference === 0 &&
        best !== undefined &&
        next.member.id < best.member.id);
    return isHigher ? next : best;
  }, undefined);
}

function scoresOf(id: string, hasher: Hasher): Uint32Array {
  const cache = scoreCache.get(hasher) ?? new Map<string, Uint32Array>();
  scoreCache.set(hasher, cache);
  const scores =
    cache.get(id) ??
    Uint32Array.from({length: PARTITION_COUNT}, (_, partition) =>
      hasher.hashText(id, partition),
    );
  if (cache.size >= MAXIMUM_CACHED_MEMBERS) {
    cache.clear();
  }
  cache.set(id, scores);
  return scores;
}
