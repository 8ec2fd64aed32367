/** Fleets of 30 to 300 simulated daemons: membership views and the load on the store. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {formatIpv4} from '../routing/ipv4.js';
import {OutageKind} from '../../standins/catalog-store.js';
import {listReaders, listRouteVersions} from '../../standins/fleet-views.js';
import {SimulatedPlatform} from '../../standins/simulated-platform.js';
import {createRoute} from '../../standins/catalog-records.js';

const ROUTE = createRoute('pay', {address: 0xc6120001, port: 443});
const BOUNDS = {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000};
const CALM_MS = 20_000;

/** Creates a started fleet without callers. */
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

[30, 88, 195, 300].forEach(daemons =>
  test(`none of ${daemons} running daemons is logged as lost, and two read the store`, async () => {
    const platform = await createFleet(daemons);
    const callsBefore = platform.store.calls;
    await platform.clock.advance(CALM_MS);
    const lost = platform.logEntries.filter(({event}) => event === 'peer-lost');
    assert.equal(lost.length, 0);
    assert.equal(listReaders(platform).length, 2);
    // Two readers call every 1.7 s, regardless of the fleet's size.
    assert.ok(
      platform.store.calls - callsBefore <= 26,
      `${platform.store.calls}`,
    );
  }),
);

[30, 195].forEach(daemons =>
  test(`few of ${daemons} daemons take over when both readers end, within the bound`, async () => {
    const platform = await createFleet(daemons);
    await platform.clock.advance(1_000);
    listReaders(platform).forEach(name => platform.killDaemon(name));
    platform.publishRoutes([ROUTE]);
    const callsBefore = platform.store.calls;
    await platform.clock.advance(BOUNDS.configurationMs);
    assert.deepEqual(listRouteVersions(platform), [2]);
    assert.ok(
      platform.store.calls - callsBefore <= 8,
      `${platform.store.calls - callsBefore} calls`,
    );
  }),
);

[OutageKind.REFUSED, OutageKind.SILENT, OutageKind.BUSY].forEach(kind =>
  test(`few of 195 daemons call a store that is down (${kind}), and its return is seen within 2 s`, async () => {
    const platform = await createFleet(195);
    platform.store.outages.set('', kind);
    const callsBefore = platform.store.calls;
    await platform.clock.advance(10_000);
    const calls = platform.store.calls - callsBefore;
    assert.ok(calls <= 60, `${calls} calls in 10 s`);
    platform.store.outages.clear();
    platform.publishRoutes([ROUTE]);
    await platform.clock.advance(2_000);
    assert.deepEqual(listRouteVersions(platform), [2]);
  }),
);

test('others of 195 daemons read a store that does not respond to a third of them', async () => {
  const platform = await createFleet(195);
  const names = [...platform.daemons.keys()];
  const readers = new Set(listReaders(platform));
  names
    .filter((name, index) => index % 3 === 0 || readers.has(name))
    .forEach(name => platform.store.outages.set(name, OutageKind.SILENT));
  const callsBefore = platform.store.calls;
  for (let round = 0; round < 4; round += 1) {
    platform.publishRoutes([ROUTE]);
    await platform.clock.advance(BOUNDS.configurationMs);
    assert.deepEqual(listRouteVersions(platform), [2 + round]);
  }
  const calls = platform.store.calls - callsBefore;
  assert.ok(calls <= 60, `${calls} calls in 12 s`);
});

test('195 daemons that all start, and all restart, make few calls to the store', async () => {
  const platform = await createFleet(195);
  assert.ok(platform.store.calls <= 20, `${platform.store.calls} at first`);
  const names = [...platform.daemons.keys()];
  names.forEach(name => platform.killDaemon(name));
  await platform.clock.advance(1_000);
  const callsBefore = platform.store.calls;
  await Promise.all(names.map(name => platform.startDaemon(name)));
  await platform.clock.advance(3_000);
  const calls = platform.store.calls - callsBefore;
  assert.ok(calls <= 10, `${calls} at the restart`);
});

test('daemons partitioned from all peers read the store, once in three quarters of the time limit', async () => {
  const platform = await createFleet(30);
  const names = [...platform.daemons.keys()];
  const cut = names.slice(0, 10);
  cut.forEach(name => platform.setPartitionedFromPeers(name, true));
  await platform.clock.advance(4_000);
  const callsBefore = platform.store.calls;
  platform.publishRoutes([ROUTE]);
  await platform.clock.advance(BOUNDS.configurationMs);
  assert.deepEqual(listRouteVersions(platform), [2]);
  await platform.clock.advance(9_000 - BOUNDS.configurationMs);
  const calls = platform.store.calls - callsBefore;
  assert.ok(calls <= 10 * 5 + 12, `${calls} calls in 9 s`);
});

/** Peers logged as lost since a line, as "daemon: peer". */
function lostSince(platform: SimulatedPlatform, firstLine: number): string[] {
  return platform.logEntries
    .slice(firstLine)
    .filter(({event}) => event === 'peer-lost')
    .map(({process, fields}) => `${process}: ${fields['peer']}`);
}

function addressOf(platform: SimulatedPlatform, name: string): string {
  return formatIpv4(platform.getDaemon(name).settings.address);
}

test('killed daemons are logged as lost within 6 s, at most once by each daemon', async () => {
  const platform = await createFleet(195);
  const ended = Array.from({length: 12}, (_daemon, index) => `d${index * 16}`);
  const firstLine = platform.logEntries.length;
  ended.forEach(name => platform.killDaemon(name));
  await platform.clock.advance(6_000);
  const reports = lostSince(platform, firstLine);
  assert.equal(new Set(reports).size, reports.length, 'logged twice');
  const addresses = new Set(reports.map(line => line.split(': ')[1]));
  const expected = ended.map(name => addressOf(platform, name));
  assert.deepEqual([...addresses].sort(), expected.sort());
});

test('the gossip of a fleet that loses half of its daemons at once stays connected', async () => {
  const platform = await createFleet(195);
  const names = [...platform.daemons.keys()];
  names
    .filter((_name, index) => index % 2 === 0)
    .forEach(name => platform.killDaemon(name));
  await platform.clock.advance(6_000);
  platform.publishRoutes([ROUTE]);
  await platform.clock.advance(BOUNDS.configurationMs);
  assert.deepEqual(listRouteVersions(platform), [2]);
});

test('a failure domain rejoins the gossip after a long partition', async () => {
  const platform = await createFleet(88);
  const names = [...platform.daemons.keys()];
  const domainOf = (name: string) =>
    platform.getDaemon(name).settings.failureDomain;
  const inside = names.filter(name => domainOf(name) === 'a');
  const outside = names.filter(name => domainOf(name) !== 'a');
  const setPartitioned = (isPartitioned: boolean) =>
    inside.forEach(name =>
      outside.forEach(other =>
        platform.setPartitionedBetween(name, other, isPartitioned),
      ),
    );
  setPartitioned(true);
  await platform.clock.advance(20_000);
  setPartitioned(false);
  // Without the store, the domain depends on its peers for the new version.
  inside.forEach(name => platform.store.outages.set(name, OutageKind.SILENT));
  await platform.clock.advance(10_000);
  platform.publishRoutes([ROUTE]);
  await platform.clock.advance(BOUNDS.configurationMs);
  assert.deepEqual(listRouteVersions(platform), [2]);
});
