import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRoute, createServer} from '../../standins/catalog-records.js';
import {createPacket} from '../../standins/cookie-packets.js';
import type {CookiePacket} from '../ports/cookie-fabric.js';
import {
  RequestEnd,
  RequestObserver,
  type RequestOutcome,
} from './request-outcome.js';
import {RequestTracker} from './request-tracker.js';

const TARGET_MS = 400;
const ROUTE = {
  ...createRoute('pay', {address: 1, port: 443, targetMs: TARGET_MS}),
  allowedServices: new Set(['pay']),
};
const SERVER = createServer('i-1', 'pay');
const FLOW = 'flow';

/** Keeps what it is told. */
class Ends extends RequestObserver {
  readonly told: RequestOutcome[] = [];

  onEnd(outcome: RequestOutcome): void {
    this.told.push(outcome);
  }
}

function watchFlow() {
  const ends = new Ends();
  const watch = RequestTracker.create(ends);
  const send = (now: number, part: Partial<CookiePacket>) =>
    watch.recordPacket(FLOW, createPacket(part), ROUTE, SERVER, now);
  return {ends, watch, send};
}

test('the next request ends the one before, with its time and its length', () => {
  const {ends, send} = watchFlow();
  send(0, {dataLength: 200, acknowledged: 1_000});
  send(30, {acknowledged: 2_200});
  send(31, {acknowledged: 3_000});
  assert.equal(ends.told.length, 0);
  send(5_000, {dataLength: 200, acknowledged: 3_000});
  const [first] = ends.told;
  assert.equal(first.end, RequestEnd.ANSWERED);
  assert.equal(first.answeredAt - first.lastDataAt, 30);
  assert.equal(first.answerBytes, 2_000);
  assert.equal(first.caller, createPacket({}).sourceAddress);
});

test('an answer after which nothing comes is complete after a while', () => {
  const {ends, watch, send} = watchFlow();
  send(0, {dataLength: 200, acknowledged: 1_000});
  send(30, {acknowledged: 2_200});
  watch.endDue(200);
  assert.equal(ends.told.length, 0);
  watch.endDue(300);
  assert.equal(ends.told[0].end, RequestEnd.ANSWERED);
  assert.equal(ends.told[0].answerBytes, 1_200);
  assert.equal(watch.size, 0);
});

test('a flow closed without an answer is left, one with an answer is not', () => {
  const {ends, send} = watchFlow();
  send(0, {dataLength: 200, acknowledged: 1_000});
  send(20, {closes: true, acknowledged: 1_000});
  send(30, {dataLength: 200, acknowledged: 1_000});
  send(50, {closes: true, acknowledged: 1_159});
  assert.deepEqual(
    ends.told.map(({end, answerBytes}) => [end, answerBytes]),
    [
      [RequestEnd.ABANDONED, 0],
      [RequestEnd.ANSWERED, 159],
    ],
  );
});

test('a request without an answer is overdue at the route target, once', () => {
  const {ends, watch, send} = watchFlow();
  send(0, {dataLength: 200, acknowledged: 1_000});
  watch.endDue(TARGET_MS - 1);
  assert.equal(ends.told.length, 0);
  watch.endDue(TARGET_MS);
  watch.endDue(TARGET_MS + 500);
  assert.deepEqual(
    ends.told.map(({end, answeredAt}) => [end, answeredAt]),
    [[RequestEnd.OVERDUE, Infinity]],
  );
});

test('an upload counts from its newest data, all of its bytes', () => {
  const {ends, watch, send} = watchFlow();
  send(0, {dataLength: 1_200, acknowledged: 1_000});
  send(100, {dataLength: 1_200, acknowledged: 1_000});
  send(110, {acknowledged: 1_483});
  watch.endDue(1_000);
  const [upload] = ends.told;
  assert.equal(upload.requestBytes, 2_400);
  assert.equal(upload.answeredAt - upload.lastDataAt, 10);
  assert.equal(upload.answeredAt - upload.startedAt, 110);
});

test('a request that was ended here is not told of', () => {
  const {ends, watch, send} = watchFlow();
  send(0, {dataLength: 200, acknowledged: 1_000});
  watch.discard(FLOW);
  watch.endDue(10_000);
  assert.equal(ends.told.length, 0);
});
