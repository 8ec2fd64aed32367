import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {applyUpdate, updateFor} from './catalog-messages.js';
import {Catalog} from './catalog.js';
import type {CatalogServer, DomainChange, ServerState} from './records.js';
import {createRoute} from '../../standins/catalog-records.js';

const hasher = await XxhashHasher.create();

const NOTHING = {
  asker: 1,
  routeVersion: 0,
  serverRevision: 0,
  serverDigest: 0,
};

function createCatalog(): Catalog {
  return Catalog.create({hasher, flowLifetimeMs: 60_000});
}

function serverOf(
  id: string,
  revision: number,
  part: Partial<CatalogServer> = {},
): CatalogServer {
  return {
    id,
    service: 'pay',
    address: revision,
    port: 80,
    failureDomain: 'a',
    slots: 2,
    state: 'ready',
    coldUntil: 0,
    createdRevision: revision,
    revision,
    startTime: 0,
    ...part,
  };
}

/** Time of reads without a gap after which a daemon knows every entry of late. */
const STEADY_MS = 21_000;

/** Has reads without news confirm the catalog, from 0 on. */
function readFor(catalog: Catalog, lastsMs: number): void {
  Array.from({length: lastsMs / 1_000}, (_read, index) =>
    catalog.confirmAll(index * 1_000),
  );
}

function openIds(catalog: Catalog): string[] {
  return catalog
    .openServers('pay')
    .map(({id}) => id)
    .sort();
}

test('a later server at the address of a listed one is proof that that one ended', () => {
  const catalog = createCatalog();
  readFor(catalog, STEADY_MS);
  const old = serverOf('i-1', 1, {address: 7});
  const next = serverOf('i-2', 2, {address: 7, service: 'docs'});
  const at = STEADY_MS;
  catalog.takeServers({revision: 1, servers: [old], evacuated: []}, at);
  assert.equal(catalog.isGone(old), false);
  const both = {revision: 2, servers: [old, next], evacuated: []};
  catalog.takeServers(both, at + 500);
  assert.equal(catalog.isGone(old), true);
  assert.equal(catalog.isGone(next), false);
  assert.deepEqual(openIds(catalog), []);
});

test('a lapsed server whose address a later server takes gets no openings any more', () => {
  const catalog = createCatalog();
  const lapsed = serverOf('i-1', 1, {address: 7});
  const other = serverOf('i-2', 2, {address: 8});
  catalog.takeServers(
    {revision: 2, servers: [lapsed, other], evacuated: []},
    0,
  );
  // The store was away: the entry may have lapsed although its server lives.
  catalog.takeServers({revision: 5, servers: [other], evacuated: []}, 10_000);
  assert.deepEqual(openIds(catalog), ['i-1', 'i-2']);
  const next = serverOf('i-3', 6, {address: 7, service: 'docs'});
  catalog.takeEvents(
    {revision: 6, routes: undefined, written: [next], removed: [], domains: []},
    10_200,
  );
  assert.deepEqual(openIds(catalog), ['i-2']);
});

const EVENTS = fc.array(
  fc.record({
    id: fc.constantFrom('i-1', 'i-2', 'i-3'),
    kind: fc.constantFrom('ready', 'draining', 'removed'),
  }),
  {maxLength: 20},
);

test('events taken twice, late or in part lead to the list that the store holds', () => {
  fc.assert(
    fc.property(EVENTS, fc.nat(20), fc.nat(20), (changes, start, again) => {
      const events = changes.map(({id, kind}, index) => ({
        id,
        kind,
        revision: index + 1,
      }));
      const listed = (upTo: number) =>
        [...new Set(events.slice(0, upTo).map(({id}) => id))].flatMap(id => {
          const last = events
            .slice(0, upTo)
            .filter(event => event.id === id)
            .pop();
          return last === undefined || last.kind === 'removed'
            ? []
            : [stateOf(id, last.kind, last.revision)];
        });
      const catalog = createCatalog();
      const from = Math.min(start, events.length);
      catalog.takeServers(
        {revision: from, servers: listed(from), evacuated: []},
        0,
      );
      const feed = (after: number) =>
        catalog.takeEvents(
          {
            revision: events.length,
            routes: undefined,
            written: events
              .slice(after)
              .filter(({kind}) => kind !== 'removed')
              .map(({id, kind, revision}) => stateOf(id, kind, revision)),
            removed: events
              .slice(after)
              .filter(({kind}) => kind === 'removed')
              .map(({id, revision}) => ({id, revision})),
            domains: [],
          },
          1,
        );
      feed(Math.min(again, from));
      feed(from);
      const expected = listed(events.length).map(({id, state}) => [id, state]);
      const held = catalog.allServers().map(({id, state}) => [id, state]);
      assert.deepEqual(held.sort(), expected.sort());
    }),
    {seed: 8, numRuns: 300},
  );
});

function stateOf(id: string, kind: string, revision: number): CatalogServer {
  const state: ServerState = kind === 'draining' ? 'draining' : 'ready';
  return serverOf(id, revision, {state, address: Number(id.slice(2))});
}

test('a peer that pulls holds the same', () => {
  const holder = createCatalog();
  const route = createRoute('docs', {address: 1, port: 2, repeatable: true});
  holder.takeRoutes({version: 2, routes: [route], coldServices: []}, 1_000);
  const servers = [serverOf('i-1', 3), serverOf('i-2', 4, {state: 'draining'})];
  holder.takeServers({revision: 9, servers, evacuated: []}, 1_500);
  const puller = createCatalog();
  applyUpdate(puller, updateFor(holder, NOTHING, 2_000), 7_000);
  const {routesConfirmedAt, serversConfirmedAt, ...held} = puller.stamp;
  const {stamp} = holder;
  assert.deepEqual(held, {
    routeVersion: 2,
    serverRevision: 9,
    serverDigest: stamp.serverDigest,
  });
  assert.equal(routesConfirmedAt, 6_000);
  assert.equal(serversConfirmedAt, 6_500);
  const [pulled] = puller.allRoutes();
  assert.deepEqual([...pulled.allowedServices], ['docs']);
  assert.deepEqual(updateFor(holder, {...NOTHING, ...held}, 0), {
    routes: undefined,
    servers: undefined,
    other: 0,
    waitMs: 0,
  });
});

test("a peer's revision is not taken before its routes are", () => {
  const catalog = createCatalog();
  catalog.takeServers({revision: 5, servers: [], evacuated: []}, 0);
  catalog.takeRoutes({version: 1, routes: [], coldServices: []}, 0);
  const digest = catalog.stamp.serverDigest;
  catalog.confirmServers({revision: 9, digest, routeVersion: 2}, 100);
  assert.equal(catalog.stamp.serverRevision, 5);
  catalog.confirmServers({revision: 9, digest, routeVersion: 1}, 100);
  assert.equal(catalog.stamp.serverRevision, 9);
});

const DOMAIN_CHANGES = fc.array(
  fc.record({
    failureDomain: fc.constantFrom('a', 'b', 'c'),
    isEvacuated: fc.boolean(),
  }),
  {maxLength: 12},
);

/** Evacuated domains after some changes, of revisions 1, 2 and so on. */
function evacuatedAfter(changes: readonly DomainChange[]): string[] {
  const states = new Map(
    changes.map(change => [change.failureDomain, change.isEvacuated]),
  );
  return [...states.keys()].filter(name => states.get(name) === true).sort();
}

test('evacuations taken twice, late, in part or from a peer lead to those of the store', () => {
  fc.assert(
    fc.property(
      DOMAIN_CHANGES,
      fc.array(fc.tuple(fc.nat(12), fc.nat(12)), {maxLength: 6}),
      fc.boolean(),
      (changes, windows, isWhole) => {
        const catalog = createCatalog();
        const holder = createCatalog();
        const none = {servers: [], evacuated: []};
        [catalog, holder].forEach(each =>
          each.takeServers({revision: 1, ...none}, 0),
        );
        const feed = (to: Catalog, from: number, upTo: number) =>
          to.takeEvents(
            {
              revision: upTo + 1,
              routes: undefined,
              written: [],
              removed: [],
              domains: changes.slice(from, upTo),
            },
            1,
          );
        // Waits begin at a revision that is held, and some answers come late.
        windows.forEach(([from, upTo]) => {
          const held = catalog.stamp.serverRevision - 1;
          feed(catalog, Math.min(from, held), Math.min(upTo, changes.length));
        });
        feed(holder, 0, changes.length);
        const {serverRevision, serverDigest} = catalog.stamp;
        const from = isWhole ? 0 : serverRevision;
        const held = {...NOTHING, serverRevision: from, serverDigest};
        applyUpdate(catalog, updateFor(holder, held, 2), 2);
        const expected = evacuatedAfter(changes);
        assert.deepEqual(catalog.evacuatedDomains().sort(), expected);
        assert.equal(catalog.stamp.serverDigest, holder.stamp.serverDigest);
      },
    ),
    {seed: 21, numRuns: 500},
  );
});

test('catalogs with other evacuations have other digests, so that one pulls', () => {
  const [calm, evacuated] = [[], ['a']].map(domains => {
    const catalog = createCatalog();
    const servers = [serverOf('i-1', 1)];
    catalog.takeServers({revision: 1, servers, evacuated: domains}, 0);
    return catalog;
  });
  assert.notEqual(calm.stamp.serverDigest, evacuated.stamp.serverDigest);
});

test('an answer that was sent before a restoration does not evacuate again', () => {
  const holder = createCatalog();
  const late = createCatalog();
  const servers = [serverOf('i-1', 1)];
  holder.takeServers({revision: 5, servers, evacuated: []}, 0);
  late.takeServers({revision: 3, servers, evacuated: ['a']}, 0);
  const held = {...NOTHING, serverRevision: 2};
  applyUpdate(holder, updateFor(late, held, 1), 1);
  assert.deepEqual(holder.evacuatedDomains(), []);
  assert.deepEqual(openIds(holder), ['i-1']);
});

test('a lapsed server of an evacuated domain gets no openings', () => {
  const catalog = createCatalog();
  const lapsed = serverOf('i-1', 1, {failureDomain: 'b'});
  const other = serverOf('i-2', 2);
  const servers = [lapsed, other];
  catalog.takeServers({revision: 2, servers, evacuated: []}, 0);
  // The store was away: the entry may have lapsed although its server lives.
  const after = {revision: 5, servers: [other], evacuated: ['b']};
  catalog.takeServers(after, 10_000);
  assert.deepEqual(openIds(catalog), ['i-2']);
});

test('a pull after one change carries that change alone, and leads to the same list', () => {
  const holder = createCatalog();
  const puller = createCatalog();
  const first = Array.from({length: 50}, (_server, index) =>
    serverOf(`i-${index}`, index + 1),
  );
  [holder, puller].forEach(catalog =>
    catalog.takeServers({revision: 50, servers: first, evacuated: []}, 0),
  );
  holder.takeEvents(
    {
      revision: 53,
      routes: undefined,
      written: [
        serverOf('i-60', 51),
        {...first[7], state: 'draining', revision: 52},
      ],
      removed: [{id: 'i-3', revision: 53}],
      domains: [],
    },
    100,
  );
  const {serverRevision, serverDigest} = puller.stamp;
  const held = {asker: 1, routeVersion: 0, serverRevision, serverDigest};
  const update = updateFor(holder, held, 200);
  assert.equal(update.servers?.servers.length, 2);
  assert.deepEqual(update.servers?.removed, [{id: 'i-3', revision: 53}]);
  applyUpdate(puller, update, 200);
  assert.equal(puller.stamp.serverDigest, holder.stamp.serverDigest);
  assert.equal(puller.stamp.serverRevision, 53);
  const old = updateFor(holder, {...held, serverRevision: 49}, 200);
  assert.equal(old.servers?.whole, true);
  assert.equal(old.servers?.servers.length, 50);
});

test('digests are the same for the same servers, however they came', () => {
  fc.assert(
    fc.property(EVENTS, changes => {
      const catalog = createCatalog();
      catalog.takeServers({revision: 1, servers: [], evacuated: []}, 0);
      changes.forEach(({id, kind}, index) => {
        const revision = index + 2;
        const isRemoved = kind === 'removed';
        catalog.takeEvents(
          {
            revision,
            routes: undefined,
            written: isRemoved ? [] : [stateOf(id, kind, revision)],
            removed: isRemoved ? [{id, revision}] : [],
            domains: [],
          },
          revision,
        );
      });
      const copy = createCatalog();
      const servers = catalog.allServers().reverse();
      copy.takeServers({revision: 99, servers, evacuated: []}, 0);
      assert.equal(copy.stamp.serverDigest, catalog.stamp.serverDigest);
    }),
    {seed: 9, numRuns: 300},
  );
});
