import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {FakeClock} from '../../standins/fake-clock.js';
import {PeerClocks} from './peer-clocks.js';

const PEER = 1;
const OTHER = 2;
const START_MS = 1_000_000;
/** Lead of the peer's clock over this daemon's. */
const LEAD_MS = 7_777;

function createClocks() {
  const clock = FakeClock.create();
  const clocks = PeerClocks.create(clock);
  const sentAgo = (ms: number, incarnation = 5) => ({
    incarnation,
    atMs: clock.now() + LEAD_MS - ms,
  });
  return {clock, clocks, sentAgo};
}

test('the delay of a heartbeat is what it exceeds the fastest one of its sender by', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.integer({min: 1, max: 9_000}), {minLength: 1, maxLength: 30}),
      async delays => {
        const {clock, clocks, sentAgo} = createClocks();
        clocks.measureHeartbeat(PEER, sentAgo(0));
        for (const delayMs of delays) {
          await clock.advance(500);
          const measured = clocks.measureHeartbeat(PEER, sentAgo(delayMs));
          assert.equal(measured, delayMs);
        }
      },
    ),
  );
});

// Guards against news that waited in the receive buffer of a paused process counting as new.
test('heartbeats that waited for 8 s keep their delay after a pause longer than a period', async () => {
  const {clock, clocks, sentAgo} = createClocks();
  clocks.measureHeartbeat(PEER, sentAgo(3));
  await clock.advance(400_000);
  const delays = [8_003, 7_503, 503, 3].map(ms =>
    clocks.measureHeartbeat(PEER, sentAgo(ms)),
  );
  assert.deepEqual(delays, [8_000, 7_500, 500, 0]);
});

test('clocks that drift apart by 0.01% show no delay above 60 ms in an hour', async () => {
  const {clock, clocks} = createClocks();
  for (let round = 0; round < 7_200; round += 1) {
    await clock.advance(500);
    const atMs = (clock.now() - START_MS) * 0.9999;
    const measured = clocks.measureHeartbeat(PEER, {incarnation: 5, atMs});
    assert.ok(measured <= 60.1, `${measured} ms in round ${round}`);
  }
});

test('a peer that has restarted is measured by its new clock', async () => {
  const {clock, clocks, sentAgo} = createClocks();
  clocks.measureHeartbeat(PEER, sentAgo(0));
  await clock.advance(1_000);
  assert.equal(clocks.measureHeartbeat(PEER, sentAgo(60_000, 6)), 0);
  await clock.advance(500);
  assert.equal(clocks.measureHeartbeat(PEER, sentAgo(60_200, 6)), 200);
});

test('a peer whose clock is unknown is delayed like the heartbeat handled before it', async () => {
  const {clock, clocks, sentAgo} = createClocks();
  clocks.measureHeartbeat(PEER, sentAgo(0));
  await clock.advance(9_000);
  assert.equal(clocks.measureHeartbeat(PEER, sentAgo(4_000)), 4_000);
  assert.equal(clocks.measureHeartbeat(OTHER, undefined), 4_000);
  assert.equal(clocks.measureHeartbeat(OTHER, sentAgo(4_000)), 4_000);
  await clock.advance(1_000);
  assert.equal(clocks.measureHeartbeat(OTHER, sentAgo(50)), 50);
  assert.equal(clocks.measureHeartbeat(3, undefined), 50);
  await clock.advance(1_000);
  assert.equal(clocks.measureHeartbeat(3, undefined), 0);
});

test('the answer to a pull was sent after its request, at the time that its sender states', async () => {
  const {clock, clocks, sentAgo} = createClocks();
  const requestedAt = clock.now();
  await clock.advance(800);
  assert.equal(clocks.measureAnswer(PEER, undefined, requestedAt), 800);
  assert.equal(clocks.measureAnswer(PEER, sentAgo(10), requestedAt), 800);
  clocks.measureHeartbeat(PEER, sentAgo(0));
  assert.equal(clocks.measureAnswer(PEER, sentAgo(10), requestedAt), 10);
  assert.equal(clocks.measureAnswer(PEER, sentAgo(5_000), requestedAt), 800);
});
