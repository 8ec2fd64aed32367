import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {OutageKind} from '../../standins/catalog-store.js';
import {
  SimulatedPlatform,
  type SimulationPlan,
} from '../../standins/simulated-platform.js';
import {injectFault} from '../../standins/platform-faults.js';
import {createRoute} from '../../standins/catalog-records.js';

const BOUNDS = {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000};
const PAY = createRoute('pay', {address: 0xc6120001, port: 443});
const DOCS = createRoute('docs', {
  address: 0xc6120002,
  port: 443,
  repeatable: true,
});
const LONG_CALL_MS = 20_000;
const PLAN: SimulationPlan = {
  seed: 1,
  daemons: 5,
  failureDomains: ['a', 'b'],
  services: [
    {name: 'pay', servers: 6, slots: 2, workMs: 20},
    {name: 'docs', servers: 3, slots: 2, workMs: 10},
  ],
  routes: [PAY, DOCS],
  bounds: BOUNDS,
};

async function createWorld(plan: Partial<SimulationPlan> = {}) {
  return SimulatedPlatform.create(
    {...PLAN, ...plan},
    await XxhashHasher.create(),
  );
}

/** Starts callers every `everyMs` for a while; each sends some requests. */
async function callFor(
  world: SimulatedPlatform,
  lastsMs: number,
  everyMs = 20,
): Promise<void> {
  const rounds = Math.floor(lastsMs / everyMs);
  for (let round = 0; round < rounds; round += 1) {
    const route = round % 3 === 0 ? DOCS : PAY;
    world.call(route, 1 + (round % 4), 3_000);
    await world.clock.advance(everyMs);
  }
}

test('a calm fleet answers everything, and few daemons read the store', async () => {
  const world = await createWorld();
  const callsBefore = world.store.calls;
  await callFor(world, 10_000);
  await world.clock.advance(3_000);
  const {answered, ...others} = world.tally.ends;
  assert.equal(answered, 500);
  assert.deepEqual(others, {refused: 0, cut: 0, 'timed-out': 0});
  assert.deepEqual(world.broken, []);
  // Two waits of 1.5 s all the time for 13 s, and some reads of the start.
  assert.ok(world.store.calls - callsBefore <= 25, String(world.store.calls));
});

test('the servers of a first copy are told in one line, later changes one by one', async () => {
  const world = await createWorld();
  const linesOf = (kind: string) =>
    world.lines.filter(
      ({process, event}) => process === 'd0' && event === kind,
    );
  assert.deepEqual(
    linesOf('servers-taken').map(({fields}) => fields['servers']),
    [9],
  );
  assert.equal(linesOf('server-state').length, 0);
  world.drainServer(world.liveServers('pay')[0], 5_000);
  await world.clock.advance(1_000);
  assert.deepEqual(
    linesOf('server-state').map(({fields}) => fields['state']),
    ['draining'],
  );
});

test('daemons that all start again, a while apart, hear of each other within a second', async () => {
  const world = await createWorld();
  const names = [...world.daemons.keys()];
  names.forEach(name => world.killDaemon(name));
  const linesBefore = world.lines.length;
  await world.clock.advance(1_300);
  // The seeds come last, so the others greet them in vain at first.
  for (const name of [...names].reverse()) {
    await world.startDaemon(name);
    await world.clock.advance(80);
  }
  await world.clock.advance(1_000);
  const isFound = (name: string) =>
    world.lines
      .slice(linesBefore)
      .some(({process, event}) => process === name && event === 'peer-found');
  names.forEach(name => assert.ok(isFound(name), name));
});

test('a flow stays at its server when the daemons that forwarded it are gone', async () => {
  const world = await createWorld();
  const callers = Array.from({length: 11}, () =>
    world.call(PAY, 300, LONG_CALL_MS),
  );
  await world.clock.advance(500);
  world.killDaemon('d0');
  world.killDaemon('d1');
  await world.startDaemon('d0');
  await world.clock.advance(LONG_CALL_MS);
  assert.deepEqual(world.broken, []);
  assert.equal(world.tally.ends.answered, callers.length);
});

test('flows of a former version survive the loss of all daemons', async () => {
  const world = await createWorld();
  const callers = Array.from({length: 11}, () =>
    world.call(PAY, 300, LONG_CALL_MS),
  );
  await world.clock.advance(500);
  const toDocs = {...PAY, shares: DOCS.shares};
  world.publish([toDocs, DOCS]);
  await world.clock.advance(4_000);
  const names = [...world.daemons.keys()];
  names.forEach(name => world.killDaemon(name));
  await world.clock.advance(300);
  await Promise.all(names.map(name => world.startDaemon(name)));
  await world.clock.advance(14_000);
  assert.deepEqual(world.broken, []);
  assert.equal(world.tally.ends.answered, callers.length);
});

test('rolling stops of all daemons lose no packet of an open flow', async () => {
  const world = await createWorld({daemons: 6});
  Array.from({length: 11}, () => world.call(PAY, 300, LONG_CALL_MS));
  const names = [...world.daemons.keys()];
  const stops = names.map(async (name, index) => {
    await new Promise<void>(resolve => {
      world.clock.callAt(world.clock.now() + index * 1_000, resolve);
    });
    await world.stopDaemon(name);
    await world.startDaemon(name);
  });
  await world.clock.advance(18_000);
  await Promise.all(stops);
  assert.deepEqual(world.broken, []);
  assert.deepEqual(world.tally.ends, {
    answered: 11,
    refused: 0,
    cut: 0,
    'timed-out': 0,
  });
});

test('a new version is in force everywhere although both readers die', async () => {
  const world = await createWorld();
  await world.clock.advance(2_000);
  const readers = [...world.daemons.keys()].slice(0, 2);
  readers.forEach(name => world.killDaemon(name));
  world.publish([PAY]);
  await world.clock.advance(BOUNDS.configurationMs);
  const versions = [...world.daemons.values()].flatMap(({running}) =>
    running === undefined ? [] : [running.catalog.stamp.routeVersion],
  );
  assert.deepEqual(versions, [2, 2, 2]);
});

test('logs tell which daemons read the store, and which peers are lost', async () => {
  const world = await createWorld();
  await world.clock.advance(2_000);
  const isLast = (process: string, event: string, waits: boolean) =>
    world.lines
      .filter(line => line.process === process && line.event === event)
      .pop()?.fields['waits'] === waits;
  const names = [...world.daemons.keys()];
  const readers = names.filter(name => isLast(name, 'reader-changed', true));
  assert.equal(readers.length, 2);
  readers.forEach(name => world.killDaemon(name));
  const before = world.lines.length;
  await world.clock.advance(5_000);
  const left = names.filter(name => !readers.includes(name));
  const next = left.filter(name => isLast(name, 'reader-changed', true));
  assert.equal(next.length, 2);
  const lost = world.lines
    .slice(before)
    .filter(({event}) => event === 'peer-lost');
  assert.equal(lost.length, left.length * readers.length);
});

test('a daemon cut off from the store hears of a new version from peers', async () => {
  const world = await createWorld();
  [...world.daemons.keys()]
    .slice(1)
    .forEach(name => world.store.outages.set(name, OutageKind.SILENT));
  await world.clock.advance(500);
  world.publish([PAY]);
  await world.clock.advance(BOUNDS.configurationMs);
  world.daemons.forEach(({running}) =>
    assert.equal(running?.catalog.stamp.routeVersion, 2),
  );
});

test('a daemon cut off from its peers reads the store by itself', async () => {
  const world = await createWorld();
  world.cutFromPeers('d4', true);
  world.publish([PAY]);
  await world.clock.advance(3_500);
  const {running} = world.daemonOf('d4');
  assert.equal(running?.catalog.stamp.routeVersion, 2);
});

test('history that is forgotten costs a read and no version', async () => {
  const world = await createWorld();
  world.store.forgetHistory();
  world.publish([PAY]);
  world.store.forgetHistory();
  await world.clock.advance(1_000);
  world.daemons.forEach(({running}) =>
    assert.equal(running?.catalog.stamp.routeVersion, 2),
  );
});

test('entries that lapse while the store is down keep their servers', async () => {
  const world = await createWorld();
  Array.from({length: 11}, () => world.call(PAY, 220, LONG_CALL_MS));
  await world.clock.advance(300);
  world.store.outages.set('', OutageKind.BUSY);
  await world.clock.advance(3_000);
  const lapsed = world.liveServers('pay').slice(0, 4);
  lapsed.forEach(({entry}) => world.store.removeServer(entry.id));
  await world.clock.advance(500);
  world.store.outages.clear();
  await world.clock.advance(1_500);
  lapsed.forEach(({entry}) => world.store.putServer(entry));
  await world.clock.advance(8_000);
  assert.deepEqual(world.broken, []);
  assert.equal(world.tally.ends.answered, 11);
});

test('a flow whose server has ended for certain is reset, so that the caller comes again', async () => {
  const world = await createWorld();
  const callers = Array.from({length: 12}, () =>
    world.call(PAY, 5_000, 2 * LONG_CALL_MS),
  );
  await world.clock.advance(500);
  const [ended] = world.liveServers('pay');
  const affected = callers.filter(({server}) => server === ended.entry.id);
  world.crashServer(ended, true, 2_300);
  await world.clock.advance(26_000);
  assert.ok(affected.length > 0);
  assert.equal(world.tally.ends.cut, affected.length);
  assert.deepEqual(world.broken, []);
});

test('a server that leaves without saying so keeps its flows while it serves on', async () => {
  const world = await createWorld();
  const callers = Array.from({length: 12}, () =>
    world.call(PAY, 5_000, 2 * LONG_CALL_MS),
  );
  await world.clock.advance(500);
  const [leaving] = world.liveServers('pay');
  assert.ok(callers.some(({server}) => server === leaving.entry.id));
  world.store.removeServer(leaving.entry.id);
  await world.clock.advance(12_000);
  assert.equal(world.tally.ends.cut, 0);
  assert.deepEqual(world.broken, []);
});

test('openings go around servers that are silent or refuse', async () => {
  const world = await createWorld();
  await callFor(world, 1_000);
  const [silent, refusing] = world.liveServers('pay');
  world.crashServer(silent, true, 2_300);
  world.crashServer(refusing, false, 2_300);
  const before = world.tally.ends.refused;
  await callFor(world, 2_000);
  await world.clock.advance(3_000);
  // Each daemon may lose one opening before it knows; peers tell of the rest.
  assert.ok(world.tally.ends.refused - before <= 8, 'refused too often');
  assert.deepEqual(world.broken, []);
});

const FAULTS = fc.array(
  fc.record({
    afterMs: fc.integer({min: 50, max: 1_500}),
    kind: fc.constantFrom(
      'kill',
      'stop',
      'cut-peers',
      'cut-store',
      'store-down',
      'store-slow',
      'forget',
      'drain',
      'crash',
      'pause',
      'cut-servers',
      'reuse',
      'add',
      'routes',
    ),
    which: fc.nat(7),
    lastsMs: fc.integer({min: 200, max: 4_000}),
  }),
  {minLength: 2, maxLength: 8},
);

test('no promise is broken under any mix of faults', async () => {
  const hasher = await XxhashHasher.create();
  await fc.assert(
    fc.asyncProperty(
      fc.integer({min: 1, max: 1e6}),
      FAULTS,
      async (seed, faults) => {
        const world = await SimulatedPlatform.create({...PLAN, seed}, hasher);
        for (const fault of faults) {
          await callFor(world, fault.afterMs, 50);
          injectFault(world, fault, [PAY, DOCS]);
        }
        await callFor(world, 5_000, 50);
        const flows = world.broken.filter(
          ({promise}) => promise !== 'configuration' && promise !== 'drain',
        );
        // Bounds in time hold while the store answers and peers are in touch.
        const isSteady = faults.every(({kind}) =>
          [
            'add',
            'crash',
            'drain',
            'forget',
            'reuse',
            'routes',
            'stop',
          ].includes(kind),
        );
        assert.deepEqual(isSteady ? world.broken : flows, []);
      },
    ),
    {seed: 11, numRuns: Number(process.env['WELDYARD_FUZZ_RUNS'] ?? 25)},
  );
});
