import assert from 'node:assert/strict';
import dgram from 'node:dgram';
import http from 'node:http';
import {test} from 'node:test';
import type {Beat} from '../generated/catalog.js';
import {Metric} from '../ports/counters.js';
import {NetworkFleetChannel} from './network-fleet-channel.js';
import {MemoryCounters} from './memory-counters.js';
import {MemoryLog} from '../../standins/memory-log.js';
import {SystemClock} from './system-clock.js';

const clock = SystemClock.create();
const FIRST = 0x7f000002;
const SECOND = 0x7f000003;
const PORT = 17_731;
const BEAT: Beat = {
  sender: undefined,
  peers: [],
  routeVersion: 7,
  routesAgeMs: 1,
  serverRevision: 9,
  serverDigest: 5,
  serversAgeMs: 2,
  work: [],
  hello: true,
  reads: [],
  reachAsks: [],
  reachVotes: [],
  reachNews: [],
  unreadableDigest: 0,
  evidence: [],
  build: '',
  sent: undefined,
};

function createFleet(address: number) {
  const counters = MemoryCounters.create();
  const log = MemoryLog.create('test');
  const fleet = NetworkFleetChannel.create({
    address,
    port: PORT,
    clock,
    counters,
    log,
  });
  return {fleet, counters};
}

/** Waits up to two seconds until a condition holds. */
async function waitUntil(condition: () => boolean): Promise<void> {
  const deadline = clock.now() + 2_000;
  while (!condition() && clock.now() < deadline) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  assert.ok(condition());
}

test('heartbeats and pulls reach a peer; malformed datagrams and paths are rejected', async () => {
  const first = createFleet(FIRST);
  const second = createFleet(SECOND);
  const received: Array<[number, Beat]> = [];
  const ignore = {
    onHeartbeat: () => undefined,
    onPull: () => ({
      routes: undefined,
      servers: undefined,
      other: 0,
      waitMs: 0,
      sent: undefined,
    }),
  };
  await first.fleet.serve({
    onHeartbeat: (sender, beat) => received.push([sender, beat]),
    onPull: ({asker, routeVersion, serverRevision, serverDigest}) => ({
      routes: {
        version: routeVersion + serverRevision,
        ageMs: serverDigest,
        routes: [],
        coldServices: [],
        services: [],
        baseVersion: 0,
        removed: [],
      },
      servers: undefined,
      other: asker,
      waitMs: 5,
      sent: undefined,
    }),
  });
  await first.fleet.servePulls();
  await second.fleet.serve(ignore);
  try {
    second.fleet.sendHeartbeat(FIRST, BEAT);
    await waitUntil(() => received.length === 1);
    assert.deepEqual(received[0], [SECOND, BEAT]);

    const pulled = await second.fleet.pull(
      FIRST,
      {
        asker: SECOND,
        routeVersion: 41,
        serverRevision: 1,
        serverDigest: 3,
      },
      clock.now() + 1_000,
    );
    assert.equal(pulled._unsafeUnwrap().routes?.version, 42);
    assert.equal(pulled._unsafeUnwrap().routes?.ageMs, 3);
    assert.equal(pulled._unsafeUnwrap().other, SECOND);

    const socket = dgram.createSocket('udp4');
    socket.send(Buffer.from([0xff, 0xff, 0xff]), PORT, '127.0.0.2');
    await waitUntil(
      () => first.counters.read()[Metric.PEER_DATAGRAMS_REFUSED] === 1,
    );
    socket.close();
    assert.equal(received.length, 1);

    const statuses = await Promise.all(
      ['//', '/x', '/catalog?%'].map(statusOf),
    );
    assert.deepEqual(statuses, [404, 404, 200]);
  } finally {
    await first.fleet.close();
    await second.fleet.close();
  }
});

test('a pull from an unreachable peer fails with PeerUnavailable', async () => {
  const {fleet} = createFleet(SECOND);
  const pulled = await fleet.pull(
    FIRST,
    {asker: 1, routeVersion: 0, serverRevision: 0, serverDigest: 0},
    clock.now() + 500,
  );
  assert.equal(pulled._unsafeUnwrapErr().type, 'PeerUnavailable');
});

function statusOf(path: string): Promise<number | undefined> {
  return new Promise((resolve, reject) => {
    const request = http.get(
      {host: '127.0.0.2', port: PORT, path, agent: false},
      response => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    request.on('error', reject);
  });
}
