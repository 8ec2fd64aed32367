import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {rankAmong, type RankedDaemon} from './reader-rank.js';

const hasher = await XxhashHasher.create();

const FLEET = fc
  .uniqueArray(
    fc.record({
      address: fc.integer({min: 1, max: 500}),
      failureDomain: fc.constantFrom('a', 'b', 'c'),
      capacity: fc.integer({min: 100, max: 1_350}),
      leaving: fc.boolean(),
      outOfTouch: fc.boolean(),
    }),
    {selector: ({address}) => address, minLength: 1, maxLength: 30},
  )
  .map((daemons): RankedDaemon[] => daemons);

function ranksOf(fleet: readonly RankedDaemon[]): Map<number, RankedDaemon> {
  return new Map(
    fleet.map(daemon => [
      rankAmong(
        daemon,
        fleet.filter(other => other !== daemon),
        hasher,
      ),
      daemon,
    ]),
  );
}

test('daemons with the same view have ranks that differ, from 0 on', () => {
  fc.assert(
    fc.property(FLEET, fleet => {
      const ranks = [...ranksOf(fleet).keys()].sort((a, b) => a - b);
      assert.deepEqual(
        ranks,
        fleet.map((_daemon, index) => index),
      );
    }),
    {seed: 4},
  );
});

test('the first daemon is fit, and the second of another failure domain, where there is one', () => {
  fc.assert(
    fc.property(FLEET, fleet => {
      const isFit = ({leaving, outOfTouch}: RankedDaemon) =>
        !leaving && !outOfTouch;
      const ranks = ranksOf(fleet);
      const first = ranks.get(0);
      const second = ranks.get(1);
      const fit = fleet.filter(isFit);
      assert.ok(first !== undefined);
      assert.equal(isFit(first), fit.length > 0);
      const elsewhere = fit.some(
        ({failureDomain}) => failureDomain !== first.failureDomain,
      );
      if (elsewhere) {
        assert.notEqual(second?.failureDomain, first.failureDomain);
      }
    }),
    {seed: 4},
  );
});
