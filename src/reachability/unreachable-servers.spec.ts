import assert from 'node:assert/strict';
import {test} from 'node:test';
import {UnreachableServers} from './unreachable-servers.js';

const FLOW_LIFETIME_MS = 60_000;

function silentAt(server: string, at: number) {
  return {server, reached: false, at, startTime: 0};
}

test('a finding holds for 3.5 s, longer when it is confirmed, and is news once', () => {
  const servers = UnreachableServers.create(FLOW_LIFETIME_MS);
  assert.equal(servers.take(silentAt('s', 0), 10), true);
  assert.equal(servers.take(silentAt('s', 8), 20), false);
  assert.equal(servers.has('s', 3_500), true);
  assert.equal(servers.has('s', 3_501), false);
  assert.equal(servers.take(silentAt('s', 2_500), 2_510), true);
  assert.equal(servers.has('s', 6_000), true);
  assert.equal(servers.has('other', 0), false);
});

test('a server that was reached again is unreachable no more, whatever older news says', () => {
  const servers = UnreachableServers.create(FLOW_LIFETIME_MS);
  servers.take(silentAt('s', 0), 0);
  assert.equal(
    servers.take({server: 's', reached: true, at: 2_500, startTime: 0}, 2_510),
    true,
  );
  assert.equal(servers.has('s', 2_510), false);
  assert.equal(servers.take(silentAt('s', 2_000), 2_520), false);
  assert.equal(servers.has('s', 2_520), false);
});

test('an unreachable server whose entry goes has ended, until its entry is back', () => {
  const servers = UnreachableServers.create(FLOW_LIFETIME_MS);
  servers.take(silentAt('s', 0), 0);
  servers.noteDeparted('s', 2_400);
  servers.noteDeparted('other', 2_400);
  assert.equal(servers.has('s', 40_000), true);
  assert.equal(servers.has('other', 2_400), false);
  servers.noteListed('s');
  assert.equal(servers.has('s', 40_000), false);
});

test('findings are told while they are new, and kept in bounds', () => {
  const servers = UnreachableServers.create(FLOW_LIFETIME_MS);
  Array.from({length: 2_000}, (_server, index) =>
    servers.take(silentAt(`s-${index}`, index), index),
  );
  assert.equal(servers.selectFindingsToGossip(2_000).length, 40);
  assert.deepEqual(servers.selectFindingsToGossip(2_000)[0].server, 's-1999');
  assert.ok(servers.all(2_000).length <= 512);
  assert.deepEqual(servers.selectFindingsToGossip(6_000), []);
});
