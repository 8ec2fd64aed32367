/**
 * A model of callers that open flows while servers are cold: how many openings a cold
 * server gets in any second from daemons that decide by themselves.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ColdStartLimiter} from './cold-openings.js';
import {Random} from './random.js';

const LIMITS = {excess: 1.5, slack: 5};
/** Requests a second that a cold server takes, and what that lets arrive in a second. */
const RATE = 10;
const BOUND = RATE * LIMITS.excess + LIMITS.slack;
const SERVERS = Array.from({length: 12}, (_server, index) => `s-${index}`);
const LASTS_MS = 4_000;

/** Openings of a fleet, by server, as their times in milliseconds. */
type Openings = ReadonlyMap<string, number[]>;

/** What a model of a fleet is made from. */
interface Load {
  readonly daemons: number;
  /** How many each daemon takes them to be. */
  readonly counted: number;
  readonly openingsPerMs: number;
}

/** All servers are cold: each opening goes to one that admits it, if there is any. */
function playAllCold({daemons, counted, openingsPerMs}: Load): Openings {
  const random = Random.create(7);
  const fleet = Array.from({length: daemons}, (_daemon, index) =>
    ColdStartLimiter.create(LIMITS, Random.createOwn(index, 0)),
  );
  const openings = new Map<string, number[]>();
  Array.from({length: LASTS_MS * openingsPerMs}, (_opening, index) => {
    const now = Math.floor(index / openingsPerMs);
    const daemon = fleet[random.below(daemons)];
    const server = SERVERS.find(id => daemon.admits(id, RATE, counted, now));
    if (server !== undefined) {
      daemon.recordOpening(server, RATE, counted, now);
      openings.set(server, [...(openings.get(server) ?? []), now]);
    }
  });
  return openings;
}

/** Most openings at one server within any second. */
function mostInASecond(openings: Openings): number {
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
  test(`openings of ${daemons} daemons stay within what a cold server takes, counted right or by half`, () => {
    [daemons, Math.ceil(daemons / 2)].forEach(counted => {
      const openings = playAllCold({daemons, counted, openingsPerMs: 4});
      const most = mostInASecond(openings);
      // Flows go on: half of what the bound allows is left to their requests.
      assert.ok(most <= BOUND / 2, `${most} in a second, counted ${counted}`);
      assert.ok(countAll(openings) > 0 || daemons > 5_000);
    });
  }),
);

test('chances that nobody used are not saved up for a storm', () => {
  const daemon = ColdStartLimiter.create(LIMITS, Random.create(3));
  const admitted = SERVERS.filter(id => daemon.admits(id, RATE, 90, 0));
  assert.deepEqual(admitted, []);
  // An hour later each server's chance has come and gone.
  const later = SERVERS.filter(id => daemon.admits(id, RATE, 90, 3_600_000));
  assert.deepEqual(later, []);
});

test('a rate that leaves nothing to chance admits nobody', () => {
  const daemon = ColdStartLimiter.create(
    {excess: 1, slack: 0},
    Random.create(3),
  );
  const times = Array.from({length: 1_000}, (_time, index) => index * 10);
  assert.ok(times.every(now => !daemon.admits('s-1', 1, 90, now)));
});
