/**
 * Evacuation of failure domains: the time until all daemons stop opening flows there, with
 * and without faults, and the effect on open flows and on services without other servers.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {OutageKind} from '../../standins/catalog-store.js';
import type {CookieCaller} from '../../standins/cookie-callers.js';
import {
  SimulatedPlatform,
  type SimulationPlan,
} from '../../standins/simulated-platform.js';
import {injectFault} from '../../standins/platform-faults.js';
import {createRoute} from '../../standins/catalog-records.js';

const BOUNDS = {drainMs: 5_000, configurationMs: 5_000, evacuationMs: 5_000};
/** 198.18.0.1:443. */
const PAY = createRoute('pay', {address: 0xc6120001, port: 443});
/** 198.18.0.2:443. */
const DOCS = createRoute('docs', {
  address: 0xc6120002,
  port: 443,
  repeatable: true,
});
const DOMAINS = ['a', 'b', 'c'];
const LONG_CALL_MS = 20_000;

async function createPlatform(
  daemons = 6,
  plan: Partial<SimulationPlan> = {},
): Promise<SimulatedPlatform> {
  return SimulatedPlatform.create(
    {
      seed: 5,
      daemons,
      failureDomains: DOMAINS,
      services: [
        {name: 'pay', servers: 9, slots: 2, workMs: 20},
        {name: 'docs', servers: 6, slots: 2, workMs: 10},
      ],
      routes: [PAY, DOCS],
      bounds: BOUNDS,
      ...plan,
    },
    await XxhashHasher.create(),
  );
}

/** Opens flows and counts them by the failure domain of their server. */
async function countDomainsOfNewFlows(
  platform: SimulatedPlatform,
  count = 60,
): Promise<Map<string, number>> {
  const callers = Array.from({length: count}, () =>
    platform.startCaller(PAY, 1, 3_000),
  );
  await platform.clock.advance(1_000);
  return countDomains(platform, callers);
}

function countDomains(
  platform: SimulatedPlatform,
  callers: readonly CookieCaller[],
): Map<string, number> {
  const domains = new Map<string, number>();
  callers.forEach(({server}) => {
    const domain =
      platform.findServer(server ?? '')?.entry.failureDomain ?? 'none';
    domains.set(domain, (domains.get(domain) ?? 0) + 1);
  });
  return domains;
}

/** Names of running daemons that don't know that a domain is evacuated. */
function daemonsUnawareOf(
  platform: SimulatedPlatform,
  domain: string,
): string[] {
  return [...platform.daemons.values()].flatMap(({name, running}) =>
    running === undefined || running.catalog.evacuatedDomains().includes(domain)
      ? []
      : [name],
  );
}

/** Evacuates a domain; returns the milliseconds until all daemons know it. */
async function timeUntilKnown(
  platform: SimulatedPlatform,
  domain: string,
): Promise<number> {
  const from = platform.clock.now();
  platform.evacuateDomain(domain);
  while (daemonsUnawareOf(platform, domain).length > 0) {
    assert.ok(
      platform.clock.now() - from < 20_000,
      `${domain} not known as evacuated after 20 s`,
    );
    await platform.clock.advance(10);
  }
  return platform.clock.now() - from;
}

/** Starts a caller every 20 ms for `durationMs`. */
async function callFor(
  platform: SimulatedPlatform,
  durationMs: number,
): Promise<void> {
  const rounds = Math.floor(durationMs / 20);
  for (let round = 0; round < rounds; round += 1) {
    platform.startCaller(round % 3 === 0 ? DOCS : PAY, 1 + (round % 4), 3_000);
    await platform.clock.advance(20);
  }
}

[6, 30, 90, 195].forEach(daemons =>
  test(`${daemons} daemons without faults all know of an evacuation, and of its end, within a second`, async () => {
    const platform = await createPlatform(daemons);
    const elapsedMs = await timeUntilKnown(platform, 'c');
    assert.ok(elapsedMs <= 1_000, `${elapsedMs} ms`);
    assert.equal((await countDomainsOfNewFlows(platform)).has('c'), false);
    platform.restoreDomain('c');
    await platform.clock.advance(1_000);
    assert.equal(daemonsUnawareOf(platform, 'c').length, daemons);
    // The restored servers may be cold for a moment.
    await platform.clock.advance(1_200);
    assert.ok(((await countDomainsOfNewFlows(platform)).get('c') ?? 0) > 0);
  }),
);

test('open flows stay on the servers of an evacuated domain', async () => {
  const platform = await createPlatform();
  const callers = Array.from({length: 30}, () =>
    platform.startCaller(PAY, 300, LONG_CALL_MS),
  );
  await platform.clock.advance(500);
  assert.ok((countDomains(platform, callers).get('c') ?? 0) > 0);
  platform.evacuateDomain('c');
  await platform.clock.advance(LONG_CALL_MS);
  assert.equal(platform.callResults.outcomes.answered, callers.length);
  assert.deepEqual(platform.violations, []);
});

test('a retransmitted opening packet is not sent to an evacuated domain', async () => {
  const platform = await createPlatform();
  platform.evacuateDomain('a');
  platform.evacuateDomain('b');
  await platform.clock.advance(1_000);
  // The servers of the only domain that is not evacuated are paused, so callers retransmit.
  platform
    .listReadyServers('pay')
    .filter(({entry}) => entry.failureDomain === 'c')
    .forEach(server => platform.pauseServer(server, 1_000));
  await callFor(platform, 600);
  platform.evacuateDomain('c');
  platform.restoreDomain('a');
  await platform.clock.advance(600);
  const taken = await countDomainsOfNewFlows(platform);
  assert.deepEqual([...taken.keys()], ['a']);
  await platform.clock.advance(6_000);
  assert.deepEqual(platform.violations, []);
});

test('no flow goes to an evacuated domain although most other servers are unresponsive', async () => {
  const platform = await createPlatform();
  platform.evacuateDomain('c');
  await platform.clock.advance(6_000);
  platform
    .listReadyServers('pay')
    .filter(({entry}) => entry.failureDomain !== 'c')
    .slice(0, 5)
    .forEach(server => platform.pauseServer(server, 5_000));
  await callFor(platform, 4_000);
  assert.deepEqual(platform.violations, []);
});

test('a service whose domains are all evacuated is refused at once, until one is restored', async () => {
  const platform = await createPlatform();
  DOMAINS.forEach(domain => platform.evacuateDomain(domain));
  await platform.clock.advance(1_000);
  const before = platform.callResults.outcomes.refused;
  Array.from({length: 20}, () => platform.startCaller(PAY, 1, 3_000));
  await platform.clock.advance(10);
  assert.equal(platform.callResults.outcomes.refused - before, 20);
  platform.restoreDomain('b');
  await platform.clock.advance(500);
  assert.deepEqual([...(await countDomainsOfNewFlows(platform)).keys()], ['b']);
});

test('evacuations and restorations that are rapid, repeated or of a domain without servers leave no stale state', async () => {
  const platform = await createPlatform();
  ['c', 'nowhere', 'c'].forEach(domain => platform.evacuateDomain(domain));
  await platform.clock.advance(300);
  platform.restoreDomain('c');
  await platform.clock.advance(300);
  platform.evacuateDomain('c');
  platform.restoreDomain('c');
  await platform.clock.advance(1_000);
  assert.equal(daemonsUnawareOf(platform, 'c').length, 6);
  assert.equal(daemonsUnawareOf(platform, 'nowhere').length, 0);
  assert.equal((await countDomainsOfNewFlows(platform)).size, DOMAINS.length);
});

test('daemons that all restart from a stale catalog keep an evacuation, and learn of a later one within 1.5 s', async () => {
  const platform = await createPlatform(30);
  // Stale reads return the state of 6 s ago, before the evacuation of "c".
  platform.store.staleReadLagMs = 6_000;
  platform.evacuateDomain('a');
  await platform.clock.advance(7_000);
  platform.evacuateDomain('c');
  await platform.clock.advance(500);
  const names = [...platform.daemons.keys()];
  names.forEach(name => platform.killDaemon(name));
  await platform.clock.advance(500);
  await Promise.all(names.map(name => platform.startDaemon(name)));
  await platform.clock.advance(100);
  assert.equal(daemonsUnawareOf(platform, 'a').length, 0);
  await platform.clock.advance(1_400);
  assert.equal(daemonsUnawareOf(platform, 'c').length, 0);
});

test('a daemon that starts from a stale catalog learns of an evacuation from its peers within 300 ms', async () => {
  const platform = await createPlatform(30);
  platform.store.staleReadLagMs = 6_000;
  platform.evacuateDomain('c');
  await platform.clock.advance(1_000);
  platform.killDaemon('d7');
  await platform.clock.advance(500);
  await platform.startDaemon('d7');
  await platform.clock.advance(300);
  assert.deepEqual(daemonsUnawareOf(platform, 'c'), []);
});

test('a daemon partitioned from the store and its peers keeps the evacuation that it knows', async () => {
  const platform = await createPlatform();
  platform.evacuateDomain('c');
  await platform.clock.advance(1_000);
  platform.setPartitionedFromPeers('d4', true);
  platform.store.outages.set('d4', OutageKind.SILENT);
  await platform.clock.advance(10_000);
  assert.deepEqual(daemonsUnawareOf(platform, 'c'), []);
  platform.restoreDomain('c');
  await platform.clock.advance(5_000);
  // The partitioned daemon cannot learn of the restoration.
  assert.equal(daemonsUnawareOf(platform, 'c').length, 5);
  platform.setPartitionedFromPeers('d4', false);
  await platform.clock.advance(3_000);
  assert.equal(daemonsUnawareOf(platform, 'c').length, 6);
});

/** Faults that last during an evacuation, within which its time bound holds. */
const FAULT_SCENARIOS: Readonly<
  Record<string, (platform: SimulatedPlatform) => void>
> = {
  'a third of the daemons rejected by the store': platform =>
    rejectStoreCalls(platform, (_name, index) => index % 3 === 0),
  'all but five daemons rejected by the store': platform =>
    rejectStoreCalls(platform, (_name, index) => index >= 5),
  'a store with 240 ms of latency': platform => {
    platform.store.responseLatencyMs = 240;
  },
  'store events discarded every second': platform =>
    discardEventsEvery(platform, 1_000),
  'a fifth of the datagrams between daemons lost': platform => {
    platform.network.heartbeatLossRate = 0.2;
  },
  'both readers killed': platform =>
    readersOf(platform).forEach(name => platform.killDaemon(name)),
  'both readers partitioned from their peers': platform =>
    readersOf(platform).forEach(name =>
      platform.setPartitionedFromPeers(name, true),
    ),
  'both readers without responses from the store': platform =>
    readersOf(platform).forEach(name =>
      platform.store.outages.set(name, OutageKind.SILENT),
    ),
  'a fifth of the daemons partitioned from their peers': platform =>
    [...platform.daemons.keys()]
      .filter((_name, index) => index % 5 === 0)
      .forEach(name => platform.setPartitionedFromPeers(name, true)),
};

function rejectStoreCalls(
  platform: SimulatedPlatform,
  isAffected: (name: string, index: number) => boolean,
): void {
  [...platform.daemons.keys()]
    .filter(isAffected)
    .forEach(name => platform.store.outages.set(name, OutageKind.BUSY));
}

function discardEventsEvery(
  platform: SimulatedPlatform,
  everyMs: number,
): void {
  platform.store.compactHistory();
  platform.clock.callAt(platform.clock.now() + everyMs, () =>
    discardEventsEvery(platform, everyMs),
  );
}

/** Names of the elected readers, by the last `reader-changed` log line of each daemon. */
function readersOf(platform: SimulatedPlatform): string[] {
  const isReaderByName = new Map<string, boolean>();
  platform.logEntries
    .filter(({event}) => event === 'reader-changed')
    .forEach(({process, fields}) =>
      isReaderByName.set(process, fields['waits'] === true),
    );
  return [...isReaderByName.keys()].filter(
    name => isReaderByName.get(name) === true,
  );
}

Object.entries(FAULT_SCENARIOS).forEach(([name, inject]) =>
  test(`two successive evacuations are known to all daemons within the bound: ${name}`, async () => {
    const platform = await createPlatform(30);
    await platform.clock.advance(2_000);
    inject(platform);
    const first = await timeUntilKnown(platform, 'c');
    const second = await timeUntilKnown(platform, 'a');
    const elapsedMs = Math.max(first, second);
    assert.ok(elapsedMs < BOUNDS.evacuationMs, `${elapsedMs} ms`);
  }),
);

const FAULTS = fc.array(
  fc.record({
    afterMs: fc.integer({min: 50, max: 1_500}),
    kind: fc.constantFrom(
      'evacuate',
      'evacuate',
      'add',
      'crash',
      'drain',
      'forget',
      'reuse',
      'routes',
      'stop',
    ),
    which: fc.nat(7),
    lastsMs: fc.integer({min: 100, max: 9_000}),
  }),
  {minLength: 2, maxLength: 8},
);

test('no flow opens in an evacuated domain after the bound, under maintenance, crashes and discarded store events', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({min: 1, max: 1e6}),
      FAULTS,
      async (seed, faults) => {
        const platform = await createPlatform(6, {seed});
        for (const fault of faults) {
          await callFor(platform, fault.afterMs);
          injectFault(platform, fault, [PAY, DOCS]);
        }
        await callFor(platform, 9_000);
        assert.deepEqual(platform.violations, []);
      },
    ),
    {
      seed: 12,
      numRuns: Number(process.env['WELDYARD_FUZZ_RUNS'] ?? 10),
    },
  );
});
