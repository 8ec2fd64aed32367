import assert from 'node:assert/strict';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {Worker} from 'node:worker_threads';
import {Clock, type Timer} from '../ports/clock.js';
import {ProbeResult} from '../ports/server-prober.js';
import {SystemClock} from './system-clock.js';
import {TcpContact} from './tcp-contact.js';

const LOOPBACK = 0x7f000001;
const CONTACT_TIMEOUT_MS = 200;

const clock = SystemClock.create();

async function listen(server: net.Server): Promise<number> {
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

test('a host that accepts or refuses a connection is reached at once', async () => {
  const contact = TcpContact.create(clock);
  const server = net.createServer();
  const port = await listen(server);
  const startedAt = clock.now();
  const deadline = startedAt + 5_000;
  const taken = await contact.probe({address: LOOPBACK, port}, deadline);
  await new Promise(resolve => server.close(resolve));
  const refused = await contact.probe({address: LOOPBACK, port}, deadline);
  assert.equal(taken, ProbeResult.REACHED);
  assert.equal(refused, ProbeResult.REACHED);
  assert.ok(clock.now() - startedAt < 2_000);
});

/** Listens with a backlog of one and never accepts. */
const NON_ACCEPTING_LISTENER = `
  const {parentPort} = require('node:worker_threads');
  const server = require('node:net').createServer();
  server.listen({port: 0, host: '127.0.0.1', backlog: 1}, () => {
    parentPort.postMessage(server.address().port);
    setImmediate(() => {
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
    });
  });
`;

test('a host that does not answer is silent at the deadline', async t => {
  const listener = new Worker(NON_ACCEPTING_LISTENER, {eval: true});
  const [port] = (await once(listener, 'message')) as [number];
  // Fills the backlog, so that further SYN packets are dropped as by a host that is down.
  const fillers = Array.from({length: 4}, () => net.connect(port, '127.0.0.1'));
  fillers.forEach(socket => socket.on('error', () => undefined));
  t.after(async () => {
    fillers.forEach(socket => socket.destroy());
    await listener.terminate();
  });
  await new Promise(resolve => setTimeout(resolve, 100));
  const startedAt = clock.now();
  const deadline = startedAt + CONTACT_TIMEOUT_MS;
  const contact = TcpContact.create(clock);
  const result = await contact.probe({address: LOOPBACK, port}, deadline);
  assert.equal(result, ProbeResult.TIMEOUT);
  assert.ok(clock.now() - startedAt >= CONTACT_TIMEOUT_MS - 1);
});

/** Keeps the event loop's turn busy. */
function spin(milliseconds: number): void {
  const until = clock.now() + milliseconds;
  while (clock.now() < until);
}

// Guards against flows being reset since a busy daemon takes a live server for silent.
[50, CONTACT_TIMEOUT_MS + 10].forEach(busyMs =>
  test(`a live host is not silent to a process that is busy up to the deadline, for ${busyMs} ms`, async t => {
    const server = net.createServer(socket =>
      socket.on('error', () => undefined),
    );
    t.after(() => server.close());
    const port = await listen(server);
    const contact = TcpContact.create(clock);
    const deadline = clock.now() + CONTACT_TIMEOUT_MS;
    const probe = contact.probe({address: LOOPBACK, port}, deadline);
    spin(busyMs);
    assert.equal(await probe, ProbeResult.REACHED);
  }),
);

/** A clock whose pending calls are counted. */
class CountingClock extends Clock {
  pending = 0;

  now(): number {
    return clock.now();
  }

  wall(): number {
    return clock.wall();
  }

  callAt(deadline: number, task: () => void): Timer {
    this.pending += 1;
    let isPending = true;
    const settle = () => {
      this.pending -= isPending ? 1 : 0;
      isPending = false;
    };
    const timer = clock.callAt(deadline, () => {
      settle();
      task();
    });
    return {
      cancel: () => {
        settle();
        timer.cancel();
      },
    };
  }
}

test('a host that was reached gets no further connection, and no timer is left', async () => {
  const counting = new CountingClock();
  const contact = TcpContact.create(counting);
  let connections = 0;
  const server = net.createServer(socket => {
    connections += 1;
    socket.on('error', () => undefined);
  });
  const port = await listen(server);
  const deadline = clock.now() + CONTACT_TIMEOUT_MS;
  const result = await contact.probe({address: LOOPBACK, port}, deadline);
  assert.equal(result, ProbeResult.REACHED);
  const pendingAfterProbe = counting.pending;
  await new Promise(resolve => setTimeout(resolve, 2 * CONTACT_TIMEOUT_MS));
  server.close();
  assert.equal(connections, 1);
  assert.equal(pendingAfterProbe, 0);
});
