import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {SimulatedPlatform} from '../../standins/simulated-platform.js';
import type {LogEntry} from '../../standins/memory-log.js';
import {formatIpv4} from '../routing/ipv4.js';
import {explainFlow} from './flow-explanation.js';
import {readProcessLogs} from './process-logs.js';
import {createRoute} from '../../standins/catalog-records.js';

const PAY = createRoute('pay', {address: 0xc6120001, port: 443});

async function createPlatform(): Promise<SimulatedPlatform> {
  const plan = {
    seed: 3,
    daemons: 3,
    failureDomains: ['a', 'b'],
    services: [{name: 'pay', servers: 3, slots: 2, workMs: 20}],
    routes: [PAY],
    bounds: {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000},
  };
  return SimulatedPlatform.create(plan, await XxhashHasher.create());
}

/** Writes logged lines to one file per process and reads them back. */
function writeAndReadLogs(lines: readonly LogEntry[]) {
  const folder = mkdtempSync(join(tmpdir(), 'weldyard-logs-'));
  const processes = [...new Set(lines.map(({process}) => process))];
  const files = processes.map(process => {
    const file = join(folder, `${process}.log`);
    const text = lines
      .filter(line => line.process === process)
      .map(({level, event, fields}) =>
        JSON.stringify({
          timestamp: '2026-01-01T00:00:00.000Z',
          level,
          message: event,
          process,
          ...fields,
        }),
      );
    writeFileSync(file, `   1.5 ${text.join('\n')}\n{"cut off`);
    return file;
  });
  return readProcessLogs(files)._unsafeUnwrap();
}

test('an opening that a silent server did not answer is explained', async () => {
  const platform = await createPlatform();
  const [silent] = platform.listReadyServers('pay');
  platform.crashServer(silent, true, 60_000);
  const callers = Array.from({length: 12}, () =>
    platform.startCaller(PAY, 1, 3_000),
  );
  await platform.clock.advance(2_000);
  const events = writeAndReadLogs(platform.logEntries);
  const explanations = callers.map(({options}) =>
    explainFlow(
      events,
      `${formatIpv4(options.sourceAddress)}:${options.sourcePort}`,
    ),
  );
  const retried = explanations.filter(({findings}) =>
    findings.some(finding =>
      finding.startsWith('its opening was sent 2 times'),
    ),
  );
  assert.ok(retried.length > 0);
  retried.forEach(({findings}) =>
    assert.ok(
      findings.some(finding =>
        finding.startsWith(`${silent.entry.id} left packets unanswered`),
      ),
    ),
  );
});

test('a refused opening is explained with the route version and its age', async () => {
  const platform = await createPlatform();
  platform.publishRoutes([]);
  await platform.clock.advance(1_000);
  const caller = platform.startCaller(PAY, 1, 3_000);
  await platform.clock.advance(500);
  const {sourceAddress, sourcePort} = caller.options;
  const source = `${formatIpv4(sourceAddress)}:${sourcePort}`;
  const {findings} = explainFlow(writeAndReadLogs(platform.logEntries), source);
  assert.match(
    findings[0],
    /^d\d: a packet was answered with a reset: version 2 of the routes, confirmed \d+ ms before, has no route/,
  );
});

test('a reset flow is explained by the end of its server', async () => {
  const platform = await createPlatform();
  const callers = Array.from({length: 6}, () =>
    platform.startCaller(PAY, 5_000, 40_000),
  );
  await platform.clock.advance(500);
  const [caller] = callers;
  const ended = platform
    .listReadyServers('pay')
    .find(({entry}) => entry.id === caller.server);
  assert.ok(ended);
  platform.crashServer(ended, true, 2_300);
  await platform.clock.advance(26_000);
  const {sourceAddress, sourcePort} = caller.options;
  const source = `${formatIpv4(sourceAddress)}:${sourcePort}`;
  const {findings} = explainFlow(writeAndReadLogs(platform.logEntries), source);
  assert.ok(findings.some(finding => finding.includes('its server had ended')));
  assert.ok(
    findings.includes(`${ended.entry.id} left the list of servers`),
    findings.join('\n'),
  );
});

test('files without a log line and missing files are reported by name', () => {
  const file = join(mkdtempSync(join(tmpdir(), 'weldyard-logs-')), 'empty.log');
  writeFileSync(file, 'hello\n');
  const empty = readProcessLogs([file])._unsafeUnwrapErr();
  assert.match(empty.message, /empty\.log: holds no log line; name a log/);
  const missing = readProcessLogs([`${file}.not`])._unsafeUnwrapErr();
  assert.match(missing.message, /empty\.log\.not: cannot be read/);
});
