import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import {readProcessLogs} from './process-logs.js';

const FOLDER = mkdtempSync(join(tmpdir(), 'weldyard-lines-'));

function lineOf(message: string): string {
  const timestamp = '2026-01-01T00:00:00.000Z';
  return JSON.stringify({timestamp, level: 'info', message, process: 'd1'});
}

function kindsIn(text: string): string[] {
  const file = join(FOLDER, 'd1.log');
  writeFileSync(file, text);
  return readProcessLogs([file])
    ._unsafeUnwrap()
    .map(({kind}) => kind);
}

test('text before the JSON of a line is ignored', () => {
  assert.deepEqual(kindsIn(`  1.5 d1 ${lineOf('started')}`), ['started']);
});

test('a line that directly follows a truncated one is read', () => {
  const truncated = lineOf('flow-placed').slice(0, 60);
  assert.deepEqual(kindsIn(`${truncated}  1.5 d2 ${lineOf('ready')}`), [
    'ready',
  ]);
});

test('a file without a log line is a fault that names it', () => {
  const file = join(FOLDER, 'empty.log');
  writeFileSync(file, 'nothing\n{"a":\n');
  const fault = readProcessLogs([file])._unsafeUnwrapErr();
  assert.match(fault.message, /empty\.log: holds no log line; name a log/);
});
