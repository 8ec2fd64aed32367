/** Starts from an old copy: what it may do, and how it is brought up to date. */
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
/** How far the store's old reads lie back, in milliseconds. */
const LAG_MS = 5_000;

/** A fleet whose daemons all have been killed. */
async function createKilledFleet(
  daemons: number,
  linksMbps?: readonly number[],
): Promise<SimulatedPlatform> {
  const world = await SimulatedPlatform.create(
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
  world.store.lagMs = LAG_MS;
  world.publish([PAY, DOCS]);
  [...world.daemons.keys()].forEach(name => world.killDaemon(name));
  await world.clock.advance(500);
  return world;
}

async function startAll(world: SimulatedPlatform): Promise<void> {
  const names = [...world.daemons.keys()];
  await Promise.all(names.map(name => world.startDaemon(name)));
}

/** Starts one daemon and waits until it has a copy. */
async function startOne(world: SimulatedPlatform): Promise<EntryDaemon> {
  await world.startDaemon('d0');
  await world.clock.advance(1_000);
  const running = world.daemons.get('d0')?.running;
  assert.ok(running !== undefined);
  return running;
}

function versionsOf(world: SimulatedPlatform): number[] {
  return [...world.daemons.values()].map(
    ({running}) => running?.catalog.stamp.routeVersion ?? 0,
  );
}

[3, 60].forEach(daemons =>
  test(`${daemons} daemons that all start from an old copy serve at once, and soon by the newest`, async () => {
    const world = await createKilledFleet(daemons);
    const callsBefore = world.store.calls;
    await startAll(world);
    await world.clock.advance(25);
    assert.deepEqual(new Set(versionsOf(world)), new Set([1]));
    await world.clock.advance(1_000);
    assert.deepEqual(new Set(versionsOf(world)), new Set([2]));
    assert.ok(
      world.store.calls - callsBefore <= 5,
      `${world.store.calls - callsBefore} calls`,
    );
    assert.equal(world.store.oldReads, daemons);
  }),
);

test('a daemon with an old copy forwards by it, and refuses nothing aloud', async () => {
  const world = await createKilledFleet(1);
  await startAll(world);
  await world.clock.advance(25);
  const known = world.call(PAY, 1, 3_000);
  world.call(DOCS, 1, 3_000);
  await world.clock.advance(200);
  assert.ok(known.server !== undefined);
  assert.equal(world.tally.ends.refused, 0);
  // Its later copies are taken once the daemon has read by itself.
  await world.clock.advance(2_000);
  assert.equal(world.tally.ends.answered, 2);
});

test('an old copy whose later events are forgotten is replaced', async () => {
  const world = await createKilledFleet(2);
  world.store.forgetHistory();
  await startAll(world);
  await world.clock.advance(2_000);
  assert.deepEqual(versionsOf(world), [2, 2]);
});

test('a daemon that starts while the store is away gets its copy from a peer', async () => {
  const world = await createKilledFleet(3);
  await startAll(world);
  await world.clock.advance(2_000);
  world.store.outages.set('', OutageKind.SILENT);
  world.killDaemon('d1');
  await world.clock.advance(500);
  await world.startDaemon('d1');
  await world.clock.advance(200);
  assert.deepEqual(versionsOf(world), [2, 2, 2]);
});

/** Megabits a second: one daemon in thirteen has an ample link. */
const LINKS_MBPS = [...new Array<number>(12).fill(14), 140];

/** Starts all daemons of a killed fleet; returns when the first ones had a copy. */
async function timeStarts(
  world: SimulatedPlatform,
  slowAfterMs: number,
): Promise<number[]> {
  const {clock} = world;
  const startedAt = new Map<string, number>();
  world.daemons.forEach(({name, settings}) => {
    // A daemon with a small share of a processor is there later.
    const at = clock.now() + (settings.linkMbps < 100 ? slowAfterMs : 0);
    startedAt.set(name, at);
    clock.callAt(at, () => void world.startDaemon(name));
  });
  const tookMs = new Map<string, number>();
  while (tookMs.size < world.daemons.size && clock.now() < Infinity) {
    await clock.advance(2);
    world.daemons.forEach(({name, running}) => {
      if (running?.catalog.isComplete === true && !tookMs.has(name)) {
        tookMs.set(name, clock.now() - (startedAt.get(name) ?? 0));
      }
    });
  }
  return [...tookMs.values()].sort((a, b) => a - b);
}

[0, 250].forEach(slowAfterMs =>
  test(`copies of 1,400 routes reach 195 daemons that all start, slow ones ${slowAfterMs} ms later, as a tree`, async () => {
    const routes = Array.from({length: 1_400}, (_route, index) => ({
      ...PAY,
      address: PAY.address + index,
    }));
    const world = await SimulatedPlatform.create(
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
    [...world.daemons.keys()].forEach(name => world.killDaemon(name));
    await world.clock.advance(1_000);
    const {sentBytes} = world.network.links;
    sentBytes.clear();
    const tookMs = await timeStarts(world, slowAfterMs);
    const p90 = tookMs[Math.floor(tookMs.length * 0.9)];
    // By reads of the store alone it takes 450 ms, and 73 MB of the store's link.
    assert.ok(p90 <= 150, `90% after ${p90} ms`);
    assert.ok(tookMs[tookMs.length - 1] <= 300);
    assert.ok((sentBytes.get(STORE_LINK) ?? 0) <= 10e6);
    const busiest = Math.max(
      ...[...sentBytes]
        .filter(([link]) => link !== STORE_LINK)
        .map(([, bytes]) => bytes),
    );
    assert.ok(busiest <= 1.5e6, `${busiest} bytes of one daemon`);
  }),
);

test('a fleet of slow links alone takes a long version in time, and serves again after it lost all copies', async () => {
  // 2,800 routes are 620 kB from the store, of which a link of 2 Mbit/s takes 2.5 s.
  const routes = Array.from({length: 2_800}, (_route, index) => ({
    ...PAY,
    port: 1_000 + index,
  }));
  const bounds = {...BOUNDS, configurationMs: 5_000, evacuationMs: 5_000};
  const world = await SimulatedPlatform.create(
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
  world.publish(routes);
  await world.clock.advance(bounds.configurationMs);
  assert.deepEqual([...new Set(versionsOf(world))], [2]);
  [...world.daemons.keys()].forEach(name => world.killDaemon(name));
  await world.clock.advance(500);
  const tookMs = await timeStarts(world, 0);
  assert.ok(tookMs[tookMs.length - 1] <= 5_000, tookMs.join(' '));
});

test('85 daemons on slow links that all start together serve from the kept copy, at once', async () => {
  // 250 routes and 105 servers are 90 kB here, of which a link of 7 Mbit/s takes 0.1 s.
  const routes = Array.from({length: 250}, (_route, index) => ({
    ...PAY,
    port: 1_000 + index,
  }));
  const world = await SimulatedPlatform.create(
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
  await world.clock.advance(3_000);
  assert.ok(world.store.snapshot !== undefined);
  [...world.daemons.keys()].forEach(name => world.killDaemon(name));
  world.publish([...routes, DOCS]);
  await world.clock.advance(1_000);
  const tookMs = await timeStarts(world, 0);
  assert.ok(tookMs[tookMs.length - 1] <= 50, tookMs.join(' '));
  // The copy is older than the last version, which one daemon reads for all.
  await world.clock.advance(1_500);
  assert.deepEqual([...new Set(versionsOf(world))], [2]);
});

test('a kept copy that cannot be read costs a start nothing but the call', async () => {
  const world = await createKilledFleet(3, [7]);
  world.store.writeSnapshot(Uint8Array.of(1, 2, 3), 0);
  await startAll(world);
  await world.clock.advance(1_500);
  assert.deepEqual(versionsOf(world), [2, 2, 2]);
});

test('a fleet that starts while the kept copy lags behind what history holds reads everything', async () => {
  const world = await createKilledFleet(3, [7]);
  const {catalog} = await startOne(world);
  world.killDaemon('d0');
  world.store.writeSnapshot(encodeSnapshot(catalog, 0), 0);
  world.publish([PAY]);
  world.store.forgetHistory();
  await startAll(world);
  await world.clock.advance(2_000);
  assert.deepEqual(versionsOf(world), [3, 3, 3]);
});
