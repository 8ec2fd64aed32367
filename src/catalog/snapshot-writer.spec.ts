import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ResultAsync, errAsync, okAsync} from 'neverthrow';
import {createRoute, createServer} from '../../standins/catalog-records.js';
import {FakeClock} from '../../standins/fake-clock.js';
import {MemoryLog} from '../../standins/memory-log.js';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {
  SourceFailure,
  SourceFailureKind,
  type CatalogSource,
  type SnapshotWriteOutcome,
} from '../ports/catalog-source.js';
import {decodeSnapshot} from './catalog-messages.js';
import {Catalog} from './catalog.js';
import {SnapshotWriter} from './snapshot-writer.js';

const hasher = await XxhashHasher.create();
/** Enough for the published list to exceed the minimum size for a snapshot. */
const MANY_SERVERS = 105;

type WriteSnapshot = (
  bytes: Uint8Array,
  revision: number,
) => ResultAsync<SnapshotWriteOutcome, SourceFailure>;

/** Creates a writer for a catalog of some servers, on a source that calls `write`. */
function createWriter(servers: number, write: WriteSnapshot) {
  const clock = FakeClock.create();
  const catalog = Catalog.create({hasher, flowLifetimeMs: 60_000});
  const written: Array<{bytes: Uint8Array; expected: number}> = [];
  const setServers = (count: number, revision: number) =>
    catalog.applyServers(
      {
        revision,
        servers: Array.from({length: count}, (_server, index) =>
          createServer(`i-${index + 1}`, 'pay', {revision}),
        ),
        evacuated: ['a'],
      },
      clock.now(),
    );
  const routes = [createRoute('pay', {address: 1, port: 443, targetMs: 422})];
  catalog.applyRoutes({version: 3, routes, coldServices: []}, 0);
  setServers(servers, 10);
  const writer = SnapshotWriter.create({
    catalog,
    clock,
    log: MemoryLog.create('d0'),
    // The writer calls no other method of the source.
    source: {
      writeSnapshot: (bytes: Uint8Array, expected: number) => {
        written.push({bytes, expected});
        return write(bytes, expected);
      },
    } as unknown as CatalogSource,
  });
  return {clock, catalog, writer, written, setServers};
}

const succeedAt = (revision: number): WriteSnapshot => {
  return () => okAsync({isDone: true, revision});
};

test('a large catalog is written once, and again after a change', async () => {
  const {clock, writer, written, setServers} = createWriter(
    MANY_SERVERS,
    succeedAt(11),
  );
  await writer.write();
  await writer.write();
  await clock.advance(60_000);
  await writer.write();
  assert.equal(written.length, 1);
  const reading = decodeSnapshot(written[0].bytes, 0)._unsafeUnwrap();
  assert.equal(reading.routes?.version, 3);
  assert.equal(reading.routes?.routes[0].targetMs, 422);
  assert.equal(reading.servers.revision, 10);
  assert.equal(reading.servers.servers.length, MANY_SERVERS);
  assert.deepEqual(reading.servers.evacuated, ['a']);
  setServers(MANY_SERVERS + 1, 12);
  await writer.write();
  assert.deepEqual(
    written.map(({expected}) => expected),
    [0, 11],
  );
});

test('a change every 100 ms causes one write every two seconds', async () => {
  const {clock, writer, written, setServers} = createWriter(
    MANY_SERVERS,
    succeedAt(11),
  );
  await Array.from({length: 100}).reduce<Promise<void>>(
    async (before, _step, index) => {
      await before;
      setServers(MANY_SERVERS + (index % 7), 20 + index);
      await writer.write();
      await clock.advance(100);
    },
    Promise.resolve(),
  );
  assert.equal(written.length, 5);
});

test('a small catalog is not written', async () => {
  const {writer, written} = createWriter(13, succeedAt(11));
  await writer.write();
  assert.equal(written.length, 0);
});

test('a snapshot that another daemon wrote meanwhile is replaced at its revision', async () => {
  const {writer, written} = createWriter(MANY_SERVERS, (_bytes, expected) =>
    okAsync({isDone: expected === 40, revision: 40}),
  );
  await writer.write();
  await writer.write();
  await writer.write();
  assert.deepEqual(
    written.map(({expected}) => expected),
    [0, 40],
  );
});

test('only a write by another daemon at a later revision causes a new write', async () => {
  const {clock, writer, written} = createWriter(MANY_SERVERS, succeedAt(11));
  await writer.write();
  writer.recordWrite(11);
  await clock.advance(5_000);
  await writer.write();
  assert.equal(written.length, 1);
  writer.recordWrite(15);
  await writer.write();
  assert.deepEqual(written[1].expected, 15);
});

test('a failed write is retried after the minimum interval', async () => {
  const failure = SourceFailure.create(SourceFailureKind.TIMEOUT, 'write', '');
  const {clock, writer, written} = createWriter(MANY_SERVERS, () =>
    errAsync(failure),
  );
  await writer.write();
  await writer.write();
  assert.equal(written.length, 1);
  await clock.advance(2_500);
  await writer.write();
  assert.equal(written.length, 2);
});

test('bytes that are not a complete snapshot are rejected', () => {
  const noise = Uint8Array.from({length: 300}, (_byte, index) => index * 7);
  assert.ok(decodeSnapshot(noise, 0).isErr());
  assert.ok(decodeSnapshot(new Uint8Array(0), 0).isErr());
});
