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

/** Collects the reported outcomes. */
class RecordingObserver extends RequestObserver {
  readonly outcomes: RequestOutcome[] = [];

  onEnd(outcome: RequestOutcome): void {
    this.outcomes.push(outcome);
  }
}

function trackFlow() {
  const observer = new RecordingObserver();
  const tracker = RequestTracker.create(observer);
  const send = (now: number, part: Partial<CookiePacket>) =>
    tracker.recordPacket(FLOW, createPacket(part), ROUTE, SERVER, now);
  return {observer, tracker, send};
}

test('the next request ends the previous one, with its duration and answer length', () => {
  const {observer, send} = trackFlow();
  send(0, {dataLength: 200, acknowledged: 1_000});
  send(30, {acknowledged: 2_200});
  send(31, {acknowledged: 3_000});
  assert.equal(observer.outcomes.length, 0);
  send(5_000, {dataLength: 200, acknowledged: 3_000});
  const [first] = observer.outcomes;
  assert.equal(first.end, RequestEnd.ANSWERED);
  assert.equal(first.answeredAt - first.lastDataAt, 30);
  assert.equal(first.answerBytes, 2_000);
  assert.equal(first.caller, createPacket({}).sourceAddress);
});

test('an answer is complete after a time without new acknowledgements', () => {
  const {observer, tracker, send} = trackFlow();
  send(0, {dataLength: 200, acknowledged: 1_000});
  send(30, {acknowledged: 2_200});
  tracker.reportDue(200);
  assert.equal(observer.outcomes.length, 0);
  tracker.reportDue(300);
  assert.equal(observer.outcomes[0].end, RequestEnd.ANSWERED);
  assert.equal(observer.outcomes[0].answerBytes, 1_200);
  assert.equal(tracker.size, 0);
});

test('a request is abandoned if its flow is closed before an answer, not after one', () => {
  const {observer, send} = trackFlow();
  send(0, {dataLength: 200, acknowledged: 1_000});
  send(20, {closes: true, acknowledged: 1_000});
  send(30, {dataLength: 200, acknowledged: 1_000});
  send(50, {closes: true, acknowledged: 1_159});
  assert.deepEqual(
    observer.outcomes.map(({end, answerBytes}) => [end, answerBytes]),
    [
      [RequestEnd.ABANDONED, 0],
      [RequestEnd.ANSWERED, 159],
    ],
  );
});

test('a request without an answer is reported as overdue once, at the target of its route', () => {
  const {observer, tracker, send} = trackFlow();
  send(0, {dataLength: 200, acknowledged: 1_000});
  tracker.reportDue(TARGET_MS - 1);
  assert.equal(observer.outcomes.length, 0);
  tracker.reportDue(TARGET_MS);
  tracker.reportDue(TARGET_MS + 500);
  assert.deepEqual(
    observer.outcomes.map(({end, answeredAt}) => [end, answeredAt]),
    [[RequestEnd.OVERDUE, Infinity]],
  );
});

test('an upload is timed from its last data packet and counts all of its bytes', () => {
  const {observer, tracker, send} = trackFlow();
  send(0, {dataLength: 1_200, acknowledged: 1_000});
  send(100, {dataLength: 1_200, acknowledged: 1_000});
  send(110, {acknowledged: 1_483});
  tracker.reportDue(1_000);
  const [upload] = observer.outcomes;
  assert.equal(upload.requestBytes, 2_400);
  assert.equal(upload.answeredAt - upload.lastDataAt, 10);
  assert.equal(upload.answeredAt - upload.startedAt, 110);
});

test('a discarded request is not reported', () => {
  const {observer, tracker, send} = trackFlow();
  send(0, {dataLength: 200, acknowledged: 1_000});
  tracker.discard(FLOW);
  tracker.reportDue(10_000);
  assert.equal(observer.outcomes.length, 0);
});

test('unanswered requests of a route without a target are discarded after a minute', () => {
  const observer = new RecordingObserver();
  const tracker = RequestTracker.create(observer);
  const route = {...ROUTE, targetMs: Infinity};
  const packet = createPacket({dataLength: 200, acknowledged: 1_000});
  tracker.recordPacket(FLOW, packet, route, SERVER, 0);
  tracker.reportDue(59_999);
  assert.equal(tracker.size, 1);
  tracker.reportDue(60_000);
  assert.equal(tracker.size, 0);
  assert.equal(observer.outcomes.length, 0);
});
