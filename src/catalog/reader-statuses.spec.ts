import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {ReadState} from '../generated/catalog.js';
import {ReaderStatuses} from './reader-statuses.js';

const hasher = await XxhashHasher.create();
const LEASE_MS = 2_000;

function statusAt(state: ReadState, at: number) {
  return {reader: 1, failureDomain: 'a', capacity: 100, state, at};
}

/** Merges statuses in turn; returns what each was newer by, and how many readers are left. */
function mergeAll(statuses: ReadonlyArray<ReturnType<typeof statusAt>>) {
  const known = ReaderStatuses.create(hasher, LEASE_MS);
  const gains = statuses.map(status => known.merge(status, 200));
  return {gains, readers: known.readers(200).length};
}

test('a reader that ceases right after a read is no reader any more, despite late relays', () => {
  const {READ_TRYING, READ_DONE, READ_CEASED} = ReadState;
  const {gains, readers} = mergeAll([
    statusAt(READ_TRYING, 0),
    statusAt(READ_DONE, 20),
    statusAt(READ_CEASED, 60),
    statusAt(READ_DONE, 90),
    statusAt(READ_TRYING, 100),
    statusAt(READ_CEASED, 110),
  ]);
  assert.deepEqual(gains, [Infinity, Infinity, Infinity, 0, 0, 0]);
  assert.equal(readers, 0);
  const resumed = mergeAll([
    statusAt(READ_CEASED, 0),
    statusAt(READ_DONE, 151),
  ]);
  assert.equal(resumed.readers, 1);
});
