import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemoryCounters} from '../adapters/memory-counters.js';
import {JsXxhashHasher} from '../adapters/js-xxhash-hasher.js';
import type {KnownRoute} from '../catalog/route-table.js';
import {createRoute, createServer} from '../../standins/catalog-records.js';
import {createPacket} from '../../standins/cookie-packets.js';
import {RetainedPackets} from './retained-packets.js';
import {FlowTracker} from './flow-tracker.js';
import {ServerLoadTracker} from './server-load-tracker.js';

const SERVER = createServer('i-1', 'pay');
const ROUTE: KnownRoute = {
  ...createRoute('pay', {address: 1, port: 443}),
  allowedServices: new Set(['pay']),
};

function createFlows() {
  const loadTracker = ServerLoadTracker.create(JsXxhashHasher.create());
  const flows = FlowTracker.create({
    counters: MemoryCounters.create(),
    loadTracker,
    requestTracker: undefined,
    retainedPackets: RetainedPackets.create(),
    onUnanswered: () => undefined,
  });
  /** Records a packet after the opening from a source port. */
  const record = (sourcePort: number, now: number, part = {}) =>
    flows.recordPacket(
      createPacket({sourcePort, acknowledged: 1, ...part}),
      ROUTE,
      SERVER,
      now,
    );
  return {flows, loadTracker, record};
}

test('a flow with a pending request or closed by its caller is not idle', () => {
  const {flows, record} = createFlows();
  [1, 2, 3, 4].forEach(port => record(port, 0));
  record(2, 10, {dataLength: 900});
  record(3, 10, {closes: true});
  record(4, 10, {dataLength: 900});
  record(4, 20, {acknowledged: 700});
  const ports = flows.listIdle('i-1').map(({caller}) => caller.sourcePort);
  assert.deepEqual(ports, [1, 4]);
});

test('an idle flow is ended once, and not after its caller has sent a new request', () => {
  const {flows, record} = createFlows();
  [1, 2].forEach(port => record(port, 0));
  const [first, second] = flows.listIdle('i-1');
  record(2, 10, {dataLength: 900});
  assert.deepEqual(
    [first, first, second].map(flow => flows.endIfIdle(flow)),
    [true, false, false],
  );
});

test('ending a flow does not end a later one with the same addresses and ports', () => {
  const {flows, record} = createFlows();
  record(1, 0);
  const [former] = flows.listIdle('i-1');
  const otherServer = createServer('i-2', 'pay');
  flows.recordOpening(
    createPacket({sourcePort: 1, opens: true}),
    otherServer,
    50,
  );
  assert.equal(flows.endIfIdle(former), false);
  assert.equal(former.retainedPacket, undefined);
});

test('flows of a restarted server lose their pending requests and move to its new record', () => {
  const {flows, loadTracker, record} = createFlows();
  [1, 2].forEach(port => record(port, 0));
  record(2, 10, {dataLength: 900});
  assert.equal(loadTracker.countLocalInFlight('i-1'), 1);
  const restarted = createServer('i-1', 'pay', {address: 7, startTime: 70});
  const rebound = flows.rebindFlows(restarted);
  const ports = rebound.map(({caller}) => caller.sourcePort);
  assert.deepEqual(ports, [2, 1]);
  assert.ok(rebound.every(({server}) => server === restarted));
  assert.equal(loadTracker.countLocalInFlight('i-1'), 0);
  record(2, 20, {acknowledged: 700});
  assert.equal(loadTracker.countLocalInFlight('i-1'), 0);
});

/** Records as many flows as are tracked at most. */
function fillTracker({record}: ReturnType<typeof createFlows>): void {
  Array.from({length: 60_000}, (_flow, index) => record(index, 0));
}

test('flows beyond the limit leave no request in flight and no opening unanswered', () => {
  const created = createFlows();
  const {flows, loadTracker, record} = created;
  fillTracker(created);
  const other = {sourceAddress: 2, dataLength: 900};
  [1, 2, 3].forEach(port => record(port, 10, other));
  record(1, 20, {sourceAddress: 2, acknowledged: 700});
  record(2, 20, {...other, closes: true});
  assert.equal(loadTracker.countLocalInFlight('i-1'), 0);
  const opening = createPacket({sourceAddress: 2, sourcePort: 4, opens: true});
  flows.recordOpening(opening, SERVER, 30);
  record(4, 35, {sourceAddress: 2});
  assert.equal(loadTracker.hasOverdueOpening('i-1', 1_000), false);
  // A tracked flow is counted as before.
  record(7, 40, {dataLength: 900});
  assert.equal(loadTracker.countLocalInFlight('i-1'), 1);
  record(7, 50, {acknowledged: 700});
  assert.equal(loadTracker.countLocalInFlight('i-1'), 0);
});
