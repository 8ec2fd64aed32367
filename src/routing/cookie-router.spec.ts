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
import {UniformRatings} from '../feedback/server-ratings.js';
import {FakeClock} from '../../standins/fake-clock.js';
import {
  CookieRouter,
  RefusalReason,
  CookieVerdict,
  type CookieDecision,
} from './cookie-router.js';
import {LeastLoadedPlacement} from './placement.js';
import {Random} from './random.js';
import {ServerLoadTracker} from './server-load-tracker.js';
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
  const loadTracker = ServerLoadTracker.create(hasher);
  const unresponsive: string[] = [];
  const unreachable = new Set<string>();
  const unverified = new Set<string>();
  const verified: string[] = [];
  const unanswered: string[] = [];
  catalog.applyServers({revision: 1, servers, evacuated: []}, clock.now());
  catalog.applyRoutes(
    {version: 1, routes: [ROUTE, DOCS], coldServices: []},
    clock.now(),
  );
  const router = CookieRouter.create({
    catalog,
    loadTracker,
    placement: LeastLoadedPlacement.create(),
    clock,
    random: Random.create(3),
    inForceLimitMs: 3_000,
    counters: MemoryCounters.create(),
    onUnresponsive: ({id}) => unresponsive.push(id),
    onUnanswered: ({id}) => unanswered.push(id),
    isUnreachable: id => unreachable.has(id),
    isLost: id => unreachable.has(id) && !unverified.has(id),
    onUnverified: ({id}) => verified.push(id),
    regionOf: domain => REGIONS.get(domain),
    coldLimits: {excess: 1.5, slack: 5},
    countDaemons: () => 8,
    ratings: UniformRatings.create(),
    observer: undefined,
  });
  return {
    clock,
    catalog,
    loadTracker,
    router,
    unresponsive,
    unreachable,
    unverified,
    verified,
    unanswered,
  };
}

/** Returns the cookie of a server for a destination, as daemons write it into packets. */
function cookieAt(
  catalog: Catalog,
  server: CatalogServer,
  {address, port}: CatalogRoute,
): number {
  const route = catalog.findRoute(address, port);
  assert.ok(route !== undefined);
  return catalog.cookieOf(server, route) ?? 0;
}

function serverIn(decision: CookieDecision): string {
  return decision.verdict === 'forward' ? decision.server.id : decision.reason;
}

function cookieIn(decision: CookieDecision): number {
  return decision.verdict === 'forward' ? decision.cookie : 0;
}

test('a retransmitted opening packet goes to another server, a late one to the server of its flow', () => {
  const {router} = createRouter([serverOf('i-1'), serverOf('i-2')]);
  const first = router.decide(createPacket({opens: true}));
  const second = router.decide(createPacket({opens: true, openAttempt: 1}));
  assert.notEqual(serverIn(first), serverIn(second));
  router.decide(createPacket({cookie: cookieIn(first)}));
  const late = router.decide(createPacket({opens: true, openAttempt: 2}));
  assert.equal(serverIn(late), serverIn(first));
});

test('a flow stays at the server of its first later packet when another cookie arrives', () => {
  const {router} = createRouter([serverOf('i-1'), serverOf('i-2')]);
  const first = router.decide(createPacket({opens: true}));
  const second = router.decide(createPacket({opens: true, openAttempt: 1}));
  router.decide(createPacket({cookie: cookieIn(first)}));
  const later = router.decide(createPacket({cookie: cookieIn(second)}));
  assert.equal(serverIn(later), serverIn(first));
});

test('a daemon routes by cookies that other daemons issued', () => {
  const servers = [serverOf('i-1'), serverOf('i-2')];
  const opened = createRouter(servers).router.decide(
    createPacket({opens: true}),
  );
  const other = createRouter(servers).router;
  const followed = other.decide(createPacket({cookie: cookieIn(opened)}));
  assert.equal(serverIn(followed), serverIn(opened));
});

test('an unknown destination is reset only while no unknown route version can be in force', async () => {
  const {router, clock} = createRouter([serverOf('i-1')]);
  const unknown = createPacket({opens: true, destinationPort: 444});
  await clock.advance(2_700);
  assert.equal(router.decide(unknown).verdict, 'reset');
  await clock.advance(250);
  assert.equal(router.decide(unknown).verdict, 'drop');
});

test('unknown cookies and cookies of another destination are dropped, never forwarded', () => {
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

test('flows opened under a former route version are kept by daemons that never knew it', async () => {
  const {router, catalog, clock} = createRouter([
    serverOf('i-1'),
    serverOf('i-9', 'docs'),
  ]);
  // An earlier route version, unknown to the daemon, also included the service 'docs'.
  const cookie = cookieAt(catalog, serverOf('i-9', 'docs'), ROUTE);
  assert.equal(serverIn(router.decide(createPacket({cookie}))), 'i-9');
  const opening = router.decide(createPacket({opens: true, sourcePort: 2}));
  assert.equal(serverIn(opening), 'i-1', 'a former service got a new flow');
  await clock.advance(FLOW_LIFETIME_MS);
  catalog.confirmAll(clock.now());
  const late = router.decide(createPacket({cookie, sourcePort: 3}));
  assert.equal(
    serverIn(late),
    'unknown-cookie',
    'flows of the former version have exceeded their lifetime',
  );
});

test('a cookie missing from a newer, authoritative server list belongs to an ended server', async () => {
  const {router, catalog, clock} = createRouter([
    serverOf('i-1'),
    serverOf('i-9', 'docs'),
  ]);
  const confirm = async (milliseconds: number) => {
    await clock.advance(milliseconds);
    catalog.confirmAll(clock.now());
  };
  const unknownPacket = createPacket({cookie: 12_345});
  assert.equal(router.decide(unknownPacket).verdict, 'drop');
  await confirm(400);
  assert.equal(
    router.decide(unknownPacket).verdict,
    'drop',
    'the server list is not authoritative yet',
  );
  for (let round = 0; round < 38; round += 1) {
    await confirm(500);
  }
  router.decide(unknownPacket);
  await confirm(500);
  assert.equal(
    router.decide(unknownPacket).verdict,
    'drop',
    'the server may still be running',
  );
  await confirm(500);
  assert.equal(router.decide(unknownPacket).verdict, 'reset');
  const late = createPacket({cookie: 54_321});
  assert.equal(
    router.decide(late).verdict,
    'drop',
    'the packet is newer than the server list',
  );
  await confirm(100);
  assert.equal(
    router.decide(late).verdict,
    'drop',
    'the server list is newer by less than the margin',
  );
  // A listed server of a service that no route version included.
  for (let round = 0; round < 90; round += 1) {
    await confirm(500);
  }
  const foreign = cookieAt(catalog, serverOf('i-9', 'docs'), ROUTE);
  router.decide(createPacket({cookie: foreign}));
  await confirm(500);
  assert.equal(router.decide(createPacket({cookie: foreign})).verdict, 'drop');
});

test('draining servers get no new flows and keep their existing ones', () => {
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

test('packets without a route are reset while the catalog is current, and dropped when it is stale', async () => {
  const {router, clock} = createRouter([serverOf('i-1')]);
  const unknownPacket = createPacket({opens: true, destinationPort: 80});
  assert.deepEqual(router.decide(unknownPacket), {
    verdict: 'reset',
    reason: 'no-route',
  });
  await clock.advance(5_000);
  assert.deepEqual(router.decide(unknownPacket), {
    verdict: 'drop',
    reason: 'no-route',
  });
});

test('a reset from a caller is never answered with a reset', () => {
  const {router} = createRouter([serverOf('i-1')]);
  const outcome = router.decide(
    createPacket({resets: true, destinationPort: 80}),
  );
  assert.equal(outcome.verdict, 'drop');
});

test('flows stay at their server when the route moves to another service', () => {
  const {router, catalog, clock} = createRouter([
    serverOf('i-1'),
    serverOf('i-9', 'docs'),
  ]);
  const opened = router.decide(createPacket({opens: true}));
  const moved = {...ROUTE, shares: [{service: 'docs', weight: 1}]};
  catalog.applyRoutes(
    {version: 2, routes: [moved], coldServices: []},
    clock.now(),
  );
  const kept = router.decide(createPacket({cookie: cookieIn(opened)}));
  assert.equal(serverIn(kept), 'i-1');
  const fresh = router.decide(createPacket({opens: true, sourcePort: 7}));
  assert.equal(serverIn(fresh), 'i-9');
});

test('no server is avoided when most of them appear unresponsive', () => {
  const {router, loadTracker, clock} = createRouter([
    serverOf('i-1'),
    serverOf('i-2'),
    serverOf('i-3'),
  ]);
  loadTracker.recordUnanswered('i-1', clock.now());
  const firstServers = Array.from({length: 30}, (_flow, index) =>
    serverIn(router.decide(createPacket({opens: true, sourcePort: index}))),
  );
  assert.equal(firstServers.includes('i-1'), false);
  loadTracker.recordUnanswered('i-2', clock.now());
  const laterServers = Array.from({length: 30}, (_flow, index) =>
    serverIn(
      router.decide(createPacket({opens: true, sourcePort: 100 + index})),
    ),
  );
  assert.equal(new Set(laterServers).size, 3);
});

test('a retransmitted data packet marks its server as unresponsive', () => {
  const {router, unresponsive} = createRouter([
    serverOf('i-1'),
    serverOf('i-2'),
  ]);
  const opened = router.decide(createPacket({opens: true}));
  const data = createPacket({
    cookie: cookieIn(opened),
    dataLength: 10,
    sequence: 5,
  });
  router.decide(data);
  assert.deepEqual(unresponsive, []);
  router.decide(data);
  assert.deepEqual(unresponsive, [serverIn(opened)]);
});

test('an older route version is ignored', () => {
  const {catalog, clock} = createRouter([serverOf('i-1')]);
  catalog.applyRoutes(
    {version: 5, routes: [ROUTE], coldServices: []},
    clock.now(),
  );
  catalog.applyRoutes({version: 4, routes: [], coldServices: []}, clock.now());
  assert.equal(catalog.stamp.routeVersion, 5);
  assert.equal(catalog.allRoutes().length, 1);
});

test('a route bound to regions uses only their servers, and refuses flows when there is none', () => {
  const east = serverOf('i-1');
  const west = {...serverOf('i-2'), failureDomain: 'b'};
  const nowhere = {...serverOf('i-3'), failureDomain: 'c'};
  const {catalog, router} = createRouter([east, west, nowhere]);
  const openAll = () =>
    Array.from({length: 30}, (_packet, index) =>
      router.decide(createPacket({opens: true, sourcePort: 2_000 + index})),
    );
  const bindTo = (version: number, regions: readonly string[]) =>
    catalog.applyRoutes(
      {version, routes: [{...ROUTE, regions}], coldServices: []},
      0,
    );
  bindTo(2, ['west', 'south']);
  const taken = openAll().map(decision =>
    decision.verdict === CookieVerdict.FORWARD ? decision.server.id : '',
  );
  assert.deepEqual([...new Set(taken)], ['i-2']);
  bindTo(3, ['south']);
  openAll().forEach(decision =>
    assert.deepEqual(decision, {
      verdict: CookieVerdict.RESET,
      reason: RefusalReason.NO_SERVER,
    }),
  );
});

test('a cold server with a cold-start rate gets no flow while a warm server is available', async () => {
  const warm = serverOf('i-1');
  const cold = {
    ...serverOf('i-2'),
    coldUntil: FakeClock.create().now() + 2_000,
  };
  const {catalog, router, clock} = createRouter([warm, cold]);
  const coldServices = [{service: 'pay', requestsPerSecond: 10}];
  let port = 2_000;
  catalog.applyRoutes({version: 2, routes: [ROUTE], coldServices}, 0);
  const countAt = (id: string) =>
    Array.from({length: 200}, () => {
      port += 1;
      return router.decide(createPacket({opens: true, sourcePort: port}));
    }).filter(
      decision =>
        decision.verdict === CookieVerdict.FORWARD && decision.server.id === id,
    ).length;
  assert.equal(countAt('i-2'), 0);
  await clock.advance(2_001);
  assert.ok(countAt('i-2') > 0);
});

test('servers of a restored failure domain count as cold until their own state has arrived', () => {
  const warm = {...serverOf('i-1'), failureDomain: 'b'};
  const restored = serverOf('i-2');
  const {catalog} = createRouter([warm, restored]);
  const change = {routes: undefined, written: [], removed: []};
  const domains = [true, false].map(isEvacuated => ({
    failureDomain: 'a',
    isEvacuated,
  }));
  catalog.applyEvents({...change, revision: 2, domains}, 100);
  assert.equal(catalog.isCold(restored, 900), true);
  assert.equal(catalog.isCold(warm, 900), false);
  assert.equal(catalog.isCold(restored, 1_200), false);
});

test('an open flow is reset only once its unreachable server is lost here too, where the route allows retries', () => {
  const {router, catalog, unreachable, unverified, verified} = createRouter([
    serverOf('i-1', 'docs'),
    serverOf('i-2'),
  ]);
  const servers = catalog.allServers();
  const decide = (id: string, route: CatalogRoute) => {
    const server = servers.find(each => each.id === id);
    assert.ok(server !== undefined);
    const cookie = cookieAt(catalog, server, route);
    const destinationAddress = route.address;
    return router.decide(createPacket({cookie, destinationAddress})).verdict;
  };
  ['i-1', 'i-2'].forEach(id => unreachable.add(id));
  unverified.add('i-1');
  assert.equal(decide('i-1', DOCS), 'forward');
  assert.deepEqual(verified, ['i-1']);
  unverified.clear();
  assert.equal(decide('i-1', DOCS), 'reset');
  assert.equal(decide('i-2', ROUTE), 'forward');
  assert.deepEqual(verified, ['i-1']);
});

test('an overdue opening is reported once, and again when the backoff of its server ends', async () => {
  const {router, clock, unanswered} = createRouter([serverOf('i-1')]);
  const startedAt = clock.now();
  // The second starts a backoff of 800 ms, the third finds the second overdue.
  [0, 100, 200, 300, 400, 500, 910].forEach(time =>
    clock.callAt(startedAt + time, () => {
      router.decide(createPacket({sourcePort: 1_000 + time, opens: true}));
    }),
  );
  await clock.advance(100);
  assert.equal(unanswered.length, 1);
  await clock.advance(100);
  assert.equal(unanswered.length, 2);
  await clock.advance(300);
  assert.equal(unanswered.length, 2);
  await clock.advance(410);
  assert.equal(unanswered.length, 3);
});
