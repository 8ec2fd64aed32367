import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {after, before, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {Cluster} from './cluster.js';
import {totalsOf} from './measures.js';
import {HANDHELD, METERPAY, PARKWISE_DOMAINS} from './plans.js';

const run = promisify(execFile);
const TOOL = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../src/cli/main.js',
);
let cluster: Cluster;

before(async () => {
  cluster = await Cluster.create({
    daemons: 3,
    domains: PARKWISE_DOMAINS,
    services: [{...METERPAY, servers: 3}, HANDHELD],
    seed: 5,
  });
});

after(() => cluster.close());

async function tool(...args: string[]): Promise<{code: number; text: string}> {
  const program = [TOOL, ...args, '--config', cluster.toolSettings];
  try {
    const {stdout, stderr} = await run(process.execPath, program);
    return {code: 0, text: stdout + stderr};
  } catch (error) {
    const {code, stdout, stderr} = error as {
      code: number;
      stdout: string;
      stderr: string;
    };
    return {code, text: stdout + stderr};
  }
}

test('flows stay open while a daemon stops, and nothing is misrouted', async () => {
  await cluster.openFlows([
    {
      service: 'parkwise/meterpay',
      address: METERPAY.address,
      count: 120,
      rate: 400,
    },
  ]);
  await cluster.stopDaemon('entry-1');
  const totals = totalsOf(await cluster.flows());
  assert.deepEqual(totals, {
    flows: 120,
    brokenFlows: 0,
    refusedFlows: 0,
    openFlows: 120,
  });
  const backends = await cluster.backendReports();
  assert.ok(backends.every(({misrouted}) => misrouted === 0));
  cluster.startDaemon();
  await cluster.waitReady();
});

test('requests are answered', async () => {
  await cluster.sendRequests({
    workspace: 'parkwise',
    service: 'meterpay',
    repeatable: false,
    rate: 50,
    seconds: 1,
    deadlineMs: 5_000,
    duplicates: 0.2,
  });
  await cluster.waitUntil('requests have ended', async () => {
    const {reports, pending} = await cluster.requests();
    return pending === 0 && (reports[0]?.requests ?? 0) === 50;
  });
  const [report] = (await cluster.requests()).reports;
  assert.equal(report.answered + report.notRun + report.unknown, 50);
  assert.ok(report.answered > 0);
  assert.equal(report.wrongAnswers + report.partialAnswers, 0);
  const backends = await cluster.backendReports('parkwise/meterpay');
  assert.ok(backends.every(({doubleRuns}) => doubleRuns === 0));
});

test('the tool checks, applies, shows and reports', async () => {
  const file = path.join(cluster.folder, 'wrong.ini');
  writeFileSync(
    file,
    '[template]\nname = A B\n[server]\nslots = x\nslot = 1\n',
  );
  const checked = await tool('check', file);
  assert.equal(checked.code, 1);
  assert.equal(checked.text.trim().split('\n').length, 3);

  const applied = await tool('apply', '--wait', ...cluster.configurationFiles);
  assert.equal(applied.code, 0, applied.text);
  const stale = await tool(
    'apply',
    '--base',
    '1',
    ...cluster.configurationFiles,
  );
  assert.equal(stale.code, 1);
  assert.match(stale.text, /EditConflict/);

  const shown = await tool('show', 'template/meterpay');
  assert.match(shown.text, /name = meterpay/);
  const status = await tool('status');
  assert.equal(status.code, 0, status.text);
  const drawing = path.join(cluster.folder, 'timeline.svg');
  const drawn = await tool('timeline', '--out', drawing);
  assert.match(drawn.text, /[1-9]\d* events drawn/);
  const unknown = await tool('no-such-command');
  assert.equal(unknown.code, 2);
});
