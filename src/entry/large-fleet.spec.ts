/**
 * Fleets of 30 to 300 daemons in memory: what each believes of its peers, and how
 * often the fleet asks the store.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {formatIpv4} from '../routing/ipv4.js';
import {OutageKind} from '../../standins/catalog-store.js';
import {SimulatedPlatform} from '../../standins/simulated-platform.js';
import {createRoute} from '../../standins/catalog-records.js';

const ROUTE = createRoute('pay', {address: 0xc6120001, port: 443});
const BOUNDS = {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000};
const CALM_MS = 20_000;

/** A fleet that has started and serves nobody. */
async function createFleet(daemons: number): Promise<SimulatedPlatform> {
  return SimulatedPlatform.create(
    {
      seed: daemons,
      daemons,
      failureDomains: ['a', 'b', 'c', 'd', 'e'],
      services: [{name: 'pay', servers: 20, slots: 2, workMs: 20}],
      routes: [ROUTE],
      bounds: BOUNDS,
    },
    await XxhashHasher.create(),
  );
}

/** Daemons that wait at the store, by their own last word on it. */
function readersOf(world: SimulatedPlatform): string[] {
  const waits = new Map<string, boolean>();
  world.lines
    .filter(({event}) => event === 'reader-changed')
    .forEach(({process, fields}) =>
      waits.set(process, fields['waits'] === true),
    );
  return [...waits.keys()].filter(name => waits.get(name) === true);
}

[30, 88, 195, 300].forEach(daemons =>
  test(`of ${daemons} daemons that all live none is told as lost, and two read the store`, async () => {
    const world = await createFleet(daemons);
    const callsBefore = world.store.calls;
    await world.clock.advance(CALM_MS);
    const lost = world.lines.filter(({event}) => event === 'peer-lost');
    assert.equal(lost.length, 0);
    assert.equal(readersOf(world).length, 2);
    // Two daemons, each a call in 1.7 s, whatever the fleet.
    assert.ok(world.store.calls - callsBefore <= 26, `${world.store.calls}`);
  }),
);

[30, 195].forEach(daemons =>
  test(`of ${daemons} daemons few take over when both readers end, and in time`, async () => {
    const world = await createFleet(daemons);
    await world.clock.advance(1_000);
    readersOf(world).forEach(name => world.killDaemon(name));
    world.publish([ROUTE]);
    const callsBefore = world.store.calls;
    await world.clock.advance(BOUNDS.configurationMs);
    assert.deepEqual([...versionsOf(world)], [2]);
    assert.ok(
      world.store.calls - callsBefore <= 8,
      `${world.store.calls - callsBefore} calls`,
    );
  }),
);

[OutageKind.REFUSED, OutageKind.SILENT, OutageKind.BUSY].forEach(kind =>
  test(`a store that is away (${kind}) is asked by few of 195 daemons, and its return is seen within 2 s`, async () => {
    const world = await createFleet(195);
    world.store.outages.set('', kind);
    const callsBefore = world.store.calls;
    await world.clock.advance(10_000);
    const calls = world.store.calls - callsBefore;
    assert.ok(calls <= 60, `${calls} calls in 10 s`);
    world.store.outages.clear();
    world.publish([ROUTE]);
    await world.clock.advance(2_000);
    assert.deepEqual([...versionsOf(world)], [2]);
  }),
);

test('a store that turns a third of 195 daemons away is read by others, in time', async () => {
  const world = await createFleet(195);
  const names = [...world.daemons.keys()];
  const readers = new Set(readersOf(world));
  names
    .filter((name, index) => index % 3 === 0 || readers.has(name))
    .forEach(name => world.store.outages.set(name, OutageKind.SILENT));
  const callsBefore = world.store.calls;
  for (let round = 0; round < 4; round += 1) {
    world.publish([ROUTE]);
    await world.clock.advance(BOUNDS.configurationMs);
    assert.deepEqual([...versionsOf(world)], [2 + round]);
  }
  const calls = world.store.calls - callsBefore;
  assert.ok(calls <= 60, `${calls} calls in 12 s`);
});

test('195 daemons that all start for the first time, and all start again, ask the store a few times', async () => {
  const world = await createFleet(195);
  assert.ok(world.store.calls <= 20, `${world.store.calls} at first`);
  const names = [...world.daemons.keys()];
  names.forEach(name => world.killDaemon(name));
  await world.clock.advance(1_000);
  const callsBefore = world.store.calls;
  await Promise.all(names.map(name => world.startDaemon(name)));
  await world.clock.advance(3_000);
  const calls = world.store.calls - callsBefore;
  assert.ok(calls <= 10, `${calls} at the second start`);
});

test('daemons that hear of nobody read by themselves, once in three quarters of the limit', async () => {
  const world = await createFleet(30);
  const names = [...world.daemons.keys()];
  const cut = names.slice(0, 10);
  cut.forEach(name => world.cutFromPeers(name, true));
  await world.clock.advance(4_000);
  const callsBefore = world.store.calls;
  world.publish([ROUTE]);
  await world.clock.advance(BOUNDS.configurationMs);
  assert.deepEqual([...versionsOf(world)], [2]);
  await world.clock.advance(9_000 - BOUNDS.configurationMs);
  const calls = world.store.calls - callsBefore;
  assert.ok(calls <= 10 * 5 + 12, `${calls} calls in 9 s`);
});

/** What daemons told of peers since a line, as "who told: of whom". */
function lostSince(world: SimulatedPlatform, firstLine: number): string[] {
  return world.lines
    .slice(firstLine)
    .filter(({event}) => event === 'peer-lost')
    .map(({process, fields}) => `${process}: ${fields['peer']}`);
}

function addressOf(world: SimulatedPlatform, name: string): string {
  return formatIpv4(world.daemonOf(name).settings.address);
}

/** Versions that the running daemons hold. */
function versionsOf(world: SimulatedPlatform): Set<number> {
  return new Set(
    [...world.daemons.values()].flatMap(({running}) =>
      running === undefined ? [] : [running.catalog.stamp.routeVersion],
    ),
  );
}

test('daemons that end are told as lost within 6 s, and once by a daemon or not at all', async () => {
  const world = await createFleet(195);
  const ended = Array.from({length: 12}, (_daemon, index) => `d${index * 16}`);
  const firstLine = world.lines.length;
  ended.forEach(name => world.killDaemon(name));
  await world.clock.advance(6_000);
  const told = lostSince(world, firstLine);
  assert.equal(new Set(told).size, told.length, 'told twice');
  const addresses = new Set(told.map(line => line.split(': ')[1]));
  const expected = ended.map(name => addressOf(world, name));
  assert.deepEqual([...addresses].sort(), expected.sort());
});

test('a fleet that loses half of its daemons at once stays in one piece', async () => {
  const world = await createFleet(195);
  const names = [...world.daemons.keys()];
  names
    .filter((_name, index) => index % 2 === 0)
    .forEach(name => world.killDaemon(name));
  await world.clock.advance(6_000);
  world.publish([ROUTE]);
  await world.clock.advance(BOUNDS.configurationMs);
  assert.deepEqual([...versionsOf(world)], [2]);
});

test('a failure domain that was cut off for long is in touch again after the cut', async () => {
  const world = await createFleet(88);
  const names = [...world.daemons.keys()];
  const isCut = (name: string) => world.daemonOf(name).settings.failureDomain;
  const inside = names.filter(name => isCut(name) === 'a');
  const outside = names.filter(name => isCut(name) !== 'a');
  const setCut = (cut: boolean) =>
    inside.forEach(name =>
      outside.forEach(other => world.cutBetween(name, other, cut)),
    );
  setCut(true);
  await world.clock.advance(20_000);
  setCut(false);
  // The domain itself does not reach the store, so it depends on its peers.
  inside.forEach(name => world.store.outages.set(name, OutageKind.SILENT));
  await world.clock.advance(10_000);
  world.publish([ROUTE]);
  await world.clock.advance(BOUNDS.configurationMs);
  assert.deepEqual([...versionsOf(world)], [2]);
});
