import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import selfsigned from 'selfsigned';
import {MemoryCounters} from './memory-counters.js';
import {Metric} from '../ports/counters.js';
import type {PeerHandlers} from '../ports/peers.js';
import {DaemonPeers} from './daemon-peers.js';
import {loadPeerSecurity, type SecuritySettings} from './peer-security.js';
import {SystemClock} from './system-clock.js';

const CALL_TIMEOUT_MS = 2_000;
const folder = mkdtempSync(path.join(tmpdir(), 'weldyard-tls-'));
const clock = SystemClock.create();
let nextPort = 31_000 + (process.pid % 500);

/** Writes a self-signed certificate that is its own authority; returns the settings. */
async function createCertificate(
  name: string,
  key: string,
): Promise<SecuritySettings> {
  const pems = await selfsigned.generate(
    [{name: 'commonName', value: 'weldyard'}],
    {
      keySize: 2_048,
      extensions: [
        {name: 'basicConstraints', cA: true},
        {name: 'subjectAltName', altNames: [{type: 7, ip: '127.0.0.1'}]},
      ],
    },
  );
  const files = {
    certificate: path.join(folder, `${name}.crt`),
    'private-key': path.join(folder, `${name}.key`),
  };
  writeFileSync(files.certificate, pems.cert);
  writeFileSync(files['private-key'], pems.private);
  return {...files, authority: files.certificate, 'datagram-key': key};
}

function createHandlers(received: string[]): PeerHandlers {
  return {
    onPassed: sender => received.push(`passed by ${sender}`),
    onHint: sender => received.push(`hint of ${sender}`),
    onProbe: sender => received.push(`probe of ${sender}`),
    onExceptions: sender => received.push(`entries of ${sender}`),
    onPullState: () => [],
    onPullChanges: () => ({epoch: 1, top: 0, changes: []}),
    onPullMembers: () => ({members: [], loads: []}),
    onForward: () => Promise.reject(new Error('not in this test')),
    onKeepKeys: () => 0,
    onPullKeys: () => [],
  };
}

async function createPeers(id: string, settings: SecuritySettings) {
  nextPort += 1;
  const address = `127.0.0.1:${nextPort}`;
  const counters = MemoryCounters.create();
  const security = loadPeerSecurity(settings)._unsafeUnwrap();
  const peers = await DaemonPeers.create({
    id,
    address,
    clock,
    counters,
    security,
  });
  const received: string[] = [];
  await peers.serve(createHandlers(received));
  return {address, peers, counters, received};
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const deadline = clock.now() + CALL_TIMEOUT_MS;
  while (!condition() && clock.now() < deadline) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  assert.ok(condition());
}

test('peers without the certificate and key are refused and counted', async () => {
  const ours = await createCertificate('ours', 'shared');
  const theirs = await createCertificate('theirs', 'another');
  const a = await createPeers('a', ours);
  const b = await createPeers('b', ours);
  const untrusted = await createPeers('untrusted', theirs);
  const unsecured = await createPeers('unsecured', {});

  const deadline = () => clock.now() + CALL_TIMEOUT_MS;
  const pushed = await a.peers.pushExceptions(b.address, [], deadline());
  assert.ok(pushed.isOk());
  a.peers.hint(b.address, {
    keyHigh: 1,
    keyLow: 2,
    server: '10.0.0.1:80',
    address: 3,
    port: 4,
  });
  await waitUntil(() => b.received.includes('hint of a'));

  await [untrusted, unsecured].reduce(async (earlier, other) => {
    await earlier;
    const refused = await other.peers.pushExceptions(b.address, [], deadline());
    assert.ok(refused.isErr());
    other.peers.hint(b.address, {
      keyHigh: 1,
      keyLow: 2,
      server: '10.0.0.9:80',
      address: 3,
      port: 4,
    });
  }, Promise.resolve());
  const count = () => b.counters.read()[Metric.PEER_DATAGRAMS_REFUSED] ?? 0;
  await waitUntil(() => count() === 2);
  assert.deepEqual(
    b.received.filter(text => !text.endsWith(' a')),
    [],
  );
  await Promise.all(
    [a, b, untrusted, unsecured].map(({peers}) => peers.close()),
  );
});

test('incomplete or missing certificates fail with SecurityUnusable', () => {
  const half = loadPeerSecurity({certificate: 'x'});
  assert.equal(half._unsafeUnwrapErr().type, 'SecurityUnusable');
  const missing = loadPeerSecurity({
    certificate: 'no-such-file',
    'private-key': 'no-such-file',
    authority: 'no-such-file',
  });
  assert.equal(missing._unsafeUnwrapErr().type, 'SecurityUnusable');
});
