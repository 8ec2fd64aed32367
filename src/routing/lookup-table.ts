/**
 * Consistent-hashing tables from entry to server, the same at every daemon.
 * Daemons use Maglev tables; rendezvous hashing is a baseline for comparisons.
 */
import type {Hasher} from '../ports/hasher.js';

/** A server and its share of a table. */
export interface WeightedServer {
  readonly id: string;
  /** Relative share of entries; greater than 0. */
  readonly weight: number;
}

/** For each entry, the index of its server in the list given to the builder. */
export type LookupTable = Uint16Array;

/** Smallest table size, in entries. */
export const MINIMUM_ENTRIES = 1_021;

/** Keeps the rounding error of a server's share near 1%. */
const MINIMUM_ENTRIES_PER_SERVER = 97;

/** Table sizes: primes, so that every skip of a permutation visits all entries. */
const PRIMES = [
  1_021, 2_039, 4_093, 8_191, 16_381, 32_749, 65_521, 131_071, 262_139, 524_287,
  1_048_573, 2_097_143, 4_194_301,
] as const;

/** Value of an entry without a server. */
const UNASSIGNED = 0xffff;
const OFFSET_SEED = 11;
const SKIP_SEED = 13;

/** Returns the table size for a number of servers: a prime, at least 1,021. */
export function entryCountFor(servers: number): number {
  const minimum = servers * MINIMUM_ENTRIES_PER_SERVER;
  return PRIMES.find(prime => prime >= minimum) ?? PRIMES[PRIMES.length - 1];
}

/** The order in which one server prefers entries, and its position in it. */
interface Permutation {
  /** Next entry to try. */
  position: number;
  readonly skip: number;
  /** Share of the highest weight, greater than 0 and at most 1. */
  readonly weight: number;
  /** Grows by `weight` each round; an entry costs 1. */
  credit: number;
}

/**
 * Builds a Maglev table (Eisenbud et al., NSDI 2016) of `entries` entries, which
 * has to be a prime. The order of `servers` has no effect on their entries.
 */
export function createMaglevTable(
  servers: readonly WeightedServer[],
  entries: number,
  hasher: Hasher,
): LookupTable {
  const table = new Uint16Array(entries).fill(UNASSIGNED);
  if (servers.length === 0) {
    return table;
  }
  const highest = Math.max(...servers.map(server => server.weight));
  const order = servers
    .map((server, index) => ({id: server.id, index}))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  const permutations: Permutation[] = servers.map(server => ({
    position: hasher.hashText(server.id, OFFSET_SEED) % entries,
    skip: (hasher.hashText(server.id, SKIP_SEED) % (entries - 1)) + 1,
    weight: server.weight / highest,
    credit: 0,
  }));
  fillTable(
    table,
    order.map(({index}) => index),
    permutations,
  );
  return table;
}

/** Lets the servers claim entries in turn until all are assigned. */
function fillTable(
  table: LookupTable,
  order: readonly number[],
  permutations: readonly Permutation[],
): void {
  let free = table.length;
  while (free > 0) {
    order.forEach(index => {
      const permutation = permutations[index];
      permutation.credit += permutation.weight;
      if (permutation.credit < 1 || free === 0) {
        return;
      }
      permutation.credit -= 1;
      claimNextFree(table, permutation, index);
      free -= 1;
    });
  }
}

/** Assigns the next free entry of the permutation to its server. */
function claimNextFree(
  table: LookupTable,
  permutation: Permutation,
  index: number,
): void {
  while (table[permutation.position] !== UNASSIGNED) {
    permutation.position =
      (permutation.position + permutation.skip) % table.length;
  }
  table[permutation.position] = index;
}

/** Builds a table by weighted rendezvous hashing of each entry. */
export function createRendezvousTable(
  servers: readonly WeightedServer[],
  entries: number,
  hasher: Hasher,
): LookupTable {
  const seeds = servers.map(server => hasher.hashText(server.id, OFFSET_SEED));
  const entryBytes = new Uint8Array(4);
  const entryView = new DataView(entryBytes.buffer);
  return Uint16Array.from({length: entries}, (_, entry) => {
    entryView.setUint32(0, entry);
    return findHighestScore(servers, index =>
      hasher.hashBytes(entryBytes, seeds[index]),
    );
  });
}

/** Returns the index of the server with the highest weighted score. */
function findHighestScore(
  servers: readonly WeightedServer[],
  hash: (index: number) => number,
): number {
  return servers.reduce(
    (best, server, index) => {
      const uniform = (hash(index) + 0.5) / 2 ** 32;
      const score = -server.weight / Math.log(uniform);
      return score > best.score ? {index, score} : best;
    },
    {index: UNASSIGNED, score: -1},
  ).index;
}
