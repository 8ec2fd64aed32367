import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from './random.js';

const FIRST_ADDRESS = 0x0a01000a;
const START_MS = 1_700_000_000_000;
const DAEMONS = 200;
const BINS = 20;

test('first draws of processes on adjacent addresses that start together spread evenly', () => {
  const streams = Array.from({length: DAEMONS}, (_daemon, index) =>
    Random.createForProcess(FIRST_ADDRESS + index, START_MS + (index % 3)),
  );
  [1, 2, 3].forEach(draw => {
    const bins = new Array<number>(BINS).fill(0);
    streams.forEach(stream => {
      bins[Math.floor(stream.next() * BINS)] += 1;
    });
    // Ten a bin on average; more than 25 in one are practically impossible by chance.
    assert.ok(Math.max(...bins) <= 25, `draw ${draw}: ${bins.join(' ')}`);
    assert.ok(Math.min(...bins) >= 1, `draw ${draw}: ${bins.join(' ')}`);
  });
});

test('the same seed yields the same numbers', () => {
  const draw = () => {
    const random = Random.create(7);
    return Array.from({length: 5}, () => random.next());
  };
  assert.deepEqual(draw(), draw());
});
