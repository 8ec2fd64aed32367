import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {VERSION} from '../src/version.js';
import {runExample} from './embed-placement.js';

test('the example maps each key to the same server on every run', async () => {
  const keys = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const first = await runExample(keys);
  assert.deepEqual(await runExample(keys), first);
  assert.ok(new Set(first.servers).size > 1);
  assert.ok(first.retries >= 10 && first.retries <= 11);
});

test('VERSION equals the version in package.json', () => {
  const text = readFileSync(
    new URL('../../package.json', import.meta.url),
    'utf8',
  );
  const {version} = JSON.parse(text) as {version: string};
  assert.equal(VERSION, version);
});
