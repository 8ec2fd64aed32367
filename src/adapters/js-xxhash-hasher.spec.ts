import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {JsXxhashHasher} from './js-xxhash-hasher.js';
import {XxhashHasher} from './xxhash-hasher.js';

test('the JavaScript and WebAssembly hashers return the same values', async () => {
  const compiled = await XxhashHasher.create();
  const script = JsXxhashHasher.create();
  const seeds = fc.integer({min: 0, max: 2 ** 32 - 1});
  fc.assert(
    fc.property(fc.string({unit: 'binary'}), seeds, (text, seed) => {
      assert.equal(script.hashText(text, seed), compiled.hashText(text, seed));
    }),
    {seed: 1},
  );
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 200}), seeds, (bytes, seed) => {
      assert.equal(
        script.hashBytes(bytes, seed),
        compiled.hashBytes(bytes, seed),
      );
    }),
    {seed: 2},
  );
});
