import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeClock} from '../../standins/fake-clock.js';
import {RateLimitedQueue} from './rate-limited-queue.js';

/** Queues packets of equal length; returns the milliseconds at which each was sent. */
async function drainQueue(linkMbps: number, packets: number, bytes: number) {
  const clock = FakeClock.create();
  const queue = RateLimitedQueue.create(clock, linkMbps);
  const sentAt: number[] = [];
  const startedAt = clock.now();
  queue.add(
    Array.from({length: packets}, () => () => {
      sentAt.push(clock.now() - startedAt);
      return bytes;
    }),
  );
  await clock.advance(60_000);
  return sentAt;
}

test('long packets use a tenth of a slow link, and all are sent', async () => {
  const sentAt = await drainQueue(7, 500, 1_270);
  assert.equal(sentAt.length, 500);
  const tookMs = sentAt[sentAt.length - 1];
  const share = (500 * 1_270 * 8) / (tookMs * 7_000);
  assert.ok(share < 0.105, `${share}`);
});

test('at most 800 short packets are sent per second', async () => {
  const sentAt = await drainQueue(1_000, 3_000, 68);
  const inFirst = sentAt.filter(at => at < 1_000).length;
  assert.ok(inFirst > 600 && inFirst <= 800, `${inFirst}`);
});

test('a stopped queue sends nothing', async () => {
  const clock = FakeClock.create();
  const queue = RateLimitedQueue.create(clock, 7);
  let sent = 0;
  const send = () => {
    sent += 1;
    return 68;
  };
  queue.add(Array.from({length: 20}, () => send));
  queue.stop();
  queue.add([send]);
  await clock.advance(1_000);
  assert.equal(sent, 8);
});
