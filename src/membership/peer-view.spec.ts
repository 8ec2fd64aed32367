import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {PeerAge} from '../generated/catalog.js';
import {Random} from '../routing/random.js';
import {LIVENESS_TIMEOUT_MS} from './peer-daemon.js';
import {PeerView} from './peer-view.js';

const SELF = 1;
const ROUND_MS = 500;

function peerAge(
  address: number,
  ageMs: number,
  leaving = false,
  failureDomain = 'a',
): PeerAge {
  return {
    address,
    ageMs,
    failureDomain,
    leaving,
    hasCopy: true,
  };
}

function createView(): PeerView {
  return PeerView.create({
    self: SELF,
    failureDomain: 'a',
    random: Random.create(1),
  });
}

test('the smallest reported age of a peer wins in any order of arrival', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          address: fc.integer({min: 2, max: 5}),
          ageMs: fc.integer({min: 0, max: 5_000}),
        }),
      ),
      reports => {
        const view = createView();
        reports.forEach(({address, ageMs}) =>
          view.merge(peerAge(address, ageMs), 0),
        );
        const live = view.live(0).map(({address}) => address);
        const expected = [2, 3, 4, 5].filter(address =>
          reports.some(
            item =>
              item.address === address && item.ageMs <= LIVENESS_TIMEOUT_MS,
          ),
        );
        assert.deepEqual(live.sort(), expected);
      },
    ),
    {seed: 6},
  );
});

/** Runs heartbeat rounds without any news; returns each loss with its time. */
function runRounds(view: PeerView, from: number, rounds: number) {
  return Array.from({length: rounds}, (_round, index) => {
    const now = from + index * ROUND_MS;
    view.selectPeersToPing(now).forEach(peer => view.recordPing(peer, now));
    return view.takeLost(now).map(({address}) => ({address, now}));
  }).flat();
}

test('a silent peer is not live, is lost after unanswered pings and returns when it is heard again', () => {
  const view = createView();
  assert.equal(view.merge(peerAge(2, 0), 0), true);
  assert.equal(view.merge(peerAge(2, 0), 100), false);
  assert.deepEqual(view.live(100 + LIVENESS_TIMEOUT_MS + 1), []);
  assert.equal(view.silent(100 + LIVENESS_TIMEOUT_MS + 1).length, 1);
  const lost = runRounds(view, 500, 12);
  assert.deepEqual(lost, [{address: 2, now: 4_000}]);
  assert.equal(view.silent(9_000).length, 1);
  assert.equal(view.merge(peerAge(2, 0), 9_000), true);
  assert.deepEqual(view.silent(9_000), []);
});

test('a peer with unanswered pings is not lost while others report it alive', () => {
  const view = createView();
  view.merge(peerAge(2, 0), 0);
  const lost = Array.from({length: 40}, (_round, index) => {
    const now = 500 * index;
    // Each report is two seconds old, so the peer itself never answers.
    view.merge(peerAge(2, 2_000), now);
    return runRounds(view, now, 1);
  }).flat();
  assert.deepEqual(lost, []);
});

test('the view of a large fleet is bounded and includes every failure domain', () => {
  const view = createView();
  const domains = ['a', 'b', 'c', 'd', 'e'];
  Array.from({length: 2_000}, (_peer, index) =>
    view.merge(peerAge(index + 2, 0, false, domains[index % 5]), index),
  );
  const kept = view.live(2_000);
  const sizes = domains.map(
    domain => kept.filter(peer => peer.failureDomain === domain).length,
  );
  assert.deepEqual(sizes, [24, 6, 6, 6, 6]);
});

test('a silent failure domain is not evicted entirely', () => {
  const view = createView();
  const domains = ['b', 'c', 'd'];
  Array.from({length: 300}, (_peer, index) =>
    view.merge(peerAge(index + 2, 0, false, domains[index % 3]), index),
  );
  Array.from({length: 300}, (_peer, index) =>
    view.merge(
      peerAge(index + 400, 0, false, domains[index % 2]),
      5_000 + index,
    ),
  );
  assert.equal(view.silent(5_300).length, 8);
});

test('leaving peers of the same failure domain are gossiped until they may have restarted', () => {
  const view = createView();
  Array.from({length: 200}, (_peer, index) =>
    view.merge(peerAge(index + 2, 0), 0),
  );
  view.merge(peerAge(7, 0, true), 100);
  view.merge(peerAge(8, 0, true, 'b'), 100);
  const leavingAt = (now: number) =>
    view.leaving(now).map(({address}) => address);
  assert.deepEqual(leavingAt(5_000), [7]);
  assert.ok(view.selectPeersToGossip(5_000).some(({address}) => address === 7));
  assert.deepEqual(leavingAt(9_000), []);
  view.merge(peerAge(7, 0), 5_100);
  assert.deepEqual(leavingAt(5_100), []);
});

test('reports of this daemon itself and of peers silent beyond the retention time are ignored', () => {
  const view = createView();
  view.merge(peerAge(SELF, 0), 0);
  view.merge(peerAge(2, 100_000), 0);
  assert.deepEqual([...view.live(0), ...view.silent(0)], []);
});

test('a heartbeat carries a bounded number of peers', () => {
  const view = createView();
  Array.from({length: 300}, (_peer, index) =>
    view.merge(peerAge(index + 2, 0), 0),
  );
  const addresses = view.selectPeersToGossip(0).map(({address}) => address);
  assert.equal(addresses.length, 8);
  assert.equal(new Set(addresses).size, 8);
});

test('a lost peer is reported once, and again after it returned', () => {
  const view = createView();
  view.merge(peerAge(2, 0), 0);
  assert.deepEqual(runRounds(view, 0, 20), [{address: 2, now: 4_000}]);
  view.merge(peerAge(2, 0), 10_000);
  assert.deepEqual(runRounds(view, 10_000, 20), [{address: 2, now: 14_000}]);
});
