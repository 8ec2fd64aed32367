import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeClock} from '../../standins/fake-clock.js';
import {PeerView} from '../membership/peer-view.js';
import {Random} from '../routing/random.js';
import {GracefulShutdown} from './graceful-shutdown.js';

const SELF = 1;
const STOP_LIMIT_MS = 6_000;
/** Time from the signal within which the fabric is to withdraw the daemon. */
const WITHDRAWAL_LIMIT_MS = 4_000;
/** The fabric's interval between two readiness checks of a daemon. */
const CHECK_INTERVAL_MS = 500;
/** Time from a signal to its handling, on a busy instance. */
const SIGNAL_LATENCY_MS = 200;

/** A shutdown whose last packet came now, and a function that reports a peer. */
function createShutdown() {
  const clock = FakeClock.create();
  const peers = PeerView.create({
    self: SELF,
    failureDomain: 'a',
    random: Random.create(1),
  });
  const seen = {lastPacketAt: clock.now()};
  const shutdown = GracefulShutdown.create({
    clock,
    peers,
    failureDomain: 'a',
    stopLimitMs: STOP_LIMIT_MS,
    lastPacketAt: () => seen.lastPacketAt,
  });
  const reportPeer = (address: number, leaving: boolean, domain = 'a') =>
    peers.merge(
      {
        address,
        ageMs: 0,
        failureDomain: domain,
        leaving,
        hasCopy: true,
      },
      clock.now(),
    );
  return {clock, shutdown, seen, reportPeer};
}

/** Records the virtual time at which a promise resolves. */
function watchEnd(clock: FakeClock, promise: Promise<unknown>) {
  const end = {at: Infinity};
  void promise.then(() => (end.at = clock.now()));
  return end;
}

test('a daemon that reports not ready forwards until the packets end', async () => {
  const {clock, shutdown, seen} = createShutdown();
  const start = clock.now();
  const end = watchEnd(clock, shutdown.awaitTrafficEnd());
  // The fabric sends packets until two readiness checks have failed.
  for (let round = 0; round < 15; round += 1) {
    await clock.advance(100);
    seen.lastPacketAt = clock.now();
    assert.equal(end.at, Infinity, `${clock.now() - start} ms`);
  }
  await clock.advance(1_000);
  assert.ok(
    end.at - seen.lastPacketAt >= 300,
    'no earlier than 300 ms after the last packet',
  );
  assert.ok(
    end.at - seen.lastPacketAt <= 500,
    'no later than 500 ms after the last packet',
  );
});

test('a daemon ends within its time limit although packets keep coming', async () => {
  const {clock, shutdown, seen} = createShutdown();
  const start = clock.now();
  const end = watchEnd(clock, shutdown.awaitTrafficEnd());
  while (clock.now() < start + STOP_LIMIT_MS) {
    await clock.advance(100);
    seen.lastPacketAt = clock.now();
  }
  assert.ok(end.at < start + STOP_LIMIT_MS);
});

test('a daemon waits until more than half of its peers in the failure domain are ready', async () => {
  const {clock, shutdown, reportPeer} = createShutdown();
  const start = clock.now();
  reportPeer(2, true);
  reportPeer(3, true);
  const end = watchEnd(clock, shutdown.awaitPeerCapacity());
  await clock.advance(1_000);
  assert.equal(end.at, Infinity, 'no other daemon is ready');
  reportPeer(2, false);
  reportPeer(3, false);
  await clock.advance(200);
  assert.ok(end.at <= start + 1_200);
});

/**
 * Plays a shutdown whose two peers stay away. The fabric checks readiness from `phaseMs`
 * on and withdraws the daemon after two failed checks; returns the time from the signal
 * to the withdrawal.
 */
async function measureWithdrawal(phaseMs: number): Promise<number> {
  const {clock, shutdown, reportPeer} = createShutdown();
  const signalledAt = clock.now() - SIGNAL_LATENCY_MS;
  reportPeer(2, true);
  reportPeer(3, true);
  const leaving = watchEnd(clock, shutdown.awaitPeerCapacity());
  await clock.advance(phaseMs);
  for (let failures = 0; failures < 2;) {
    failures = clock.now() >= leaving.at ? failures + 1 : 0;
    await clock.advance(CHECK_INTERVAL_MS);
  }
  return clock.now() - CHECK_INTERVAL_MS - signalledAt;
}

// A daemon that waited for its peers counted as ready for 4.5 s after its signal.
test('the fabric withdraws a stopping daemon within the limit, whatever it waits for', async () => {
  const phases = Array.from({length: 10}, (_phase, index) => index * 50);
  const withdrawals = await Promise.all(phases.map(measureWithdrawal));
  assert.ok(
    Math.max(...withdrawals) <= WITHDRAWAL_LIMIT_MS,
    `${Math.max(...withdrawals)} ms after the signal`,
  );
});

// The wait kept the fabric sending to frozen peers, since fewer than half were ready.
test('the last ready daemon of a failure domain leaves at once while another domain serves', async () => {
  const {clock, shutdown, reportPeer} = createShutdown();
  const start = clock.now();
  reportPeer(2, true);
  reportPeer(3, true);
  reportPeer(4, false, 'b');
  const end = watchEnd(clock, shutdown.awaitPeerCapacity());
  await clock.advance(0);
  assert.equal(end.at, start);
});

test('a daemon waits although another domain serves while its own has a ready daemon besides', async () => {
  const {clock, shutdown, reportPeer} = createShutdown();
  reportPeer(2, true);
  reportPeer(3, false);
  reportPeer(4, false, 'b');
  const end = watchEnd(clock, shutdown.awaitPeerCapacity());
  await clock.advance(1_000);
  assert.equal(end.at, Infinity);
});
