import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemoryLog, type LogEntry} from '../../standins/memory-log.js';
import {PeerBuilds} from './peer-builds.js';

const MINUTE_MS = 60_000;
const PEER = 0x0a000002;

function createBuilds(): {builds: PeerBuilds; entries: LogEntry[]} {
  const entries: LogEntry[] = [];
  return {
    builds: PeerBuilds.create('aaaaaaaa', MemoryLog.create('d1', entries)),
    entries,
  };
}

test('an upgrade shows as two builds until the former one has not been heard for a minute', () => {
  const {builds, entries} = createBuilds();
  builds.record(PEER, 'aaaaaaaa', 0);
  assert.equal(builds.count(0), 1);
  builds.record(PEER, '', 1_000);
  builds.record(PEER, '', 2_000);
  assert.equal(builds.count(2_000), 2);
  assert.equal(builds.count(2_001 + MINUTE_MS), 1);
  assert.deepEqual(
    entries.map(({event, fields}) => [event, fields]),
    [['peer-build', {peer: '10.0.0.2', build: 'unnamed'}]],
  );
});

test('peers that name a new build in each heartbeat cause 16 lines an hour at most', () => {
  const {builds, entries} = createBuilds();
  for (let beat = 0; beat < 7_200; beat += 1) {
    builds.record(PEER, `b${beat}`, beat * 500);
  }
  assert.equal(entries.length, 16);
  builds.record(PEER, 'later', 2 * 60 * MINUTE_MS);
  assert.equal(entries.length, 17);
});

test('a build that returns after an hour, as in a rollback, is logged again', () => {
  const {builds, entries} = createBuilds();
  [0, 59, 120].forEach(minute =>
    builds.record(PEER, 'bbbbbbbb', minute * MINUTE_MS),
  );
  assert.equal(entries.length, 2);
});

test('a build that is no name of the allowed form counts as unnamed', () => {
  const {builds, entries} = createBuilds();
  builds.record(PEER, 'x'.repeat(1_000), 0);
  builds.record(PEER, 'two words', 0);
  assert.equal(entries.length, 1);
  assert.equal(entries[0].fields['build'], 'unnamed');
});
