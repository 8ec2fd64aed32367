/**
 * Evidence in the heartbeats of fleets of 8 to 300 daemons: how far and how soon it gets,
 * at what cost, and when none is told.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {createRoute, createServer} from '../../standins/catalog-records.js';
import {SimulatedPlatform} from '../../standins/simulated-platform.js';
import type {CatalogServer} from '../catalog/records.js';
import {Random} from '../routing/random.js';
import {RequestEnd} from '../routing/request-outcome.js';
import {MemoryCounters} from '../adapters/memory-counters.js';
import {FakeClock} from '../../standins/fake-clock.js';
import {MemoryLog} from '../../standins/memory-log.js';
import {ServerFeedback} from './server-feedback.js';

const TARGET_MS = 500;
const ROUTE = createRoute('pay', {
  address: 0xc6120001,
  port: 443,
  targetMs: TARGET_MS,
});
const KNOWN_ROUTE = {...ROUTE, allowedServices: new Set(['pay'])};
const BOUNDS = {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000};
const SERVERS = 20;
const MAX_BYTES_PER_SECOND = 4_000;

async function createFleet(
  daemons: number,
  feedback = true,
): Promise<SimulatedPlatform> {
  const platform = await SimulatedPlatform.create(
    {
      seed: daemons,
      daemons,
      failureDomains: ['a', 'b', 'c', 'd', 'e'],
      services: [{name: 'pay', servers: SERVERS, slots: 2, workMs: 20}],
      routes: [ROUTE],
      bounds: BOUNDS,
      features: {feedback, ratings: feedback, pressure: false},
    },
    await XxhashHasher.create(),
  );
  return platform;
}

/** Creates a fleet whose daemons know the usual answers of the route. */
async function createFleetWithSamples(
  daemons: number,
): Promise<SimulatedPlatform> {
  const platform = await createFleet(daemons);
  feedbacksOf(platform).forEach(feedback =>
    serversOf(platform).forEach(server => observe(platform, feedback, server)),
  );
  return platform;
}

function feedbacksOf(platform: SimulatedPlatform): ServerFeedback[] {
  return [...platform.daemons.values()].flatMap(({running}) =>
    running?.feedback === undefined ? [] : [running.feedback],
  );
}

function serversOf(platform: SimulatedPlatform): CatalogServer[] {
  return platform.listReadyServers('pay').map(({entry}) => entry);
}

/** Time to answer, in milliseconds, of usual and of slow requests. */
const USUAL_MS = 20;
const SLOW_MS = 400;

/** Has a daemon observe an answered request; a short answer is a failure. */
function observe(
  {clock, random}: Pick<SimulatedPlatform, 'clock' | 'random'>,
  feedback: ServerFeedback,
  server: CatalogServer,
  answerBytes = 3_000,
  elapsedMs = USUAL_MS,
): void {
  const now = clock.now();
  feedback.observer.onEnd(
    {
      server,
      route: KNOWN_ROUTE,
      caller: random.nextInt(1_000_000),
      end: RequestEnd.ANSWERED,
      startedAt: now - elapsedMs,
      lastDataAt: now - elapsedMs,
      answeredAt: now,
      requestBytes: 200,
      answerBytes,
    },
    now,
  );
}

/** Number of daemons that hold evidence against a server. */
function countInformed(
  platform: SimulatedPlatform,
  server: CatalogServer,
): number {
  const now = platform.clock.now();
  return feedbacksOf(platform).filter(({pool}) => {
    const {failed, overdue, slow} = pool.countFaults(server, now);
    return failed + overdue + slow > 0;
  }).length;
}

[8, 101, 300].forEach(daemons =>
  test(`a failure that one daemon sees is known to all of ${daemons} within 2 s, with a fifth of the datagrams lost`, async () => {
    const platform = await createFleetWithSamples(daemons);
    platform.network.heartbeatLossRate = 0.2;
    const [server] = serversOf(platform);
    observe(platform, feedbacksOf(platform)[0], server, 150);
    await platform.clock.advance(2_000);
    const informed = countInformed(platform, server);
    assert.ok(informed >= daemons * 0.99, `${informed} after 2 s`);
    await platform.clock.advance(1_000);
    assert.equal(countInformed(platform, server), daemons);
  }),
);

/**
 * Has random daemons observe slow answers of bad servers, each among 4 good ones. Slow
 * servers are not ejected, so that evidence against them is told all the time.
 */
async function observeSlowAnswers(
  platform: SimulatedPlatform,
  bad: readonly CatalogServer[],
  faultsPerSecond: number,
  seconds: number,
): Promise<void> {
  const feedbacks = feedbacksOf(platform);
  for (let count = 0; count < faultsPerSecond * seconds; count += 1) {
    const feedback = platform.random.pick(feedbacks);
    const server = platform.random.pick(bad);
    assert.ok(feedback !== undefined && server !== undefined);
    observe(platform, feedback, server, 3_000, SLOW_MS);
    serversOf(platform)
      .slice(-4)
      .forEach(good => observe(platform, feedback, good));
    await platform.clock.advance(1_000 / faultsPerSecond);
  }
}

/** Share of the true count of slow answers that the daemons' pools hold on average. */
function meanShare(
  platform: SimulatedPlatform,
  bad: readonly CatalogServer[],
  faultsPerSecond: number,
): {mean: number; least: number} {
  const now = platform.clock.now();
  // The decayed count after a long time at this rate.
  const expected = (faultsPerSecond / bad.length) * 7.2;
  const shares = feedbacksOf(platform).flatMap(({pool}) =>
    bad.map(server => pool.countFaults(server, now).slow / expected),
  );
  const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
  return {mean, least: Math.min(...shares)};
}

[
  {daemons: 8, failures: 10, mean: 0.7},
  {daemons: 30, failures: 20, mean: 0.7},
  {daemons: 101, failures: 14, mean: 0.75},
  {daemons: 101, failures: 74, mean: 0.4},
  {daemons: 300, failures: 200, mean: 0.15, seconds: 10},
].forEach(({daemons, failures, mean, seconds = 15}) =>
  test(`${daemons} daemons that see ${failures} slow answers a second send less than 4 kB a second each`, async t => {
    const platform = await createFleetWithSamples(daemons);
    const bad = serversOf(platform).slice(0, 5);
    const {sent} = platform.network;
    const rateOver = (before: number, seconds: number) =>
      Math.round((sent.bytes - before) / daemons / seconds);
    const beforeCalm = sent.bytes;
    await platform.clock.advance(5_000);
    const calmRate = rateOver(beforeCalm, 5);
    const before = sent.bytes;
    await observeSlowAnswers(platform, bad, failures, seconds);
    const rate = rateOver(before, seconds);
    const shares = meanShare(platform, bad, failures);
    t.diagnostic(
      `${calmRate} B/s calm, ${rate} B/s, shares ${JSON.stringify(shares)}`,
    );
    assert.ok(rate < MAX_BYTES_PER_SECOND, `${rate} B/s`);
    assert.ok(shares.mean >= mean, JSON.stringify(shares));
    assert.equal(countInformed(platform, serversOf(platform)[9]), 0);
  }),
);

test('callers that close after each answer leave no evidence against 20 good servers', async () => {
  const platform = await createFleet(8);
  for (let count = 0; count < 400; count += 1) {
    platform.startCaller(ROUTE, 1, 5_000);
    await platform.clock.advance(25);
  }
  await platform.clock.advance(2_000);
  assert.equal(platform.callResults.outcomes.answered, 400);
  const informed = serversOf(platform).map(server =>
    countInformed(platform, server),
  );
  assert.equal(Math.max(...informed), 0);
});

test('a restarted server has no evidence against it at any of 30 daemons', async () => {
  const platform = await createFleetWithSamples(30);
  const [server] = serversOf(platform);
  await observeSlowAnswers(platform, [server], 10, 3);
  assert.equal(countInformed(platform, server), 30);
  const running = platform.findServer(server.id);
  assert.ok(running !== undefined);
  platform.restartServer(running);
  await platform.clock.advance(2_500);
  assert.equal(countInformed(platform, server), 0);
});

test('with feedback off 30 daemons keep and send no evidence', async () => {
  const platform = await createFleet(30, false);
  assert.equal(feedbacksOf(platform).length, 0);
  const address = platform.getDaemon('d1').settings.address;
  const handlers = platform.network.findHandlers(address);
  assert.ok(handlers !== undefined);
  let entries = 0;
  let heartbeats = 0;
  platform.network.attach(address, {
    ...handlers,
    onHeartbeat: (sender, heartbeat) => {
      heartbeats += 1;
      entries += heartbeat.evidence.length;
      handlers.onHeartbeat(sender, heartbeat);
    },
  });
  Array.from({length: 50}, () => platform.startCaller(ROUTE, 3, 5_000));
  await platform.clock.advance(5_000);
  assert.ok(heartbeats > 20);
  assert.equal(entries, 0);
});

test('failures of an ejected server are counted but not told', async () => {
  const clock = FakeClock.create();
  const servers = Array.from({length: 8}, (_server, index) =>
    createServer(`i-${index}`, 'pay'),
  );
  const [failing, other] = servers;
  const feedback = ServerFeedback.create({
    self: 1,
    clock,
    hasher: await XxhashHasher.create(),
    counters: MemoryCounters.create(),
    log: MemoryLog.create('d1'),
    openServers: () => servers,
    listServers: () => servers,
    reportDueRequests: () => {},
    onEvidence: () => {},
  });
  const load = {clock, random: Random.create(1)};
  Array.from({length: 20}, () => observe(load, feedback, other));
  Array.from({length: 6}, () => observe(load, feedback, failing, 150));
  await clock.advance(300);
  assert.ok(feedback.ratings.ratingOf(failing, clock.now()).isEjected);
  // Evidence of before the ejection is told for 3 s.
  await clock.advance(3_000);
  const now = clock.now();
  const before = feedback.pool.countFaults(failing, now).failed;
  observe(load, feedback, failing, 150);
  const after = feedback.pool.countFaults(failing, now).failed;
  assert.ok(Math.abs(after - before - 1) < 0.1, `${before}, ${after}`);
  assert.deepEqual(feedback.selectEvidenceToGossip(3, true, now), []);
  observe(load, feedback, other, 150);
  assert.equal(feedback.selectEvidenceToGossip(3, true, now).length, 1);
});
