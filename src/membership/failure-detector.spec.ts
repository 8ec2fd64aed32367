import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeClock} from '../../standins/fake-clock.js';
import {MemoryNetwork, MemoryPeers} from '../../standins/memory-network.js';
import {JsXxhashHasher} from '../adapters/js-xxhash-hasher.js';
import {Probe} from '../generated/packet.js';
import {Random} from '../routing/random.js';
import {ChangeLog} from './change-log.js';
import {FailureDetector} from './failure-detector.js';
import {MemberList} from './member-list.js';
import {MemberState, type Member} from './member.js';

const EPOCH = 3;

function memberOf(id: string, incarnation = 1): Member {
  const state = MemberState.READY;
  return {id, address: `${id}:1`, failureDomain: 'a', state, incarnation};
}

/** A daemon that knows the members 'asker' and 'subject', with what it probes. */
function createRelay() {
  const clock = FakeClock.create();
  const network = MemoryNetwork.create(clock, Random.create(1));
  const sent: Array<{address: string; probe: Probe}> = [];
  const peers = Object.assign(MemoryPeers.create(network, 'relay', 'relay:1'), {
    probe: (address: string, probe: Probe) => sent.push({address, probe}),
  });
  const members = MemberList.create(memberOf('relay'));
  ['asker', 'subject'].forEach(id => members.mergeMember(memberOf(id)));
  const log = ChangeLog.create(EPOCH, JsXxhashHasher.create());
  const detector = FailureDetector.create({
    members,
    log,
    peers,
    clock,
    hooks: {
      onUnstagedChanges: () => undefined,
      onConfirmed: () => undefined,
      onUnknownSender: () => undefined,
      onDeclaredDead: () => undefined,
      onContactRestored: () => undefined,
      loadToPublish: () => ({member: 'relay', version: 1, counts: []}),
      onLoad: () => undefined,
    },
  });
  return {detector, log, sent};
}

test('a probe relayed for a peer carries the log positions of the relay, and the suspicion', () => {
  const {detector, log, sent} = createRelay();
  log.append({revision: undefined, mark: undefined});
  log.recordStaged('subject', 8, 4);
  const suspicion = {...memberOf('subject'), state: MemberState.SUSPECT};
  const request = Probe.fromPartial({
    sequence: 7,
    state: MemberState.READY,
    incarnation: 1,
    logEpoch: 99,
    logTop: 50,
    knowledge: 12,
    relayTo: 'subject:1',
    updates: [suspicion],
  });
  detector.onProbe('asker', request, 'asker:1');
  const relayed = sent.filter(({address}) => address === 'subject:1');
  assert.equal(relayed.length, 1);
  const [{probe}] = relayed;
  const {sequence, relayTo, relayFrom, answer} = probe;
  assert.deepEqual(
    {sequence, relayTo, relayFrom, answer},
    {sequence: 7, relayTo: '', relayFrom: 'asker:1', answer: false},
  );
  const {logEpoch, logTop, knowledge, seenEpoch, seenTop} = probe;
  assert.deepEqual(
    {logEpoch, logTop, knowledge},
    {logEpoch: EPOCH, logTop: 1, knowledge: log.digest},
  );
  assert.deepEqual({seenEpoch, seenTop}, {seenEpoch: 8, seenTop: 4});
  assert.ok(probe.updates.some(({state}) => state === MemberState.SUSPECT));
});
