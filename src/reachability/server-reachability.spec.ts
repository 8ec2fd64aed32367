/** Unreachable servers: what a daemon probes itself, and which peers it has probe. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createServer} from '../../standins/catalog-records.js';
import {FakeClock} from '../../standins/fake-clock.js';
import {MemoryContact} from '../../standins/memory-contact.js';
import {MemoryLog} from '../../standins/memory-log.js';
import {PeerView} from '../membership/peer-view.js';
import {Random} from '../routing/random.js';
import {ServerReachability} from './server-reachability.js';

const FLOW_LIFETIME_MS = 60_000;
const SERVER = createServer('i-1', 'pay');

/** A daemon in domain 'a' among peers in 'a', 'b' and 'c'; its service has ten servers. */
function createDaemon() {
  const clock = FakeClock.create();
  const peers = PeerView.create({
    self: 1,
    failureDomain: 'a',
    random: Random.create(5),
  });
  const hearPeers = () =>
    Array.from({length: 18}, (_peer, index) =>
      peers.merge(
        {
          address: 10 + index,
          failureDomain: ['a', 'b', 'c'][index % 3],
          leaving: false,
          hasCopy: true,
          ageMs: 0,
        },
        clock.now(),
      ),
    );
  const state = {isReachable: true, probes: 0};
  const helpers: Array<readonly number[]> = [];
  const reachability = ServerReachability.create({
    self: 1,
    failureDomain: 'a',
    flowLifetimeMs: FLOW_LIFETIME_MS,
    prober: MemoryContact.create(clock, () => {
      state.probes += 1;
      return state.isReachable;
    }),
    peers,
    clock,
    log: MemoryLog.create('d1'),
    serverById: id => (id === SERVER.id ? SERVER : undefined),
    isListed: () => true,
    countServers: () => 10,
    lastAnsweredAt: () => -Infinity,
    requestProbes: daemons => helpers.push(daemons),
    sendVote: () => undefined,
    announce: () => undefined,
    onUnreachable: () => undefined,
  });
  const hearUnreachable = () =>
    reachability.mergeFinding({
      server: SERVER.id,
      reached: false,
      at: clock.now(),
      startTime: SERVER.startTime,
    });
  return {clock, state, helpers, reachability, hearPeers, hearUnreachable};
}

test('a server that only peers find unreachable is not lost, and is reachable after one probe', async () => {
  const {clock, state, reachability, hearUnreachable} = createDaemon();
  hearUnreachable();
  assert.equal(reachability.isUnreachable(SERVER.id), true);
  assert.equal(reachability.isLost(SERVER.id), false);
  const verdicts = Promise.all([
    reachability.verifyUnreachable(SERVER),
    reachability.verifyUnreachable(SERVER),
  ]);
  await clock.advance(10);
  assert.deepEqual(await verdicts, [false, false]);
  assert.equal(state.probes, 1);
  assert.equal(reachability.isUnreachable(SERVER.id), false);
});

test('a server is lost while peers find it unreachable and a probe from here has failed of late', async () => {
  const {clock, state, reachability, hearUnreachable} = createDaemon();
  state.isReachable = false;
  hearUnreachable();
  const verdict = reachability.verifyUnreachable(SERVER);
  await clock.advance(299);
  assert.equal(reachability.isLost(SERVER.id), false);
  await clock.advance(1);
  assert.equal(await verdict, true);
  // Daemons that are partitioned renew their finding; this one must probe again.
  await clock.advance(2_000);
  hearUnreachable();
  assert.equal(reachability.isLost(SERVER.id), true);
  await clock.advance(1_500);
  assert.equal(reachability.isUnreachable(SERVER.id), true);
  assert.equal(reachability.isLost(SERVER.id), false);
});

test('a lost server that leaves the list stays lost until its entry is written again', async () => {
  const {clock, state, reachability, hearUnreachable} = createDaemon();
  const change = {
    changed: [],
    unreadable: [],
    departed: [],
    restarted: [],
  };
  state.isReachable = false;
  hearUnreachable();
  void reachability.verifyUnreachable(SERVER);
  await clock.advance(300);
  reachability.onListingChange({...change, departed: [SERVER]});
  await clock.advance(FLOW_LIFETIME_MS / 2);
  assert.equal(reachability.isLost(SERVER.id), true);
  reachability.onListingChange({...change, changed: [SERVER]});
  assert.equal(reachability.isLost(SERVER.id), false);
});

test('polls on a server have other peers probe it by turns, one of its domain and one of another', async () => {
  const {clock, helpers, reachability, hearPeers} = createDaemon();
  const server = {...SERVER, failureDomain: 'b'};
  const poll = async () => {
    hearPeers();
    reachability.investigate(server);
    await clock.advance(1_500);
  };
  await Array.from({length: 8}).reduce<Promise<void>>(
    previous => previous.then(poll),
    Promise.resolve(),
  );
  const domains = helpers.map(pair => pair.map(address => (address - 10) % 3));
  assert.deepEqual(new Set(domains.map(String)), new Set(['1,2']));
  const [first, second] = [0, 1].map(
    position => new Set(helpers.map(pair => pair[position])).size,
  );
  assert.ok(first > 2 && second > 2, `${first} and ${second} of six peers`);
});
