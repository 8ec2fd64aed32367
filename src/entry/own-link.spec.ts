/** Small fleets with daemons cut off from servers, and servers at fault, with feedback. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {createRoute} from '../../standins/catalog-records.js';
import {SimulatedPlatform} from '../../standins/simulated-platform.js';

const FEED = createRoute('feed', {
  address: 0xc6120002,
  port: 443,
  repeatable: true,
});
const SERVERS = 25;
const CALL_LIMIT_MS = 5_000;

async function createPlatform(feedback: boolean): Promise<SimulatedPlatform> {
  return SimulatedPlatform.create(
    {
      seed: 9,
      daemons: 6,
      failureDomains: ['a', 'b', 'c'],
      services: [{name: 'feed', servers: SERVERS, slots: 40, workMs: 5}],
      routes: [FEED],
      bounds: {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000},
      features: {feedback, pressure: false},
    },
    await XxhashHasher.create(),
  );
}

/** Opens flows of one request each, 500 a second. */
async function runCalls(
  platform: SimulatedPlatform,
  durationMs: number,
): Promise<void> {
  for (let spent = 0; spent < durationMs; spent += 2) {
    platform.startCaller(FEED, 1, CALL_LIMIT_MS);
    await platform.clock.advance(2);
  }
}

function countLines(platform: SimulatedPlatform, name: string, event: string) {
  return platform.logEntries.filter(
    entry => entry.process === name && entry.event === event,
  ).length;
}

test('a daemon partitioned from all servers for 3 s blames none beyond the first second', async () => {
  const counts = [];
  for (const feedback of [false, true]) {
    const platform = await createPlatform(feedback);
    await runCalls(platform, 2_000);
    platform.partitionedFromServers.add('d0');
    await runCalls(platform, 3_000);
    platform.partitionedFromServers.delete('d0');
    await runCalls(platform, 3_000);
    counts.push({
      silent: countLines(platform, 'd0', 'server-silent'),
      polls: countLines(platform, 'd0', 'server-tried'),
      faults: countLines(platform, 'd0', 'local-fault'),
      over: countLines(platform, 'd0', 'local-fault-over'),
    });
    assert.deepEqual(platform.violations, []);
  }
  const [without, withFeedback] = counts;
  assert.deepEqual([without.faults, without.over], [0, 0]);
  assert.deepEqual([withFeedback.faults, withFeedback.over], [1, 1]);
  assert.ok(withFeedback.silent * 2 < without.silent, JSON.stringify(counts));
  assert.ok(withFeedback.polls * 2 < without.polls, JSON.stringify(counts));
});

[4, 10].forEach(silentCount =>
  test(`${silentCount} of ${SERVERS} servers that crash are blamed, and nobody finds a local fault`, async () => {
    const platform = await createPlatform(true);
    await runCalls(platform, 2_000);
    const silent = platform.listReadyServers('feed').slice(0, silentCount);
    silent.forEach(server => platform.crashServer(server, true, 6_000));
    await runCalls(platform, 4_000);
    const events = new Set(platform.logEntries.map(({event}) => event));
    assert.ok(events.has('server-silent'));
    assert.ok(!events.has('local-fault'));
    assert.deepEqual(platform.violations, []);
  }),
);
