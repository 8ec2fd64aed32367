/** Commands whose options or platform leave nothing to report. */
import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {ExitCode} from './command-output.js';
import {apply, listDaemonsBehind} from './commands.js';
import {logs} from './observation-commands.js';
import {Platform} from './platform.js';

/** Nothing listens there. */
const CLOSED = '127.0.0.1:1';

test('no revision counts as active while the instance list is unavailable', async () => {
  const platform = Platform.create(CLOSED, CLOSED);
  const behind = await listDaemonsBehind(platform, 3);
  platform.close();
  assert.deepEqual(behind, ['the instance list']);
});

test('a base that is no number is refused before the store is called', async t => {
  const platform = Platform.create(CLOSED, CLOSED);
  const edits = t.mock.method(platform.editor, 'apply');
  const code = await apply(platform, [], {
    config: '',
    base: 'abc',
    remove: 'workspace/x',
  });
  platform.close();
  assert.equal(code, ExitCode.USAGE_ERROR);
  assert.equal(edits.mock.callCount(), 0);
});

test('a time that cannot be read is refused, not taken for one after all lines', t => {
  const directory = mkdtempSync(path.join(tmpdir(), 'weldyard-'));
  t.after(() => rmSync(directory, {recursive: true}));
  const file = path.join(directory, 'd1.log');
  const timestamp = '2026-01-01T00:00:00.000Z';
  const line = {timestamp, level: 'info', message: 'ready', process: 'd1'};
  writeFileSync(file, JSON.stringify(line));
  assert.equal(
    logs([file], {config: '', since: 'yesterday'}),
    ExitCode.USAGE_ERROR,
  );
  assert.equal(
    logs([file], {config: '', since: '2026-01-02T03:04:05Z'}),
    ExitCode.DONE,
  );
});
