import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from './random.js';

const FIRST_ADDRESS = 0x0a01000a;
const START_MS = 1_700_000_000_000;
const DAEMONS = 200;
const BINS = 20;

test('daemons on neighbouring addresses that start together draw unlike numbers from the first on', () => {
  const streams = Array.from({length: DAEMONS}, (_daemon, index) =>
    Random.createOwn(FIRST_ADDRESS + index, START_MS + (index % 3)),
  );
  [1, 2, 3].forEach(draw => {
    const bins = new Array<number>(BINS).fill(0);
    streams.forEach(stream => {
      bins[Math.floor(stream.next() * BINS)] += 1;
    });
    // Ten each on the average; even chance fills none with over 25.
    assert.ok(Math.max(...bins) <= 25, `draw ${draw}: ${bins.join(' ')}`);
    assert.ok(Math.min(...bins) >= 1, `draw ${draw}: ${bins.join(' ')}`);
  });
});

test('a seed gives the same numbers each time', () => {
  const draw = () => {
    const random = Random.create(7);
    return Array.from({length: 5}, () => random.next());
  };
  assert.deepEqual(draw(), draw());
});
