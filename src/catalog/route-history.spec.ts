import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {CatalogUpdate} from '../generated/catalog.js';
import {createRoute} from '../../standins/catalog-records.js';
import {applyUpdate, createUpdate} from './catalog-messages.js';
import {Catalog} from './catalog.js';
import type {CatalogRoute} from './records.js';
import {areEqualRoutes} from './route-history.js';

const hasher = await XxhashHasher.create();
const NOW = 10_000;
const ROUTE: CatalogRoute = {
  address: 1,
  port: 443,
  shares: [{service: 'pay', weight: 1}],
  repeatable: false,
  regions: [],
  priority: 0,
  targetMs: 100,
  limitMs: 1_000,
};
/** Another value of each field that no destination is named by. */
const OTHER_VALUES: Omit<CatalogRoute, 'address' | 'port'> = {
  shares: [{service: 'docs', weight: 1}],
  repeatable: true,
  regions: ['a'],
  priority: 1,
  targetMs: Infinity,
  limitMs: Infinity,
};

function createCatalog(): Catalog {
  return Catalog.create({hasher, flowLifetimeMs: 60_000});
}

/** Brings one catalog up to date from another; returns how many routes were sent. */
function pull(to: Catalog, from: Catalog): number {
  const {routeVersion, serverRevision, serverDigest} = to.stamp;
  const held = {asker: 1, routeVersion, serverRevision, serverDigest};
  const update = createUpdate(from, {...held, takesRouteChanges: true}, NOW);
  const bytes = CatalogUpdate.encode(update).finish();
  applyUpdate(to, CatalogUpdate.decode(bytes), NOW);
  return update.routes?.routes.length ?? 0;
}

function sortedRoutes(catalog: Catalog): CatalogRoute[] {
  return catalog
    .allRoutes()
    .map(({address, port, shares, limitMs}) =>
      createRoute('', {address, port, shares, limitMs}),
    )
    .sort((a, b) => a.address - b.address);
}

// Guards against daemons that miss a changed or removed route.
test('daemons that pull changes at any versions hold the routes of the newest one', () => {
  const routes = fc.uniqueArray(
    fc.record({address: fc.integer({min: 1, max: 12}), limit: fc.nat(3)}),
    {selector: ({address}) => address, minLength: 1},
  );
  const step = fc.record({routes, pulls: fc.subarray([0, 1, 2])});
  fc.assert(
    fc.property(fc.array(step, {minLength: 1, maxLength: 100}), steps => {
      const holder = createCatalog();
      const pullers = [0, 1, 2].map(createCatalog);
      steps.forEach(({routes: listed, pulls}, index) => {
        const version = index + 1;
        const all = listed.map(({address, limit}) =>
          createRoute('pay', {address, port: 443, limitMs: 1_000 + limit}),
        );
        holder.applyRoutes({version, routes: all, coldServices: []}, NOW);
        // The third puller pulls from the second one, the others from the holder.
        pulls.forEach(puller =>
          pull(pullers[puller], puller === 2 ? pullers[1] : holder),
        );
      });
      pullers.slice(0, 2).forEach(puller => pull(puller, holder));
      pull(pullers[2], pullers[1]);
      pullers.forEach(puller => {
        assert.equal(puller.stamp.routeVersion, steps.length);
        assert.deepEqual(sortedRoutes(puller), sortedRoutes(holder));
      });
    }),
    {seed: 6, numRuns: 300},
  );
});

// Guards against news that a slow daemon cannot deliver in time since each pull takes all
// routes.
test('a pull after one changed route of 4,900 takes that route alone', () => {
  const routes = Array.from({length: 4_900}, (_route, index) =>
    createRoute('pay', {address: index + 1, port: 443}),
  );
  const holder = createCatalog();
  const puller = createCatalog();
  holder.applyRoutes({version: 1, routes, coldServices: []}, NOW);
  assert.equal(pull(puller, holder), 4_900);
  const [first, ...others] = routes;
  const changed = [{...first, limitMs: 77}, ...others];
  holder.applyRoutes({version: 2, routes: changed, coldServices: []}, NOW);
  assert.equal(pull(puller, holder), 1);
  assert.equal(puller.findRoute(1, 443)?.limitMs, 77);
});

test('a daemon that is too far behind, or does not take changes, gets all routes', () => {
  const holder = createCatalog();
  Array.from({length: 100}, (_version, index) =>
    holder.applyRoutes(
      {
        version: index + 1,
        routes: [1, 2].map(address =>
          createRoute('pay', {address, port: 443, limitMs: index}),
        ),
        coldServices: [],
      },
      NOW,
    ),
  );
  const held = {asker: 1, serverRevision: 0, serverDigest: 0};
  const baseOf = (routeVersion: number, takesRouteChanges: boolean) =>
    createUpdate(holder, {...held, routeVersion, takesRouteChanges}, NOW).routes
      ?.baseVersion;
  assert.deepEqual(
    [baseOf(1, true), baseOf(99, false), baseOf(99, true), baseOf(60, true)],
    [0, 0, 99, 60],
  );
});

test('another value of any field is a change of the route', () => {
  Object.entries(OTHER_VALUES).forEach(([field, value]) =>
    assert.equal(
      areEqualRoutes(ROUTE, {...ROUTE, [field]: value}),
      false,
      field,
    ),
  );
  assert.equal(areEqualRoutes(ROUTE, {...ROUTE}), true);
  assert.equal(areEqualRoutes(undefined, ROUTE), false);
});
