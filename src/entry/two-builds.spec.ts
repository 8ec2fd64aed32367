/** Simulated daemons that receive what another build of the program may send. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {Beat, CatalogUpdate, type ReadState} from '../generated/catalog.js';
import type {LogEntry} from '../../standins/memory-log.js';
import {createRoute} from '../../standins/catalog-records.js';
import {SimulatedPlatform} from '../../standins/simulated-platform.js';

const ROUTE = createRoute('pay', {address: 0xc6120001, port: 443});
/** Address of the daemon of another build, which is played by the test. */
const OTHER = 0x0a0000fe;
/** A daemon that the other one refers to. */
const REFERRED = 0x0a0000fe + 1;
/** A field 200 of the type varint, and a field 201 of bytes. */
const UNKNOWN_FIELDS = Uint8Array.from([
  0xc0, 0x0c, 0x07, 0xca, 0x0c, 0x03, 0x01, 0x02, 0x03,
]);

async function createFleet(
  feedback: boolean,
  daemons = 4,
): Promise<SimulatedPlatform> {
  const platform = await SimulatedPlatform.create(
    {
      seed: 7,
      daemons,
      failureDomains: ['a', 'b'],
      services: [{name: 'pay', servers: 4, slots: 2, workMs: 20}],
      routes: [ROUTE],
      bounds: {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000},
      features: {feedback, ratings: false, pressure: false},
    },
    await XxhashHasher.create(),
  );
  await platform.clock.advance(2_000);
  return platform;
}

function createHeartbeat(overrides: Partial<Beat>): Beat {
  return Beat.fromPartial({
    sender: {address: OTHER, failureDomain: 'a', hasCopy: true},
    ...overrides,
  });
}

/** Delivers a heartbeat of the other build, with fields unknown here, to all daemons. */
function deliver(platform: SimulatedPlatform, heartbeat: Beat): void {
  const bytes = [...Beat.encode(heartbeat).finish(), ...UNKNOWN_FIELDS];
  platform.daemons.forEach(({settings}) =>
    platform.network
      .findHandlers(settings.address)
      ?.onHeartbeat(OTHER, Beat.decode(Uint8Array.from(bytes))),
  );
}

function entriesOf(platform: SimulatedPlatform, event: string): LogEntry[] {
  return platform.logEntries.filter(entry => entry.event === event);
}

test('reader states that this build does not know keep nobody from reading, and cause a line an hour', async () => {
  const platform = await createFleet(false);
  const readers = new Set(
    entriesOf(platform, 'reader-changed').map(({process}) => process),
  );
  readers.forEach(name => platform.killDaemon(name));
  platform.publishRoutes([ROUTE]);
  const status = {
    reader: OTHER,
    failureDomain: 'a',
    capacity: 500,
    state: 9 as unknown as ReadState,
    ageMs: 0,
  };
  for (let round = 0; round < 60; round += 1) {
    deliver(platform, createHeartbeat({reads: [status]}));
    await platform.clock.advance(50);
  }
  const running = [...platform.daemons.values()].flatMap(
    daemon => daemon.running ?? [],
  );
  assert.deepEqual(
    running.map(({catalog}) => catalog.stamp.routeVersion),
    [2, 2],
  );
  assert.equal(entriesOf(platform, 'peer-content-unknown').length, 2);
});

test('a peer with another digest of the same servers is pulled from once in 2 s, which confirms the list', async () => {
  const platform = await createFleet(false, 1);
  const [{settings, running}] = [...platform.daemons.values()];
  assert.ok(running);
  const answer = platform.network.findHandlers(settings.address)?.onPull({
    asker: OTHER,
    routeVersion: 0,
    serverRevision: 0,
    serverDigest: 0,
  });
  platform.network.attach(OTHER, {
    onHeartbeat: () => undefined,
    onPull: () => CatalogUpdate.fromPartial({servers: answer?.servers}),
  });
  const before = platform.network.sent.pulls;
  const {routeVersion, serverRevision} = running.catalog.stamp;
  for (let round = 0; round < 40; round += 1) {
    deliver(
      platform,
      createHeartbeat({
        routeVersion,
        serverRevision,
        serverDigest: 0xffffffff,
      }),
    );
    await platform.clock.advance(500);
  }
  const pulls = platform.network.sent.pulls - before;
  assert.ok(pulls >= 5 && pulls <= 10, `${pulls} pulls in 20 s`);
});

test('an older list from the daemon that a peer refers to does not put off the next pull', async () => {
  const platform = await createFleet(false, 1);
  const [{settings, running}] = [...platform.daemons.values()];
  assert.ok(running);
  const {routeVersion, serverRevision} = running.catalog.stamp;
  const held = {asker: OTHER, routeVersion: 0, serverRevision: 0};
  const answer = platform.network
    .findHandlers(settings.address)
    ?.onPull({...held, serverDigest: 0});
  assert.ok(answer?.servers);
  const servers = {...answer.servers, whole: true};
  let pulls = 0;
  platform.network.attach(OTHER, {
    onHeartbeat: () => undefined,
    onPull: () => {
      pulls += 1;
      return pulls === 1
        ? CatalogUpdate.fromPartial({other: REFERRED})
        : CatalogUpdate.fromPartial({servers: {...servers, evacuated: ['a']}});
    },
  });
  platform.network.attach(REFERRED, {
    onHeartbeat: () => undefined,
    onPull: () =>
      CatalogUpdate.fromPartial({
        servers: {...servers, revision: serverRevision - 1},
      }),
  });
  for (let round = 0; round < 3; round += 1) {
    deliver(
      platform,
      createHeartbeat({routeVersion, serverRevision, serverDigest: 0xffffffff}),
    );
    await platform.clock.advance(500);
  }
  assert.ok(pulls >= 2, `${pulls} pulls in 1.5 s`);
});

test('a build that a peer names is logged once at each daemon, only with feedback', async () => {
  const [without, asked] = [await createFleet(false), await createFleet(true)];
  for (const platform of [without, asked]) {
    deliver(platform, createHeartbeat({build: '0a1b2c3d'}));
    await platform.clock.advance(10_000);
    deliver(platform, createHeartbeat({build: '0a1b2c3d'}));
  }
  assert.equal(entriesOf(without, 'peer-build').length, 0);
  assert.equal(entriesOf(asked, 'peer-build').length, 4);
});
