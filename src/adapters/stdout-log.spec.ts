import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {test} from 'node:test';

const MODULE = fileURLToPath(new URL('./stdout-log.js', import.meta.url));
const CLOCK = fileURLToPath(new URL('./system-clock.js', import.meta.url));

/** Runs a script that uses `log`, and returns the lines that it wrote. */
function linesOf(script: string): Array<Record<string, unknown>> {
  const program = `
    const {StdoutLog} = await import(${JSON.stringify(MODULE)});
    const {SystemClock} = await import(${JSON.stringify(CLOCK)});
    const log = StdoutLog.create('p1', SystemClock.create());
    ${script}
    await log.flush();`;
  const {stdout} = spawnSync(
    process.execPath,
    ['--input-type=module', '-e', program],
    {encoding: 'utf8'},
  );
  return stdout
    .trim()
    .split('\n')
    .map(line => JSON.parse(line));
}

test('lines are JSON with timestamp, level, process, event and fields', () => {
  const [line] = linesOf("log.warn('ready', {routeVersion: 3});");
  assert.match(String(line['timestamp']), /^\d{4}-\d\d-\d\dT/);
  assert.equal(line['level'], 'warn');
  assert.equal(line['process'], 'p1');
  assert.equal(line['message'], 'ready');
  assert.equal(line['routeVersion'], 3);
});

test('info lines over the rate limit are suppressed and counted, warnings never', () => {
  const lines = linesOf(`
    Array.from({length: 500}, () => log.info('flow-placed'));
    Array.from({length: 100}, () => log.warn('source-lost'));
    await new Promise(resolve => setTimeout(resolve, 1_100));
    log.info('flow-placed');`);
  const count = (event: string) =>
    lines.filter(({message}) => message === event).length;
  assert.equal(count('flow-placed'), 61);
  assert.equal(count('source-lost'), 100);
  const summary = lines.find(({message}) => message === 'lines-left-out');
  assert.equal(summary?.['of'], 'flow-placed');
  assert.equal(summary?.['count'], 440);
});
