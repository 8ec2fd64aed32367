/** What a daemon whose process was paused may still tell the others when it resumes. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {ServerState} from '../catalog/records.js';
import {createRoute} from '../../standins/catalog-records.js';
import {listReaders} from '../../standins/fleet-views.js';
import {SimulatedPlatform} from '../../standins/simulated-platform.js';

const FEED = createRoute('feed', {
  address: 0xc6120002,
  port: 443,
  repeatable: true,
});
const LONG_CALL_MS = 60_000;
/** Keeps a flow open for a whole test. */
const MANY_REQUESTS = 5_000;
const PAUSE_MS = 100;

async function createPlatform(
  daemons: number,
  seed: number,
): Promise<SimulatedPlatform> {
  const platform = await SimulatedPlatform.create(
    {
      seed,
      daemons,
      failureDomains: ['a', 'b', 'c', 'd'],
      services: [{name: 'feed', servers: 10, slots: 4, workMs: 20}],
      routes: [FEED],
      bounds: {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000},
    },
    await XxhashHasher.create(),
  );
  openFlows(platform);
  await platform.clock.advance(1_000);
  return platform;
}

function openFlows(platform: SimulatedPlatform): void {
  Array.from({length: 60}, () =>
    platform.startCaller(FEED, MANY_REQUESTS, LONG_CALL_MS, PAUSE_MS),
  );
}

// Guards against open flows being reset on findings that a resumed daemon took from its
// receive buffer and passed on as new.
[1, 2, 3].forEach(seed =>
  test(`a resumed daemon does not renew findings on servers that were reached since, seed ${seed}`, async () => {
    const platform = await createPlatform(8, seed);
    const silent = platform.listReadyServers('feed').slice(0, 3);
    silent.forEach(server => platform.pauseServer(server, 5_000));
    await platform.clock.advance(2_000);
    platform.pauseDaemon('d0');
    await platform.clock.advance(5_000);
    const cutBefore = platform.callResults.outcomes.cut;
    assert.ok(cutBefore > 0, 'the servers were found unreachable');
    // Flows that open after the servers are back.
    openFlows(platform);
    await platform.clock.advance(2_500);
    platform.resumeDaemon('d0');
    await platform.clock.advance(5_000);
    assert.equal(platform.callResults.outcomes.cut, cutBefore);
    assert.deepEqual(platform.violations, []);
  }),
);

// Guards against daemons that take lost readers for alive on the word of a resumed daemon,
// and open flows at leaving servers since no daemon takes over.
[1, 2, 3].forEach(seed =>
  test(`a resumed daemon does not extend the leases of lost readers, seed ${seed}`, async () => {
    const platform = await createPlatform(8, seed);
    const names = [...platform.daemons.keys()];
    const readers = listReaders(platform);
    const [first, second, ...rest] = names.filter(
      name => !readers.includes(name),
    );
    platform.pauseDaemon(first);
    platform.pauseDaemon(second);
    await platform.clock.advance(1_800);
    [...readers, ...rest.slice(1)].forEach(name => platform.killDaemon(name));
    platform
      .listReadyServers('feed')
      .slice(0, 3)
      .forEach(server => platform.drainServer(server, 10_000));
    await platform.clock.advance(1_600);
    platform.resumeDaemon(first);
    await platform.clock.advance(900);
    platform.resumeDaemon(second);
    await platform.clock.advance(500);
    const known = platform.getDaemon(rest[0]).running?.catalog;
    const draining = known
      ?.allServers()
      .filter(({state}) => state === ServerState.DRAINING);
    assert.equal(draining?.length, 3, '3 s after the servers began to drain');
  }),
);
