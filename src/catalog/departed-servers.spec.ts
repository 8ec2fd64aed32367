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

/** Confirms the list every 500 ms from `from` to `to`. */
function confirm(departures: DepartedServers, from: number, to: number): void {
  const steps = Math.floor((to - from) / 500);
  Array.from({length: steps + 1}, (_step, index) =>
    departures.confirm(from + index * 500),
  );
}

test('a ready server whose entry goes may serve on for long: it is not gone yet', () => {
  const departures = DepartedServers.create(60_000);
  confirm(departures, 0, 10_000);
  departures.add(SERVER, 10_000);
  assert.deepEqual(departures.listExpired(), []);
  confirm(departures, 10_500, 29_500);
  assert.equal(departures.hasEnded('i-1'), false);
  confirm(departures, 30_000, 30_000);
  assert.equal(departures.hasEnded('i-1'), true);
});

test('a drained server that steady reads miss is gone after the grace, and takes no flows before', () => {
  const departures = DepartedServers.create(60_000);
  confirm(departures, 0, 10_000);
  departures.add({...SERVER, state: 'draining'}, 10_000);
  assert.deepEqual(departures.listExpired(), []);
  confirm(departures, 10_500, 12_500);
  assert.equal(departures.hasEnded('i-1'), false);
  confirm(departures, 13_000, 13_000);
  assert.equal(departures.hasEnded('i-1'), true);
});

test('an entry that is missing after an outage may have lapsed and counts from its end', () => {
  const departures = DepartedServers.create(60_000);
  confirm(departures, 0, 5_000);
  departures.confirm(10_000);
  departures.add(SERVER, 10_000);
  assert.deepEqual(departures.listExpired(), [SERVER]);
  confirm(departures, 10_500, 12_500);
  assert.equal(departures.hasEnded('i-1'), false);
  departures.confirm(12_600);
  assert.equal(departures.hasEnded('i-1'), true);
  assert.deepEqual(departures.listExpired(), []);
});

test('an outage after the departure starts the count anew', () => {
  const departures = DepartedServers.create(60_000);
  confirm(departures, 0, 5_000);
  departures.add({...SERVER, state: 'draining'}, 5_000);
  confirm(departures, 5_500, 6_500);
  departures.confirm(12_000);
  assert.equal(departures.hasEnded('i-1'), false);
  confirm(departures, 12_500, 15_000);
  assert.equal(departures.hasEnded('i-1'), true);
});

test('a draining server that left takes no flows, whatever the store did', () => {
  const departures = DepartedServers.create(60_000);
  departures.confirm(0);
  departures.confirm(10_000);
  departures.add({...SERVER, state: 'draining'}, 10_000);
  assert.deepEqual(departures.listExpired(), []);
});

test('a later server at the address is proof that the earlier one ended', () => {
  const departures = DepartedServers.create(60_000);
  departures.confirm(0);
  departures.add(SERVER, 0);
  departures.supersedeAt(7, 81);
  assert.equal(departures.hasEnded('i-1'), false);
  departures.supersedeAt(7, 80);
  assert.equal(departures.hasEnded('i-1'), true);
});

test('a departed server is forgotten once no flow can be as old', () => {
  const departures = DepartedServers.create(60_000);
  departures.confirm(0);
  departures.add(SERVER, 0);
  assert.deepEqual(departures.confirm(59_999), []);
  assert.deepEqual(departures.confirm(60_000), ['i-1']);
  assert.deepEqual(departures.confirm(60_001), []);
});
