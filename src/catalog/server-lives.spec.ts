/**
 * Servers that start again under their id, and entries that cannot be read, in whatever
 * order a daemon hears of them.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ScriptXxhashHasher} from '../adapters/script-xxhash-hasher.js';
import {createServer} from '../../standins/catalog-records.js';
import {applyUpdate, updateFor} from './catalog-messages.js';
import {Catalog, type CatalogChange} from './catalog.js';
import type {
  CatalogServer,
  RouteListing,
  ServerListing,
  ServerState,
} from './records.js';

const hasher = ScriptXxhashHasher.create();
const NOBODY = {asker: 1, routeVersion: 0, serverRevision: 0, serverDigest: 0};
/** The only route, of the only service that the versions name. */
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
  catalog.takeRoutes(ROUTES, 0);
  return catalog;
}

/** Time of reads without a gap after which a daemon knows every entry of late. */
const STEADY_MS = 21_000;

/** A catalog that reads confirmed for so long; times in its tests count from then. */
function createSteadyCatalog(): Catalog {
  const catalog = createCatalog();
  Array.from({length: STEADY_MS / 1_000 + 1}, (_read, index) =>
    catalog.confirmAll(index * 1_000 - STEADY_MS),
  );
  return catalog;
}

/** A server's entry as of a revision. */
function entryOf(
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

function listOf(
  revision: number,
  servers: readonly CatalogServer[],
  spoiled: readonly string[] = [],
): ServerListing {
  const unreadable = spoiled.map(id => ({id, revision, cause: 'noise'}));
  return {revision, servers, unreadable, evacuated: []};
}

/** What the catalog tells from now on. */
function changesOf(catalog: Catalog): CatalogChange[] {
  const changes: CatalogChange[] = [];
  catalog.onChange(change => changes.push(change));
  return changes;
}

function idsOf(servers: ReadonlyArray<{id: string}>): string[] {
  return servers.map(({id}) => id).sort();
}

/** What was written to the store at each revision, from 1 on. */
interface Written {
  readonly id: string;
  readonly kind: 'ready' | 'draining' | 'spoiled' | 'removed';
  readonly startTime: number;
  readonly address: number;
}

const HISTORY = fc.array(
  fc.record<Written>({
    id: fc.constantFrom('i-1', 'i-2', 'i-3'),
    kind: fc.constantFrom('ready', 'draining', 'spoiled', 'removed'),
    startTime: fc.constantFrom(0, 70, 30),
    address: fc.integer({min: 1, max: 4}),
  }),
  {minLength: 1, maxLength: 14},
);

/** The newest thing written under each id up to a revision, with its revision. */
function stateAt(history: readonly Written[], upTo: number) {
  const newest = new Map<string, Written & {revision: number}>();
  history
    .slice(0, upTo)
    .forEach((written, index) =>
      newest.set(written.id, {...written, revision: index + 1}),
    );
  return [...newest.values()].filter(({kind}) => kind !== 'removed');
}

function serverOf({
  id,
  kind,
  startTime,
  address,
  revision,
}: Written & {
  revision: number;
}): CatalogServer {
  const state = kind as ServerState;
  return entryOf(id, revision, {state, startTime, address});
}

function listingAt(history: readonly Written[], upTo: number): ServerListing {
  const entries = stateAt(history, upTo);
  const spoiled = entries.filter(({kind}) => kind === 'spoiled');
  return {
    revision: upTo,
    servers: entries.filter(({kind}) => kind !== 'spoiled').map(serverOf),
    unreadable: spoiled.map(({id, revision}) => ({id, revision, cause: 'x'})),
    evacuated: [],
  };
}

function feedEvents(
  catalog: Catalog,
  history: readonly Written[],
  from: number,
  upTo: number,
): void {
  const events = history
    .map((written, index) => ({...written, revision: index + 1}))
    .slice(from, upTo);
  const of = (kinds: ReadonlyArray<Written['kind']>) =>
    events.filter(({kind}) => kinds.includes(kind));
  catalog.takeEvents(
    {
      revision: upTo,
      routes: undefined,
      written: of(['ready', 'draining']).map(serverOf),
      unreadable: of(['spoiled']).map(({id, revision}) => ({
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

const ARRIVALS = fc.array(
  fc.record({
    way: fc.constantFrom('events', 'whole', 'pull', 'pull-whole'),
    from: fc.nat(14),
    upTo: fc.integer({min: 1, max: 14}),
  }),
  {maxLength: 10},
);

/** Which life of each id is held, and by which revision of its entry. */
function livesOf(catalog: Catalog): Map<string, CatalogServer> {
  return new Map(catalog.allServers().map(server => [server.id, server]));
}

test('in any order of arrival a former life never replaces a later one, and all lead to the same', () => {
  fc.assert(
    fc.property(HISTORY, ARRIVALS, (history, arrivals) => {
      const end = history.length;
      const catalog = createCatalog();
      catalog.takeServers(listingAt(history, 1), 0);
      arrivals.forEach(({way, from, upTo}) => {
        const at = Math.min(upTo, end);
        const before = livesOf(catalog);
        const held = catalog.stamp;
        if (way === 'events') {
          // Waits begin at a revision that was held, and some answers come late.
          const since = Math.min(from, at, held.serverRevision);
          feedEvents(catalog, history, since, at);
        } else if (way === 'whole') {
          catalog.takeServers(listingAt(history, at), 1);
        } else {
          const peer = createCatalog();
          peer.takeServers(listingAt(history, at), 0);
          feedEvents(peer, history, at, Math.min(end, at + 3));
          const asked = {
            ...NOBODY,
            serverRevision: way === 'pull' ? held.serverRevision : 0,
          };
          applyUpdate(catalog, updateFor(peer, asked, 1), 1);
        }
        livesOf(catalog).forEach(({id, revision}) => {
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
      fresh.takeServers(expected, 0);
      assert.equal(catalog.stamp.serverDigest, fresh.stamp.serverDigest);
    }),
    {seed: 17, numRuns: 1_500},
  );
});

test('daemons with equal stamps hold the same life', () => {
  const [former, later] = [0, 70].map(startTime => {
    const catalog = createCatalog();
    catalog.takeServers(listOf(5, [entryOf('i-1', 5, {startTime})]), 0);
    return catalog;
  });
  assert.notEqual(former.stamp.serverDigest, later.stamp.serverDigest);
});

test('a new life is told once, under an earlier time of start too, and goes along with pulls', () => {
  const holder = createCatalog();
  const puller = createCatalog();
  const first = listOf(5, [entryOf('i-1', 5, {startTime: 90})]);
  [holder, puller].forEach(catalog => catalog.takeServers(first, 0));
  const [told, pulled] = [holder, puller].map(changesOf);
  // The clock of its host went back meanwhile.
  const reborn = entryOf('i-1', 8, {startTime: 40, createdRevision: 5});
  const events = {revision: 8, routes: undefined, removed: [], domains: []};
  holder.takeEvents({...events, written: [reborn]}, 1);
  holder.takeEvents({...events, written: [reborn]}, 2);
  const {serverRevision, serverDigest} = puller.stamp;
  const held = {...NOBODY, serverRevision, serverDigest};
  applyUpdate(puller, updateFor(holder, held, 1), 1);
  [told, pulled].forEach(changes => {
    const restarted = changes.flatMap(change => change.restarted);
    assert.deepEqual(
      restarted.map(({startTime}) => startTime),
      [40],
    );
  });
  assert.equal(puller.stamp.serverDigest, holder.stamp.serverDigest);
});

test('a late answer does not list a server again whose removal is known', () => {
  const catalog = createCatalog();
  const late = createCatalog();
  const servers = [entryOf('i-1', 1), entryOf('i-2', 2)];
  [catalog, late].forEach(each => each.takeServers(listOf(2, servers), 0));
  const draining = entryOf('i-1', 3, {state: 'draining', createdRevision: 1});
  const none = {routes: undefined, written: [], removed: [], domains: []};
  late.takeEvents({...none, revision: 3, written: [draining]}, 1);
  const held = {...NOBODY, serverRevision: 2};
  const answer = updateFor(late, held, 1);
  const removed = [{id: 'i-1', revision: 4}];
  catalog.takeEvents({...none, revision: 4, removed}, 1);
  applyUpdate(catalog, answer, 1);
  assert.deepEqual(idsOf(catalog.allServers()), ['i-2']);
});

test('a server that starts again elsewhere leaves its address, and is not succeeded any more', () => {
  const catalog = createSteadyCatalog();
  const former = entryOf('i-1', 1, {address: 7});
  const next = entryOf('i-2', 2, {address: 7, service: 'docs'});
  catalog.takeServers(listOf(2, [former, next]), 0);
  assert.equal(catalog.isGone(former), true);
  const elsewhere = {address: 8, startTime: 70, createdRevision: 1};
  const reborn = entryOf('i-1', 3, elsewhere);
  catalog.takeServers(listOf(3, [reborn, next]), 1);
  assert.equal(catalog.isGone(reborn), false);
  assert.equal(catalog.isGone(next), false);
  assert.deepEqual(idsOf(catalog.openServers('pay')), ['i-1']);
  assert.equal(catalog.serverById('i-1')?.address, 8);
  // Whoever comes to the address that it left ends nobody else.
  const third = entryOf('i-3', 4, {address: 7});
  catalog.takeServers(listOf(4, [reborn, next, third]), 2);
  assert.equal(catalog.isGone(next), true);
  assert.equal(catalog.isGone(reborn), false);
});

test('a server that starts again at the address of a later one has ended that one', () => {
  const first = entryOf('i-1', 1, {address: 7});
  const second = entryOf('i-2', 5, {address: 8});
  const back = {address: 8, startTime: 70, createdRevision: 1};
  const reborn = entryOf('i-1', 9, back);
  const seenBoth = createSteadyCatalog();
  seenBoth.takeServers(listOf(5, [first, second]), 0);
  const started = createSteadyCatalog();
  [seenBoth, started].forEach(catalog => {
    catalog.takeServers(listOf(9, [reborn, second]), 1);
    assert.equal(catalog.isGone(second), true);
    assert.equal(catalog.isGone(reborn), false);
  });
});

test('cookies of a server that starts again elsewhere lead to where it is', () => {
  const catalog = createCatalog();
  const former = entryOf('i-1', 1, {address: 7});
  catalog.takeServers(listOf(1, [former]), 0);
  const [route] = catalog.allRoutes();
  const cookie = catalog.cookieOf(former, route) ?? 0;
  const reborn = entryOf('i-1', 3, {address: 8, startTime: 70});
  catalog.takeServers(listOf(3, [reborn]), 1);
  assert.equal(catalog.serverOf(cookie, route)?.address, 8);
  // Also when its entry had gone in between.
  catalog.takeServers(listOf(4, []), 2);
  const changes = changesOf(catalog);
  const third = entryOf('i-1', 5, {address: 9, startTime: 90});
  catalog.takeServers(listOf(5, [third]), 3);
  assert.equal(catalog.serverOf(cookie, route)?.address, 9);
  assert.deepEqual(idsOf(changes.flatMap(change => change.restarted)), ['i-1']);
});

test('a server whose entry cannot be read keeps its flows and gets no new ones, until it can', () => {
  const catalog = createCatalog();
  const server = entryOf('i-1', 1);
  catalog.takeServers(listOf(1, [server, entryOf('i-2', 1)]), 0);
  const [route] = catalog.allRoutes();
  const cookie = catalog.cookieOf(server, route) ?? 0;
  const changes = changesOf(catalog);
  catalog.takeServers(listOf(2, [entryOf('i-2', 1)], ['i-1']), 500);
  // A whole read without a record of it, for longer than servers serve on unlisted.
  Array.from({length: 60}, (_read, index) =>
    catalog.takeServers(
      listOf(2, [entryOf('i-2', 1)], ['i-1']),
      1_000 + index * 500,
    ),
  );
  assert.deepEqual(idsOf(catalog.openServers('pay')), ['i-2']);
  assert.equal(catalog.serverOf(cookie, route)?.id, 'i-1');
  assert.equal(catalog.isGone(server), false);
  assert.equal(changes.flatMap(({unreadable}) => unreadable).length, 1);
  assert.equal(changes.flatMap(({departed}) => departed).length, 0);
  const again = entryOf('i-1', 3, {createdRevision: 1});
  catalog.takeServers(listOf(3, [again, entryOf('i-2', 1)]), 40_000);
  assert.deepEqual(idsOf(catalog.openServers('pay')), ['i-1', 'i-2']);
  assert.equal(changes.flatMap(({restarted}) => restarted).length, 0);
});

test('a server that may have lapsed and comes back unreadable is not taken for gone', () => {
  const catalog = createCatalog();
  const server = entryOf('i-1', 1);
  catalog.takeServers(listOf(1, [server]), 0);
  catalog.takeServers(listOf(2, []), 500);
  catalog.takeServers(listOf(3, [], ['i-1']), 1_000);
  Array.from({length: 60}, (_read, index) =>
    catalog.confirmAll(1_500 + index * 500),
  );
  assert.equal(catalog.isGone(server), false);
  assert.equal(catalog.isListed('i-1'), true);
});

test('a daemon that never read an entry knows its cookie, and a peer tells what it was', () => {
  const holder = createCatalog();
  const server = entryOf('i-1', 1);
  holder.takeServers(listOf(1, [server]), 0);
  holder.takeServers(listOf(2, [], ['i-1']), 1);
  const [route] = holder.allRoutes();
  const cookie = holder.cookieOf(server, route) ?? 0;
  const started = createSteadyCatalog();
  started.takeServers(listOf(2, [], ['i-1']), 0);
  const [same] = started.allRoutes();
  assert.equal(started.serverOf(cookie, same), undefined);
  assert.equal(started.hasCookie(cookie, same), true);
  assert.equal(started.stamp.serverDigest, holder.stamp.serverDigest);
  assert.notEqual(started.unreadableDigest, holder.unreadableDigest);
  applyUpdate(started, updateFor(holder, NOBODY, 1), 1);
  assert.equal(started.serverOf(cookie, same)?.address, server.address);
  assert.deepEqual(started.openServers('pay'), []);
  assert.equal(started.unreadableDigest, holder.unreadableDigest);
});

test("the cookie of an entry that was never read is known for a flow's life after it went", () => {
  const catalog = createCatalog();
  catalog.takeServers(listOf(1, [], ['i-1']), 0);
  const [route] = catalog.allRoutes();
  const other = createCatalog();
  other.takeServers(listOf(1, [entryOf('i-1', 1)]), 0);
  const cookie = other.cookieOf(entryOf('i-1', 1), route) ?? 0;
  catalog.takeServers(listOf(2, []), 1_000);
  catalog.confirmAll(60_000);
  assert.equal(catalog.hasCookie(cookie, route), true);
  catalog.confirmAll(61_001);
  assert.equal(catalog.hasCookie(cookie, route), false);
});

test('an entry of a service that no version names ends nobody, and moves no flow', () => {
  const catalog = createCatalog();
  const server = entryOf('i-1', 1, {address: 7});
  catalog.takeServers(listOf(1, [server]), 0);
  const [route] = catalog.allRoutes();
  const cookie = catalog.cookieOf(server, route) ?? 0;
  const stranger = entryOf('i-9', 2, {address: 7, service: 'nobody'});
  catalog.takeServers(listOf(2, [server, stranger]), 1);
  assert.equal(catalog.isGone(server), false);
  const spoiled = entryOf('i-1', 3, {address: 8, service: 'nobody'});
  catalog.takeServers(listOf(3, [spoiled, stranger]), 2);
  assert.equal(catalog.serverOf(cookie, route)?.address, 7);
  assert.deepEqual(catalog.openServers('pay'), []);
  // A later version names the service: the stranger has its address after all.
  const services = ['pay', 'nobody'];
  catalog.takeRoutes({...ROUTES, version: 2, services}, 3);
  assert.equal(catalog.serverById('i-1')?.address, 8);
});

test('no end is told of a server that is back by the change that comes after its grace', () => {
  const catalog = createCatalog();
  const drained = entryOf('i-1', 1, {state: 'draining'});
  catalog.takeServers(listOf(1, [drained]), 0);
  catalog.takeServers(listOf(2, []), 100);
  Array.from({length: 5}, (_read, index) =>
    catalog.confirmAll(600 + index * 500),
  );
  const changes = changesOf(catalog);
  const reborn = entryOf('i-1', 3, {startTime: 70});
  catalog.takeServers(listOf(3, [reborn]), 3_000);
  assert.deepEqual(
    changes.flatMap(({ended}) => ended),
    [],
  );
  assert.equal(catalog.isGone(reborn), false);
});

test('ends are told once they are certain: by a later server, and by time', () => {
  const catalog = createSteadyCatalog();
  const [first, second] = [entryOf('i-1', 1), entryOf('i-2', 1)];
  catalog.takeServers(listOf(1, [first, second]), 0);
  const changes = changesOf(catalog);
  const endedOf = () => idsOf(changes.flatMap(({ended}) => ended));
  const next = entryOf('i-3', 2, {address: first.address});
  catalog.takeServers(listOf(2, [first, second, next]), 100);
  assert.deepEqual(endedOf(), ['i-1']);
  const drained = entryOf('i-2', 3, {state: 'draining', createdRevision: 1});
  catalog.takeServers(listOf(3, [drained, next]), 200);
  catalog.takeServers(listOf(4, [next]), 300);
  Array.from({length: 6}, (_read, index) =>
    catalog.confirmAll(800 + index * 500),
  );
  assert.deepEqual(endedOf().slice(-1), ['i-2']);
});

/** A run of a server that ended, the next one there, and a late write of the former. */
const ENDED = entryOf('i-1', 1, {address: 7});
const NEXT = entryOf('i-2', 5, {address: 7});
const WRITTEN_LATE = entryOf('i-1', 6, {address: 7});

test('an entry that is written late, after the next server at its address, ends nobody', () => {
  const catalog = createSteadyCatalog();
  catalog.takeServers(listOf(1, [ENDED]), 0);
  catalog.takeServers(listOf(2, []), 500);
  catalog.takeServers(listOf(5, [NEXT]), 1_000);
  assert.equal(catalog.isGone(ENDED), true);
  catalog.takeServers(listOf(6, [NEXT, WRITTEN_LATE]), 1_500);
  assert.equal(catalog.isGone(NEXT), false);
  assert.equal(catalog.isGone(WRITTEN_LATE), true);
  assert.deepEqual(idsOf(catalog.openServers('pay')), ['i-2']);
  catalog.takeServers(listOf(7, [NEXT]), 5_000);
  assert.equal(catalog.isGone(NEXT), false);
  assert.deepEqual(idsOf(catalog.openServers('pay')), ['i-2']);
});

test('a daemon that may not have known an entry before takes neither for ended, until one goes', () => {
  const catalog = createCatalog();
  catalog.takeServers(listOf(5, [NEXT]), 0);
  catalog.takeServers(listOf(6, [NEXT, WRITTEN_LATE]), 1_000);
  assert.equal(catalog.isGone(NEXT), false);
  assert.equal(catalog.isGone(WRITTEN_LATE), false);
  // It opens flows at one of the two alone.
  assert.deepEqual(idsOf(catalog.openServers('pay')), ['i-1']);
  catalog.takeServers(listOf(7, [NEXT]), 4_000);
  assert.equal(catalog.isGone(NEXT), false);
  assert.deepEqual(idsOf(catalog.openServers('pay')), ['i-2']);
});

test('a daemon that has just started is sure of an end once the entry has gone', () => {
  const catalog = createCatalog();
  const changes = changesOf(catalog);
  catalog.takeServers(listOf(5, [ENDED, NEXT]), 0);
  assert.equal(catalog.isGone(ENDED), false);
  assert.deepEqual(idsOf(catalog.openServers('pay')), ['i-2']);
  catalog.confirmAll(1_000);
  catalog.confirmAll(2_500);
  catalog.takeServers(listOf(6, [NEXT]), 3_000);
  assert.equal(catalog.isGone(ENDED), true);
  assert.deepEqual(idsOf(changes.flatMap(({ended}) => ended)), ['i-1']);
});

test('a server that lapsed and is back has not come to its address again', () => {
  const catalog = createSteadyCatalog();
  catalog.takeServers(listOf(1, [ENDED]), 0);
  catalog.takeServers(listOf(5, [ENDED, NEXT]), 500);
  // The store was away; the dead server's last write is done after the living one's.
  catalog.takeServers(listOf(6, []), 10_000);
  catalog.takeServers(listOf(8, [entryOf('i-2', 8, {address: 7})]), 11_000);
  catalog.takeServers(
    listOf(9, [
      entryOf('i-2', 8, {address: 7}),
      entryOf('i-1', 9, {address: 7}),
    ]),
    12_000,
  );
  assert.equal(catalog.isGone(NEXT), false);
  assert.deepEqual(idsOf(catalog.openServers('pay')), ['i-2']);
});
