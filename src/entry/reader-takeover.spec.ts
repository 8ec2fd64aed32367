/**
 * How soon news reaches daemons when the store turns most of the fleet away, or when the
 * daemons that read it do not pass it on.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {OutageKind} from '../../standins/catalog-store.js';
import {createRoute} from '../../standins/catalog-records.js';
import {listReaders, listRouteVersions} from '../../standins/fleet-views.js';
import {SimulatedPlatform} from '../../standins/simulated-platform.js';

const ROUTE = createRoute('pay', {address: 0xc6120001, port: 443});
const LIMIT_MS = 3_000;
/** Time between two outages, in which two daemons read the store again. */
const CALM_MS = 12_000;

async function createFleet(
  daemons: number,
  seed: number,
): Promise<SimulatedPlatform> {
  return SimulatedPlatform.create(
    {
      seed,
      daemons,
      failureDomains: ['a', 'b', 'c', 'd'],
      services: [{name: 'pay', servers: 10, slots: 2, workMs: 20}],
      routes: [ROUTE],
      bounds: {
        drainMs: LIMIT_MS,
        configurationMs: LIMIT_MS,
        evacuationMs: LIMIT_MS,
      },
    },
    await XxhashHasher.create(),
  );
}

// Guards against daemons that learn of a change too late since the daemons that the store
// turns away try one after the other to take over the reading.
[8, 30].forEach(daemons =>
  [1, 2, 3].forEach(seed =>
    test(`a fourth of ${daemons} daemons learns of changes within 3 s while the store is silent to all others, seed ${seed}`, async () => {
      const platform = await createFleet(daemons, seed);
      const names = [...platform.daemons.keys()];
      for (let round = 0; round < 6; round += 1) {
        // The outages begin at different phases of the readers' waits.
        await platform.clock.advance(CALM_MS + round * 270);
        const readers = listReaders(platform);
        const others = names.filter(name => !readers.includes(name));
        const served = others.slice(0, daemons / 4);
        names
          .filter(name => !served.includes(name))
          .forEach(name => platform.store.outages.set(name, OutageKind.SILENT));
        platform.publishRoutes([ROUTE]);
        await platform.clock.advance(LIMIT_MS);
        assert.deepEqual(listRouteVersions(platform, served), [2 + round]);
        platform.store.outages.clear();
      }
    }),
  ),
);

// Guards against daemons that wait for readers which read the store but answer no pulls in
// time, and learn of changes too late.
[8, 30].forEach(daemons =>
  [1, 2, 3].forEach(seed =>
    test(`${daemons} daemons learn of changes within 3 s while both readers answer no pulls, seed ${seed}`, async () => {
      const platform = await createFleet(daemons, seed);
      for (let round = 0; round < 4; round += 1) {
        await platform.clock.advance(CALM_MS + round * 270);
        const readers = listReaders(platform);
        readers
          .map(name => platform.getDaemon(name).settings.address)
          .forEach(address => platform.network.unansweringDaemons.add(address));
        const callsBefore = platform.store.calls;
        platform.publishRoutes([ROUTE]);
        await platform.clock.advance(LIMIT_MS);
        assert.deepEqual(listRouteVersions(platform), [2 + round]);
        const calls = platform.store.calls - callsBefore;
        assert.ok(calls <= 20, `${calls} calls in 3 s`);
        platform.network.unansweringDaemons.clear();
      }
    }),
  ),
);

[OutageKind.REFUSED, OutageKind.SILENT].forEach(kind =>
  test(`8 daemons make at most 24 calls in 4 s to a store that is down (${kind})`, async () => {
    const platform = await createFleet(8, 1);
    await platform.clock.advance(CALM_MS);
    platform.store.outages.set('', kind);
    const callsBefore = platform.store.calls;
    await platform.clock.advance(4_000);
    const calls = platform.store.calls - callsBefore;
    assert.ok(calls <= 24, `${calls} calls in 4 s`);
  }),
);

// Guards against changes that are known late since calls of the last moments of a silent
// outage are still awaited after its end.
[2_600, 3_300, 3_700, 4_100].forEach(outageMs =>
  test(`8 daemons learn of changes within 3 s of the end of a silent outage of ${outageMs} ms`, async () => {
    const platform = await createFleet(8, outageMs);
    for (let round = 0; round < 4; round += 1) {
      await platform.clock.advance(CALM_MS + round * 270);
      platform.store.outages.set('', OutageKind.SILENT);
      await platform.clock.advance(outageMs);
      platform.store.outages.clear();
      platform.publishRoutes([ROUTE]);
      await platform.clock.advance(LIMIT_MS);
      assert.deepEqual(listRouteVersions(platform), [2 + round]);
    }
  }),
);
