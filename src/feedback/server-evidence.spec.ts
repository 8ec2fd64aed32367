/**
 * Evidence of whole fleets on servers that fail, are mute or slow, against the others:
 * requests of many daemons, whose records all reach one pool.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {createRoute, createServer} from '../../standins/catalog-records.js';
import {FakeClock} from '../../standins/fake-clock.js';
import {RequestEnd, type RequestOutcome} from '../routing/request-outcome.js';
import {Random} from '../routing/random.js';
import {ServerHashes} from '../routing/server-hashes.js';
import {EvidencePool} from './evidence-pool.js';
import {OutcomeClassifier} from './outcome-classifier.js';
import type {FaultCounts, FaultKind} from './server-evidence.js';

const TARGET_MS = 500;
const ROUTE = {
  ...createRoute('pay', {address: 1, port: 443, targetMs: TARGET_MS}),
  allowedServices: new Set(['pay']),
};
const WORK_MS = 55;
const ERROR_BYTES = 150;
const REQUESTS_PER_SERVER = 8;
const CALLERS = 200;
const HASHES = ServerHashes.create(await XxhashHasher.create());

/** How one request ends: answer bytes and milliseconds; undefined: no answer. */
type Answer = {bytes: number; ms: number} | undefined;

/** The load and its faults; `server` and `daemon` are indexes. */
interface Load {
  readonly daemons: number;
  readonly servers: number;
  readonly seconds?: number;
  answer(server: number, random: Random, at: FleetPosition): Answer;
  caller?(random: Random): number;
}

interface FleetPosition {
  readonly daemon: number;
  readonly second: number;
  readonly caller: number;
}

interface FleetResult {
  /** Counts of each server in the pool that heard all daemons. */
  readonly counts: FaultCounts[];
  /** Verdicts recorded by kind, of all daemons. */
  readonly verdicts: Record<FaultKind, number>;
  readonly dropped: number;
}

/** A usual answer: 2 to 6 kB after 38 to 82 ms. */
function usual(random: Random, factor = 1): Answer {
  const ms = WORK_MS * factor * (0.7 + random.next() * 0.8);
  return {bytes: 2_000 + random.nextInt(4_000), ms};
}

function failing(random: Random, share: number): Answer {
  return random.nextBool(share) ? {bytes: ERROR_BYTES, ms: 5} : usual(random);
}

/** Runs a load at 8 requests a second and server; flows go to random daemons. */
async function runFleet(load: Load): Promise<FleetResult> {
  const clock = FakeClock.create();
  const random = Random.create(7);
  const servers = Array.from({length: load.servers}, (_server, index) =>
    createServer(`i-${index}`, 'pay'),
  );
  const pool = EvidencePool.create(0, HASHES);
  const result = {verdicts: {failed: 0, overdue: 0, slow: 0}, dropped: 0};
  const daemons = Array.from({length: load.daemons}, (_daemon, index) => {
    const own = EvidencePool.create(index + 1, HASHES);
    return OutcomeClassifier.create({
      hashes: HASHES,
      onFault: ({server, kind, startedAt}, now) => {
        const record = own.add(server, kind, startedAt, now);
        result.verdicts[kind] += 1;
        assert.ok(record !== undefined && pool.merge(record, now));
      },
      onDropped: count => (result.dropped += count),
    });
  });
  const startedAt = clock.now();
  const endsAt = startedAt + (load.seconds ?? 30) * 1_000;
  const sendRequest = () => {
    const now = clock.now();
    const server = random.nextInt(load.servers);
    const daemon = random.nextInt(load.daemons);
    const caller = load.caller?.(random) ?? random.nextInt(CALLERS);
    const second = Math.floor((now - startedAt) / 1_000);
    const answer = load.answer(server, random, {daemon, second, caller});
    const endAt = now + (answer?.ms ?? TARGET_MS);
    const outcome: RequestOutcome = {
      server: servers[server],
      route: ROUTE,
      caller,
      end: answer === undefined ? RequestEnd.OVERDUE : RequestEnd.ANSWERED,
      startedAt: now,
      lastDataAt: now,
      answeredAt: answer === undefined ? Infinity : endAt,
      requestBytes: 300,
      answerBytes: answer?.bytes ?? 0,
    };
    clock.callAt(endAt, () => daemons[daemon].onEnd(outcome, clock.now()));
    if (now < endsAt) {
      const pause = 1_000 / (REQUESTS_PER_SERVER * load.servers);
      clock.callAt(now + pause, sendRequest);
    }
  };
  const release = () => {
    daemons.forEach(daemon => daemon.releaseVerdicts(clock.now()));
    if (clock.now() < endsAt) {
      clock.callAt(clock.now() + 250, release);
    }
  };
  sendRequest();
  release();
  await clock.advance(endsAt - startedAt);
  const counts = servers.map(each => pool.countFaults(each, clock.now()));
  return {...result, counts};
}

function totals(counts: readonly FaultCounts[]): number[] {
  return counts.map(({failed, overdue, slow}) => failed + overdue + slow);
}

/** Asserts that the first `bad` servers have far more faults than all others. */
function assertStandOut(counts: readonly FaultCounts[], bad: number): void {
  const sums = totals(counts);
  const least = Math.min(...sums.slice(0, bad));
  const most = Math.max(...sums.slice(bad));
  assert.ok(least >= 6 && least >= most * 3, `${least} against ${most}`);
}

[
  {share: 0.14, errors: 0.41},
  {share: 0.2, errors: 0.48},
  {share: 0.25, errors: 0.5},
].forEach(({share, errors}) =>
  [8, 101].forEach(daemons =>
    test(`a share of ${share} of 40 servers that fail ${errors} of their requests stand out, with ${daemons} daemons`, async () => {
      const bad = 40 * share;
      const {counts} = await runFleet({
        daemons,
        servers: 40,
        answer: (server, random) =>
          server < bad ? failing(random, errors) : usual(random),
      });
      assertStandOut(counts, Math.ceil(bad));
    }),
  ),
);

test('3 mute servers of 40 stand out by overdue requests', async () => {
  const {counts} = await runFleet({
    daemons: 101,
    servers: 40,
    answer: (server, random) => (server < 3 ? undefined : usual(random)),
  });
  assertStandOut(counts, 3);
  assert.ok(counts[0].overdue > 6);
});

[4, 5, 8].forEach(factor =>
  test(`6 of 40 servers that take ${factor} times as long stand out`, async () => {
    const {counts} = await runFleet({
      daemons: 101,
      servers: 40,
      answer: (server, random) => usual(random, server < 6 ? factor : 1),
    });
    assertStandOut(counts, 6);
    assert.ok(counts[0].slow > 6);
  }),
);

test('a route whose servers all fail half of their requests gives a verdict on few of 4,800 failures', async () => {
  const {counts, verdicts} = await runFleet({
    daemons: 8,
    servers: 40,
    answer: (_server, random) => failing(random, 0.5),
  });
  const {failed, overdue, slow} = verdicts;
  assert.ok(failed < 100 && overdue + slow === 0, JSON.stringify(verdicts));
  assert.ok(Math.max(...totals(counts)) < 2, `${totals(counts)}`);
});

test('a route whose servers all fail a fifth of their requests lets none stand out', async () => {
  const {counts} = await runFleet({
    daemons: 101,
    servers: 40,
    answer: (_server, random) => failing(random, 0.2),
  });
  const sums = totals(counts);
  const mean = sums.reduce((sum, each) => sum + each, 0) / sums.length;
  assert.ok(mean > 5 && Math.max(...sums) < mean * 2, `${sums}`);
});

test('a route whose servers all fail every request gives no verdict', async () => {
  const {verdicts} = await runFleet({
    daemons: 8,
    servers: 20,
    answer: (_server, random) => failing(random, 1),
  });
  assert.deepEqual(verdicts, {failed: 0, overdue: 0, slow: 0});
});

test('a route whose usual answers are as short as an error gives no verdict', async () => {
  const {verdicts} = await runFleet({
    daemons: 8,
    servers: 20,
    answer: (server, random) =>
      server < 4 && random.nextBool(0.5)
        ? {bytes: ERROR_BYTES, ms: 5}
        : {bytes: 180 + random.nextInt(100), ms: WORK_MS},
  });
  assert.equal(verdicts.failed, 0);
});

test('a route that turns to short answers everywhere gives no verdict once these are usual', async () => {
  const {counts, verdicts} = await runFleet({
    daemons: 8,
    servers: 40,
    seconds: 50,
    answer: (_server, random, {second}) =>
      second < 10 ? usual(random) : {bytes: 160, ms: WORK_MS},
  });
  assert.ok(verdicts.failed > 0);
  assert.ok(Math.max(...totals(counts)) < 0.5, `${totals(counts)}`);
});

test('an answer that starts and is cut after a packet is no failure', async () => {
  const {verdicts} = await runFleet({
    daemons: 8,
    servers: 20,
    answer: (_server, random) =>
      random.nextBool(0.1) ? {bytes: 1_200, ms: WORK_MS} : usual(random),
  });
  assert.equal(verdicts.failed, 0);
});

test('a caller whose requests all fail convicts no server, though it sends a fifth of them', async () => {
  const {counts} = await runFleet({
    daemons: 8,
    servers: 20,
    caller: random => (random.nextBool(0.2) ? 1 : 2 + random.nextInt(100)),
    answer: (_server, random, {caller}) =>
      caller === 1 ? {bytes: ERROR_BYTES, ms: 5} : usual(random),
  });
  // Without the limit a server would have 11; one that fails 40% of all has 23.
  assert.ok(Math.max(...totals(counts)) < 10, `${totals(counts)}`);
});

test('flows that move to other daemons, 5% of all requests, convict no server', async () => {
  const {counts} = await runFleet({
    daemons: 101,
    servers: 40,
    answer: (server, random) =>
      server < 4
        ? failing(random, 0.4)
        : random.nextBool(0.05)
          ? undefined
          : usual(random),
  });
  assertStandOut(counts, 4);
});

test('a daemon that sees no answers for 5 s drops its evidence', async () => {
  const {counts, dropped} = await runFleet({
    daemons: 20,
    servers: 40,
    seconds: 18,
    answer: (_server, random, {daemon, second}) =>
      daemon === 3 && second >= 12 && second < 17 ? undefined : usual(random),
  });
  assert.ok(dropped >= 50, `${dropped} dropped`);
  assert.ok(Math.max(...totals(counts)) <= 1, `${totals(counts)}`);
});
