import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {JsXxhashHasher} from '../adapters/js-xxhash-hasher.js';
import {Hasher} from '../ports/hasher.js';
import {CookieIndex} from './cookie-index.js';
import type {CatalogServer} from './records.js';

/** Returns few distinct hashes, so that cookies collide. */
class CollidingHasher extends Hasher {
  hashBytes(): number {
    return 0;
  }

  hashText(text: string): number {
    return text.length % 4;
  }
}

function createServer(
  id: string,
  service: string,
  created: number,
): CatalogServer {
  return {
    id,
    service,
    address: 1,
    port: 1,
    failureDomain: 'a',
    slots: 1,
    state: 'ready',
    coldUntil: 0,
    createdRevision: created,
    revision: created,
    startTime: 0,
  };
}

const SERVERS = fc
  .uniqueArray(fc.string({minLength: 1, maxLength: 9}), {maxLength: 12})
  .map(ids =>
    ids.map((id, index) =>
      createServer(id, index % 2 === 0 ? 'a' : 'b', index),
    ),
  );

test('assigned cookies are unique and name their servers, in any order of arrival', () => {
  fc.assert(
    fc.property(SERVERS, fc.nat(), fc.nat(3), (servers, rotation, mask) => {
      const index = CookieIndex.create(new CollidingHasher());
      const start = rotation % Math.max(1, servers.length);
      [...servers.slice(start), ...servers.slice(0, start)].forEach(server =>
        index.put(server),
      );
      servers.forEach(server => {
        const cookie = index.cookieOf(server, mask);
        if (cookie !== undefined) {
          assert.notEqual(cookie, 0);
          assert.equal(index.find(cookie, mask)[0].id, server.id);
        }
      });
      const assigned = servers.flatMap(
        server => index.cookieOf(server, mask) ?? [],
      );
      assert.equal(new Set(assigned).size, assigned.length);
    }),
    {seed: 2},
  );
});

test('a cookie of one destination names no server at another', () => {
  const index = CookieIndex.create(JsXxhashHasher.create());
  const servers = Array.from({length: 200}, (_server, number) =>
    createServer(`i-${number}`, 'a', number),
  );
  servers.forEach(server => index.put(server));
  const [here, there] = [1, 2].map(key => index.computeMask(key));
  servers.forEach(server => {
    const cookie = index.cookieOf(server, here) ?? 0;
    assert.equal(index.find(cookie, here)[0].id, server.id);
    assert.deepEqual(index.find(cookie, there), []);
  });
});

test('a cookie passes to the next server of equal hash once its owner is removed', () => {
  const index = CookieIndex.create(new CollidingHasher());
  const first = createServer('xx', 'a', 1);
  const second = createServer('yy', 'a', 2);
  index.put(second);
  index.put(first);
  assert.equal(index.cookieOf(first, 0), 2);
  assert.equal(index.cookieOf(second, 0), undefined);
  index.remove(first.id);
  assert.equal(index.cookieOf(second, 0), 2);
});
