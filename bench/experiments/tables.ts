/** Compares Maglev lookup tables with weighted rendezvous hashing. */
import {XxhashHasher} from '../../src/adapters/xxhash-hasher.js';
import {
  createMaglevTable,
  createRendezvousTable,
  entryCountFor,
  type LookupTable,
  type WeightedServer,
} from '../../src/routing/lookup-table.js';
import {computeImbalance, round} from '../measures.js';
import type {Experiment} from './experiment.js';

const SIZES = [3, 10, 100, 1_000, 32_000];
/** Rendezvous hashing costs servers times entries; larger tables are skipped. */
const MAX_RENDEZVOUS_SERVERS = 1_000;

/** Reports balance, disruption, build time and size by number of servers. */
export const tables: Experiment = {
  name: 'tables',
  summary: 'Maglev and rendezvous tables: balance, disruption, time, bytes',
  run: async context => {
    const hasher = await XxhashHasher.create();
    const cases = SIZES.flatMap(count => {
      const entries = entryCountFor(count);
      const algorithms = [
        ['maglev', createMaglevTable] as const,
        ...(count <= MAX_RENDEZVOUS_SERVERS
          ? [['rendezvous', createRendezvousTable] as const]
          : []),
      ];
      return algorithms.map(([algorithm, create]) => {
        context.log(`${algorithm} with ${count} servers`);
        const servers = createServers(count);
        const started = performance.now();
        const table = create(servers, entries, hasher);
        const buildMs = round(performance.now() - started);
        const fewer = create(servers.slice(0, -1), entries, hasher);
        return {
          way: algorithm,
          servers: count,
          entries,
          buildMs,
          bytes: table.byteLength,
          ...computeImbalance(countEntriesPerServer(table, count)),
          movedNeedlessly: round(computeMovedShare(table, fewer, count - 1)),
        };
      });
    });
    return {figures: {cases}, failures: []};
  },
};

function createServers(count: number): WeightedServer[] {
  return Array.from({length: count}, (_, index) => ({
    id: `10.${index >> 8}.${index & 255}.1:80`,
    weight: 1,
  }));
}

function countEntriesPerServer(table: LookupTable, count: number): number[] {
  const shares = new Array<number>(count).fill(0);
  table.forEach(index => {
    shares[index] += 1;
  });
  return shares;
}

/** Computes the share of entries that moved although their server remained. */
function computeMovedShare(
  before: LookupTable,
  after: LookupTable,
  removed: number,
): number {
  const moved = before.reduce(
    (sum, index, entry) =>
      sum + (index !== removed && index !== after[entry] ? 1 : 0),
    0,
  );
  return moved / before.length;
}
