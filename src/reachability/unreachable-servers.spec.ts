import assert from 'node:assert/strict';
import {test} from 'node:test';
import {UnreachableServers} from './unreachable-servers.js';

const FLOW_LIFETIME_MS = 60_000;

function silentAt(server: string, at: number) {
  return {server, reached: false, at, startTime: 0};
}

test('a finding expires after 3.5 s unless it is renewed, and is new only once', () => {
  const servers = UnreachableServers.create(FLOW_LIFETIME_MS);
  assert.equal(servers.merge(silentAt('s', 0), 10), true);
  assert.equal(servers.merge(silentAt('s', 8), 20), false);
  assert.equal(servers.isUnreachable('s', 3_500), true);
  assert.equal(servers.isUnreachable('s', 3_501), false);
  assert.equal(servers.merge(silentAt('s', 2_500), 2_510), true);
  assert.equal(servers.isUnreachable('s', 6_000), true);
  assert.equal(servers.isUnreachable('other', 0), false);
});

test('a server that was reached again stays reachable despite older findings', () => {
  const servers = UnreachableServers.create(FLOW_LIFETIME_MS);
  servers.merge(silentAt('s', 0), 0);
  assert.equal(
    servers.merge({server: 's', reached: true, at: 2_500, startTime: 0}, 2_510),
    true,
  );
  assert.equal(servers.isUnreachable('s', 2_510), false);
  assert.equal(servers.merge(silentAt('s', 2_000), 2_520), false);
  assert.equal(servers.isUnreachable('s', 2_520), false);
});

test('a server that answers a probe right after it was found unreachable is reachable', () => {
  const servers = UnreachableServers.create(FLOW_LIFETIME_MS);
  const reached = {server: 's', reached: true, at: 20, startTime: 0};
  servers.merge(silentAt('s', 0), 0);
  assert.equal(servers.merge(reached, 20), true);
  assert.equal(servers.isUnreachable('s', 20), false);
  assert.equal(servers.merge(reached, 30), false, 'it is new only once');
  assert.equal(servers.merge(silentAt('s', 100), 110), false, 'relayed late');
  assert.equal(servers.isUnreachable('s', 110), false);
});

test('an unreachable server whose entry is removed stays unreachable until the entry is back', () => {
  const servers = UnreachableServers.create(FLOW_LIFETIME_MS);
  servers.merge(silentAt('s', 0), 0);
  servers.onDeparted('s', 2_400);
  servers.onDeparted('other', 2_400);
  assert.equal(servers.isUnreachable('s', 40_000), true);
  assert.equal(servers.isUnreachable('other', 2_400), false);
  servers.onListed('s');
  assert.equal(servers.isUnreachable('s', 40_000), false);
});

test('only recent findings are gossiped, and their number is bounded', () => {
  const servers = UnreachableServers.create(FLOW_LIFETIME_MS);
  Array.from({length: 2_000}, (_server, index) =>
    servers.merge(silentAt(`s-${index}`, index), index),
  );
  assert.equal(servers.selectFindingsToGossip(2_000).length, 40);
  assert.deepEqual(servers.selectFindingsToGossip(2_000)[0].server, 's-1999');
  assert.ok(servers.list(2_000).length <= 512);
  assert.deepEqual(servers.selectFindingsToGossip(6_000), []);
});
