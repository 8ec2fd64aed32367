/** Records that arrive twice, late, from reporters that left, or after a restart. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {createServer} from '../../standins/catalog-records.js';
import {ServerHashes} from '../routing/server-hashes.js';
import {EvidencePool, type EvidenceRecord} from './evidence-pool.js';
import {FaultKind, NO_FAULTS} from './server-evidence.js';

const HASHES = ServerHashes.create(await XxhashHasher.create());
const SERVER = createServer('i-1', 'pay');
const SELF = 1;
const PEER = 2;

function createPool(self = SELF): EvidencePool {
  return EvidencePool.create(self, HASHES);
}

/** A peer's record of `failed` tenths as of `at`. */
function told(failed: number, at: number, reporter = PEER): EvidenceRecord {
  const server = HASHES.of(SERVER.id);
  return {reporter, server, failed, overdue: 0, slow: 0, at};
}

test('own and told evidence adds up, each reporter counts once, and halves in 5 s', () => {
  const pool = createPool();
  pool.add(SERVER, FaultKind.FAILED, 0, 0);
  pool.add(SERVER, FaultKind.SLOW, 0, 0);
  assert.ok(pool.merge(told(10, 0), 0));
  assert.ok(pool.merge(told(30, 500), 500));
  assert.equal(pool.size, 2);
  const {failed, slow} = pool.countFaults(SERVER, 5_000);
  assert.ok(Math.abs(failed - 0.5 - 3 * 2 ** -0.9) < 0.01, `${failed}`);
  assert.equal(slow, 0.5);
});

test('a record that is relayed over several daemons, 40 ms later each time, is new once', () => {
  const pool = createPool();
  assert.ok(pool.merge(told(20, 0), 0));
  Array.from({length: 20}, (_relay, index) => (index + 1) * 40).forEach(late =>
    assert.equal(pool.merge(told(20, late), late), false),
  );
});

test('two faults of a reporter 20 ms apart both count, in either order of arrival', () => {
  const [first, second] = [told(10, 0), told(20, 20)];
  [
    [first, second],
    [second, first],
  ].forEach(order => {
    const pool = createPool();
    order.forEach(record => pool.merge(record, 30));
    assert.ok(pool.countFaults(SERVER, 30).failed > 1.9);
  });
});

test('evidence that peers tell in the name of this daemon is ignored', () => {
  const pool = createPool();
  assert.equal(pool.merge(told(50, 0, SELF), 0), false);
});

test('evidence of a reporter that left expires', () => {
  const pool = createPool();
  pool.merge(told(50, 0), 0);
  pool.removeExpired(20_001);
  assert.equal(pool.size, 0);
  assert.equal(pool.merge(told(50, 0), 20_001), false);
});

test('evidence on the former incarnation is void after a restart, also when told late', () => {
  const pool = createPool();
  pool.add(SERVER, FaultKind.OVERDUE, 0, 500);
  pool.merge(told(50, 800), 900);
  pool.forget(SERVER.id, 1_000);
  assert.equal(pool.merge(told(60, 950), 1_100), false);
  // The reporter applied the restart 1 s later than this daemon.
  assert.equal(pool.merge(told(70, 2_000), 2_100), false);
  assert.equal(pool.add(SERVER, FaultKind.OVERDUE, 900, 1_500), undefined);
  assert.deepEqual(pool.countFaults(SERVER, 2_100), NO_FAULTS);
  assert.ok(pool.add(SERVER, FaultKind.FAILED, 1_600, 1_700));
  assert.ok(pool.merge(told(10, 3_100), 3_200));
});

test('100,000 records are bounded, and the newest are kept', () => {
  const pool = createPool();
  Array.from({length: 100_000}, (_record, index) =>
    pool.merge(told(10, index / 10, index + 2), index / 10),
  );
  assert.ok(pool.size <= 2_048, `${pool.size}`);
  const {failed} = pool.countFaults(SERVER, 10_000);
  assert.ok(failed > 1_500, `${failed}`);
});

/** A pool with one fault each of `reporters` peers as of `at`. */
function createPoolOf(reporters: number, at: number): EvidencePool {
  const pool = createPool();
  Array.from({length: reporters}, (_reporter, index) =>
    pool.merge(told(10, at, PEER + index), at),
  );
  return pool;
}

test('a summary of 20 reporters stands beside their records without counting twice', () => {
  const summary = createPoolOf(20, 0).summarize(HASHES.of(SERVER.id), 0);
  assert.ok(summary !== undefined);
  const pool = createPoolOf(5, 0);
  assert.ok(pool.merge(summary, 0));
  assert.equal(pool.countFaults(SERVER, 0).failed, 20);
  assert.equal(pool.summarize(HASHES.of(SERVER.id), 0), undefined);
});

test('a summary gives way to one that is half as great again, however both have decayed', () => {
  const [few, more, many] = [10, 14, 20].map(count =>
    createPoolOf(count, 0).summarize(HASHES.of(SERVER.id), 0),
  );
  assert.ok(few && more && many);
  const pool = createPool();
  assert.ok(pool.merge(few, 0));
  assert.equal(pool.merge(more, 0), false);
  assert.ok(pool.merge(many, 0));
  assert.equal(pool.merge({...few, at: 3_000}, 3_000), false);
});

test('a summary that is relayed over several daemons, 40 ms later each time, is new once', () => {
  const summary = createPoolOf(20, 0).summarize(HASHES.of(SERVER.id), 0);
  assert.ok(summary !== undefined);
  const pool = createPool();
  assert.ok(pool.merge(summary, 0));
  Array.from({length: 20}, (_relay, index) => (index + 1) * 40).forEach(late =>
    assert.equal(pool.merge({...summary, at: late}, late), false),
  );
});

test('two faults make no summary, and a restart voids one that comes late', () => {
  assert.equal(
    createPoolOf(2, 0).summarize(HASHES.of(SERVER.id), 0),
    undefined,
  );
  const summary = createPoolOf(20, 0).summarize(HASHES.of(SERVER.id), 0);
  const pool = createPoolOf(20, 0);
  pool.forget(SERVER.id, 1_000);
  assert.ok(summary !== undefined && !pool.merge(summary, 1_500));
  assert.deepEqual(pool.countFaults(SERVER, 1_500), NO_FAULTS);
});
