import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemoryCounters} from '../adapters/memory-counters.js';
import {ScriptXxhashHasher} from '../adapters/script-xxhash-hasher.js';
import type {KnownRoute} from '../catalog/route-table.js';
import {createRoute, createServer} from '../../standins/catalog-records.js';
import {createPacket} from '../../standins/cookie-packets.js';
import {RetainedPackets} from './retained-packets.js';
import {SeenFlows} from './seen-flows.js';
import {ServerLoadTracker} from './server-load-tracker.js';

const SERVER = createServer('i-1', 'pay');
const ROUTE: KnownRoute = {
  ...createRoute('pay', {address: 1, port: 443}),
  allowedServices: new Set(['pay']),
};

function createFlows() {
  const work = ServerLoadTracker.create(ScriptXxhashHasher.create());
  const flows = SeenFlows.create({
    counters: MemoryCounters.create(),
    work,
    watch: undefined,
    packets: RetainedPackets.create(),
    onUnanswered: () => undefined,
  });
  /** A later packet of the flow from a port, at a time. */
  const note = (sourcePort: number, now: number, part = {}) =>
    flows.notePacket(
      createPacket({sourcePort, acknowledged: 1, ...part}),
      ROUTE,
      SERVER,
      now,
    );
  return {flows, work, note};
}

test('a flow with any request under way is not idle, nor one that its caller closed', () => {
  const {flows, note} = createFlows();
  [1, 2, 3, 4].forEach(port => note(port, 0));
  note(2, 10, {dataLength: 900});
  note(3, 10, {closes: true});
  note(4, 10, {dataLength: 900});
  note(4, 20, {acknowledged: 700});
  const ports = flows.idleAt('i-1').map(({caller}) => caller.sourcePort);
  assert.deepEqual(ports, [1, 4]);
});

test('a flow ends once, and not if its caller has begun a request meanwhile', () => {
  const {flows, note} = createFlows();
  [1, 2].forEach(port => note(port, 0));
  const [first, second] = flows.idleAt('i-1');
  note(2, 10, {dataLength: 900});
  assert.deepEqual(
    [first, first, second].map(flow => flows.endIdle(flow)),
    [true, false, false],
  );
});

test('a flow whose addresses and ports are used again is not ended by what was before', () => {
  const {flows, note} = createFlows();
  note(1, 0);
  const [former] = flows.idleAt('i-1');
  const elsewhere = createServer('i-2', 'pay');
  flows.noteOpening(createPacket({sourcePort: 1, opens: true}), elsewhere, 50);
  assert.equal(flows.endIdle(former), false);
  assert.equal(former.kept, undefined);
});

test('flows at a former life: those that wait first, no work left, packets to where it is', () => {
  const {flows, work, note} = createFlows();
  [1, 2].forEach(port => note(port, 0));
  note(2, 10, {dataLength: 900});
  assert.equal(work.countLocalInFlight('i-1'), 1);
  const reborn = createServer('i-1', 'pay', {address: 7, startTime: 70});
  const renewed = flows.renew(reborn);
  const ports = renewed.map(({caller}) => caller.sourcePort);
  assert.deepEqual(ports, [2, 1]);
  assert.ok(renewed.every(({server}) => server === reborn));
  assert.equal(work.countLocalInFlight('i-1'), 0);
  note(2, 20, {acknowledged: 700});
  assert.equal(work.countLocalInFlight('i-1'), 0);
});
