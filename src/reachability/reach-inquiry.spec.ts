import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ContactResult} from '../ports/server-contact.js';
import {ReachInquiry} from './reach-inquiry.js';

const SELF = 1;
const HELPERS = [2, 3];

const VOTES = fc.array(
  fc.record({
    daemon: fc.integer({min: 1, max: 5}),
    result: fc.constantFrom(ContactResult.REACHED, ContactResult.SILENT),
  }),
);

test('a server is unreachable only if the asking daemon and a helper tried in vain, and nobody reached it', () => {
  fc.assert(
    fc.property(VOTES, votes => {
      const inquiry = ReachInquiry.create(SELF, HELPERS);
      votes.forEach(({daemon, result}) => inquiry.vote(daemon, result));
      // The last vote of each daemon that was asked.
      const last = new Map(
        votes
          .filter(({daemon}) => [SELF, ...HELPERS].includes(daemon))
          .map(({daemon, result}) => [daemon, result]),
      );
      const isUnreachable =
        last.has(SELF) &&
        last.size >= 2 &&
        [...last.values()].every(result => result === ContactResult.SILENT);
      assert.equal(inquiry.isUnreachable, isUnreachable);
    }),
    {seed: 9},
  );
});

test('an inquiry is settled by the first daemon that reaches the server, or by all votes', async () => {
  const reached = ReachInquiry.create(SELF, HELPERS);
  reached.vote(3, ContactResult.REACHED);
  await reached.settled;
  const silent = ReachInquiry.create(SELF, HELPERS);
  [SELF, ...HELPERS].forEach(daemon =>
    silent.vote(daemon, ContactResult.SILENT),
  );
  await silent.settled;
  assert.equal(silent.isUnreachable, true);
});
