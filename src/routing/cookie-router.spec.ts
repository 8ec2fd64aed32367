import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemoryCounters} from '../adapters/memory-counters.js';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {Catalog} from '../catalog/catalog.js';
import type {
  CatalogRoute,
  CatalogServer,
  ServerState,
} from '../catalog/records.js';
import {EqualRatings} from '../feedback/server-ratings.js';
import {FakeClock} from '../../standins/fake-clock.js';
import {
  CookieRouter,
  RefusalReason,
  Verdict,
  type CookieDecision,
} from './cookie-router.js';
import {LightestPlacement} from './placement.js';
import {Random} from './random.js';
import {ServerWorkLedger} from './server-work.js';
import {createRoute} from '../../standins/catalog-records.js';
import {createPacket} from '../../standins/cookie-packets.js';

const hasher = await XxhashHasher.create();
const ADDRESS = 0xc6120001;
const ROUTE = createRoute('pay', {address: ADDRESS, port: 443});

/** Another destination, of another service. */
const DOCS = createRoute('docs', {
  address: ADDRESS + 1,
  port: 443,
  repeatable: true,
});
const REGIONS = new Map([
  ['a', 'east'],
  ['b', 'west'],
]);
const FLOW_LIFETIME_MS = 60_000;

function serverOf(
  id: string,
  service = 'pay',
  state: ServerState = 'ready',
  address = Number(id.slice(2)),
): CatalogServer {
  return {
    id,
    service,
    address,
    port: 80,
    failureDomain: 'a',
    slots: 2,
    state,
    coldUntil: 0,
    createdRevision: 1,
    revision: 1,
    startTime: 0,
  };
}

function createRouter(servers: readonly CatalogServer[]) {
  const clock = FakeClock.create();
  const catalog = Catalog.create({
    hasher,
    flowLifetimeMs: FLOW_LIFETIME_MS,
  });
  const work = ServerWorkLedger.create(hasher);
  const silent: string[] = [];
  const unreachable = new Set<string>();
  catalog.takeServers({revision: 1, servers, evacuated: []}, clock.now());
  catalog.takeRoutes(
    {version: 1, routes: [ROUTE, DOCS], coldServices: []},
    clock.now(),
  );
  const router = CookieRouter.create({
    catalog,
    work,
    placement: LightestPlacement.create(),
    clock,
    random: Random.create(3),
    inForceLimitMs: 3_000,
    counters: MemoryCounters.create(),
    onSilent: ({id}) => silent.push(id),
    onUnanswered: () => undefined,
    isUnreachable: id => unreachable.has(id),
    isLost: id => unreachable.has(id),
    regionOf: domain => REGIONS.get(domain),
    coldLimits: {excess: 1.5, slack: 5},
    countDaemons: () => 8,
    ratings: EqualRatings.create(),
    observer: undefined,
  });
  return {clock, catalog, work, router, silent, unreachable};
}

/** The cookie of a server at a destination, as daemons write it into packets. */
function cookieAt(
  catalog: Catalog,
  server: CatalogServer,
  {address, port}: CatalogRoute,
): number {
  const route = catalog.routeOf(address, port);
  assert.ok(route !== undefined);
  return catalog.cookieOf(server, route) ?? 0;
}

function serverIn(decision: CookieDecision): string {
  return decision.verdict === 'forward' ? decision.server.id : decision.reason;
}

function cookieIn(decision: CookieDecision): number {
  return decision.verdict === 'forward' ? decision.cookie : 0;
}

test("a copy of an opening goes to another server, a late copy to the flow's own", () => {
  const {router} = createRouter([serverOf('i-1'), serverOf('i-2')]);
  const first = router.decide(createPacket({opens: true}));
  const second = router.decide(createPacket({opens: true, openCopy: 1}));
  assert.notEqual(serverIn(first), serverIn(second));
  router.decide(createPacket({cookie: cookieIn(first)}));
  const late = router.decide(createPacket({opens: true, openCopy: 2}));
  assert.equal(serverIn(late), serverIn(first));
});

test('a flow stays at the server that its first packet named, whatever cookie comes later', () => {
  const {router} = createRouter([serverOf('i-1'), serverOf('i-2')]);
  const first = router.decide(createPacket({opens: true}));
  const second = router.decide(createPacket({opens: true, openCopy: 1}));
  router.decide(createPacket({cookie: cookieIn(first)}));
  const later = router.decide(createPacket({cookie: cookieIn(second)}));
  assert.equal(serverIn(later), serverIn(first));
});

test('any daemon follows a cookie that it has never given out', () => {
  const servers = [serverOf('i-1'), serverOf('i-2')];
  const opened = createRouter(servers).router.decide(
    createPacket({opens: true}),
  );
  const other = createRouter(servers).router;
  const followed = other.decide(createPacket({cookie: cookieIn(opened)}));
  assert.equal(serverIn(followed), serverIn(opened));
});

test('an unknown destination is refused aloud only while no route can be in force that is not known', async () => {
  const {router, clock} = createRouter([serverOf('i-1')]);
  const unknown = createPacket({opens: true, destinationPort: 444});
  await clock.advance(2_700);
  assert.equal(router.decide(unknown).verdict, 'reset');
  await clock.advance(250);
  assert.equal(router.decide(unknown).verdict, 'drop');
});

test('cookies of nobody and of another destination are dropped, never forwarded', () => {
  const {router, catalog} = createRouter([
    serverOf('i-1'),
    serverOf('i-9', 'docs'),
  ]);
  const foreign = cookieAt(catalog, serverOf('i-9', 'docs'), DOCS);
  [0, 12_345, foreign].forEach(cookie =>
    assert.deepEqual(router.decide(createPacket({cookie})), {
      verdict: 'drop',
      reason: 'unknown-cookie',
    }),
  );
});

test('a fleet that knows no former version keeps the flows that one opened', async () => {
  const {router, catalog, clock} = createRouter([
    serverOf('i-1'),
    serverOf('i-9', 'docs'),
  ]);
  // A version before the only one that is known gave the route to 'docs' too.
  const cookie = cookieAt(catalog, serverOf('i-9', 'docs'), ROUTE);
  assert.equal(serverIn(router.decide(createPacket({cookie}))), 'i-9');
  const opening = router.decide(createPacket({opens: true, sourcePort: 2}));
  assert.equal(serverIn(opening), 'i-1', 'no new flow goes there');
  await clock.advance(FLOW_LIFETIME_MS);
  catalog.confirmAll(clock.now());
  const late = router.decide(createPacket({cookie, sourcePort: 3}));
  assert.equal(serverIn(late), 'unknown-cookie', 'no such flow lives any more');
});

test('a cookie that a steady, younger list does not hold belongs to a server that has ended', async () => {
  const {router, catalog, clock} = createRouter([
    serverOf('i-1'),
    serverOf('i-9', 'docs'),
  ]);
  const confirm = async (milliseconds: number) => {
    await clock.advance(milliseconds);
    catalog.confirmAll(clock.now());
  };
  const stranger = createPacket({cookie: 12_345});
  assert.equal(router.decide(stranger).verdict, 'drop');
  await confirm(400);
  assert.equal(router.decide(stranger).verdict, 'drop', 'not steady yet');
  for (let round = 0; round < 38; round += 1) {
    await confirm(500);
  }
  router.decide(stranger);
  await confirm(500);
  assert.equal(router.decide(stranger).verdict, 'drop', 'it may serve on');
  await confirm(500);
  assert.equal(router.decide(stranger).verdict, 'reset');
  const late = createPacket({cookie: 54_321});
  assert.equal(router.decide(late).verdict, 'drop', 'seen after the read');
  await confirm(100);
  assert.equal(router.decide(late).verdict, 'drop', 'read hardly later');
  // A listed server of a service that no version gave to the route.
  for (let round = 0; round < 90; round += 1) {
    await confirm(500);
  }
  const foreign = cookieAt(catalog, serverOf('i-9', 'docs'), ROUTE);
  router.decide(createPacket({cookie: foreign}));
  await confirm(500);
  assert.equal(router.decide(createPacket({cookie: foreign})).verdict, 'drop');
});

test('draining servers get no openings and keep their flows', () => {
  const {router, catalog} = createRouter([
    serverOf('i-1', 'pay', 'draining'),
    serverOf('i-2'),
  ]);
  const openings = Array.from({length: 20}, (_flow, index) =>
    serverIn(router.decide(createPacket({opens: true, sourcePort: index}))),
  );
  assert.deepEqual([...new Set(openings)], ['i-2']);
  const cookie = cookieAt(catalog, serverOf('i-1'), ROUTE);
  assert.equal(serverIn(router.decide(createPacket({cookie}))), 'i-1');
});

test('what the catalog does not hold is refused while it is current, and dropped when it is old', async () => {
  const {router, clock} = createRouter([serverOf('i-1')]);
  const stranger = createPacket({opens: true, destinationPort: 80});
  assert.deepEqual(router.decide(stranger), {
    verdict: 'reset',
    reason: 'no-route',
  });
  await clock.advance(5_000);
  assert.deepEqual(router.decide(stranger), {
    verdict: 'drop',
    reason: 'no-route',
  });
});

test("a caller's own reset is never answered with a reset", () => {
  const {router} = createRouter([serverOf('i-1')]);
  const given = router.decide(
    createPacket({resets: true, destinationPort: 80}),
  );
  assert.equal(given.verdict, 'drop');
});

test('flows of a moved route stay, also at a daemon that learns of it from a peer', () => {
  const {router, catalog, clock} = createRouter([
    serverOf('i-1'),
    serverOf('i-9', 'docs'),
  ]);
  const opened = router.decide(createPacket({opens: true}));
  const moved = {...ROUTE, shares: [{service: 'docs', weight: 1}]};
  catalog.takeRoutes(
    {version: 2, routes: [moved], coldServices: []},
    clock.now(),
  );
  const kept = router.decide(createPacket({cookie: cookieIn(opened)}));
  assert.equal(serverIn(kept), 'i-1');
  const fresh = router.decide(createPacket({opens: true, sourcePort: 7}));
  assert.equal(serverIn(fresh), 'i-9');
});

test('silence of most servers counts for nothing', () => {
  const {router, work, clock} = createRouter([
    serverOf('i-1'),
    serverOf('i-2'),
    serverOf('i-3'),
  ]);
  work.noteUnanswered('i-1', clock.now());
  const around = Array.from({length: 30}, (_flow, index) =>
    serverIn(router.decide(createPacket({opens: true, sourcePort: index}))),
  );
  assert.equal(around.includes('i-1'), false);
  work.noteUnanswered('i-2', clock.now());
  const all = Array.from({length: 30}, (_flow, index) =>
    serverIn(
      router.decide(createPacket({opens: true, sourcePort: 100 + index})),
    ),
  );
  assert.equal(new Set(all).size, 3);
});

test('a packet of data sent again is a sign against its server', () => {
  const {router, silent} = createRouter([serverOf('i-1'), serverOf('i-2')]);
  const opened = router.decide(createPacket({opens: true}));
  const data = createPacket({
    cookie: cookieIn(opened),
    dataLength: 10,
    sequence: 5,
  });
  router.decide(data);
  assert.deepEqual(silent, []);
  router.decide(data);
  assert.deepEqual(silent, [serverIn(opened)]);
});

test('an older version of the routes changes nothing', () => {
  const {catalog, clock} = createRouter([serverOf('i-1')]);
  catalog.takeRoutes(
    {version: 5, routes: [ROUTE], coldServices: []},
    clock.now(),
  );
  catalog.takeRoutes({version: 4, routes: [], coldServices: []}, clock.now());
  assert.equal(catalog.stamp.routeVersion, 5);
  assert.equal(catalog.allRoutes().length, 1);
});

test('flows of a route that is bound to regions go to their servers alone, and to none if there is none', () => {
  const east = serverOf('i-1');
  const west = {...serverOf('i-2'), failureDomain: 'b'};
  const nowhere = {...serverOf('i-3'), failureDomain: 'c'};
  const {catalog, router} = createRouter([east, west, nowhere]);
  const openAll = () =>
    Array.from({length: 30}, (_packet, index) =>
      router.decide(createPacket({opens: true, sourcePort: 2_000 + index})),
    );
  const bindTo = (version: number, regions: readonly string[]) =>
    catalog.takeRoutes(
      {version, routes: [{...ROUTE, regions}], coldServices: []},
      0,
    );
  bindTo(2, ['west', 'south']);
  const taken = openAll().map(decision =>
    decision.verdict === Verdict.FORWARD ? decision.server.id : '',
  );
  assert.deepEqual([...new Set(taken)], ['i-2']);
  bindTo(3, ['south']);
  openAll().forEach(decision =>
    assert.deepEqual(decision, {
      verdict: Verdict.RESET,
      reason: RefusalReason.NO_SERVER,
    }),
  );
});

test('a cold server whose service states a rate gets no flow while a warm one is there', async () => {
  const warm = serverOf('i-1');
  const cold = {
    ...serverOf('i-2'),
    coldUntil: FakeClock.create().now() + 2_000,
  };
  const {catalog, router, clock} = createRouter([warm, cold]);
  const coldServices = [{service: 'pay', requestsPerSecond: 10}];
  let port = 2_000;
  catalog.takeRoutes({version: 2, routes: [ROUTE], coldServices}, 0);
  const countAt = (id: string) =>
    Array.from({length: 200}, () => {
      port += 1;
      return router.decide(createPacket({opens: true, sourcePort: port}));
    }).filter(
      decision =>
        decision.verdict === Verdict.FORWARD && decision.server.id === id,
    ).length;
  assert.equal(countAt('i-2'), 0);
  await clock.advance(2_001);
  assert.ok(countAt('i-2') > 0);
});

test('servers of a restored domain count as cold until they may have said so', () => {
  const warm = {...serverOf('i-1'), failureDomain: 'b'};
  const restored = serverOf('i-2');
  const {catalog} = createRouter([warm, restored]);
  const change = {routes: undefined, written: [], removed: []};
  const domains = [true, false].map(isEvacuated => ({
    failureDomain: 'a',
    isEvacuated,
  }));
  catalog.takeEvents({...change, revision: 2, domains}, 100);
  assert.equal(catalog.isCold(restored, 900), true);
  assert.equal(catalog.isCold(warm, 900), false);
  assert.equal(catalog.isCold(restored, 1_200), false);
});
