import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createServer} from '../../standins/catalog-records.js';
import {FakeClock} from '../../standins/fake-clock.js';
import {JsXxhashHasher} from '../adapters/js-xxhash-hasher.js';
import {Catalog} from './catalog.js';
import {awaitCatalogChange} from './catalog-wait.js';

test('waits for a catalog that end with a change or at the deadline leave no listener', async () => {
  const clock = FakeClock.create();
  const catalog = Catalog.create({
    hasher: JsXxhashHasher.create(),
    flowLifetimeMs: 60_000,
  });
  let checks = 0;
  const ended: string[] = [];
  const wait = (name: string, deadline: number, isLast: () => boolean) =>
    awaitCatalogChange(catalog, clock, clock.now() + deadline, () => {
      checks += 1;
      return isLast();
    }).then(() => ended.push(name));
  const listed = {revision: 1, servers: [], evacuated: []};
  const change = async (revision: number) => {
    const server = createServer(`i-${revision}`, 'pay', {revision});
    catalog.applyServers({...listed, revision, servers: [server]}, clock.now());
    await clock.advance(1);
  };
  void wait('first', 1_000, () => true);
  void wait('second', 1_000, () => catalog.stamp.serverRevision >= 3);
  void wait('deadline', 500, () => false);
  await change(2);
  assert.deepEqual(ended, ['first']);
  await change(3);
  assert.deepEqual(ended, ['first', 'second']);
  await clock.advance(600);
  assert.deepEqual(ended, ['first', 'second', 'deadline']);
  const before = checks;
  await change(4);
  assert.equal(checks, before);
});
