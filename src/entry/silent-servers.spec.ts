/**
 * Open flows on servers that stop responding: which are reset, how soon, and which must
 * never be.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import type {CookieCaller} from '../../standins/cookie-callers.js';
import type {CookieServer} from '../../standins/cookie-servers.js';
import {SimulatedPlatform} from '../../standins/simulated-platform.js';
import {createRoute} from '../../standins/catalog-records.js';

const BOUNDS = {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000};
const PAY = createRoute('pay', {address: 0xc6120001, port: 443});
const FEED = createRoute('feed', {
  address: 0xc6120002,
  port: 443,
  repeatable: true,
});
const SERVERS = 40;
const LONG_CALL_MS = 30_000;
/** Keeps a flow open for a whole test. */
const MANY_REQUESTS = 5_000;

async function createPlatform(
  daemons: number,
  failureDomains = ['a', 'b', 'c', 'd', 'e'],
  workMs = 100,
): Promise<SimulatedPlatform> {
  return SimulatedPlatform.create(
    {
      seed: 5,
      daemons,
      failureDomains,
      services: [
        {name: 'pay', servers: 10, slots: 2, workMs: 100},
        {name: 'feed', servers: SERVERS, slots: 4, workMs},
      ],
      routes: [PAY, FEED],
      bounds: BOUNDS,
    },
    await XxhashHasher.create(),
  );
}

/** Opens flows whose callers send requests back to back. */
async function openFlows(
  platform: SimulatedPlatform,
  route: typeof PAY,
  count: number,
): Promise<CookieCaller[]> {
  const callers = Array.from({length: count}, () =>
    platform.startCaller(route, MANY_REQUESTS, LONG_CALL_MS),
  );
  await platform.clock.advance(1_000);
  return callers;
}

function flowsAt(
  callers: readonly CookieCaller[],
  servers: readonly CookieServer[],
): CookieCaller[] {
  const ids = new Set(servers.map(({entry}) => entry.id));
  return callers.filter(({server}) => ids.has(server ?? ''));
}

[3, 30, 195].forEach(daemons =>
  test(`flows are reset within 1.2 s when a quarter of a service crashes, with ${daemons} daemons`, async () => {
    const platform = await createPlatform(daemons);
    const callers = await openFlows(platform, FEED, 120);
    const silent = platform.listReadyServers('feed').slice(0, SERVERS / 4);
    silent.forEach(server => platform.crashServer(server, true, 2_300));
    await platform.clock.advance(1_200);
    const affected = flowsAt(callers, silent);
    assert.ok(affected.length >= 15, `${affected.length} flows`);
    assert.equal(platform.callResults.outcomes.cut, affected.length);
    await platform.clock.advance(5_000);
    assert.equal(platform.callResults.outcomes.cut, affected.length);
    assert.deepEqual(platform.violations, []);
  }),
);

test('flows of non-repeatable requests stay on an unresponsive server', async () => {
  const platform = await createPlatform(30);
  const callers = await openFlows(platform, PAY, 60);
  const silent = platform.listReadyServers('pay').slice(0, 3);
  silent.forEach(server => platform.pauseServer(server, 3_000));
  await platform.clock.advance(10_000);
  assert.ok(flowsAt(callers, silent).length >= 10);
  assert.equal(platform.callResults.outcomes.cut, 0);
  assert.deepEqual(platform.violations, []);
});

test('a server that is unresponsive for 250 ms keeps its flows', async () => {
  const platform = await createPlatform(30);
  await openFlows(platform, FEED, 120);
  platform
    .listReadyServers('feed')
    .slice(0, 10)
    .forEach(server => platform.pauseServer(server, 250));
  await platform.clock.advance(5_000);
  assert.equal(platform.callResults.outcomes.cut, 0);
});

test('a server that responds again after 3 s gets new flows within 1.5 s', async () => {
  const platform = await createPlatform(30);
  await openFlows(platform, FEED, 120);
  const silent = platform.listReadyServers('feed').slice(0, 10);
  silent.forEach(server => platform.pauseServer(server, 3_000));
  await platform.clock.advance(4_500);
  const later = await openFlows(platform, FEED, 200);
  assert.ok(flowsAt(later, silent).length >= 20);
  assert.deepEqual(platform.violations, []);
});

test('servers that take 2 s per request count as reachable and keep their flows', async () => {
  const platform = await createPlatform(30, ['a', 'b'], 2_000);
  await openFlows(platform, FEED, 100);
  await platform.clock.advance(10_000);
  assert.equal(platform.callResults.outcomes.cut, 0);
  assert.deepEqual(platform.violations, []);
});

test('no flow is reset when one failure domain of daemons cannot reach the servers', async () => {
  const platform = await createPlatform(30);
  await openFlows(platform, FEED, 120);
  [...platform.daemons.values()]
    .filter(({settings}) => settings.failureDomain === 'a')
    .forEach(({name}) => platform.partitionedFromServers.add(name));
  await platform.clock.advance(5_000);
  assert.equal(platform.callResults.outcomes.cut, 0);
  assert.deepEqual(platform.violations, []);
});

test('a daemon without peers resets no flow', async () => {
  const platform = await createPlatform(1);
  await openFlows(platform, FEED, 60);
  platform
    .listReadyServers('feed')
    .slice(0, 10)
    .forEach(server => platform.pauseServer(server, 3_000));
  await platform.clock.advance(6_000);
  assert.equal(platform.callResults.outcomes.cut, 0);
});

test('unresponsive servers are detected although a fifth of the datagrams between daemons is lost', async () => {
  const platform = await createPlatform(60);
  platform.network.heartbeatLossRate = 0.2;
  const callers = await openFlows(platform, FEED, 120);
  const silent = platform.listReadyServers('feed').slice(0, 10);
  silent.forEach(server => platform.crashServer(server, true, 2_300));
  await platform.clock.advance(3_000);
  const affected = flowsAt(callers, silent).length;
  assert.ok(
    platform.callResults.outcomes.cut >= affected * 0.9,
    `${platform.callResults.outcomes.cut}`,
  );
  assert.deepEqual(platform.violations, []);
});

test('at least 30% of the flows are kept when most of a service is unresponsive, as in a network fault', async () => {
  const platform = await createPlatform(30);
  const callers = await openFlows(platform, FEED, 120);
  const silent = platform.listReadyServers('feed').slice(0, 36);
  silent.forEach(server => platform.pauseServer(server, 2_900));
  await platform.clock.advance(10_000);
  const affected = flowsAt(callers, silent).length;
  assert.ok(affected >= 100, `${affected} flows`);
  assert.ok(
    platform.callResults.outcomes.cut <= affected * 0.7,
    `${platform.callResults.outcomes.cut}`,
  );
  assert.deepEqual(platform.violations, []);
});
