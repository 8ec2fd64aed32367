import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {PeerAge} from '../generated/catalog.js';
import {Random} from '../routing/random.js';
import {LIVE_AGE_MS, PeerAges} from './peer-ages.js';

const SELF = 1;

function told(address: number, ageMs: number, leaving = false): PeerAge {
  return {
    address,
    ageMs,
    failureDomain: 'a',
    capacity: 500,
    leaving,
    outOfTouch: false,
  };
}

function createAges(): PeerAges {
  return PeerAges.create(SELF, Random.create(1));
}

test('the youngest age that anyone told counts, in any order', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          address: fc.integer({min: 2, max: 5}),
          ageMs: fc.integer({min: 0, max: 5_000}),
        }),
      ),
      news => {
        const ages = createAges();
        news.forEach(({address, ageMs}) => ages.merge(told(address, ageMs), 0));
        const live = ages.live(0).map(({address}) => address);
        const expected = [2, 3, 4, 5].filter(address =>
          news.some(
            item => item.address === address && item.ageMs <= LIVE_AGE_MS,
          ),
        );
        assert.deepEqual(live.sort(), expected);
      },
    ),
    {seed: 6},
  );
});

test('a peer that falls silent is down, and found again when it is heard', () => {
  const ages = createAges();
  assert.equal(ages.merge(told(2, 0), 0), true);
  assert.equal(ages.merge(told(2, 0), 100), false);
  assert.deepEqual(ages.live(100 + LIVE_AGE_MS + 1), []);
  assert.equal(ages.silent(100 + LIVE_AGE_MS + 1).length, 1);
  assert.equal(ages.merge(told(2, 0), 9_000), true);
});

test('what others tell of this daemon, and of the long dead, is not taken', () => {
  const ages = createAges();
  ages.merge(told(SELF, 0), 0);
  ages.merge(told(2, 100_000), 0);
  assert.deepEqual([...ages.live(0), ...ages.silent(0)], []);
});

test('a beat tells of a bounded number of peers', () => {
  const ages = createAges();
  Array.from({length: 300}, (_peer, index) =>
    ages.merge(told(index + 2, 0), 0),
  );
  const addresses = ages.told(0).map(({address}) => address);
  assert.equal(addresses.length, 8);
  assert.equal(new Set(addresses).size, 8);
});

test('a peer that falls silent is told as lost once, and again after its return', () => {
  const peers = createAges();
  peers.merge(told(2, 0), 0);
  assert.deepEqual(lostAt(peers, 2_500), []);
  assert.deepEqual(lostAt(peers, 2_600), [2]);
  assert.deepEqual(lostAt(peers, 3_100), []);
  peers.merge(told(2, 0), 4_000);
  assert.deepEqual(lostAt(peers, 4_500), []);
  assert.deepEqual(lostAt(peers, 7_000), [2]);
});

function lostAt(peers: PeerAges, now: number): number[] {
  return peers.takeLost(now).map(({address}) => address);
}
