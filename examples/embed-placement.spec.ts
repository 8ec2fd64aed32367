import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {VERSION} from '../src/version.js';
import {embedParts} from './embed-placement.js';

test('the example gives each key one server, every time', async () => {
  const keys = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const first = await embedParts(keys);
  assert.deepEqual(await embedParts(keys), first);
  assert.ok(new Set(first.servers).size > 1);
  assert.ok(first.repeats >= 10 && first.repeats <= 11);
});

test('the version is that of the package', () => {
  const text = readFileSync(
    new URL('../../package.json', import.meta.url),
    'utf8',
  );
  const {version} = JSON.parse(text) as {version: string};
  assert.equal(VERSION, version);
});
