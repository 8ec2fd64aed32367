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
/** As many as make a published list of 30 kB and more. */
const MANY_SERVERS = 105;

type WriteSnapshot = (
  bytes: Uint8Array,
  revision: number,
) => ResultAsync<SnapshotWriteOutcome, SourceFailure>;

/** A keeper of a list of servers whose writes end as a function says. */
function createWriter(servers: number, write: WriteSnapshot) {
  const clock = FakeClock.create();
  const catalog = Catalog.create({hasher, flowLifetimeMs: 60_000});
  const written: Array<{bytes: Uint8Array; expected: number}> = [];
  const take = (count: number, revision: number) =>
    catalog.takeServers(
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
  catalog.takeRoutes({version: 3, routes, coldServices: []}, 0);
  take(servers, 10);
  const keeper = SnapshotWriter.create({
    catalog,
    clock,
    log: MemoryLog.create('d0'),
    // The keeper calls nothing else of the source.
    source: {
      keep: (bytes: Uint8Array, expected: number) => {
        written.push({bytes, expected});
        return write(bytes, expected);
      },
    } as unknown as CatalogSource,
  });
  return {clock, catalog, keeper, written, take};
}

const succeedAt = (revision: number): WriteSnapshot => {
  return () => okAsync({isDone: true, revision});
};

test('a long list is kept once, and again when it has changed', async () => {
  const {clock, keeper, written, take} = createWriter(
    MANY_SERVERS,
    succeedAt(11),
  );
  await keeper.write();
  await keeper.write();
  await clock.advance(60_000);
  await keeper.write();
  assert.equal(written.length, 1);
  const reading = decodeSnapshot(written[0].bytes, 0)._unsafeUnwrap();
  assert.equal(reading.routes?.version, 3);
  assert.equal(reading.routes?.routes[0].targetMs, 422);
  assert.equal(reading.servers.revision, 10);
  assert.equal(reading.servers.servers.length, MANY_SERVERS);
  assert.deepEqual(reading.servers.evacuated, ['a']);
  take(MANY_SERVERS + 1, 12);
  await keeper.write();
  assert.deepEqual(
    written.map(({expected}) => expected),
    [0, 11],
  );
});

test('a release of a server each 100 ms is a write each two seconds', async () => {
  const {clock, keeper, written, take} = createWriter(
    MANY_SERVERS,
    succeedAt(11),
  );
  await Array.from({length: 100}).reduce<Promise<void>>(
    async (before, _step, index) => {
      await before;
      take(MANY_SERVERS + (index % 7), 20 + index);
      await keeper.write();
      await clock.advance(100);
    },
    Promise.resolve(),
  );
  assert.equal(written.length, 5);
});

test('a short list is not kept', async () => {
  const {keeper, written} = createWriter(13, succeedAt(11));
  await keeper.write();
  assert.equal(written.length, 0);
});

test('a copy that another daemon wrote meanwhile is replaced at its revision', async () => {
  const {keeper, written} = createWriter(MANY_SERVERS, (_bytes, expected) =>
    okAsync({isDone: expected === 40, revision: 40}),
  );
  await keeper.write();
  await keeper.write();
  await keeper.write();
  assert.deepEqual(
    written.map(({expected}) => expected),
    [0, 40],
  );
});

test('a write of another daemon has this one write again, later ones do not count', async () => {
  const {clock, keeper, written} = createWriter(MANY_SERVERS, succeedAt(11));
  await keeper.write();
  keeper.recordWrite(11);
  await clock.advance(5_000);
  await keeper.write();
  assert.equal(written.length, 1);
  keeper.recordWrite(15);
  await keeper.write();
  assert.deepEqual(written[1].expected, 15);
});

test('a store that is away is asked again after the gap alone', async () => {
  const failure = SourceFailure.create(SourceFailureKind.SILENT, 'keep', '');
  const {clock, keeper, written} = createWriter(MANY_SERVERS, () =>
    errAsync(failure),
  );
  await keeper.write();
  await keeper.write();
  assert.equal(written.length, 1);
  await clock.advance(2_500);
  await keeper.write();
  assert.equal(written.length, 2);
});

test('bytes that are no whole copy are told from one', () => {
  const noise = Uint8Array.from({length: 300}, (_byte, index) => index * 7);
  assert.ok(decodeSnapshot(noise, 0).isErr());
  assert.ok(decodeSnapshot(new Uint8Array(0), 0).isErr());
});
