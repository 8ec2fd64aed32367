import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ScriptXxhashHasher} from '../adapters/script-xxhash-hasher.js';
import {Hasher} from '../ports/hasher.js';
import {CookieIndex} from './cookie-index.js';
import type {CatalogServer} from './records.js';

/** Few values, so that servers meet in a cookie. */
class NarrowHasher extends Hasher {
  hashBytes(): number {
    return 0;
  }

  hashText(text: string): number {
    return text.length % 4;
  }
}

function serverOf(id: string, service: string, created: number): CatalogServer {
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
    ids.map((id, index) => serverOf(id, index % 2 === 0 ? 'a' : 'b', index)),
  );

test('a cookie that is given out names its server alone, in any order of arrival', () => {
  fc.assert(
    fc.property(SERVERS, fc.nat(), fc.nat(3), (servers, turn, mask) => {
      const index = CookieIndex.create(new NarrowHasher());
      const start = turn % Math.max(1, servers.length);
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
      const given = servers.flatMap(
        server => index.cookieOf(server, mask) ?? [],
      );
      assert.equal(new Set(given).size, given.length);
    }),
    {seed: 2},
  );
});

test('a cookie of one destination names nobody at another', () => {
  const index = CookieIndex.create(ScriptXxhashHasher.create());
  const servers = Array.from({length: 200}, (_server, number) =>
    serverOf(`i-${number}`, 'a', number),
  );
  servers.forEach(server => index.put(server));
  const [here, there] = [1, 2].map(key => index.computeMask(key));
  servers.forEach(server => {
    const cookie = index.cookieOf(server, here) ?? 0;
    assert.equal(index.find(cookie, here)[0].id, server.id);
    assert.deepEqual(index.find(cookie, there), []);
  });
});

test('a second server of a cookie gets it once the first is forgotten', () => {
  const index = CookieIndex.create(new NarrowHasher());
  const first = serverOf('xx', 'a', 1);
  const second = serverOf('yy', 'a', 2);
  index.put(second);
  index.put(first);
  assert.equal(index.cookieOf(first, 0), 2);
  assert.equal(index.cookieOf(second, 0), undefined);
  index.remove(first.id);
  assert.equal(index.cookieOf(second, 0), 2);
});
