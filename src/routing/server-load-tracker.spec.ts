import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {ServerLoadTracker} from './server-load-tracker.js';

const hasher = await XxhashHasher.create();

function createLedger(): ServerLoadTracker {
  return ServerLoadTracker.create(hasher);
}

test('work of all daemons is added up, and what a silent daemon told is dropped', () => {
  const one = createLedger();
  const two = createLedger();
  one.count('s', 1);
  two.count('s', 1);
  two.count('s', 1);
  one.receive(2, two.selectLoadToGossip(0, false), 0);
  assert.equal(one.countInFlight('s', 100), 3);
  assert.equal(one.countLocalInFlight('s'), 1);
  assert.equal(one.countInFlight('s', 2_000), 1);
});

test('an unanswered packet sets a server aside, longer with each time in vain', () => {
  const ledger = createLedger();
  assert.equal(ledger.noteUnanswered('s', 0), true);
  assert.equal(ledger.noteUnanswered('s', 100), false);
  assert.equal(ledger.isSilent('s', 799), true);
  assert.equal(ledger.isSilent('s', 800), false);
  assert.equal(ledger.noteUnanswered('s', 800), true);
  assert.equal(ledger.isSilent('s', 2_399), true);
  assert.equal(ledger.isSilent('s', 2_400), false);
  ledger.noteAnswered('s', 2_500);
  ledger.noteUnanswered('s', 3_000);
  assert.equal(ledger.isSilent('s', 3_800), false);
});

test('peers hear of silent servers, and of work unless silence alone is told', () => {
  const ledger = createLedger();
  ledger.count('busy', 1);
  ledger.noteUnanswered('mute', 0);
  assert.equal(ledger.selectLoadToGossip(0, false).length, 2);
  const silent = ledger.selectLoadToGossip(0, true);
  assert.deepEqual(
    silent.map(({silent: isSilent}) => isSilent),
    [true],
  );
  const peer = createLedger();
  peer.receive(9, silent, 0);
  assert.equal(peer.isSilent('mute', 10), true);
  assert.equal(peer.isSilent('busy', 10), false);
});

test('an opening that stays without an answer for long was refused', () => {
  const ledger = createLedger();
  ledger.noteOpening('s', 0);
  assert.equal(ledger.hasRefused('s', 40), false);
  assert.equal(ledger.hasRefused('s', 41), true);
  ledger.noteOpened('s', 0, 42);
  assert.equal(ledger.hasRefused('s', 500), false);
});

test('patience grows with the time that answers usually take', () => {
  const ledger = createLedger();
  Array.from({length: 60}, () => ledger.noteOpened('s', 0, 100));
  ledger.noteOpening('s', 1_000);
  assert.equal(ledger.hasRefused('s', 1_300), false);
  assert.equal(ledger.hasRefused('s', 1_401), true);
});

test('servers that are no longer known are dropped', () => {
  const ledger = createLedger();
  ledger.count('s', 1);
  ledger.count('t', 1);
  ledger.retain(['t']);
  assert.equal(ledger.countLocalInFlight('s'), 0);
  assert.equal(ledger.countLocalInFlight('t'), 1);
});
