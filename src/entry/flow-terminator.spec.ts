/**
 * Flows of servers that restart under the same id, become unreachable, or have unreadable
 * entries: which are reset, how soon, and which must never be.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {OutageKind} from '../../standins/catalog-store.js';
import type {CookieCaller} from '../../standins/cookie-callers.js';
import type {CookieServer} from '../../standins/cookie-servers.js';
import {
  SimulatedPlatform,
  type SimulationPlan,
} from '../../standins/simulated-platform.js';
import {createRoute} from '../../standins/catalog-records.js';
import {injectFault} from '../../standins/platform-faults.js';

const BOUNDS = {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000};
const PAY = createRoute('pay', {address: 0xc6120001, port: 443});
const LONG_CALL_MS = 60_000;
const MANY_REQUESTS = 5_000;
/** Longer than a test. */
const LONG_WORK_MS = 30_000;
const FEEDBACK = {feedback: true, pressure: false};

async function createPlatform(plan: Partial<SimulationPlan> = {}) {
  return SimulatedPlatform.create(
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

/** A platform whose servers answer no request during a test. */
function createBusyPlatform(
  plan: Partial<SimulationPlan> = {},
): Promise<SimulatedPlatform> {
  const services = [
    {name: 'pay', servers: 10, slots: 20, workMs: LONG_WORK_MS},
  ];
  return createPlatform({services, ...plan});
}

/** Opens flows spread over `pauseMs`, at least 1 s; callers pause after each answer. */
async function openFlows(
  platform: SimulatedPlatform,
  count: number,
  pauseMs = 0,
): Promise<CookieCaller[]> {
  const {clock} = platform;
  const callers: CookieCaller[] = [];
  const spanMs = Math.max(pauseMs, 1_000);
  Array.from({length: count}, (_flow, index) =>
    clock.callAt(clock.now() + (spanMs * index) / count, () =>
      callers.push(
        platform.startCaller(PAY, MANY_REQUESTS, LONG_CALL_MS, pauseMs),
      ),
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

function linesOf(platform: SimulatedPlatform, kind: string) {
  return platform.logEntries.filter(({event}) => event === kind);
}

[
  {features: FEEDBACK, when: 'at once'},
  {features: undefined, when: 'never'},
].forEach(({features, when}) =>
  test(`callers waiting for a restarted server are reset by it ${when}, feedback ${features === undefined ? 'off' : 'on'}`, async () => {
    const platform = await createBusyPlatform({features});
    const callers = await openFlows(platform, 60);
    const [server] = platform.listReadyServers('pay');
    const waiting = flowsAt(callers, [server]);
    platform.restartServer(server);
    await platform.clock.advance(1_000);
    assert.ok(waiting.length >= 4, `${waiting.length} flows`);
    const ended = endedOf(callers);
    assert.equal(ended.length, when === 'never' ? 0 : waiting.length);
    assert.ok(ended.every(({ending}) => ending === 'refused'));
    assert.equal(linesOf(platform, 'flow-reset').length, 0);
    const flows = linesOf(platform, 'server-restarted').map(({fields}) =>
      Number(fields['flows']),
    );
    const sum = flows.reduce((total, each) => total + each, 0);
    assert.equal(sum, when === 'never' ? 0 : waiting.length);
    assert.deepEqual(platform.violations, []);
  }),
);

test('callers of a restarted server are reset after its partition heals, or at its new address', async () => {
  const platform = await createBusyPlatform();
  const callers = await openFlows(platform, 60);
  const [cut, moved] = platform.listReadyServers('pay');
  const waiting = flowsAt(callers, [cut, moved]);
  platform.pauseServer(platform.restartServer(cut), 3_000);
  platform.moveServer(moved);
  await platform.clock.advance(2_500);
  const early = endedOf(callers);
  assert.deepEqual(new Set(early), new Set(flowsAt(callers, [moved])));
  await platform.clock.advance(3_000);
  assert.equal(endedOf(callers).length, waiting.length);
  assert.deepEqual(platform.violations, []);
});

test('packets of open flows follow a server that restarted at another address', async () => {
  const platform = await createBusyPlatform({
    features: undefined,
    confirms: false,
  });
  const callers = await openFlows(platform, 60);
  const moved = platform.listReadyServers('pay').slice(0, 3);
  const waiting = flowsAt(callers, moved);
  moved.forEach(server => platform.moveServer(server));
  // Callers whose requests were not confirmed send them again.
  await platform.clock.advance(2_500);
  assert.ok(waiting.length >= 9, `${waiting.length} flows`);
  assert.equal(endedOf(waiting).length, waiting.length);
  assert.deepEqual(platform.violations, []);
});

test('callers of a restarted server are reset although a fifth of the heartbeats is lost', async () => {
  const platform = await createBusyPlatform();
  platform.network.heartbeatLossRate = 0.2;
  const callers = await openFlows(platform, 60);
  const [server] = platform.listReadyServers('pay');
  platform.restartServer(server);
  await platform.clock.advance(2_500);
  const waiting = flowsAt(callers, [server]);
  assert.equal(endedOf(waiting).length, waiting.length);
});

test('flows that reach a restarted server before its entry is known continue', async () => {
  const platform = await createPlatform();
  await openFlows(platform, 60, 300);
  platform.store.outages.set('', OutageKind.REFUSED);
  const restarted = platform
    .listReadyServers('pay')
    .slice(0, 5)
    .map(server => platform.restartServer(server));
  await platform.clock.advance(500);
  const later = await openFlows(platform, 60, 1_500);
  platform.store.outages.clear();
  const flowsAtRestarted = flowsAt(later, restarted);
  await platform.clock.advance(12_000);
  assert.ok(linesOf(platform, 'server-restarted').length >= 5);
  assert.ok(flowsAtRestarted.length >= 15, `${flowsAtRestarted.length} flows`);
  assert.deepEqual(endedOf(flowsAtRestarted), []);
  assert.ok(flowsAtRestarted.every(({answers}) => answers >= 5));
  assert.deepEqual(platform.violations, []);
});

test('a restarted server gets new flows at once, whatever was known before the restart', async () => {
  const platform = await createPlatform();
  await openFlows(platform, 60, 200);
  const [server] = platform.listReadyServers('pay');
  platform.crashServer(server, true, LONG_CALL_MS);
  await platform.clock.advance(2_500);
  assert.ok(linesOf(platform, 'server-unreachable').length > 0);
  const restarted = platform.restartServer(server);
  await platform.clock.advance(500);
  const later = await openFlows(platform, 200, 200);
  const share = flowsAt(later, [restarted]).length;
  assert.ok(share >= 10, `${share} of 200 flows`);
  assert.deepEqual(platform.violations, []);
});

/** Crashes a quarter of 84 servers while most flows of non-repeatable requests are idle. */
async function crashQuarter(features: SimulationPlan['features']) {
  const services = [{name: 'pay', servers: 84, slots: 2, workMs: 20}];
  const platform = await createPlatform({services, features});
  const callers = await openFlows(platform, 1_000, 4_000);
  const silent = platform.listReadyServers('pay').slice(0, 21);
  silent.forEach(server => platform.crashServer(server, true, 2_300));
  await platform.clock.advance(6_000);
  const affected = flowsAt(callers, silent);
  const lost = affected.filter(({isWaiting}) => isWaiting);
  const saved = affected.filter(
    ({ending, isWaiting}) => ending === 'cut' && !isWaiting,
  );
  return {platform, affected, lost, saved};
}

test('when a quarter of a service crashes, most idle flows are reset before their next request', async () => {
  const disabled = await crashQuarter(undefined);
  assert.equal(disabled.saved.length, 0);
  assert.equal(disabled.lost.length, disabled.affected.length);
  const {platform, affected, lost, saved} = await crashQuarter(FEEDBACK);
  assert.ok(affected.length >= 200, `${affected.length} flows`);
  assert.ok(
    saved.length >= affected.length / 2,
    `${saved.length} of ${affected.length} saved, ${lost.length} lost`,
  );
  assert.deepEqual(platform.violations, []);
});

test('idle flows of a server that has certainly ended are reset at once, busy flows are not', async () => {
  const platform = await createPlatform();
  const callers = await openFlows(platform, 60, 10_000);
  const [server] = platform.listReadyServers('pay');
  const idle = flowsAt(callers, [server]);
  platform.crashServer(server, true, LONG_CALL_MS);
  await platform.clock.advance(500);
  const [{entry}] = [server];
  platform.startServer('pay', entry.address);
  await platform.clock.advance(1_000);
  assert.ok(idle.length >= 4, `${idle.length} flows`);
  assert.ok(
    idle.every(({ending, isWaiting}) => ending === 'cut' && !isWaiting),
  );
  assert.deepEqual(platform.violations, []);
  const busy = await createBusyPlatform();
  const waiting = await openFlows(busy, 60);
  const [ended] = busy.listReadyServers('pay');
  busy.crashServer(ended, true, LONG_CALL_MS);
  busy.startServer('pay', ended.entry.address);
  await busy.clock.advance(2_000);
  assert.deepEqual(endedOf(waiting), []);
});

test('idle flows of running servers are never reset while other servers are unreachable', async () => {
  const platform = await createPlatform();
  const callers = await openFlows(platform, 200, 700);
  const servers = platform.listReadyServers('pay');
  const paused = servers.slice(0, 3);
  const cut = [...platform.daemons.keys()].slice(0, 4);
  paused.forEach(server => platform.pauseServer(server, 3_000));
  cut.forEach(name => platform.partitionedFromServers.add(name));
  await platform.clock.advance(12_000);
  const untouched = flowsAt(callers, servers.slice(3));
  assert.ok(untouched.length >= 100);
  assert.ok(untouched.every(({ending}) => ending !== 'cut'));
  assert.deepEqual(platform.violations, []);
});

test('a server whose entry was overwritten with invalid data keeps its flows', async () => {
  const platform = await createPlatform();
  const callers = await openFlows(platform, 60, 200);
  const [server] = platform.listReadyServers('pay');
  const kept = flowsAt(callers, [server]);
  const callsBefore = platform.store.calls;
  platform.corruptEntry(server);
  await platform.clock.advance(5_000);
  const calls = platform.store.calls - callsBefore;
  assert.ok(
    calls <= 12,
    `two daemons long-poll with 1.5 s each: ${calls} calls`,
  );
  // Discarded events force full reads, which must keep it too.
  platform.store.compactHistory();
  const later = await openFlows(platform, 60, 200);
  await platform.clock.advance(25_000);
  assert.ok(kept.length >= 4);
  assert.deepEqual(endedOf(kept), []);
  assert.deepEqual(flowsAt(later, [server]), []);
  const logged = linesOf(platform, 'server-entry-unreadable');
  assert.equal(logged.length, platform.daemons.size, 'one line per daemon');
  platform.rewriteEntry(server);
  await platform.clock.advance(1_000);
  const last = await openFlows(platform, 60, 200);
  assert.ok(flowsAt(last, [server]).length >= 2);
  assert.deepEqual(endedOf(kept), []);
  assert.equal(linesOf(platform, 'server-restarted').length, 0);
  assert.deepEqual(platform.violations, []);
});

[10, 105].forEach(servers =>
  test(`daemons that start while some of ${servers} entries are invalid learn those servers from peers`, async () => {
    const services = [{name: 'pay', servers, slots: 2, workMs: 20}];
    const platform = await createPlatform({services});
    const callers = await openFlows(platform, 4 * servers, 500);
    const spoiled = platform.listReadyServers('pay').slice(0, 4);
    const kept = flowsAt(callers, spoiled);
    spoiled.forEach(server => platform.corruptEntry(server));
    await platform.clock.advance(2_000);
    const started = [...platform.daemons.keys()].slice(0, 25);
    started.forEach(name => platform.killDaemon(name));
    await Promise.all(started.map(name => platform.startDaemon(name)));
    await platform.clock.advance(4_000);
    const before = kept.map(({answers}) => answers);
    await platform.clock.advance(3_000);
    assert.ok(kept.length >= 8, `${kept.length} flows`);
    kept.forEach(({answers}, index) =>
      assert.ok(answers >= before[index] + 4, `${answers - before[index]}`),
    );
    assert.deepEqual(endedOf(callers), []);
    assert.deepEqual(platform.violations, []);
  }),
);

test('when all daemons restart while an entry is invalid, its flows wait and none is reset', async () => {
  const platform = await createPlatform();
  const callers = await openFlows(platform, 60, 200);
  const [server] = platform.listReadyServers('pay');
  const kept = flowsAt(callers, [server]);
  platform.corruptEntry(server);
  await platform.clock.advance(2_000);
  const names = [...platform.daemons.keys()];
  names.forEach(name => platform.killDaemon(name));
  await Promise.all(names.map(name => platform.startDaemon(name)));
  await platform.clock.advance(25_000);
  assert.deepEqual(endedOf(kept), []);
  platform.rewriteEntry(server);
  await platform.clock.advance(4_000);
  const before = kept.map(({answers}) => answers);
  await platform.clock.advance(2_000);
  kept.forEach(({answers}, index) => assert.ok(answers > before[index]));
  assert.deepEqual(platform.violations, []);
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

/** A small fleet for callers of two routes who keep their flows. */
async function createFuzzedPlatform(
  seed: number,
  isOn: boolean,
): Promise<SimulatedPlatform> {
  return createPlatform({
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

/** Starts callers of both routes in turn. */
function startCallers(platform: SimulatedPlatform, count: number): void {
  Array.from({length: count}, (_call, index) =>
    platform.startCaller(index % 2 === 0 ? PAY : DOCS, 50, 15_000, 300),
  );
}

/** Injects faults one after the other, with new callers after each. */
async function injectFaults(
  platform: SimulatedPlatform,
  faults: ReadonlyArray<Parameters<typeof injectFault>[1]>,
): Promise<void> {
  startCallers(platform, 30);
  for (const fault of faults) {
    await platform.clock.advance(fault.afterMs);
    injectFault(platform, fault, [PAY, DOCS]);
    startCallers(platform, 6);
  }
  await platform.clock.advance(10_000);
}

test('daemons partitioned at once find running servers unreachable, which no other daemon trusts unverified', async () => {
  const platform = await createFuzzedPlatform(1, false);
  await injectFaults(platform, [
    {afterMs: 50, kind: 'cut-servers', which: 0, lastsMs: 342},
    {afterMs: 50, kind: 'cut-peers', which: 6, lastsMs: 200},
    {afterMs: 50, kind: 'cut-servers', which: 7, lastsMs: 243},
  ]);
  assert.deepEqual(platform.violations, []);
});

test('no flow of a running server is reset under any mix of restarts, invalid entries and faults', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({min: 1, max: 1e6}),
      fc.boolean(),
      FAULTS,
      async (seed, isOn, faults) => {
        const platform = await createFuzzedPlatform(seed, isOn);
        await injectFaults(platform, faults);
        // Other guarantees hold only while the store responds.
        const flows = platform.violations.filter(({promise}) =>
          ['reset', 'flow', 'route'].includes(promise),
        );
        assert.deepEqual(flows, []);
      },
    ),
    {seed: 23, numRuns: Number(process.env['WELDYARD_FUZZ_RUNS'] ?? 25)},
  );
});
