/** Starts of daemons from a stale catalog, a snapshot or a peer, and their updates. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {encodeSnapshot} from '../catalog/catalog-messages.js';
import type {EntryDaemon} from './entry-daemon.js';
import {OutageKind, STORE_LINK} from '../../standins/catalog-store.js';
import {SimulatedPlatform} from '../../standins/simulated-platform.js';
import {createRoute} from '../../standins/catalog-records.js';

const BOUNDS = {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000};
const PAY = createRoute('pay', {address: 0xc6120001, port: 443});
const DOCS = createRoute('docs', {
  address: 0xc6120002,
  port: 443,
  repeatable: true,
});
/** How far the store's stale reads lag, in milliseconds. */
const LAG_MS = 5_000;

/** Creates a fleet and kills all daemons; stale reads predate the newest version. */
async function createKilledFleet(
  daemons: number,
  linksMbps?: readonly number[],
): Promise<SimulatedPlatform> {
  const platform = await SimulatedPlatform.create(
    {
      seed: 1,
      daemons,
      failureDomains: ['a', 'b', 'c'],
      services: [
        {name: 'pay', servers: 6, slots: 2, workMs: 20},
        {name: 'docs', servers: 3, slots: 2, workMs: 10},
      ],
      routes: [PAY],
      bounds: BOUNDS,
      linksMbps,
    },
    await XxhashHasher.create(),
  );
  platform.store.staleReadLagMs = LAG_MS;
  platform.publishRoutes([PAY, DOCS]);
  [...platform.daemons.keys()].forEach(name => platform.killDaemon(name));
  await platform.clock.advance(500);
  return platform;
}

async function startAll(platform: SimulatedPlatform): Promise<void> {
  const names = [...platform.daemons.keys()];
  await Promise.all(names.map(name => platform.startDaemon(name)));
}

/** Starts one daemon and waits until its catalog is complete. */
async function startOne(platform: SimulatedPlatform): Promise<EntryDaemon> {
  await platform.startDaemon('d0');
  await platform.clock.advance(1_000);
  const running = platform.daemons.get('d0')?.running;
  assert.ok(running !== undefined);
  return running;
}

function versionsOf(platform: SimulatedPlatform): number[] {
  return [...platform.daemons.values()].map(
    ({running}) => running?.catalog.stamp.routeVersion ?? 0,
  );
}

[3, 60].forEach(daemons =>
  test(`${daemons} daemons that all start from a stale catalog serve at once, and get the newest within a second`, async () => {
    const platform = await createKilledFleet(daemons);
    const callsBefore = platform.store.calls;
    await startAll(platform);
    await platform.clock.advance(25);
    assert.deepEqual(new Set(versionsOf(platform)), new Set([1]));
    await platform.clock.advance(1_000);
    assert.deepEqual(new Set(versionsOf(platform)), new Set([2]));
    assert.ok(
      platform.store.calls - callsBefore <= 5,
      `${platform.store.calls - callsBefore} calls`,
    );
    assert.equal(platform.store.staleReads, daemons);
  }),
);

test('a daemon with a stale catalog forwards by it, and resets no flow', async () => {
  const platform = await createKilledFleet(1);
  await startAll(platform);
  await platform.clock.advance(25);
  const known = platform.startCaller(PAY, 1, 3_000);
  platform.startCaller(DOCS, 1, 3_000);
  await platform.clock.advance(200);
  assert.ok(known.server !== undefined);
  assert.equal(platform.callResults.outcomes.refused, 0);
  // A retransmitted opening is accepted once the daemon has read the store.
  await platform.clock.advance(2_000);
  assert.equal(platform.callResults.outcomes.answered, 2);
});

test('a stale catalog whose later events the store discarded is replaced', async () => {
  const platform = await createKilledFleet(2);
  platform.store.compactHistory();
  await startAll(platform);
  await platform.clock.advance(2_000);
  assert.deepEqual(versionsOf(platform), [2, 2]);
});

test('a daemon that starts during a store outage gets the catalog from a peer', async () => {
  const platform = await createKilledFleet(3);
  await startAll(platform);
  await platform.clock.advance(2_000);
  platform.store.outages.set('', OutageKind.SILENT);
  platform.killDaemon('d1');
  await platform.clock.advance(500);
  await platform.startDaemon('d1');
  await platform.clock.advance(200);
  assert.deepEqual(versionsOf(platform), [2, 2, 2]);
});

/** One daemon in thirteen has a fast link. */
const LINKS_MBPS = [...new Array<number>(12).fill(14), 140];

/** Starts all daemons; returns the sorted times to a complete catalog, in milliseconds. */
async function timeStarts(
  platform: SimulatedPlatform,
  slowAfterMs: number,
): Promise<number[]> {
  const {clock} = platform;
  const startedAt = new Map<string, number>();
  platform.daemons.forEach(({name, settings}) => {
    // Slow links go with small processor shares, so those daemons start later.
    const at = clock.now() + (settings.linkMbps < 100 ? slowAfterMs : 0);
    startedAt.set(name, at);
    clock.callAt(at, () => void platform.startDaemon(name));
  });
  const tookMs = new Map<string, number>();
  while (tookMs.size < platform.daemons.size && clock.now() < Infinity) {
    await clock.advance(2);
    platform.daemons.forEach(({name, running}) => {
      if (running?.catalog.isComplete === true && !tookMs.has(name)) {
        tookMs.set(name, clock.now() - (startedAt.get(name) ?? 0));
      }
    });
  }
  return [...tookMs.values()].sort((a, b) => a - b);
}

[0, 250].forEach(slowAfterMs =>
  test(`195 daemons that all start, slow ones ${slowAfterMs} ms later, pass on a catalog of 1,400 routes as a tree`, async () => {
    const routes = Array.from({length: 1_400}, (_route, index) => ({
      ...PAY,
      address: PAY.address + index,
    }));
    const platform = await SimulatedPlatform.create(
      {
        seed: 3,
        daemons: 195,
        failureDomains: ['a', 'b', 'c', 'd', 'e'],
        services: [{name: 'pay', servers: 205, slots: 2, workMs: 20}],
        routes,
        bounds: BOUNDS,
        storeLinkMbps: 1_000,
        linksMbps: LINKS_MBPS,
      },
      await XxhashHasher.create(),
    );
    [...platform.daemons.keys()].forEach(name => platform.killDaemon(name));
    await platform.clock.advance(1_000);
    const {sentBytes} = platform.network.links;
    sentBytes.clear();
    const tookMs = await timeStarts(platform, slowAfterMs);
    const p90 = tookMs[Math.floor(tookMs.length * 0.9)];
    // Without transfers between daemons the store's link would carry 73 MB.
    assert.ok(p90 <= 150, `90% after ${p90} ms`);
    assert.ok(tookMs[tookMs.length - 1] <= 300);
    assert.ok((sentBytes.get(STORE_LINK) ?? 0) <= 10e6);
    const busiest = Math.max(
      ...[...sentBytes]
        .filter(([link]) => link !== STORE_LINK)
        .map(([, bytes]) => bytes),
    );
    assert.ok(busiest <= 1.5e6, `${busiest} bytes sent by one daemon`);
  }),
);

test('a fleet with only slow links gets a large version in time, and recovers after all daemons end', async () => {
  // 2,800 routes are 620 kB from the store: 2.5 s on a link of 2 Mbit/s.
  const routes = Array.from({length: 2_800}, (_route, index) => ({
    ...PAY,
    port: 1_000 + index,
  }));
  const bounds = {...BOUNDS, configurationMs: 5_000, evacuationMs: 5_000};
  const platform = await SimulatedPlatform.create(
    {
      seed: 4,
      daemons: 22,
      failureDomains: ['a', 'b', 'c'],
      services: [{name: 'pay', servers: 15, slots: 2, workMs: 20}],
      routes: [PAY],
      bounds,
      storeLinkMbps: 1_000,
      linksMbps: [2],
    },
    await XxhashHasher.create(),
  );
  platform.publishRoutes(routes);
  await platform.clock.advance(bounds.configurationMs);
  assert.deepEqual([...new Set(versionsOf(platform))], [2]);
  [...platform.daemons.keys()].forEach(name => platform.killDaemon(name));
  await platform.clock.advance(500);
  const tookMs = await timeStarts(platform, 0);
  assert.ok(tookMs[tookMs.length - 1] <= 5_000, tookMs.join(' '));
});

test('85 daemons on slow links that all start together serve from the snapshot at once', async () => {
  // 250 routes and 105 servers are 90 kB: 0.1 s on a link of 7 Mbit/s.
  const routes = Array.from({length: 250}, (_route, index) => ({
    ...PAY,
    port: 1_000 + index,
  }));
  const platform = await SimulatedPlatform.create(
    {
      seed: 6,
      daemons: 85,
      failureDomains: ['a', 'b', 'c', 'd'],
      services: [{name: 'pay', servers: 105, slots: 2, workMs: 20}],
      routes,
      bounds: BOUNDS,
      storeLinkMbps: 1_000,
      linksMbps: [7],
    },
    await XxhashHasher.create(),
  );
  await platform.clock.advance(3_000);
  assert.ok(platform.store.snapshot !== undefined);
  [...platform.daemons.keys()].forEach(name => platform.killDaemon(name));
  platform.publishRoutes([...routes, DOCS]);
  await platform.clock.advance(1_000);
  const tookMs = await timeStarts(platform, 0);
  assert.ok(tookMs[tookMs.length - 1] <= 50, tookMs.join(' '));
  // The snapshot predates the last version, which one daemon reads for all.
  await platform.clock.advance(1_500);
  assert.deepEqual([...new Set(versionsOf(platform))], [2]);
});

test('a start recovers from an unreadable snapshot', async () => {
  const platform = await createKilledFleet(3, [7]);
  platform.store.writeSnapshot(Uint8Array.of(1, 2, 3), 0);
  await startAll(platform);
  await platform.clock.advance(1_500);
  assert.deepEqual(versionsOf(platform), [2, 2, 2]);
});

test('a fleet reads everything if its snapshot predates the events that the store retains', async () => {
  const platform = await createKilledFleet(3, [7]);
  const {catalog} = await startOne(platform);
  platform.killDaemon('d0');
  platform.store.writeSnapshot(encodeSnapshot(catalog, 0), 0);
  platform.publishRoutes([PAY]);
  platform.store.compactHistory();
  await startAll(platform);
  await platform.clock.advance(2_000);
  assert.deepEqual(versionsOf(platform), [3, 3, 3]);
});
