/** Whole fleets with faulty servers, whose daemons rate by a pool that is told all. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import type {CookieCaller} from '../../standins/cookie-callers.js';
import type {
  CookieServer,
  ServerFaults,
} from '../../standins/cookie-servers.js';
import {createFaultyFleet} from '../../standins/faulty-fleet.js';

const SERVERS = 84;
const CALLS_PER_SECOND = 400;
/** Time in which all outliers are found at this load. */
const DETECTION_MS = 8_000;

/** Returns the calls at the given servers as a multiple of an even share. */
function relativeLoad(
  callers: readonly CookieCaller[],
  servers: readonly CookieServer[],
): number {
  const ids = new Set(servers.map(({entry}) => entry.id));
  const there = callers.filter(({server}) => ids.has(server ?? '')).length;
  return there / callers.length / (servers.length / SERVERS);
}

/** Calls a fleet with faulty servers; returns their load and the ids that were ejected. */
async function runFaulty(
  daemons: number,
  isRated: boolean,
  {count, faults}: {count: number; faults: Partial<ServerFaults>},
) {
  const ejected = new Set<string>();
  const fleet = await createFaultyFleet(
    {
      daemons,
      servers: SERVERS,
      isRated,
      listener: {
        onEjected: ({server}) => ejected.add(server.id),
        onReturned: () => undefined,
      },
    },
    await XxhashHasher.create(),
  );
  const faulty = fleet.spoil(count, faults);
  await fleet.call(CALLS_PER_SECOND, DETECTION_MS);
  const callers = await fleet.call(CALLS_PER_SECOND, 5_000);
  assert.deepEqual(fleet.platform.violations, []);
  const expected = new Set(faulty.map(({entry}) => entry.id));
  return {load: relativeLoad(callers, faulty), ejected, expected};
}

const FAILING = {count: 21, faults: {failureShare: 0.5}};
/** They answer no request, so each keeps the flows that it was given in flight. */
const MUTE = {count: 8, faults: {isMute: true}};

[
  {plan: FAILING, what: 'fail half of their requests'},
  {plan: MUTE, what: 'never answer'},
].forEach(({plan, what}) =>
  [8, 30].forEach(daemons =>
    test(`${plan.count} of 84 servers that ${what} are ejected by ${daemons} daemons, no other is, and they get less than a third of their share`, async () => {
      const {load, ejected, expected} = await runFaulty(daemons, true, plan);
      assert.deepEqual(ejected, expected);
      assert.ok(load < 1 / 3, `${load}`);
    }),
  ),
);

test('17 of 84 servers that fail half of their requests are ejected by 30 daemons from what these see themselves, no other is, and they get less than a third of their share', async () => {
  const fleet = await createFaultyFleet(
    {
      daemons: 30,
      servers: SERVERS,
      isRated: true,
      platform: {createRatings: undefined, onServerPacket: undefined},
    },
    await XxhashHasher.create(),
  );
  const ids = (servers: readonly CookieServer[]) =>
    servers.map(({entry}) => entry.id);
  await fleet.call(CALLS_PER_SECOND, 3_000);
  const failing = fleet.spoil(17, {failureShare: 0.5});
  await fleet.call(CALLS_PER_SECOND, DETECTION_MS);
  const callers = await fleet.call(CALLS_PER_SECOND, 5_000);
  const load = relativeLoad(callers, failing);
  assert.ok(load < 1 / 3, `${load}`);
  const ejected = fleet.platform.logEntries
    .filter(({event}) => event === 'server-ejected')
    .map(({fields}) => `${fields.server}`);
  assert.deepEqual(new Set(ejected), new Set(ids(failing)));
  assert.deepEqual(fleet.platform.violations, []);
});

test('without ratings, servers that fail half of their requests get more than half of their share', async () => {
  const {load} = await runFaulty(8, false, FAILING);
  assert.ok(load > 0.5, `${load}`);
});

test('servers that take 6 times as long get less than 0.7 of their share, and some', async () => {
  const fleet = await createFaultyFleet(
    {daemons: 8, servers: SERVERS, isRated: true},
    await XxhashHasher.create(),
  );
  const slow = fleet.spoil(8, {workFactor: 6});
  await fleet.call(CALLS_PER_SECOND, 12_000);
  const load = relativeLoad(await fleet.call(CALLS_PER_SECOND, 5_000), slow);
  assert.ok(load > 0.05 && load < 0.7, `${load}`);
  assert.deepEqual(fleet.platform.violations, []);
});
