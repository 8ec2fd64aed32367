import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DepartedServers} from './departed-servers.js';
import type {CatalogServer} from './records.js';

const SERVER: CatalogServer = {
  id: 'i-1',
  service: 'a',
  address: 7,
  port: 80,
  failureDomain: 'a',
  slots: 1,
  state: 'ready',
  coldUntil: 0,
  createdRevision: 1,
  revision: 1,
  startTime: 0,
};

/** Confirms the list every 500 ms between two times. */
function confirm(
  departedServers: DepartedServers,
  from: number,
  to: number,
): void {
  const steps = Math.floor((to - from) / 500);
  Array.from({length: steps + 1}, (_step, index) =>
    departedServers.confirm(from + index * 500),
  );
}

test('a ready server whose entry is removed has not ended before the unannounced shutdown time', () => {
  const departedServers = DepartedServers.create(60_000);
  confirm(departedServers, 0, 10_000);
  departedServers.add(SERVER, 10_000);
  assert.deepEqual(departedServers.listExpired(10_000), []);
  confirm(departedServers, 10_500, 29_500);
  assert.equal(departedServers.hasEnded('i-1'), false);
  confirm(departedServers, 30_000, 30_000);
  assert.equal(departedServers.hasEnded('i-1'), true);
});

test('a drained server that gapless reads miss has ended after the grace period and gets no new flows before', () => {
  const departedServers = DepartedServers.create(60_000);
  confirm(departedServers, 0, 10_000);
  departedServers.add({...SERVER, state: 'draining'}, 10_000);
  assert.deepEqual(departedServers.listExpired(10_000), []);
  confirm(departedServers, 10_500, 12_500);
  assert.equal(departedServers.hasEnded('i-1'), false);
  confirm(departedServers, 13_000, 13_000);
  assert.equal(departedServers.hasEnded('i-1'), true);
});

test('an entry missing after an outage may have expired; its grace period starts after the outage', () => {
  const departedServers = DepartedServers.create(60_000);
  confirm(departedServers, 0, 5_000);
  departedServers.recordReadFailure(6_000);
  departedServers.confirm(10_000);
  departedServers.add(SERVER, 10_000);
  assert.deepEqual(departedServers.listExpired(10_000), [SERVER]);
  confirm(departedServers, 10_500, 12_500);
  assert.equal(departedServers.hasEnded('i-1'), false);
  departedServers.confirm(12_600);
  assert.equal(departedServers.hasEnded('i-1'), true);
  assert.deepEqual(departedServers.listExpired(12_600), []);
});

// A gap between reads counted as a store outage although no read had failed.
test('a server missing after a gap without a failed read gets no new flows, and keeps its flows as one that left unannounced', () => {
  const departedServers = DepartedServers.create(60_000);
  confirm(departedServers, 0, 5_000);
  departedServers.confirm(10_000);
  departedServers.add(SERVER, 10_000);
  assert.deepEqual(departedServers.listExpired(10_000), []);
  confirm(departedServers, 10_500, 29_500);
  assert.equal(departedServers.hasEnded('i-1'), false);
  departedServers.confirm(30_000);
  assert.equal(departedServers.hasEnded('i-1'), true);
});

// New flows went on until a read confirmed the end of the grace period.
test('new flows to an expired server end with the grace period, without waiting for a read', () => {
  const departedServers = DepartedServers.create(60_000);
  confirm(departedServers, 0, 5_000);
  departedServers.recordReadFailure(6_000);
  departedServers.confirm(10_000);
  departedServers.add(SERVER, 10_000);
  departedServers.confirm(12_000);
  assert.deepEqual(departedServers.listExpired(12_599), [SERVER]);
  assert.deepEqual(departedServers.listExpired(12_600), []);
});

// Gaps in succession kept a server open that had left in the first one.
test('of the gaps after an outage, only a further outage extends the new flows to an expired server', () => {
  const departedServers = DepartedServers.create(60_000);
  confirm(departedServers, 0, 5_000);
  departedServers.recordReadFailure(6_000);
  departedServers.confirm(10_000);
  departedServers.add(SERVER, 10_000);
  departedServers.confirm(14_000);
  assert.deepEqual(departedServers.listExpired(14_000), []);
  departedServers.recordReadFailure(15_000);
  assert.deepEqual(departedServers.listExpired(16_601), [SERVER]);
  departedServers.confirm(18_000);
  assert.deepEqual(departedServers.listExpired(20_599), [SERVER]);
  assert.deepEqual(departedServers.listExpired(20_600), []);
});

test('an outage after the departure restarts the grace period', () => {
  const departedServers = DepartedServers.create(60_000);
  confirm(departedServers, 0, 5_000);
  departedServers.add({...SERVER, state: 'draining'}, 5_000);
  confirm(departedServers, 5_500, 6_500);
  departedServers.confirm(12_000);
  assert.equal(departedServers.hasEnded('i-1'), false);
  confirm(departedServers, 12_500, 15_000);
  assert.equal(departedServers.hasEnded('i-1'), true);
});

test('a departed draining server gets no new flows, even after an outage', () => {
  const departedServers = DepartedServers.create(60_000);
  departedServers.confirm(0);
  departedServers.recordReadFailure(1_000);
  departedServers.confirm(10_000);
  departedServers.add({...SERVER, state: 'draining'}, 10_000);
  assert.deepEqual(departedServers.listExpired(10_000), []);
});

test('a departed server has ended once a newer server takes its address', () => {
  const departedServers = DepartedServers.create(60_000);
  departedServers.confirm(0);
  departedServers.add(SERVER, 0);
  departedServers.supersedeAt(7, 81);
  assert.equal(departedServers.hasEnded('i-1'), false);
  departedServers.supersedeAt(7, 80);
  assert.equal(departedServers.hasEnded('i-1'), true);
});

test('a departed server is evicted after a flow lifetime', () => {
  const departedServers = DepartedServers.create(60_000);
  departedServers.confirm(0);
  departedServers.add(SERVER, 0);
  assert.deepEqual(departedServers.confirm(59_999), []);
  assert.deepEqual(departedServers.confirm(60_000), ['i-1']);
  assert.deepEqual(departedServers.confirm(60_001), []);
});
