/** Polls on servers that left a packet unanswered, and what findings of peers lead to. */
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
  const helpers: Array<readonly number[]> = [];
  const unreachable: string[] = [];
  const answers = {lastAt: -Infinity};
  const reachability = ServerReachability.create({
    self: 1,
    failureDomain: 'a',
    flowLifetimeMs: FLOW_LIFETIME_MS,
    prober: MemoryContact.create(clock, () => true),
    peers,
    clock,
    log: MemoryLog.create('d1'),
    serverById: id => (id === SERVER.id ? SERVER : undefined),
    isListed: () => true,
    countServers: () => 10,
    lastAnsweredAt: () => answers.lastAt,
    requestProbes: daemons => helpers.push(daemons),
    sendVote: () => undefined,
    announce: () => undefined,
    onUnreachable: ({id}) => unreachable.push(id),
  });
  return {clock, helpers, reachability, hearPeers, unreachable, answers};
}

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

// Guards against flows being reset on a peer's finding although the server has answered
// callers of this daemon since.
test('a finding of peers is void for a daemon whose callers the server has answered since', async () => {
  const {clock, reachability, unreachable, answers} = createDaemon();
  const foundAt = clock.now();
  await clock.advance(200);
  answers.lastAt = foundAt + 100;
  const finding = {server: SERVER.id, reached: false, startTime: 0};
  reachability.mergeFinding({...finding, at: foundAt});
  assert.equal(reachability.isUnreachable(SERVER.id), false);
  assert.deepEqual(unreachable, []);
  reachability.mergeFinding({...finding, at: clock.now()});
  assert.equal(reachability.isUnreachable(SERVER.id), true);
  assert.deepEqual(unreachable, [SERVER.id]);
});
