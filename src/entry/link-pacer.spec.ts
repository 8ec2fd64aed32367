import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemoryCounters} from '../adapters/memory-counters.js';
import type {CatalogServer} from '../catalog/records.js';
import type {Timer} from '../ports/clock.js';
import {
  CookieFabric,
  type CallerPosition,
  type CookiePacket,
} from '../ports/cookie-fabric.js';
import {Random} from '../routing/random.js';
import {createPacket} from '../../standins/cookie-packets.js';
import {FakeClock} from '../../standins/fake-clock.js';
import {MemoryLog, type LogEntry} from '../../standins/memory-log.js';
import {UploadLoad, type LoadResults} from '../../standins/upload-load.js';
import {LinkPacer} from './link-pacer.js';

const SERVER: CatalogServer = {
  id: 'i-1',
  service: 'pay',
  address: 1,
  port: 80,
  failureDomain: 'a',
  slots: 2,
  state: 'ready',
  coldUntil: 0,
  createdRevision: 1,
  revision: 1,
  startTime: 0,
};

/** Records what is sent. */
class RecordingFabric extends CookieFabric {
  readonly sent: Array<{
    packet: CookiePacket | CallerPosition;
    cookie: number;
    at: number;
  }> = [];
  isClosed = false;

  constructor(private readonly clock: FakeClock) {
    super();
  }

  onPacket(): void {}

  forward(packet: CookiePacket, _server: CatalogServer, cookie: number): void {
    this.sent.push({packet, cookie, at: this.clock.now()});
  }

  reset(packet: CallerPosition): void {
    this.sent.push({packet, cookie: -1, at: this.clock.now()});
  }

  close(): void {
    this.isClosed = true;
  }
}

function createPacer(linkMbps: number) {
  const clock = FakeClock.create();
  const fabric = new RecordingFabric(clock);
  const counters = MemoryCounters.create();
  const entries: LogEntry[] = [];
  const log = MemoryLog.create('d', entries);
  const dropped: CookiePacket[] = [];
  const pacer = LinkPacer.create({
    fabric,
    linkMbps,
    clock,
    counters,
    log,
    onDropped: packet => dropped.push(packet),
  });
  return {clock, fabric, counters, entries, dropped, pacer};
}

function dataPacket(sequence: number, sourcePort = 1_000): CookiePacket {
  const bytes = new Uint8Array(1_232);
  return createPacket({sourcePort, sequence, dataLength: 1_200, bytes});
}

function smallPacket(fields: Partial<CookiePacket>): CookiePacket {
  return createPacket({bytes: new Uint8Array(32), ...fields});
}

/** Runs `load` for 10 s; `paced` is false for a daemon that sends at once. */
async function runUploads(
  linkMbps: number,
  paced: boolean,
  limitsInbound = false,
): Promise<LoadResults> {
  const clock = FakeClock.create();
  const load = UploadLoad.create({
    clock,
    random: Random.create(11),
    linkMbps,
    overload: 1.5,
    openingsPerSecond: 50,
    limitsInbound,
  });
  const daemon = paced
    ? LinkPacer.create({
        fabric: load.fabric,
        linkMbps,
        clock,
        counters: MemoryCounters.create(),
        log: MemoryLog.create('d', []),
        onDropped: () => undefined,
      })
    : load.fabric;
  load.run(packet => daemon.forward(packet, SERVER, 1), 10_000);
  await clock.advance(16_000);
  return load.results;
}

[3.3, 10].forEach(linkMbps =>
  test(`openings pass uploads at 1.5 times a link of ${linkMbps} Mbit/s`, async t => {
    const unpaced = await runUploads(linkMbps, false);
    const paced = await runUploads(linkMbps, true);
    t.diagnostic(JSON.stringify({linkMbps, unpaced, paced}));
    assert.ok(unpaced.openingsLost * 5 > unpaced.openings, 'no pressure');
    assert.equal(paced.openingsLost, 0);
    assert.ok(unpaced.openingP90Ms > 50 && paced.openingP90Ms < 20);
    // Openings and the margin for the other direction take their room from uploads.
    assert.ok(paced.uploadsDone >= unpaced.uploadsDone * 0.7);
  }),
);

test('what the network drops before the daemon stays lost: uploads at 1.5 times both directions', async t => {
  const unpaced = await runUploads(3.3, false, true);
  const paced = await runUploads(3.3, true, true);
  t.diagnostic(JSON.stringify({unpaced, paced}));
  assert.ok(unpaced.openingsLost * 5 > unpaced.openings, 'no pressure');
  assert.ok(paced.openingsLost <= unpaced.openingsLost * 1.1);
  assert.ok(paced.openingP90Ms < unpaced.openingP90Ms);
});

test('loads below the link are sent in the same turn, unchanged, without a timer', async () => {
  const random = Random.create(5);
  const {clock, fabric, pacer, counters} = createPacer(10);
  let timers = 0;
  const schedule = clock.callAt.bind(clock);
  clock.callAt = (deadline: number, task: () => void): Timer => {
    timers += 1;
    return schedule(deadline, task);
  };
  const given: unknown[] = [];
  const sendOne = () => {
    const packet =
      random.next() < 0.5
        ? dataPacket(random.nextInt(1_000))
        : smallPacket({opens: random.next() < 0.5});
    const at = clock.now();
    if (random.next() < 0.1) {
      given.push({packet, cookie: -1, at});
      pacer.reset(packet);
    } else {
      given.push({packet, cookie: 7, at});
      pacer.forward(packet, SERVER, 7);
    }
  };
  // Bursts of up to 15 packets, on average half of the link's rate.
  for (let turn = 0; turn < 1_000; turn += 1) {
    Array.from({length: 1 + random.nextInt(15)}, sendOne);
    await clock.advance(18);
  }
  assert.deepEqual(fabric.sent, given);
  assert.equal(timers, 0);
  assert.deepEqual(counters.read(), {});
});

test('under pressure data of a flow keeps its order, small packets of others pass', async () => {
  const {clock, fabric, pacer} = createPacer(3.3);
  Array.from({length: 40}, (_, index) =>
    pacer.forward(dataPacket(index, 1_000 + (index % 2)), SERVER, 1),
  );
  const opening = smallPacket({sourcePort: 2_000, opens: true});
  const closing = smallPacket({sourcePort: 1_000, closes: true});
  const request = createPacket({
    sourcePort: 2_001,
    dataLength: 100,
    bytes: new Uint8Array(132),
  });
  const startedAt = clock.now();
  [opening, closing, request].forEach(each => pacer.forward(each, SERVER, 1));
  await clock.advance(1_000);
  const times = new Map(fabric.sent.map(({packet, at}) => [packet, at]));
  assert.ok((times.get(opening) ?? Infinity) - startedAt <= 5);
  assert.ok((times.get(request) ?? Infinity) - startedAt <= 5);
  const flow = fabric.sent
    .map(({packet}) => packet as CookiePacket)
    .filter(({sourcePort}) => sourcePort === 1_000);
  const sequences = flow.map(({sequence}) => sequence);
  assert.equal(flow.at(-1), closing);
  assert.deepEqual(
    sequences.slice(0, -1),
    [...sequences.slice(0, -1)].sort((a, b) => a - b),
  );
});

test('under pressure an acknowledgement, and an opening on a reused port, stay behind data of their flow', async () => {
  const {clock, fabric, pacer} = createPacer(3.3);
  const data = Array.from({length: 20}, (_, index) => dataPacket(index));
  const later = [{}, {closes: true}, {opens: true}, {resets: true}].map(
    fields => smallPacket({sourcePort: 1_000, ...fields}),
  );
  const packets = [...data.slice(0, 10), later[0], ...data.slice(10)];
  const given = [...packets, ...later.slice(1)];
  given.forEach(packet => pacer.forward(packet, SERVER, 1));
  await clock.advance(1_000);
  assert.deepEqual(
    fabric.sent.map(({packet}) => packet),
    given,
  );
  const reopening = smallPacket({sourcePort: 1_000, opens: true});
  pacer.forward(reopening, SERVER, 1);
  assert.equal(fabric.sent.at(-1)?.packet, reopening);
});

test('10 s of bulk at 4 times the link: waits stay under 105 ms, the rate under the link, two log lines', async () => {
  const {clock, fabric, pacer, counters, entries, dropped} = createPacer(3.3);
  for (let turn = 0; turn < 1_000; turn += 1) {
    Array.from({length: 13}, (_, index) =>
      pacer.forward(dataPacket(turn, 1_000 + index), SERVER, 1),
    );
    await clock.advance(10);
  }
  const bytes = fabric.sent.length * 1_268;
  assert.ok(bytes < 10_000 * 412.5 && bytes > 10_000 * 412.5 * 0.85);
  const lastAt = fabric.sent.at(-1)?.at ?? 0;
  await clock.advance(5_000);
  const heldFor = (fabric.sent.at(-1)?.at ?? 0) - lastAt;
  assert.ok(heldFor <= 105, `${heldFor} ms`);
  assert.equal(counters.read()['link.dropped'], dropped.length);
  assert.equal(fabric.sent.length + dropped.length, 13_000);
  const events = entries.map(({event}) => event);
  assert.deepEqual(events, ['link-saturated', 'link-recovered']);
});

test('a daemon that stops hands on what it holds, in order', () => {
  const {fabric, pacer} = createPacer(3.3);
  const packets = Array.from({length: 30}, (_, index) => dataPacket(index));
  packets.forEach(packet => pacer.forward(packet, SERVER, 1));
  assert.ok(fabric.sent.length < 10);
  pacer.close();
  assert.deepEqual(
    fabric.sent.map(({packet}) => packet),
    packets,
  );
  assert.ok(fabric.isClosed);
  pacer.forward(packets[0], SERVER, 1);
  pacer.reset(packets[0]);
  assert.equal(fabric.sent.length, packets.length + 2);
});

test('of 2,000 resets in one turn none is lost, which nobody would repeat', async () => {
  const {clock, fabric, counters, pacer} = createPacer(3.3);
  Array.from({length: 2_000}, (_reset, index) =>
    pacer.reset(createPacket({sourcePort: 1_000 + index})),
  );
  await clock.advance(1_000);
  assert.equal(fabric.sent.length, 2_000);
  assert.equal(counters.read()['link.dropped'] ?? 0, 0);
});
