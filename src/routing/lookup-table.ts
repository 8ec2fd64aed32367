/**
 * Lookup tables from table entry to server, computed alike by every daemon.
 *
 * Two ways are kept so that they can be measured side by side; docs/design
 * tables.md has the figures. Daemons use `createMaglevTable`.
 */
import type {Hasher} from '../ports/hasher.js';

/** A server as a table sees it. */
export interface WeightedServer {
  readonly id: string;
  /** Relative share of entries; greater than 0. */
  readonly weight: number;
}

/** For each entry the position of its server in the list given. */
export type LookupTable = Uint16Array;

/** Smallest table size in use. */
export const MINIMUM_ENTRIES = 1_021;

/** Entries a server at the least, so that rounding stays near 1%. */
const ENTRIES_PER_SERVER = 97;

/** Prime sizes; a Maglev permutation needs a prime. */
const PRIMES = [
  1_021, 2_039, 4_093, 8_191, 16_381, 32_749, 65_521, 131_071, 262_139, 524_287,
  1_048_573, 2_097_143, 4_194_301,
] as const;

const NO_SERVER = 0xffff;
const OFFSET_SEED = 11;
const SKIP_SEED = 13;

/** The table size for a number of servers: a prime, at least 1,021. */
export function entryCountFor(servers: number): number {
  const wanted = servers * ENTRIES_PER_SERVER;
  return PRIMES.find(prime => prime >= wanted) ?? PRIMES[PRIMES.length - 1];
}

/** One server's walk through the table. */
interface Permutation {
  position: number;
  readonly skip: number;
  readonly weight: number;
  /** Entries the server may take so far, by its weight. */
  credit: number;
}

/**
 * Builds a Maglev table (Eisenbud et al., NSDI 2016) of `entries` entries.
 * The order of `servers` has no effect on which server gets which entry.
 */
export function createMaglevTable(
  servers: readonly WeightedServer[],
  entries: number,
  hasher: Hasher,
): LookupTable {
  const table = new Uint16Array(entries).fill(NO_SERVER);
  if (servers.length === 0) {
    return table;
  }
  const highest = Math.max(...servers.map(server => server.weight));
  const order = servers
    .map((server, index) => ({id: server.id, index}))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  const walks: Permutation[] = servers.map(server => ({
    position: hasher.hashText(server.id, OFFSET_SEED) % entries,
    skip: (hasher.hashText(server.id, SKIP_SEED) % (entries - 1)) + 1,
    weight: server.weight / highest,
    credit: 0,
  }));
  fillTable(
    table,
    order.map(({index}) => index),
    walks,
  );
  return table;
}

/** Lets the servers take free entries in turn until none is free. */
function fillTable(
  table: LookupTable,
  order: readonly number[],
  walks: readonly Permutation[],
): void {
  let free = table.length;
  while (free > 0) {
    order.forEach(index => {
      const walk = walks[index];
      walk.credit += walk.weight;
      if (walk.credit < 1 || free === 0) {
        return;
      }
      walk.credit -= 1;
      takeNextFree(table, walk, index);
      free -= 1;
    });
  }
}

/** Gives the next free entry on the walk to the server. */
function takeNextFree(
  table: LookupTable,
  walk: Permutation,
  index: number,
): void {
  while (table[walk.position] !== NO_SERVER) {
    walk.position = (walk.position + walk.skip) % table.length;
  }
  table[walk.position] = index;
}

/** Builds a table by weighted rendezvous: each entry takes its best server. */
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
    return bestOf(servers, index => hasher.hashBytes(entryBytes, seeds[index]));
  });
}

/** Position of the server with the highest weighted score. */
function bestOf(
  servers: readonly WeightedServer[],
  hash: (index: number) => number,
): number {
  return servers.reduce(
    (best, server, index) => {
      const uniform = (hash(index) + 0.5) / 2 ** 32;
      const score = -server.weight / Math.log(uniform);
      return score > best.score ? {index, score} : best;
    },
    {index: NO_SERVER, score: -1},
  ).index;
}
