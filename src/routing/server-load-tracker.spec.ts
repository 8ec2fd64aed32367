import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {ServerLoadTracker} from './server-load-tracker.js';

const hasher = await XxhashHasher.create();

function createTracker(): ServerLoadTracker {
  return ServerLoadTracker.create(hasher);
}

test('requests in flight are summed over daemons until the report of a peer expires', () => {
  const one = createTracker();
  const two = createTracker();
  one.adjustInFlight('s', 1);
  two.adjustInFlight('s', 1);
  two.adjustInFlight('s', 1);
  one.applyPeerLoad(2, two.selectLoadToGossip(0, false), 0);
  assert.equal(one.countInFlight('s', 100), 3);
  assert.equal(one.countLocalInFlight('s'), 1);
  assert.equal(one.countInFlight('s', 2_000), 1);
});

test('the backoff of an unresponsive server doubles until the server answers', () => {
  const tracker = createTracker();
  assert.equal(tracker.recordUnanswered('s', 0), true);
  assert.equal(tracker.recordUnanswered('s', 100), false);
  assert.equal(tracker.isUnresponsive('s', 799), true);
  assert.equal(tracker.isUnresponsive('s', 800), false);
  assert.equal(tracker.recordUnanswered('s', 800), true);
  assert.equal(tracker.isUnresponsive('s', 2_399), true);
  assert.equal(tracker.isUnresponsive('s', 2_400), false);
  tracker.recordAnswered('s', 2_500);
  tracker.recordUnanswered('s', 3_000);
  assert.equal(tracker.isUnresponsive('s', 3_800), false);
});

test('load reports contain unresponsive servers, and busy ones unless left out', () => {
  const tracker = createTracker();
  tracker.adjustInFlight('busy', 1);
  tracker.recordUnanswered('unresponsive', 0);
  assert.equal(tracker.selectLoadToGossip(0, false).length, 2);
  const silent = tracker.selectLoadToGossip(0, true);
  assert.deepEqual(
    silent.map(({silent: isSilent}) => isSilent),
    [true],
  );
  const peer = createTracker();
  peer.applyPeerLoad(9, silent, 0);
  assert.equal(peer.isUnresponsive('unresponsive', 10), true);
  assert.equal(peer.isUnresponsive('busy', 10), false);
});

test('an opening packet without an answer becomes overdue', () => {
  const tracker = createTracker();
  tracker.recordOpening('s', 0);
  assert.equal(tracker.hasOverdueOpening('s', 40), false);
  assert.equal(tracker.hasOverdueOpening('s', 41), true);
  tracker.recordOpeningAnswered('s', 0, 42);
  assert.equal(tracker.hasOverdueOpening('s', 500), false);
});

test('the time until an answer is overdue grows with the average answer time', () => {
  const tracker = createTracker();
  Array.from({length: 60}, () => tracker.recordOpeningAnswered('s', 0, 100));
  tracker.recordOpening('s', 1_000);
  assert.equal(tracker.hasOverdueOpening('s', 1_300), false);
  assert.equal(tracker.hasOverdueOpening('s', 1_401), true);
});

test('observations of servers that are no longer listed are discarded', () => {
  const tracker = createTracker();
  tracker.adjustInFlight('s', 1);
  tracker.adjustInFlight('t', 1);
  tracker.retain(['t']);
  assert.equal(tracker.countLocalInFlight('s'), 0);
  assert.equal(tracker.countLocalInFlight('t'), 1);
});

test('revoked backoffs count as if they had not begun, earlier ones stay', () => {
  const tracker = createTracker();
  tracker.recordUnanswered('i-1', 0);
  tracker.recordUnanswered('i-2', 500);
  tracker.revokeBackoffs(100);
  assert.ok(tracker.isUnresponsive('i-1', 600));
  assert.ok(!tracker.isUnresponsive('i-2', 600));
  assert.deepEqual(
    tracker.selectLoadToGossip(600, true).map(({silent}) => silent),
    [true],
  );
  tracker.recordUnanswered('i-2', 700);
  assert.ok(!tracker.isUnresponsive('i-2', 1_501));
});
