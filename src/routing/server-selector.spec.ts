/** Choices of servers for new flows by their ratings, with one daemon's own load. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {Catalog} from '../catalog/catalog.js';
import type {CatalogServer} from '../catalog/records.js';
import {
  NEUTRAL_RATING,
  ServerRatings,
  UniformRatings,
  type ServerRating,
} from '../feedback/server-ratings.js';
import {createRoute, createServer} from '../../standins/catalog-records.js';
import {LocalLoadPlacement} from './placement.js';
import {Random} from './random.js';
import {ServerLoadTracker} from './server-load-tracker.js';
import {ServerSelector} from './server-selector.js';

const hasher = await XxhashHasher.create();
const ROUTE = createRoute('pay', {address: 0xc6120001, port: 443});
const EJECTED: ServerRating = {weight: 1, isEjected: true};

/** Ratings by server id; servers without one are typical. */
class FixedRatings extends ServerRatings {
  private constructor(private readonly ratings: Map<string, ServerRating>) {
    super();
  }

  static create(ids: readonly string[], rating: ServerRating): FixedRatings {
    return new FixedRatings(new Map(ids.map(id => [id, rating])));
  }

  ratingOf({id}: CatalogServer): ServerRating {
    return this.ratings.get(id) ?? NEUTRAL_RATING;
  }
}

function createSelector(count: number, ratings: ServerRatings) {
  const catalog = Catalog.create({hasher, flowLifetimeMs: 60_000});
  const servers = Array.from({length: count}, (_server, index) =>
    createServer(`i-${index + 1}`, 'pay'),
  );
  catalog.applyServers({revision: 1, servers, evacuated: []}, 0);
  catalog.applyRoutes({version: 1, routes: [ROUTE], coldServices: []}, 0);
  const loadTracker = ServerLoadTracker.create(hasher);
  const selector = ServerSelector.create({
    catalog,
    loadTracker,
    placement: LocalLoadPlacement.create(),
    random: Random.create(11),
    ratings,
    onUnresponsive: () => undefined,
    onUnanswered: () => undefined,
    isUnreachable: () => false,
    regionOf: () => undefined,
    coldLimits: {excess: 1.5, slack: 5},
    countDaemons: () => 8,
  });
  const route = catalog.findRoute(ROUTE.address, ROUTE.port);
  assert.ok(route !== undefined);
  const select = (tried: readonly CatalogServer[] = []) =>
    selector.select(route, tried, 1_000)?.id ?? '';
  return {servers, select, loadTracker};
}

/** Opens flows that stay open, and returns the numbers of their servers. */
function openFlows(count: number, ratings: ServerRatings): number[] {
  const {select, loadTracker} = createSelector(count, ratings);
  return Array.from({length: 30}, () => {
    const id = select();
    loadTracker.adjustInFlight(id, 1);
    return Number(id.slice(2));
  });
}

/** Returns the ids `i-1` to `i-count`. */
function firstIds(count: number): string[] {
  return Array.from({length: count}, (_id, index) => `i-${index + 1}`);
}

// Recorded before there were ratings.
const CHOICES = [
  {
    count: 84,
    chosen: [
      17, 54, 18, 49, 4, 41, 80, 57, 52, 28, 47, 72, 5, 7, 29, 9, 26, 39, 25,
      32, 45, 31, 55, 11, 50, 14, 34, 1, 6, 81,
    ],
  },
  {
    count: 10,
    chosen: [
      9, 3, 10, 1, 2, 4, 5, 6, 8, 7, 8, 9, 6, 10, 5, 7, 1, 3, 2, 4, 3, 2, 7, 6,
      4, 8, 9, 10, 1, 5,
    ],
  },
];

CHOICES.forEach(({count, chosen}) =>
  test(`without ratings, flows to ${count} servers are placed as if there were none, whether or not each is asked for`, () => {
    assert.deepEqual(openFlows(count, UniformRatings.create()), chosen);
    const neutral = FixedRatings.create([], NEUTRAL_RATING);
    assert.deepEqual(openFlows(count, neutral), chosen);
  }),
);

test('a run of 40 ejected servers among 84 gets no flow, and the others share the load evenly', () => {
  const ids = firstIds(40);
  const {select} = createSelector(84, FixedRatings.create(ids, EJECTED));
  const chosen = Array.from({length: 8_800}, () => select());
  assert.ok(chosen.every(id => !ids.includes(id)));
  const counts = [...new Set(chosen)].map(
    id => chosen.filter(each => each === id).length,
  );
  assert.equal(counts.length, 44);
  // 200 are expected at each.
  assert.ok(Math.max(...counts) < 260, `${Math.max(...counts)}`);
});

test('if all servers are ejected, all get flows', () => {
  const ratings = FixedRatings.create(firstIds(5), EJECTED);
  assert.equal(new Set(openFlows(5, ratings)).size, 5);
});

[0, 1, 3].forEach(load =>
  test(`servers of weight 0.2 get a fifth of the flows of others while others have ${load} to ${load + 2} open flows of this daemon, and they have none`, () => {
    const ids = firstIds(21);
    const rating = {weight: 0.2, isEjected: false};
    const {servers, select, loadTracker} = createSelector(
      84,
      FixedRatings.create(ids, rating),
    );
    servers
      .slice(21)
      .forEach(({id}, index) =>
        loadTracker.adjustInFlight(id, load + (index % 3)),
      );
    const chosen = Array.from({length: 20_000}, () => select());
    const atReduced = chosen.filter(id => ids.includes(id)).length;
    const share = atReduced / 21 / ((chosen.length - atReduced) / 63);
    assert.ok(share > 0.13 && share < 0.27, `${share}`);
  }),
);

test('a retransmitted opening goes to a server not tried yet, whatever the weights', () => {
  const rating = {weight: 0.2, isEjected: false};
  const ratings = FixedRatings.create(firstIds(2), rating);
  const {servers, select} = createSelector(4, ratings);
  const [first, second, third, fourth] = servers;
  Array.from({length: 200}, () => {
    assert.equal(select([second, third, fourth]), first.id);
    assert.notEqual(select([third]), third.id);
  });
});
