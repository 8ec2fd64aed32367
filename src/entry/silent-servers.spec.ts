/**
 * Servers that fall silent without a word, by the dozen or alone, while callers have
 * flows open there: whose flows are reset, how soon, and whose never.
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
/** Requests of a flow that lasts for all of a test. */
const MANY_REQUESTS = 5_000;

async function createWorld(
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

/** Opens flows that send one request after the other. */
async function openFlows(
  world: SimulatedPlatform,
  route: typeof PAY,
  count: number,
): Promise<CookieCaller[]> {
  const callers = Array.from({length: count}, () =>
    world.call(route, MANY_REQUESTS, LONG_CALL_MS),
  );
  await world.clock.advance(1_000);
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
  test(`a quarter of a service falls silent: flows there are reset within 1.2 s, by ${daemons} daemons`, async () => {
    const world = await createWorld(daemons);
    const callers = await openFlows(world, FEED, 120);
    const silent = world.liveServers('feed').slice(0, SERVERS / 4);
    silent.forEach(server => world.crashServer(server, true, 2_300));
    await world.clock.advance(1_200);
    const affected = flowsAt(callers, silent);
    assert.ok(affected.length >= 15, `${affected.length} flows`);
    assert.equal(world.tally.ends.cut, affected.length);
    await world.clock.advance(5_000);
    assert.equal(world.tally.ends.cut, affected.length);
    assert.deepEqual(world.broken, []);
  }),
);

test('flows whose requests may not be repeated are left to a silent server', async () => {
  const world = await createWorld(30);
  const callers = await openFlows(world, PAY, 60);
  const silent = world.liveServers('pay').slice(0, 3);
  silent.forEach(server => world.pauseServer(server, 3_000));
  await world.clock.advance(10_000);
  assert.ok(flowsAt(callers, silent).length >= 10);
  assert.equal(world.tally.ends.cut, 0);
  assert.deepEqual(world.broken, []);
});

test('a server that is silent for a quarter of a second keeps its flows', async () => {
  const world = await createWorld(30);
  await openFlows(world, FEED, 120);
  world
    .liveServers('feed')
    .slice(0, 10)
    .forEach(server => world.pauseServer(server, 250));
  await world.clock.advance(5_000);
  assert.equal(world.tally.ends.cut, 0);
});

test('a server that comes back after 3 s gets new flows within 1.5 s', async () => {
  const world = await createWorld(30);
  await openFlows(world, FEED, 120);
  const silent = world.liveServers('feed').slice(0, 10);
  silent.forEach(server => world.pauseServer(server, 3_000));
  await world.clock.advance(4_500);
  const later = await openFlows(world, FEED, 200);
  assert.ok(flowsAt(later, silent).length >= 20);
  assert.deepEqual(world.broken, []);
});

test('servers that take 2 s for a request are reached, and keep their flows', async () => {
  const world = await createWorld(30, ['a', 'b'], 2_000);
  await openFlows(world, FEED, 100);
  await world.clock.advance(10_000);
  assert.equal(world.tally.ends.cut, 0);
  assert.deepEqual(world.broken, []);
});

test('a failure domain whose packets do not reach servers has nobody reset flows', async () => {
  const world = await createWorld(30);
  await openFlows(world, FEED, 120);
  [...world.daemons.values()]
    .filter(({settings}) => settings.failureDomain === 'a')
    .forEach(({name}) => world.cutFromServers.add(name));
  await world.clock.advance(5_000);
  assert.equal(world.tally.ends.cut, 0);
  assert.deepEqual(world.broken, []);
});

test('a daemon without peers resets nothing', async () => {
  const world = await createWorld(1);
  await openFlows(world, FEED, 60);
  world
    .liveServers('feed')
    .slice(0, 10)
    .forEach(server => world.pauseServer(server, 3_000));
  await world.clock.advance(6_000);
  assert.equal(world.tally.ends.cut, 0);
});

test('silent servers are found out although a fifth of the datagrams between daemons is lost', async () => {
  const world = await createWorld(60);
  world.network.loss = 0.2;
  const callers = await openFlows(world, FEED, 120);
  const silent = world.liveServers('feed').slice(0, 10);
  silent.forEach(server => world.crashServer(server, true, 2_300));
  await world.clock.advance(3_000);
  const affected = flowsAt(callers, silent).length;
  assert.ok(world.tally.ends.cut >= affected * 0.9, `${world.tally.ends.cut}`);
  assert.deepEqual(world.broken, []);
});

test('when most of a service seems silent, most callers wait on: it may be the network', async () => {
  const world = await createWorld(30);
  const callers = await openFlows(world, FEED, 120);
  const silent = world.liveServers('feed').slice(0, 36);
  silent.forEach(server => world.pauseServer(server, 2_900));
  await world.clock.advance(10_000);
  const affected = flowsAt(callers, silent).length;
  assert.ok(affected >= 100, `${affected} flows`);
  assert.ok(world.tally.ends.cut <= affected * 0.7, `${world.tally.ends.cut}`);
  assert.deepEqual(world.broken, []);
});
