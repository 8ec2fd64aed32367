import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {applyUpdate, createUpdate} from './catalog-messages.js';
import {Catalog} from './catalog.js';
import type {CatalogServer, DomainChange, ServerState} from './records.js';
import {createRoute} from '../../standins/catalog-records.js';

const hasher = await XxhashHasher.create();

const EMPTY_STATE = {
  asker: 1,
  routeVersion: 0,
  serverRevision: 0,
  serverDigest: 0,
};

function createCatalog(): Catalog {
  return Catalog.create({hasher, flowLifetimeMs: 60_000});
}

function createServer(
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

function openIds(catalog: Catalog): string[] {
  return catalog
    .openServers('pay', catalog.stamp.serversConfirmedAt)
    .map(({id}) => id)
    .sort();
}

test('a listed server has ended once a newer server takes its address', () => {
  const catalog = createCatalog();
  const old = createServer('i-1', 1, {address: 7});
  const next = createServer('i-2', 2, {address: 7, service: 'docs'});
  catalog.applyServers({revision: 1, servers: [old], evacuated: []}, 0);
  assert.equal(catalog.hasEnded(old), false);
  catalog.applyServers({revision: 2, servers: [old, next], evacuated: []}, 500);
  assert.equal(catalog.hasEnded(old), true);
  assert.equal(catalog.hasEnded(next), false);
  assert.deepEqual(openIds(catalog), []);
});

test('an expired server gets no new flows once a newer server takes its address', () => {
  const catalog = createCatalog();
  const servers = [7, 8, 9].map((address, index) =>
    createServer(`i-${index + 1}`, index + 1, {address}),
  );
  catalog.applyServers({revision: 3, servers, evacuated: []}, 0);
  // After a store outage entries may have expired although their servers are alive.
  catalog.recordReadFailure(5_000);
  catalog.applyServers({revision: 5, servers: [], evacuated: []}, 10_000);
  assert.deepEqual(openIds(catalog), ['i-1', 'i-2', 'i-3']);
  const next = createServer('i-4', 6, {address: 7, service: 'docs'});
  catalog.applyEvents(
    {revision: 6, routes: undefined, written: [next], removed: [], domains: []},
    10_200,
  );
  assert.deepEqual(openIds(catalog), ['i-2', 'i-3']);
});

// Few servers missing after an outage were taken for alive although they may have left.
test('servers missing after an outage get new flows only while they outnumber the listed ones', () => {
  const catalog = createCatalog();
  const servers = [1, 2, 3, 4].map(index => createServer(`i-${index}`, index));
  catalog.applyServers({revision: 4, servers, evacuated: []}, 0);
  catalog.recordReadFailure(5_000);
  const [first, second] = servers;
  const after = {revision: 5, servers: [first], evacuated: []};
  catalog.applyServers(after, 10_000);
  assert.deepEqual(openIds(catalog), ['i-1', 'i-2', 'i-3', 'i-4']);
  const written = [{...second, revision: 6}];
  catalog.applyEvents(
    {revision: 6, routes: undefined, written, removed: [], domains: []},
    10_100,
  );
  assert.deepEqual(openIds(catalog), ['i-1', 'i-2']);
});

const EVENTS = fc.array(
  fc.record({
    id: fc.constantFrom('i-1', 'i-2', 'i-3'),
    kind: fc.constantFrom('ready', 'draining', 'removed'),
  }),
  {maxLength: 20},
);

test('duplicate, late and partial events converge to the list in the store', () => {
  fc.assert(
    fc.property(
      EVENTS,
      fc.nat(20),
      fc.nat(20),
      (changes, start, repeatFrom) => {
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
              : [createServerInState(id, last.kind, last.revision)];
          });
        const catalog = createCatalog();
        const from = Math.min(start, events.length);
        catalog.applyServers(
          {revision: from, servers: listed(from), evacuated: []},
          0,
        );
        const feed = (after: number) =>
          catalog.applyEvents(
            {
              revision: events.length,
              routes: undefined,
              written: events
                .slice(after)
                .filter(({kind}) => kind !== 'removed')
                .map(({id, kind, revision}) =>
                  createServerInState(id, kind, revision),
                ),
              removed: events
                .slice(after)
                .filter(({kind}) => kind === 'removed')
                .map(({id, revision}) => ({id, revision})),
              domains: [],
            },
            1,
          );
        feed(Math.min(repeatFrom, from));
        feed(from);
        const expected = listed(events.length).map(({id, state}) => [
          id,
          state,
        ]);
        const held = catalog.allServers().map(({id, state}) => [id, state]);
        assert.deepEqual(held.sort(), expected.sort());
      },
    ),
    {seed: 8, numRuns: 300},
  );
});

function createServerInState(
  id: string,
  kind: string,
  revision: number,
): CatalogServer {
  const state: ServerState = kind === 'draining' ? 'draining' : 'ready';
  return createServer(id, revision, {state, address: Number(id.slice(2))});
}

test('a daemon that pulls from a peer has an equal catalog', () => {
  const holder = createCatalog();
  const route = createRoute('docs', {address: 1, port: 2, repeatable: true});
  holder.applyRoutes({version: 2, routes: [route], coldServices: []}, 1_000);
  const servers = [
    createServer('i-1', 3),
    createServer('i-2', 4, {state: 'draining'}),
  ];
  holder.applyServers({revision: 9, servers, evacuated: []}, 1_500);
  const puller = createCatalog();
  applyUpdate(puller, createUpdate(holder, EMPTY_STATE, 2_000), 7_000);
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
  assert.deepEqual(createUpdate(holder, {...EMPTY_STATE, ...held}, 0), {
    routes: undefined,
    servers: undefined,
    other: 0,
    waitMs: 0,
    sent: undefined,
  });
});

test("a peer's revision is not adopted before its routes are", () => {
  const catalog = createCatalog();
  catalog.applyServers({revision: 5, servers: [], evacuated: []}, 0);
  catalog.applyRoutes({version: 1, routes: [], coldServices: []}, 0);
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

/** Returns the evacuated domains after changes at revisions 1, 2 and so on. */
function evacuatedAfter(changes: readonly DomainChange[]): string[] {
  const states = new Map(
    changes.map(change => [change.failureDomain, change.isEvacuated]),
  );
  return [...states.keys()].filter(name => states.get(name) === true).sort();
}

test('duplicate, late, partial and pulled evacuations converge to those in the store', () => {
  fc.assert(
    fc.property(
      DOMAIN_CHANGES,
      fc.array(fc.tuple(fc.nat(12), fc.nat(12)), {maxLength: 6}),
      fc.boolean(),
      (changes, windows, isFullPull) => {
        const catalog = createCatalog();
        const holder = createCatalog();
        const none = {servers: [], evacuated: []};
        [catalog, holder].forEach(each =>
          each.applyServers({revision: 1, ...none}, 0),
        );
        const feed = (to: Catalog, from: number, upTo: number) =>
          to.applyEvents(
            {
              revision: upTo + 1,
              routes: undefined,
              written: [],
              removed: [],
              domains: changes.slice(from, upTo),
            },
            1,
          );
        // Watches start at a known revision, and some answers arrive late.
        windows.forEach(([from, upTo]) => {
          const held = catalog.stamp.serverRevision - 1;
          feed(catalog, Math.min(from, held), Math.min(upTo, changes.length));
        });
        feed(holder, 0, changes.length);
        const {serverRevision, serverDigest} = catalog.stamp;
        const from = isFullPull ? 0 : serverRevision;
        const held = {...EMPTY_STATE, serverRevision: from, serverDigest};
        applyUpdate(catalog, createUpdate(holder, held, 2), 2);
        const expected = evacuatedAfter(changes);
        assert.deepEqual(catalog.evacuatedDomains().sort(), expected);
        assert.equal(catalog.stamp.serverDigest, holder.stamp.serverDigest);
      },
    ),
    {seed: 21, numRuns: 500},
  );
});

test('catalogs with different evacuations have different digests', () => {
  const [unevacuated, evacuated] = [[], ['a']].map(domains => {
    const catalog = createCatalog();
    const servers = [createServer('i-1', 1)];
    catalog.applyServers({revision: 1, servers, evacuated: domains}, 0);
    return catalog;
  });
  assert.notEqual(unevacuated.stamp.serverDigest, evacuated.stamp.serverDigest);
});

test('an answer sent before a restoration does not evacuate the domain again', () => {
  const holder = createCatalog();
  const late = createCatalog();
  const servers = [createServer('i-1', 1)];
  holder.applyServers({revision: 5, servers, evacuated: []}, 0);
  late.applyServers({revision: 3, servers, evacuated: ['a']}, 0);
  const held = {...EMPTY_STATE, serverRevision: 2};
  applyUpdate(holder, createUpdate(late, held, 1), 1);
  assert.deepEqual(holder.evacuatedDomains(), []);
  assert.deepEqual(openIds(holder), ['i-1']);
});

test('an expired server of an evacuated domain gets no new flows', () => {
  const catalog = createCatalog();
  const inDomain = createServer('i-1', 1, {failureDomain: 'b'});
  const servers = [inDomain, createServer('i-2', 2), createServer('i-3', 3)];
  catalog.applyServers({revision: 3, servers, evacuated: []}, 0);
  // After a store outage entries may have expired although their servers are alive.
  catalog.recordReadFailure(5_000);
  const after = {revision: 5, servers: [], evacuated: ['b']};
  catalog.applyServers(after, 10_000);
  assert.deepEqual(openIds(catalog), ['i-2', 'i-3']);
});

test('a pull after a few changes carries only those and yields the same list', () => {
  const holder = createCatalog();
  const puller = createCatalog();
  const first = Array.from({length: 50}, (_server, index) =>
    createServer(`i-${index}`, index + 1),
  );
  [holder, puller].forEach(catalog =>
    catalog.applyServers({revision: 50, servers: first, evacuated: []}, 0),
  );
  holder.applyEvents(
    {
      revision: 53,
      routes: undefined,
      written: [
        createServer('i-60', 51),
        {...first[7], state: 'draining', revision: 52},
      ],
      removed: [{id: 'i-3', revision: 53}],
      domains: [],
    },
    100,
  );
  const {serverRevision, serverDigest} = puller.stamp;
  const held = {asker: 1, routeVersion: 0, serverRevision, serverDigest};
  const update = createUpdate(holder, held, 200);
  assert.equal(update.servers?.servers.length, 2);
  assert.deepEqual(update.servers?.removed, [{id: 'i-3', revision: 53}]);
  applyUpdate(puller, update, 200);
  assert.equal(puller.stamp.serverDigest, holder.stamp.serverDigest);
  assert.equal(puller.stamp.serverRevision, 53);
  const old = createUpdate(holder, {...held, serverRevision: 49}, 200);
  assert.equal(old.servers?.whole, true);
  assert.equal(old.servers?.servers.length, 50);
});

test('equal servers have equal digests, in whatever order they arrived', () => {
  fc.assert(
    fc.property(EVENTS, changes => {
      const catalog = createCatalog();
      catalog.applyServers({revision: 1, servers: [], evacuated: []}, 0);
      changes.forEach(({id, kind}, index) => {
        const revision = index + 2;
        const isRemoved = kind === 'removed';
        catalog.applyEvents(
          {
            revision,
            routes: undefined,
            written: isRemoved ? [] : [createServerInState(id, kind, revision)],
            removed: isRemoved ? [{id, revision}] : [],
            domains: [],
          },
          revision,
        );
      });
      const copy = createCatalog();
      const servers = catalog.allServers().reverse();
      copy.applyServers({revision: 99, servers, evacuated: []}, 0);
      assert.equal(copy.stamp.serverDigest, catalog.stamp.serverDigest);
    }),
    {seed: 9, numRuns: 300},
  );
});
