import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {after, before, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {Cluster} from './cluster.js';
import {computeFlowTotals} from './measures.js';
import {HANDHELD, METERPAY, PARKWISE_DOMAINS} from './plans.js';

const run = promisify(execFile);
const CLI_PATH = path.resolve(
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

async function runCli(
  ...args: string[]
): Promise<{code: number; text: string}> {
  const program = [CLI_PATH, ...args, '--config', cluster.cliSettingsFile];
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

test('flows stay open and reach their servers while a daemon stops', async () => {
  await cluster.openFlows([
    {
      service: 'parkwise/meterpay',
      address: METERPAY.address,
      count: 120,
      rate: 400,
    },
  ]);
  await cluster.stopDaemon('entry-1');
  const totals = computeFlowTotals(await cluster.controlFlowCallers());
  assert.deepEqual(totals, {
    flows: 120,
    brokenFlows: 0,
    refusedFlows: 0,
    openFlows: 120,
  });
  const backends = await cluster.readBackendReports();
  assert.ok(backends.every(({misrouted}) => misrouted === 0));
  cluster.startDaemon();
  await cluster.waitReady();
});

test('requests are answered correctly and run at most once', async () => {
  await cluster.sendRequests({
    workspace: 'parkwise',
    service: 'meterpay',
    repeatable: false,
    rate: 50,
    seconds: 1,
    deadlineMs: 5_000,
    duplicates: 0.2,
  });
  await cluster.waitFor('requests have ended', async () => {
    const {reports, pending} = await cluster.readRequestReports();
    return pending === 0 && (reports[0]?.requests ?? 0) === 50;
  });
  const [report] = (await cluster.readRequestReports()).reports;
  assert.equal(report.answered + report.notRun + report.unknown, 50);
  assert.ok(report.answered > 0);
  assert.equal(report.wrongAnswers + report.partialAnswers, 0);
  const backends = await cluster.readBackendReports('parkwise/meterpay');
  assert.ok(backends.every(({doubleRuns}) => doubleRuns === 0));
});

test('the command line checks, applies and shows configuration, status and time line', async () => {
  const file = path.join(cluster.folder, 'wrong.ini');
  writeFileSync(
    file,
    '[template]\nname = A B\n[server]\nslots = x\nslot = 1\n',
  );
  const checked = await runCli('check', file);
  assert.equal(checked.code, 1);
  assert.equal(checked.text.trim().split('\n').length, 3);

  const applied = await runCli(
    'apply',
    '--wait',
    ...cluster.configurationFiles,
  );
  assert.equal(applied.code, 0, applied.text);
  const stale = await runCli(
    'apply',
    '--base',
    '1',
    ...cluster.configurationFiles,
  );
  assert.equal(stale.code, 1);
  assert.match(stale.text, /EditConflict/);

  const shown = await runCli('show', 'template/meterpay');
  assert.match(shown.text, /name = meterpay/);
  const status = await runCli('status');
  assert.equal(status.code, 0, status.text);
  const drawing = path.join(cluster.folder, 'timeline.svg');
  const drawn = await runCli('timeline', '--out', drawing);
  assert.match(drawn.text, /[1-9]\d* events drawn/);
  const unknown = await runCli('no-such-command');
  assert.equal(unknown.code, 2);
});
