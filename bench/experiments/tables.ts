/** Lookup tables: Maglev beside weighted rendezvous. */
import {XxhashHasher} from '../../src/adapters/xxhash-hasher.js';
import {
  createMaglevTable,
  createRendezvousTable,
  entryCountFor,
  type LookupTable,
  type WeightedServer,
} from '../../src/routing/lookup-table.js';
import {imbalanceOf, round} from '../measures.js';
import type {Experiment} from './experiment.js';

const SIZES = [3, 10, 100, 1_000, 32_000];
/** Rendezvous hashes every server for every entry; above this it is left out. */
const LARGEST_RENDEZVOUS = 1_000;

/** Evenness, disruption, build time and bytes by number of servers. */
export const tables: Experiment = {
  name: 'tables',
  summary: 'Maglev and rendezvous tables: evenness, disruption, time, bytes',
  run: async context => {
    const hasher = await XxhashHasher.create();
    const cases = SIZES.flatMap(count => {
      const entries = entryCountFor(count);
      const ways = [
        ['maglev', createMaglevTable] as const,
        ...(count <= LARGEST_RENDEZVOUS
          ? [['rendezvous', createRendezvousTable] as const]
          : []),
      ];
      return ways.map(([way, create]) => {
        context.say(`${way} with ${count} servers`);
        const servers = serversOf(count);
        const started = performance.now();
        const table = create(servers, entries, hasher);
        const buildMs = round(performance.now() - started);
        const fewer = create(servers.slice(0, -1), entries, hasher);
        return {
          way,
          servers: count,
          entries,
          buildMs,
          bytes: table.byteLength,
          ...imbalanceOf(sharesOf(table, count)),
          movedNeedlessly: round(movedShare(table, fewer, count - 1)),
        };
      });
    });
    return {figures: {cases}, broken: []};
  },
};

function serversOf(count: number): WeightedServer[] {
  return Array.from({length: count}, (_, index) => ({
    id: `10.${index >> 8}.${index & 255}.1:80`,
    weight: 1,
  }));
}

function sharesOf(table: LookupTable, count: number): number[] {
  const shares = new Array<number>(count).fill(0);
  table.forEach(index => {
    shares[index] += 1;
  });
  return shares;
}

/** Share of entries that moved though their server stayed. */
function movedShare(
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
