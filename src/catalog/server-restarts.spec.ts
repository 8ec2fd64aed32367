/**
 * Servers that restart under the same id, and entries that cannot be read, with updates
 * arriving in any order.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {JsXxhashHasher} from '../adapters/js-xxhash-hasher.js';
import {createServer} from '../../standins/catalog-records.js';
import {applyUpdate, createUpdate} from './catalog-messages.js';
import {Catalog, type CatalogChange} from './catalog.js';
import type {
  CatalogServer,
  RouteListing,
  ServerListing,
  ServerState,
} from './records.js';

const hasher = JsXxhashHasher.create();
const EMPTY_STATE = {
  asker: 1,
  routeVersion: 0,
  serverRevision: 0,
  serverDigest: 0,
};
const ROUTES: RouteListing = {
  version: 1,
  routes: [
    {
      address: 9,
      port: 443,
      shares: [{service: 'pay', weight: 1}],
      repeatable: false,
      regions: [],
      priority: 0,
      targetMs: Infinity,
      limitMs: Infinity,
    },
  ],
  coldServices: [],
  services: ['pay', 'docs'],
};

function createCatalog(): Catalog {
  const catalog = Catalog.create({hasher, flowLifetimeMs: 60_000});
  catalog.applyRoutes(ROUTES, 0);
  return catalog;
}

/** Creates a server's record as of a revision. */
function createEntry(
  id: string,
  revision: number,
  part: Partial<CatalogServer> = {},
): CatalogServer {
  return createServer(id, 'pay', {
    createdRevision: revision,
    revision,
    ...part,
  });
}

function createListing(
  revision: number,
  servers: readonly CatalogServer[],
  unreadableIds: readonly string[] = [],
): ServerListing {
  const unreadable = unreadableIds.map(id => ({id, revision, cause: 'noise'}));
  return {revision, servers, unreadable, evacuated: []};
}

/** Returns a list to which the catalog's further changes are appended. */
function collectChanges(catalog: Catalog): CatalogChange[] {
  const changes: CatalogChange[] = [];
  catalog.onChange(change => changes.push(change));
  return changes;
}

function idsOf(servers: ReadonlyArray<{id: string}>): string[] {
  return servers.map(({id}) => id).sort();
}

/** A write to the store; the first one of a history has revision 1. */
interface StoreWrite {
  readonly id: string;
  readonly kind: 'ready' | 'draining' | 'unreadable' | 'removed';
  readonly startTime: number;
  readonly address: number;
}

const HISTORY = fc.array(
  fc.record<StoreWrite>({
    id: fc.constantFrom('i-1', 'i-2', 'i-3'),
    kind: fc.constantFrom('ready', 'draining', 'unreadable', 'removed'),
    startTime: fc.constantFrom(0, 70, 30),
    address: fc.integer({min: 1, max: 4}),
  }),
  {minLength: 1, maxLength: 14},
);

/** Returns the newest write of each id up to a revision, without removed ids. */
function stateAt(history: readonly StoreWrite[], upTo: number) {
  const newest = new Map<string, StoreWrite & {revision: number}>();
  history
    .slice(0, upTo)
    .forEach((written, index) =>
      newest.set(written.id, {...written, revision: index + 1}),
    );
  return [...newest.values()].filter(({kind}) => kind !== 'removed');
}

function toServer({
  id,
  kind,
  startTime,
  address,
  revision,
}: StoreWrite & {
  revision: number;
}): CatalogServer {
  const state = kind as ServerState;
  return createEntry(id, revision, {state, startTime, address});
}

function listingAt(
  history: readonly StoreWrite[],
  upTo: number,
): ServerListing {
  const entries = stateAt(history, upTo);
  const corrupted = entries.filter(({kind}) => kind === 'unreadable');
  return {
    revision: upTo,
    servers: entries.filter(({kind}) => kind !== 'unreadable').map(toServer),
    unreadable: corrupted.map(({id, revision}) => ({id, revision, cause: 'x'})),
    evacuated: [],
  };
}

function feedEvents(
  catalog: Catalog,
  history: readonly StoreWrite[],
  from: number,
  upTo: number,
): void {
  const events = history
    .map((written, index) => ({...written, revision: index + 1}))
    .slice(from, upTo);
  const of = (kinds: ReadonlyArray<StoreWrite['kind']>) =>
    events.filter(({kind}) => kinds.includes(kind));
  catalog.applyEvents(
    {
      revision: upTo,
      routes: undefined,
      written: of(['ready', 'draining']).map(toServer),
      unreadable: of(['unreadable']).map(({id, revision}) => ({
        id,
        revision,
        cause: 'x',
      })),
      removed: of(['removed']).map(({id, revision}) => ({id, revision})),
      domains: [],
    },
    1,
  );
}

const UPDATES = fc.array(
  fc.record({
    source: fc.constantFrom('events', 'whole', 'pull', 'pull-whole'),
    from: fc.nat(14),
    upTo: fc.integer({min: 1, max: 14}),
  }),
  {maxLength: 10},
);

function recordsById(catalog: Catalog): Map<string, CatalogServer> {
  return new Map(catalog.allServers().map(server => [server.id, server]));
}

test('updates in any order never replace an incarnation by an older one, and converge', () => {
  fc.assert(
    fc.property(HISTORY, UPDATES, (history, updates) => {
      const end = history.length;
      const catalog = createCatalog();
      catalog.applyServers(listingAt(history, 1), 0);
      updates.forEach(({source, from, upTo}) => {
        const at = Math.min(upTo, end);
        const before = recordsById(catalog);
        const held = catalog.stamp;
        if (source === 'events') {
          // Watches start at a known revision, and some answers arrive late.
          const since = Math.min(from, at, held.serverRevision);
          feedEvents(catalog, history, since, at);
        } else if (source === 'whole') {
          catalog.applyServers(listingAt(history, at), 1);
        } else {
          const peer = createCatalog();
          peer.applyServers(listingAt(history, at), 0);
          feedEvents(peer, history, at, Math.min(end, at + 3));
          const asked = {
            ...EMPTY_STATE,
            serverRevision: source === 'pull' ? held.serverRevision : 0,
          };
          applyUpdate(catalog, createUpdate(peer, asked, 1), 1);
        }
        recordsById(catalog).forEach(({id, revision}) => {
          const known = before.get(id)?.revision ?? 0;
          assert.ok(revision >= known, `${id} from ${known} to ${revision}`);
        });
      });
      feedEvents(catalog, history, 0, end);
      const expected = listingAt(history, end);
      const unreadable = idsOf(expected.unreadable ?? []);
      assert.deepEqual(idsOf(catalog.unreadableEntries()), unreadable);
      const readable = catalog
        .allServers()
        .filter(({id}) => !unreadable.includes(id))
        .map(({id, state, startTime, address}) => [
          id,
          state,
          startTime,
          address,
        ]);
      assert.deepEqual(
        readable.sort(),
        expected.servers
          .map(({id, state, startTime, address}) => [
            id,
            state,
            startTime,
            address,
          ])
          .sort(),
      );
      const fresh = createCatalog();
      fresh.applyServers(expected, 0);
      assert.equal(catalog.stamp.serverDigest, fresh.stamp.serverDigest);
    }),
    {seed: 17, numRuns: 1_500},
  );
});

test('different incarnations of a server have different digests', () => {
  const [former, later] = [0, 70].map(startTime => {
    const catalog = createCatalog();
    catalog.applyServers(
      createListing(5, [createEntry('i-1', 5, {startTime})]),
      0,
    );
    return catalog;
  });
  assert.notEqual(former.stamp.serverDigest, later.stamp.serverDigest);
});

test('a restart is reported once, even with an earlier start time, and is included in pulls', () => {
  const holder = createCatalog();
  const puller = createCatalog();
  const first = createListing(5, [createEntry('i-1', 5, {startTime: 90})]);
  [holder, puller].forEach(catalog => catalog.applyServers(first, 0));
  const [reported, pulled] = [holder, puller].map(collectChanges);
  // The clock of the server's host was set back.
  const restartedServer = createEntry('i-1', 8, {
    startTime: 40,
    createdRevision: 5,
  });
  const events = {revision: 8, routes: undefined, removed: [], domains: []};
  holder.applyEvents({...events, written: [restartedServer]}, 1);
  holder.applyEvents({...events, written: [restartedServer]}, 2);
  const {serverRevision, serverDigest} = puller.stamp;
  const held = {...EMPTY_STATE, serverRevision, serverDigest};
  applyUpdate(puller, createUpdate(holder, held, 1), 1);
  [reported, pulled].forEach(changes => {
    const restarted = changes.flatMap(change => change.restarted);
    assert.deepEqual(
      restarted.map(({startTime}) => startTime),
      [40],
    );
  });
  assert.equal(puller.stamp.serverDigest, holder.stamp.serverDigest);
});

test('a late answer does not list a removed server again', () => {
  const catalog = createCatalog();
  const late = createCatalog();
  const servers = [createEntry('i-1', 1), createEntry('i-2', 2)];
  [catalog, late].forEach(each =>
    each.applyServers(createListing(2, servers), 0),
  );
  const draining = createEntry('i-1', 3, {
    state: 'draining',
    createdRevision: 1,
  });
  const none = {routes: undefined, written: [], removed: [], domains: []};
  late.applyEvents({...none, revision: 3, written: [draining]}, 1);
  const held = {...EMPTY_STATE, serverRevision: 2};
  const answer = createUpdate(late, held, 1);
  const removed = [{id: 'i-1', revision: 4}];
  catalog.applyEvents({...none, revision: 4, removed}, 1);
  applyUpdate(catalog, answer, 1);
  assert.deepEqual(idsOf(catalog.allServers()), ['i-2']);
});

test('a server that restarts at another address is no longer superseded at the former one', () => {
  const catalog = createCatalog();
  const former = createEntry('i-1', 1, {address: 7});
  const next = createEntry('i-2', 2, {address: 7, service: 'docs'});
  catalog.applyServers(createListing(2, [former, next]), 0);
  assert.equal(catalog.hasEnded(former), true);
  const elsewhere = {address: 8, startTime: 70, createdRevision: 1};
  const restartedServer = createEntry('i-1', 3, elsewhere);
  catalog.applyServers(createListing(3, [restartedServer, next]), 1);
  assert.equal(catalog.hasEnded(restartedServer), false);
  assert.equal(catalog.hasEnded(next), false);
  assert.deepEqual(idsOf(catalog.openServers('pay', 0)), ['i-1']);
  assert.equal(catalog.serverById('i-1')?.address, 8);
  // A third server at the former address supersedes only the second one.
  const third = createEntry('i-3', 4, {address: 7});
  catalog.applyServers(createListing(4, [restartedServer, next, third]), 2);
  assert.equal(catalog.hasEnded(next), true);
  assert.equal(catalog.hasEnded(restartedServer), false);
});

test('a server that restarts at the address of a newer server supersedes it', () => {
  const first = createEntry('i-1', 1, {address: 7});
  const second = createEntry('i-2', 5, {address: 8});
  const back = {address: 8, startTime: 70, createdRevision: 1};
  const restartedServer = createEntry('i-1', 9, back);
  const seenBoth = createCatalog();
  seenBoth.applyServers(createListing(5, [first, second]), 0);
  const started = createCatalog();
  [seenBoth, started].forEach(catalog => {
    catalog.applyServers(createListing(9, [restartedServer, second]), 1);
    assert.equal(catalog.hasEnded(second), true);
    assert.equal(catalog.hasEnded(restartedServer), false);
  });
});

test('cookies of a server that restarts at another address lead to the new address', () => {
  const catalog = createCatalog();
  const former = createEntry('i-1', 1, {address: 7});
  catalog.applyServers(createListing(1, [former]), 0);
  const [route] = catalog.allRoutes();
  const cookie = catalog.cookieOf(former, route) ?? 0;
  const restartedServer = createEntry('i-1', 3, {address: 8, startTime: 70});
  catalog.applyServers(createListing(3, [restartedServer]), 1);
  assert.equal(catalog.findServerByCookie(cookie, route)?.address, 8);
  // Also when its entry was removed in between.
  catalog.applyServers(createListing(4, []), 2);
  const changes = collectChanges(catalog);
  const third = createEntry('i-1', 5, {address: 9, startTime: 90});
  catalog.applyServers(createListing(5, [third]), 3);
  assert.equal(catalog.findServerByCookie(cookie, route)?.address, 9);
  assert.deepEqual(idsOf(changes.flatMap(change => change.restarted)), ['i-1']);
});

test('a server with an unreadable entry keeps its flows and gets no new ones until it is readable again', () => {
  const catalog = createCatalog();
  const server = createEntry('i-1', 1);
  catalog.applyServers(createListing(1, [server, createEntry('i-2', 1)]), 0);
  const [route] = catalog.allRoutes();
  const cookie = catalog.cookieOf(server, route) ?? 0;
  const changes = collectChanges(catalog);
  catalog.applyServers(createListing(2, [createEntry('i-2', 1)], ['i-1']), 500);
  // Whole reads without its record, for longer than the unannounced shutdown time.
  Array.from({length: 60}, (_read, index) =>
    catalog.applyServers(
      createListing(2, [createEntry('i-2', 1)], ['i-1']),
      1_000 + index * 500,
    ),
  );
  assert.deepEqual(idsOf(catalog.openServers('pay', 0)), ['i-2']);
  assert.equal(catalog.findServerByCookie(cookie, route)?.id, 'i-1');
  assert.equal(catalog.hasEnded(server), false);
  assert.equal(changes.flatMap(({unreadable}) => unreadable).length, 1);
  assert.equal(changes.flatMap(({departed}) => departed).length, 0);
  const again = createEntry('i-1', 3, {createdRevision: 1});
  catalog.applyServers(
    createListing(3, [again, createEntry('i-2', 1)]),
    40_000,
  );
  assert.deepEqual(idsOf(catalog.openServers('pay', 0)), ['i-1', 'i-2']);
  assert.equal(changes.flatMap(({restarted}) => restarted).length, 0);
});

test('an expired server whose entry reappears unreadable does not count as ended', () => {
  const catalog = createCatalog();
  const server = createEntry('i-1', 1);
  catalog.applyServers(createListing(1, [server]), 0);
  catalog.applyServers(createListing(2, []), 500);
  catalog.applyServers(createListing(3, [], ['i-1']), 1_000);
  Array.from({length: 60}, (_read, index) =>
    catalog.confirmAll(1_500 + index * 500),
  );
  assert.equal(catalog.hasEnded(server), false);
  assert.equal(catalog.isListed('i-1'), true);
});

test('a daemon knows the cookie of an entry it never could read and gets its record from a peer', () => {
  const holder = createCatalog();
  const server = createEntry('i-1', 1);
  holder.applyServers(createListing(1, [server]), 0);
  holder.applyServers(createListing(2, [], ['i-1']), 1);
  const [route] = holder.allRoutes();
  const cookie = holder.cookieOf(server, route) ?? 0;
  const started = createCatalog();
  started.applyServers(createListing(2, [], ['i-1']), 0);
  const [same] = started.allRoutes();
  assert.equal(started.findServerByCookie(cookie, same), undefined);
  assert.equal(started.hasCookie(cookie, same), true);
  assert.equal(started.stamp.serverDigest, holder.stamp.serverDigest);
  assert.notEqual(started.unreadableDigest, holder.unreadableDigest);
  applyUpdate(started, createUpdate(holder, EMPTY_STATE, 1), 1);
  assert.equal(
    started.findServerByCookie(cookie, same)?.address,
    server.address,
  );
  assert.deepEqual(started.openServers('pay', 0), []);
  assert.equal(started.unreadableDigest, holder.unreadableDigest);
});

test('the cookie of an entry that was never readable is kept for a flow lifetime after its removal', () => {
  const catalog = createCatalog();
  catalog.applyServers(createListing(1, [], ['i-1']), 0);
  const [route] = catalog.allRoutes();
  const other = createCatalog();
  other.applyServers(createListing(1, [createEntry('i-1', 1)]), 0);
  const cookie = other.cookieOf(createEntry('i-1', 1), route) ?? 0;
  catalog.applyServers(createListing(2, []), 1_000);
  catalog.confirmAll(60_000);
  assert.equal(catalog.hasCookie(cookie, route), true);
  catalog.confirmAll(61_001);
  assert.equal(catalog.hasCookie(cookie, route), false);
});

test('an entry of an undeclared service neither supersedes a server nor redirects flows', () => {
  const catalog = createCatalog();
  const server = createEntry('i-1', 1, {address: 7});
  catalog.applyServers(createListing(1, [server]), 0);
  const [route] = catalog.allRoutes();
  const cookie = catalog.cookieOf(server, route) ?? 0;
  const undeclared = createEntry('i-9', 2, {address: 7, service: 'nobody'});
  catalog.applyServers(createListing(2, [server, undeclared]), 1);
  assert.equal(catalog.hasEnded(server), false);
  const corrupted = createEntry('i-1', 3, {address: 8, service: 'nobody'});
  catalog.applyServers(createListing(3, [corrupted, undeclared]), 2);
  assert.equal(catalog.findServerByCookie(cookie, route)?.address, 7);
  assert.deepEqual(catalog.openServers('pay', 0), []);
  // Once a later version declares the service, its entries take effect.
  const services = ['pay', 'nobody'];
  catalog.applyRoutes({...ROUTES, version: 2, services}, 3);
  assert.equal(catalog.serverById('i-1')?.address, 8);
});

test('a server listed again by the change that ends its grace period is not reported as ended', () => {
  const catalog = createCatalog();
  const drained = createEntry('i-1', 1, {state: 'draining'});
  catalog.applyServers(createListing(1, [drained]), 0);
  catalog.applyServers(createListing(2, []), 100);
  Array.from({length: 5}, (_read, index) =>
    catalog.confirmAll(600 + index * 500),
  );
  const changes = collectChanges(catalog);
  const restartedServer = createEntry('i-1', 3, {startTime: 70});
  catalog.applyServers(createListing(3, [restartedServer]), 3_000);
  assert.deepEqual(
    changes.flatMap(({ended}) => ended),
    [],
  );
  assert.equal(catalog.hasEnded(restartedServer), false);
});

test('ended servers are reported when superseded and after their grace period', () => {
  const catalog = createCatalog();
  const [first, second] = [createEntry('i-1', 1), createEntry('i-2', 1)];
  catalog.applyServers(createListing(1, [first, second]), 0);
  const changes = collectChanges(catalog);
  const endedIds = () => idsOf(changes.flatMap(({ended}) => ended));
  const next = createEntry('i-3', 2, {address: first.address});
  catalog.applyServers(createListing(2, [first, second, next]), 100);
  assert.deepEqual(endedIds(), ['i-1']);
  const drained = createEntry('i-2', 3, {
    state: 'draining',
    createdRevision: 1,
  });
  catalog.applyServers(createListing(3, [drained, next]), 200);
  catalog.applyServers(createListing(4, [next]), 300);
  Array.from({length: 6}, (_read, index) =>
    catalog.confirmAll(800 + index * 500),
  );
  assert.deepEqual(endedIds().slice(-1), ['i-2']);
});
