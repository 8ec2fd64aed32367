import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ProbeResult} from '../ports/server-prober.js';
import {ReachabilityPoll} from './reachability-poll.js';

const SELF = 1;
const HELPERS = [2, 3];

const VOTES = fc.array(
  fc.record({
    daemon: fc.integer({min: 1, max: 5}),
    result: fc.constantFrom(ProbeResult.REACHED, ProbeResult.TIMEOUT),
  }),
);

test('a server is unreachable only if the polling daemon and a helper failed to reach it, and none succeeded', () => {
  fc.assert(
    fc.property(VOTES, votes => {
      const poll = ReachabilityPoll.create(SELF, HELPERS);
      votes.forEach(({daemon, result}) => poll.recordVote(daemon, result));
      // The last vote of each daemon in the poll.
      const last = new Map(
        votes
          .filter(({daemon}) => [SELF, ...HELPERS].includes(daemon))
          .map(({daemon, result}) => [daemon, result]),
      );
      const isUnreachable =
        last.has(SELF) &&
        last.size >= 2 &&
        [...last.values()].every(result => result === ProbeResult.TIMEOUT);
      assert.equal(poll.isUnreachable, isUnreachable);
    }),
    {seed: 9},
  );
});

test('a poll settles when any daemon reaches the server, or when all have voted', async () => {
  const reached = ReachabilityPoll.create(SELF, HELPERS);
  reached.recordVote(3, ProbeResult.REACHED);
  await reached.settled;
  const silent = ReachabilityPoll.create(SELF, HELPERS);
  [SELF, ...HELPERS].forEach(daemon =>
    silent.recordVote(daemon, ProbeResult.TIMEOUT),
  );
  await silent.settled;
  assert.equal(silent.isUnreachable, true);
});
