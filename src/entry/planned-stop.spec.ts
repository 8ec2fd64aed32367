import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeClock} from '../../standins/fake-clock.js';
import {PeerView} from '../membership/peer-view.js';
import {Random} from '../routing/random.js';
import {GracefulShutdown} from './planned-stop.js';

const SELF = 1;
const STOP_LIMIT_MS = 6_000;

/** A stop in a domain whose peers are told of by beats; it has seen a packet now. */
function createStop() {
  const clock = FakeClock.create();
  const peers = PeerView.create({
    self: SELF,
    failureDomain: 'a',
    random: Random.create(1),
  });
  const seen = {lastPacketAt: clock.now()};
  const stop = GracefulShutdown.create({
    clock,
    peers,
    failureDomain: 'a',
    stopLimitMs: STOP_LIMIT_MS,
    lastPacketAt: () => seen.lastPacketAt,
  });
  const tell = (address: number, leaving: boolean) =>
    peers.merge(
      {
        address,
        ageMs: 0,
        failureDomain: 'a',
        leaving,
        hasCopy: true,
      },
      clock.now(),
    );
  return {clock, stop, seen, tell};
}

/** Notes when a promise resolves, on the virtual clock. */
function watchEnd(clock: FakeClock, promise: Promise<void>) {
  const end = {at: Infinity};
  void promise.then(() => (end.at = clock.now()));
  return end;
}

test('a daemon that has refused readiness forwards until no packet has come for a while', async () => {
  const {clock, stop, seen} = createStop();
  const start = clock.now();
  const end = watchEnd(clock, stop.awaitTrafficEnd());
  // The fabric hands packets over until it has asked twice in vain.
  for (let round = 0; round < 15; round += 1) {
    await clock.advance(100);
    seen.lastPacketAt = clock.now();
    assert.equal(end.at, Infinity, `${clock.now() - start} ms`);
  }
  await clock.advance(1_000);
  assert.ok(end.at - seen.lastPacketAt >= 300, 'quiet for a while');
  assert.ok(end.at - seen.lastPacketAt <= 500, 'and not for long');
});

test('packets that never end do not keep a daemon beyond its limit', async () => {
  const {clock, stop, seen} = createStop();
  const start = clock.now();
  const end = watchEnd(clock, stop.awaitTrafficEnd());
  while (clock.now() < start + STOP_LIMIT_MS) {
    await clock.advance(100);
    seen.lastPacketAt = clock.now();
  }
  assert.ok(end.at < start + STOP_LIMIT_MS);
});

test('a daemon waits until half of its failure domain is ready without it', async () => {
  const {clock, stop, tell} = createStop();
  const start = clock.now();
  tell(2, true);
  tell(3, true);
  const end = watchEnd(clock, stop.awaitPeerCapacity());
  await clock.advance(1_000);
  assert.equal(end.at, Infinity, 'nobody else is ready');
  tell(2, false);
  tell(3, false);
  await clock.advance(200);
  assert.ok(end.at <= start + 1_200);
});
