import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemoryCounters} from '../adapters/memory-counters.js';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import type {CatalogServer} from '../catalog/records.js';
import {createPacket} from '../../standins/cookie-packets.js';
import {FakeClock} from '../../standins/fake-clock.js';
import {MemoryLog, type LogEntry} from '../../standins/memory-log.js';
import {LocalFaultDetector} from './local-fault-detector.js';
import {Random} from './random.js';
import {ServerLoadTracker} from './server-load-tracker.js';

const hasher = await XxhashHasher.create();
/** Time after which a caller repeats a packet. */
const RETRANSMIT_MS = 200;
const ANSWER_MS = 10;
/** Time in which servers are compared. */
const WINDOW_MS = 1_000;
const CALLERS = 50;

/** Whether an opening packet, or data, to a server stays unanswered. */
type Loss = (server: CatalogServer, opens: boolean) => boolean;

function createServers(counts: readonly number[]): CatalogServer[] {
  return counts.flatMap((count, service) =>
    Array.from({length: count}, (_, index) => ({
      id: `i-${service}-${index}`,
      service: `service-${service}`,
      address: service * 1_000 + index,
      port: 80,
      failureDomain: 'a',
      slots: 2,
      state: 'ready' as const,
      coldUntil: 0,
      createdRevision: 1,
      revision: 1,
      startTime: 0,
    })),
  );
}

/** A daemon that sends requests to random servers. */
function createDaemon(counts: readonly number[], seed: number) {
  const clock = FakeClock.create();
  const random = Random.create(seed);
  const serverLoad = ServerLoadTracker.create(hasher, true);
  const entries: LogEntry[] = [];
  const servers = createServers(counts);
  const faults: number[] = [];
  const detector = LocalFaultDetector.create({
    clock,
    counters: MemoryCounters.create(),
    log: MemoryLog.create('d', entries),
    allServers: () => servers,
    isInUse: (id, time) => serverLoad.isInUse(id, time),
    lastAnsweredAt: id => serverLoad.lastAnsweredAt(id),
    countAnswers: (id, time) => serverLoad.countAnswers(id, time),
    newestAnswerAt: () => serverLoad.newestAnswerAt,
    wasLinkBusySince: () => false,
    onFault: time => faults.push(time),
  });
  const after = (ms: number, task: () => void) =>
    clock.callAt(clock.now() + ms, task);
  const send = (
    isLost: Loss,
    caller = random.nextInt(CALLERS),
    opens = random.next() < 0.5,
  ) => {
    const server = servers[random.nextInt(servers.length)];
    serverLoad.adjustInFlight(server.id, 1);
    const isAnswered = !isLost(server, opens);
    after(isAnswered ? ANSWER_MS : RETRANSMIT_MS, () => {
      serverLoad.adjustInFlight(server.id, -1);
      if (isAnswered) {
        serverLoad.recordAnswered(server.id, clock.now());
      } else {
        detector.recordUnanswered(server, {sourceAddress: caller, opens});
      }
    });
  };
  /** Sends `rate` requests a second for a while. */
  const run = async (durationMs: number, rate: number, isLost: Loss) => {
    for (let sent = 0; sent < (durationMs * rate) / 1_000; sent += 1) {
      send(isLost);
      await clock.advance(1_000 / rate);
    }
  };
  return {clock, random, servers, detector, entries, faults, run, send};
}

[14, 20, 25, 40].forEach(percent =>
  [10, 25, 100].forEach(count =>
    [8, 30, 100].forEach(rate =>
      test(`${percent}% of one service's ${count} servers silent for 20 s, ${rate} requests a second: no local fault`, async () => {
        const daemon = createDaemon([count], percent + count + rate);
        const dead = new Set(
          daemon.servers.slice(0, Math.floor((count * percent) / 100)),
        );
        await daemon.run(2_000, rate, () => false);
        await daemon.run(20_000, rate, server => dead.has(server));
        assert.deepEqual(daemon.entries, []);
      }),
    ),
  ),
);

[14, 25, 40].forEach(percent =>
  [0.01, 0.02, 0.05].forEach(loss =>
    [300, 1_000].forEach(rate =>
      test(`${percent}% of one service's 25 servers silent for 20 s, ${loss} of all other packets lost, ${rate} requests a second: no local fault`, async () => {
        const daemon = createDaemon([25], percent + rate);
        const dead = new Set(
          daemon.servers.slice(0, Math.floor((25 * percent) / 100)),
        );
        const isLost: Loss = server =>
          dead.has(server) || daemon.random.next() < loss;
        await daemon.run(2_000, rate, () => daemon.random.next() < loss);
        await daemon.run(20_000, rate, isLost);
        assert.deepEqual(daemon.entries, []);
      }),
    ),
  ),
);

[0, 0.01, 0.02, 0.05].forEach(loss =>
  [300, 1_000].forEach(rate =>
    test(`2 of the 3 servers of each of 3 services silent for 20 s, ${loss} of all other packets lost, ${rate} requests a second: no local fault`, async () => {
      const daemon = createDaemon([3, 3, 3], rate);
      const dead = new Set(
        daemon.servers.filter((_server, index) => index % 3 > 0),
      );
      const isLost: Loss = server =>
        dead.has(server) || daemon.random.next() < loss;
      await daemon.run(2_000, rate, () => daemon.random.next() < loss);
      await daemon.run(20_000, rate, isLost);
      assert.deepEqual(daemon.entries, []);
    }),
  ),
);

test('a service of 1 to 3 servers that is silent altogether, alone or beside others: no local fault', async () => {
  for (const counts of [[1], [2], [3], [3, 20], [1, 1, 25]]) {
    const daemon = createDaemon(counts, 3);
    await daemon.run(10_000, 100, ({service}) => service === 'service-0');
    assert.deepEqual(daemon.entries, [], `${counts}`);
  }
});

test('a large service that is silent altogether beside two smaller ones: no local fault', async () => {
  const daemon = createDaemon([40, 6, 6], 4);
  await daemon.run(10_000, 100, ({service}) => service === 'service-0');
  assert.deepEqual(daemon.entries, []);
});

test('one caller that repeats 40 packets a second to all 25 servers: no local fault', async () => {
  const daemon = createDaemon([25], 5);
  for (let turn = 0; turn < 400; turn += 1) {
    daemon.send(() => true, 99);
    daemon.send(() => false);
    await daemon.clock.advance(25);
  }
  assert.deepEqual(daemon.entries, []);
});

[true, false].forEach(ignored =>
  test(`25 servers that leave 70% of the ${ignored ? 'openings, being full,' : 'data, being slow,'} unanswered: no local fault`, async () => {
    const daemon = createDaemon([25], 9);
    await daemon.run(2_000, 150, () => false);
    await daemon.run(
      10_000,
      150,
      (_server, opens) => opens === ignored && daemon.random.next() < 0.7,
    );
    assert.deepEqual(daemon.entries, []);
  }),
);

[
  {counts: [25], rate: 120, limitMs: 1_000},
  {counts: [10, 8, 7], rate: 120, limitMs: 1_000},
  {counts: [60, 40], rate: 480, limitMs: 1_000},
  {counts: [60, 40], rate: 120, limitMs: 2_000},
].forEach(({counts, rate, limitMs}) =>
  test(`a link that loses 60% of ${rate} packets a second to services of ${counts} servers: found within ${limitMs} ms, over within 2.5 s`, async () => {
    const daemon = createDaemon(counts, 6);
    await daemon.run(3_000, rate, () => false);
    const startedAt = daemon.clock.now();
    await daemon.run(4_000, rate, () => daemon.random.next() < 0.6);
    assert.ok(daemon.detector.isActive);
    const foundAfterMs = daemon.faults[0] + WINDOW_MS - startedAt;
    assert.ok(foundAfterMs <= limitMs, `${foundAfterMs}`);
    await daemon.run(2_500, rate, () => false);
    assert.ok(!daemon.detector.isActive);
    const events = daemon.entries.map(({event}) => event);
    assert.deepEqual(events, ['local-fault', 'local-fault-over']);
  }),
);

test('a partition from four fifths of 25 servers: found, openings leave the silent servers', async () => {
  const daemon = createDaemon([25], 7);
  const dead = new Set(daemon.servers.slice(0, 20));
  await daemon.run(2_000, 100, () => false);
  await daemon.run(2_000, 100, server => dead.has(server));
  const {detector, servers, clock} = daemon;
  assert.ok(detector.isActive);
  assert.ok(!detector.recordUnanswered(servers[0], createPacket({})));
  assert.ok(!detector.shouldStay(servers[0], clock.now(), true));
  assert.ok(detector.shouldStay(servers[24], clock.now(), false));
  assert.ok(detector.shouldAvoid(servers[0]));
  assert.ok(!detector.shouldAvoid(servers[24]));
});

test('a detector that stops during a fault leaves no timer and finds no other fault', async () => {
  const daemon = createDaemon([25], 8);
  await daemon.run(2_000, 100, () => false);
  await daemon.run(2_000, 100, () => true);
  daemon.detector.stop();
  await daemon.run(4_000, 100, () => true);
  assert.ok(!daemon.detector.isActive);
  const events = daemon.entries.map(({event}) => event);
  assert.deepEqual(events, ['local-fault']);
});

test('a partition from all servers: openings stay', async () => {
  const daemon = createDaemon([25], 8);
  await daemon.run(2_000, 100, () => false);
  await daemon.run(2_000, 100, () => true);
  assert.ok(daemon.detector.isActive);
  assert.ok(daemon.detector.shouldStay(daemon.servers[0], 0, false));
  assert.ok(!daemon.detector.shouldAvoid(daemon.servers[0]));
});
