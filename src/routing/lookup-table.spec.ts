import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {
  createMaglevTable,
  entryCountFor,
  type WeightedServer,
} from './lookup-table.js';

const hasher = await XxhashHasher.create();

function servers(count: number): WeightedServer[] {
  return Array.from({length: count}, (_, index) => ({
    id: `10.0.0.${index}:80`,
    weight: 1,
  }));
}

function shares(table: Uint16Array, count: number): number[] {
  const counts = new Array<number>(count).fill(0);
  table.forEach(index => {
    counts[index] += 1;
  });
  return counts;
}

test('servers of equal weight get equally many entries, give or take one', () => {
  [3, 10, 100].forEach(count => {
    const entries = entryCountFor(count);
    const table = createMaglevTable(servers(count), entries, hasher);
    const counts = shares(table, count);
    assert.ok(Math.max(...counts) - Math.min(...counts) <= 1);
  });
});

test('the share of entries follows the weights', () => {
  const weighted = servers(4).map((server, index) => ({
    ...server,
    weight: index === 0 ? 3 : 1,
  }));
  const counts = shares(createMaglevTable(weighted, 1_021, hasher), 4);
  assert.ok(Math.abs(counts[0] - 3 * counts[1]) <= 4);
});

test('the order of the servers does not change the table', () => {
  fc.assert(
    fc.property(fc.shuffledSubarray(servers(12), {minLength: 1}), chosen => {
      const sorted = [...chosen].sort((a, b) => (a.id < b.id ? -1 : 1));
      const a = createMaglevTable(chosen, 1_021, hasher);
      const b = createMaglevTable(sorted, 1_021, hasher);
      assert.deepEqual(
        [...a].map(index => chosen[index].id),
        [...b].map(index => sorted[index].id),
      );
    }),
    {seed: 3, numRuns: 50},
  );
});

test('removing one of ten servers reassigns few entries of the others', () => {
  const all = servers(10);
  const before = createMaglevTable(all, 1_021, hasher);
  const after = createMaglevTable(all.slice(0, 9), 1_021, hasher);
  const moved = [...before].filter(
    (index, entry) => index !== 9 && index !== after[entry],
  ).length;
  assert.ok(moved < 1_021 * 0.1, `${moved} entries moved`);
});
