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

test('the order holds every daemon once, whatever order they came in', () => {
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

test('the first daemon is ample, and the second of another failure domain, where there is one', () => {
  fc.assert(
    fc.property(FLEET, fleet => {
      const [first, second] = orderReaders(fleet, hasher);
      const isAmple = ({capacity}: RankedDaemon) => capacity >= 300;
      assert.equal(isAmple(first), fleet.some(isAmple));
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

/** Places of a fleet of ample daemons, the first first. */
function positionsOf(daemons: number): number[] {
  return Array.from({length: daemons}, (_daemon, index) =>
    computeElectionPosition(
      {reader: 0x0a000001 + index, failureDomain: 'a', capacity: 500},
      hasher,
    ),
  ).sort((a, b) => a - b);
}

[8, 30, 195, 1_000, 5_606].forEach(daemons =>
  test(`few of ${daemons} daemons offer to read before the first is heard`, () => {
    const places = positionsOf(daemons);
    // A twentieth of the turns is 25 ms, enough for the news of an offer.
    const early = places.filter(place => place - places[0] < 0.05);
    assert.ok(early.length <= 3, `${early.length}`);
    assert.ok(places[0] < 0.9, `${places[0]}`);
  }),
);
