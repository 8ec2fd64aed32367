/**
 * Simulates callers that open flows while servers are cold, and checks that a server is
 * not overloaded by daemons that decide independently.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ColdStartLimiter} from './cold-start-limiter.js';
import {Random} from './random.js';

const LIMITS = {excess: 1.5, slack: 5};
/** Stated rate of a cold server, in requests per second, and its limit for one second. */
const RATE = 10;
const LIMIT = RATE * LIMITS.excess + LIMITS.slack;
const SERVERS = Array.from({length: 12}, (_server, index) => `s-${index}`);
const DURATION_MS = 4_000;

/** Times of the new flows of all daemons, by server, in milliseconds. */
type Openings = ReadonlyMap<string, number[]>;

/** Parameters of a simulation. */
interface Simulation {
  readonly daemons: number;
  /** The number of daemons that each daemon assumes. */
  readonly assumed: number;
  readonly openingsPerMs: number;
}

/** Simulates cold servers alone: each flow goes to the first one that admits it, if any. */
function simulateColdServers({
  daemons,
  assumed,
  openingsPerMs,
}: Simulation): Openings {
  const random = Random.create(7);
  const fleet = Array.from({length: daemons}, (_daemon, index) =>
    ColdStartLimiter.create(LIMITS, Random.createForProcess(index, 0)),
  );
  const openings = new Map<string, number[]>();
  Array.from({length: DURATION_MS * openingsPerMs}, (_opening, index) => {
    const now = Math.floor(index / openingsPerMs);
    const daemon = fleet[random.nextInt(daemons)];
    const server = SERVERS.find(id => daemon.admits(id, RATE, assumed, now));
    if (server !== undefined) {
      daemon.recordOpening(server, RATE, assumed, now);
      openings.set(server, [...(openings.get(server) ?? []), now]);
    }
  });
  return openings;
}

/** Returns the largest number of new flows at one server within any second. */
function maxPerSecond(openings: Openings): number {
  const counts = [...openings.values()].flatMap(times =>
    times.map(
      (from, index) =>
        times.slice(index).filter(at => at < from + 1_000).length,
    ),
  );
  return Math.max(0, ...counts);
}

function countAll(openings: Openings): number {
  return [...openings.values()].reduce((sum, {length}) => sum + length, 0);
}

[8, 90, 300, 5_606].forEach(daemons =>
  test(`new flows from ${daemons} daemons stay within the limit of a cold server, even if half are unknown`, () => {
    [daemons, Math.ceil(daemons / 2)].forEach(assumed => {
      const openings = simulateColdServers({
        daemons,
        assumed,
        openingsPerMs: 4,
      });
      const most = maxPerSecond(openings);
      // Half of the limit is reserved for further requests of these flows.
      assert.ok(
        most <= LIMIT / 2,
        `${most} in a second, ${assumed} daemons assumed`,
      );
      assert.ok(countAll(openings) > 0 || daemons > 5_000);
    });
  }),
);

test('unused permits do not accumulate', () => {
  const daemon = ColdStartLimiter.create(LIMITS, Random.create(3));
  const admitted = SERVERS.filter(id => daemon.admits(id, RATE, 90, 0));
  assert.deepEqual(admitted, []);
  // An hour later the permit of each server has expired.
  const later = SERVERS.filter(id => daemon.admits(id, RATE, 90, 3_600_000));
  assert.deepEqual(later, []);
});

test('a rate too low for any flow admits none', () => {
  const daemon = ColdStartLimiter.create(
    {excess: 1, slack: 0},
    Random.create(3),
  );
  const times = Array.from({length: 1_000}, (_time, index) => index * 10);
  assert.ok(times.every(now => !daemon.admits('s-1', 1, 90, now)));
});
