import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {
  orderReaders,
  computeElectionPosition,
  type RankedDaemon,
} from './reader-rank.js';

const hasher = await XxhashHasher.create();

const FLEET = fc
  .uniqueArray(
    fc.record({
      reader: fc.integer({min: 1, max: 500}),
      failureDomain: fc.constantFrom('a', 'b', 'c'),
      capacity: fc.constantFrom(103, 149, 324, 675, 1_350),
    }),
    {selector: ({reader}) => reader, minLength: 1, maxLength: 30},
  )
  .map((daemons): RankedDaemon[] => daemons);

test('the order contains each daemon once and does not depend on the input order', () => {
  fc.assert(
    fc.property(FLEET, fleet => {
      const ordered = orderReaders(fleet, hasher);
      assert.deepEqual(orderReaders([...fleet].reverse(), hasher), ordered);
      assert.equal(ordered.length, fleet.length);
      assert.deepEqual(new Set(ordered), new Set(fleet));
    }),
    {seed: 4},
  );
});

test('the first daemon has the preferred capacity, and the second is in another failure domain, if possible', () => {
  fc.assert(
    fc.property(FLEET, fleet => {
      const [first, second] = orderReaders(fleet, hasher);
      const hasPreferredCapacity = ({capacity}: RankedDaemon) =>
        capacity >= 300;
      assert.equal(
        hasPreferredCapacity(first),
        fleet.some(hasPreferredCapacity),
      );
      const elsewhere = fleet.some(
        ({failureDomain}) => failureDomain !== first.failureDomain,
      );
      if (elsewhere) {
        assert.notEqual(second?.failureDomain, first.failureDomain);
      }
    }),
    {seed: 4},
  );
});

/** Positions in a fleet of daemons with the preferred capacity, in ascending order. */
function positionsOf(daemons: number): number[] {
  return Array.from({length: daemons}, (_daemon, index) =>
    computeElectionPosition(
      {reader: 0x0a000001 + index, failureDomain: 'a', capacity: 500},
      hasher,
    ),
  ).sort((a, b) => a - b);
}

[8, 30, 195, 1_000, 5_606].forEach(daemons =>
  test(`few of ${daemons} daemons are candidates before the first one is heard`, () => {
    const positions = positionsOf(daemons);
    // A twentieth of the election window is 25 ms, enough to announce an attempt.
    const early = positions.filter(position => position - positions[0] < 0.05);
    assert.ok(early.length <= 3, `${early.length}`);
    assert.ok(positions[0] < 0.9, `${positions[0]}`);
  }),
);
