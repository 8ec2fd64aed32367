/**
 * Callers whose servers start again under their ids, fall silent while flows there are
 * idle, or have entries that cannot be read: who is told, how soon, and who never is.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {OutageKind} from '../../standins/catalog-store.js';
import type {CookieCaller} from '../../standins/cookie-callers.js';
import type {CookieServer} from '../../standins/cookie-servers.js';
import {CookieWorld, type WorldPlan} from '../../standins/cookie-world.js';
import {createRoute} from '../../standins/catalog-records.js';
import {strike} from '../../standins/world-faults.js';

const BOUNDS = {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000};
const PAY = createRoute('pay', {address: 0xc6120001, port: 443});
const LONG_CALL_MS = 60_000;
const MANY_REQUESTS = 5_000;
/** Work that outlasts a test. */
const LONG_WORK_MS = 30_000;
const FEEDBACK = {feedback: true, pressure: false};
/** Time after its start from which on a daemon knows every entry of late. */
const KNOWN_AFTER_MS = 20_000;

async function createWorld(plan: Partial<WorldPlan> = {}) {
  return CookieWorld.create(
    {
      seed: 7,
      daemons: 30,
      failureDomains: ['a', 'b', 'c', 'd'],
      services: [{name: 'pay', servers: 10, slots: 2, workMs: 20}],
      routes: [PAY],
      bounds: BOUNDS,
      features: FEEDBACK,
      confirms: true,
      ...plan,
    },
    await XxhashHasher.create(),
  );
}

/** A world whose servers work on each request for longer than a test lasts. */
function createBusyWorld(plan: Partial<WorldPlan> = {}): Promise<CookieWorld> {
  const services = [
    {name: 'pay', servers: 10, slots: 20, workMs: LONG_WORK_MS},
  ];
  return createWorld({services, ...plan});
}

/** Opens flows over a second or a pause, with such a pause after each answer. */
async function openFlows(
  world: CookieWorld,
  count: number,
  pauseMs = 0,
): Promise<CookieCaller[]> {
  const {clock} = world;
  const callers: CookieCaller[] = [];
  const spanMs = Math.max(pauseMs, 1_000);
  Array.from({length: count}, (_flow, index) =>
    clock.callAt(clock.now() + (spanMs * index) / count, () =>
      callers.push(world.call(PAY, MANY_REQUESTS, LONG_CALL_MS, pauseMs)),
    ),
  );
  await clock.advance(spanMs + 100);
  return callers;
}

function flowsAt(
  callers: readonly CookieCaller[],
  servers: readonly CookieServer[],
): CookieCaller[] {
  const ids = new Set(servers.map(({entry}) => entry.id));
  return callers.filter(({server}) => ids.has(server ?? ''));
}

function endedOf(callers: readonly CookieCaller[]): CookieCaller[] {
  return callers.filter(({ending}) => ending !== undefined);
}

function linesOf(world: CookieWorld, kind: string) {
  return world.lines.filter(({event}) => event === kind);
}

[
  {features: FEEDBACK, told: 'at once'},
  {features: undefined, told: 'never'},
].forEach(({features, told}) =>
  test(`callers that wait at a former life are told by its server ${told}, feedback ${features === undefined ? 'off' : 'on'}`, async () => {
    const world = await createBusyWorld({features});
    const callers = await openFlows(world, 60);
    const [server] = world.liveServers('pay');
    const waiting = flowsAt(callers, [server]);
    world.restartServer(server);
    await world.clock.advance(1_000);
    assert.ok(waiting.length >= 4, `${waiting.length} flows`);
    const ended = endedOf(callers);
    assert.equal(ended.length, told === 'never' ? 0 : waiting.length);
    assert.ok(ended.every(({ending}) => ending === 'refused'));
    assert.equal(linesOf(world, 'flow-reset').length, 0);
    const flows = linesOf(world, 'server-restarted').map(({fields}) =>
      Number(fields['flows']),
    );
    const sum = flows.reduce((total, each) => total + each, 0);
    assert.equal(sum, told === 'never' ? 0 : waiting.length);
    assert.deepEqual(world.broken, []);
  }),
);

test('callers at a former life are told when its server comes out of a cut, or elsewhere', async () => {
  const world = await createBusyWorld();
  const callers = await openFlows(world, 60);
  const [cut, moved] = world.liveServers('pay');
  const waiting = flowsAt(callers, [cut, moved]);
  world.pauseServer(world.restartServer(cut), 3_000);
  world.moveServer(moved);
  await world.clock.advance(2_500);
  const early = endedOf(callers);
  assert.deepEqual(new Set(early), new Set(flowsAt(callers, [moved])));
  await world.clock.advance(3_000);
  assert.equal(endedOf(callers).length, waiting.length);
  assert.deepEqual(world.broken, []);
});

test('packets of open flows go where a server is that started again elsewhere', async () => {
  const world = await createBusyWorld({features: undefined, confirms: false});
  const callers = await openFlows(world, 60);
  const moved = world.liveServers('pay').slice(0, 3);
  const waiting = flowsAt(callers, moved);
  moved.forEach(server => world.moveServer(server));
  // Callers whose requests were not confirmed send them again.
  await world.clock.advance(2_500);
  assert.ok(waiting.length >= 9, `${waiting.length} flows`);
  assert.equal(endedOf(waiting).length, waiting.length);
  assert.deepEqual(world.broken, []);
});

test('callers at a former life are told though a fifth of the beats between daemons is lost', async () => {
  const world = await createBusyWorld();
  world.network.loss = 0.2;
  const callers = await openFlows(world, 60);
  const [server] = world.liveServers('pay');
  world.restartServer(server);
  await world.clock.advance(2_500);
  const waiting = flowsAt(callers, [server]);
  assert.equal(endedOf(waiting).length, waiting.length);
});

test('flows that open at a new life before its entry is known go on', async () => {
  const world = await createWorld();
  await openFlows(world, 60, 300);
  world.store.outages.set('', OutageKind.REFUSED);
  const reborn = world
    .liveServers('pay')
    .slice(0, 5)
    .map(server => world.restartServer(server));
  await world.clock.advance(500);
  const later = await openFlows(world, 60, 1_500);
  world.store.outages.clear();
  const atReborn = flowsAt(later, reborn);
  await world.clock.advance(12_000);
  assert.ok(linesOf(world, 'server-restarted').length >= 5);
  assert.ok(atReborn.length >= 15, `${atReborn.length} flows`);
  assert.deepEqual(endedOf(atReborn), []);
  assert.ok(atReborn.every(({answers}) => answers >= 5));
  assert.deepEqual(world.broken, []);
});

test('what was believed of a former life is forgotten: its new one gets flows at once', async () => {
  const world = await createWorld();
  await openFlows(world, 60, 200);
  const [server] = world.liveServers('pay');
  world.crashServer(server, true, LONG_CALL_MS);
  await world.clock.advance(2_500);
  assert.ok(linesOf(world, 'server-unreachable').length > 0);
  const reborn = world.restartServer(server);
  await world.clock.advance(500);
  const later = await openFlows(world, 200, 200);
  const share = flowsAt(later, [reborn]).length;
  assert.ok(share >= 10, `${share} of 200 flows`);
  assert.deepEqual(world.broken, []);
});

/** Callers whose requests may not be repeated, at 84 servers with a long pause. */
async function playSilence(features: WorldPlan['features']) {
  const services = [{name: 'pay', servers: 84, slots: 2, workMs: 20}];
  const world = await createWorld({services, features});
  const callers = await openFlows(world, 1_000, 4_000);
  const silent = world.liveServers('pay').slice(0, 21);
  silent.forEach(server => world.crashServer(server, true, 2_300));
  await world.clock.advance(6_000);
  const affected = flowsAt(callers, silent);
  const lost = affected.filter(({isWaiting}) => isWaiting);
  const saved = affected.filter(
    ({ending, isWaiting}) => ending === 'cut' && !isWaiting,
  );
  return {world, affected, lost, saved};
}

test('a quarter of a service falls silent: most idle flows end before their next request is lost', async () => {
  const without = await playSilence(undefined);
  assert.equal(without.saved.length, 0);
  assert.equal(without.lost.length, without.affected.length);
  const {world, affected, lost, saved} = await playSilence(FEEDBACK);
  assert.ok(affected.length >= 200, `${affected.length} flows`);
  assert.ok(
    saved.length >= affected.length / 2,
    `${saved.length} of ${affected.length} saved, ${lost.length} lost`,
  );
  assert.deepEqual(world.broken, []);
});

test('idle flows of a server that has ended for certain end at once, those with a request do not', async () => {
  const world = await createWorld();
  // A daemon that has just started can't know who came to an address first.
  await world.clock.advance(KNOWN_AFTER_MS);
  const callers = await openFlows(world, 60, 10_000);
  const [server] = world.liveServers('pay');
  const idle = flowsAt(callers, [server]);
  world.crashServer(server, true, LONG_CALL_MS);
  await world.clock.advance(500);
  const [{entry}] = [server];
  world.startServer('pay', entry.address);
  await world.clock.advance(1_000);
  assert.ok(idle.length >= 4, `${idle.length} flows`);
  assert.ok(
    idle.every(({ending, isWaiting}) => ending === 'cut' && !isWaiting),
  );
  assert.deepEqual(world.broken, []);
  const busy = await createBusyWorld();
  const waiting = await openFlows(busy, 60);
  const [ended] = busy.liveServers('pay');
  busy.crashServer(ended, true, LONG_CALL_MS);
  busy.startServer('pay', ended.entry.address);
  await busy.clock.advance(2_000);
  assert.deepEqual(endedOf(waiting), []);
});

test('idle flows of servers that live are never reset while others fall silent', async () => {
  const world = await createWorld();
  const callers = await openFlows(world, 200, 700);
  const servers = world.liveServers('pay');
  const paused = servers.slice(0, 3);
  const cut = [...world.daemons.keys()].slice(0, 4);
  paused.forEach(server => world.pauseServer(server, 3_000));
  cut.forEach(name => world.cutFromServers.add(name));
  await world.clock.advance(12_000);
  const untouched = flowsAt(callers, servers.slice(3));
  assert.ok(untouched.length >= 100);
  assert.ok(untouched.every(({ending}) => ending !== 'cut'));
  assert.deepEqual(world.broken, []);
});

test('a server whose entry another writer spoils keeps its flows for as long as it takes', async () => {
  const world = await createWorld();
  const callers = await openFlows(world, 60, 200);
  const [server] = world.liveServers('pay');
  const kept = flowsAt(callers, [server]);
  const callsBefore = world.store.calls;
  world.spoilEntry(server);
  await world.clock.advance(5_000);
  const calls = world.store.calls - callsBefore;
  assert.ok(calls <= 12, `two daemons wait 1.5 s a call: ${calls} calls`);
  // Daemons that read everything anew must not miss it either.
  world.store.forgetHistory();
  const later = await openFlows(world, 60, 200);
  await world.clock.advance(25_000);
  assert.ok(kept.length >= 4);
  assert.deepEqual(endedOf(kept), []);
  assert.deepEqual(flowsAt(later, [server]), []);
  const told = linesOf(world, 'server-entry-unreadable');
  assert.equal(told.length, world.daemons.size, 'one line a daemon');
  world.mendEntry(server);
  await world.clock.advance(1_000);
  const last = await openFlows(world, 60, 200);
  assert.ok(flowsAt(last, [server]).length >= 2);
  assert.deepEqual(endedOf(kept), []);
  assert.equal(linesOf(world, 'server-restarted').length, 0);
  assert.deepEqual(world.broken, []);
});

[10, 105].forEach(servers =>
  test(`daemons that start while an entry is spoiled hear from others where its flows go, of ${servers} servers`, async () => {
    const services = [{name: 'pay', servers, slots: 2, workMs: 20}];
    const world = await createWorld({services});
    const callers = await openFlows(world, 4 * servers, 500);
    const spoiled = world.liveServers('pay').slice(0, 4);
    const kept = flowsAt(callers, spoiled);
    spoiled.forEach(server => world.spoilEntry(server));
    await world.clock.advance(2_000);
    const started = [...world.daemons.keys()].slice(0, 25);
    started.forEach(name => world.killDaemon(name));
    await Promise.all(started.map(name => world.startDaemon(name)));
    await world.clock.advance(4_000);
    const before = kept.map(({answers}) => answers);
    await world.clock.advance(3_000);
    assert.ok(kept.length >= 8, `${kept.length} flows`);
    kept.forEach(({answers}, index) =>
      assert.ok(answers >= before[index] + 4, `${answers - before[index]}`),
    );
    assert.deepEqual(endedOf(callers), []);
    assert.deepEqual(world.broken, []);
  }),
);

test('when all daemons start while an entry is spoiled its flows wait, and none is reset', async () => {
  const world = await createWorld();
  const callers = await openFlows(world, 60, 200);
  const [server] = world.liveServers('pay');
  const kept = flowsAt(callers, [server]);
  world.spoilEntry(server);
  await world.clock.advance(2_000);
  const names = [...world.daemons.keys()];
  names.forEach(name => world.killDaemon(name));
  await Promise.all(names.map(name => world.startDaemon(name)));
  await world.clock.advance(25_000);
  assert.deepEqual(endedOf(kept), []);
  world.mendEntry(server);
  await world.clock.advance(4_000);
  const before = kept.map(({answers}) => answers);
  await world.clock.advance(2_000);
  kept.forEach(({answers}, index) => assert.ok(answers > before[index]));
  assert.deepEqual(world.broken, []);
});

const DOCS = createRoute('docs', {
  address: 0xc6120002,
  port: 443,
  repeatable: true,
});

const FAULTS = fc.array(
  fc.record({
    afterMs: fc.integer({min: 50, max: 1_500}),
    kind: fc.constantFrom(
      'restart',
      'move',
      'spoil',
      'kill',
      'cut-peers',
      'cut-servers',
      'cut-store',
      'store-down',
      'forget',
      'drain',
      'crash',
      'pause',
      'reuse',
    ),
    which: fc.nat(7),
    lastsMs: fc.integer({min: 200, max: 4_000}),
  }),
  {minLength: 2, maxLength: 8},
);

/** A small world in which callers of two routes keep flows with pauses. */
function createFuzzedWorld(seed: number, isOn: boolean): Promise<CookieWorld> {
  return createWorld({
    seed,
    daemons: 5,
    failureDomains: ['a', 'b'],
    services: [
      {name: 'pay', servers: 6, slots: 2, workMs: 20},
      {name: 'docs', servers: 3, slots: 2, workMs: 400},
    ],
    routes: [PAY, DOCS],
    features: {feedback: isOn, pressure: false},
  });
}

function callByTurns(world: CookieWorld, index: number): void {
  world.call(index % 2 === 0 ? PAY : DOCS, 50, 15_000, 300);
}

test('daemons that are cut off find living servers unreachable, and no other one believes it unseen', async () => {
  const world = await createFuzzedWorld(1, false);
  Array.from({length: 30}, (_call, index) => callByTurns(world, index));
  const cuts = [
    {afterMs: 50, kind: 'cut-servers', which: 0, lastsMs: 342},
    {afterMs: 50, kind: 'cut-peers', which: 6, lastsMs: 200},
    {afterMs: 50, kind: 'cut-servers', which: 7, lastsMs: 243},
  ];
  await cuts.reduce<Promise<void>>(async (before, cut) => {
    await before;
    await world.clock.advance(cut.afterMs);
    strike(world, cut, [PAY, DOCS]);
    Array.from({length: 6}, (_call, index) => callByTurns(world, index));
  }, Promise.resolve());
  await world.clock.advance(10_000);
  assert.deepEqual(world.broken, []);
});

test('under any mix of restarts, spoiled entries and faults no flow of a living server is reset', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({min: 1, max: 1e6}),
      fc.boolean(),
      FAULTS,
      async (seed, isOn, faults) => {
        const world = await createFuzzedWorld(seed, isOn);
        Array.from({length: 30}, (_call, index) => callByTurns(world, index));
        for (const fault of faults) {
          await world.clock.advance(fault.afterMs);
          strike(world, fault, [PAY, DOCS]);
          Array.from({length: 6}, (_call, index) => callByTurns(world, index));
        }
        await world.clock.advance(10_000);
        // Bounds in time hold while the store answers, as judged elsewhere.
        const flows = world.broken.filter(({promise}) =>
          ['reset', 'flow', 'route'].includes(promise),
        );
        assert.deepEqual(flows, []);
      },
    ),
    {seed: 23, numRuns: Number(process.env['WELDYARD_FUZZ_RUNS'] ?? 25)},
  );
});
