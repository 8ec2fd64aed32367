import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SystemClock} from './system-clock.js';

const clock = SystemClock.create();

/** Keeps the event loop's turn busy. */
function spin(milliseconds: number): void {
  const until = clock.now() + milliseconds;
  while (clock.now() < until);
}

// Guards against probes that give up before their deadlines.
test('no call comes before its deadline, also when scheduled late in a turn of the event loop', async () => {
  const early: number[] = [];
  for (let round = 0; round < 100; round += 1) {
    spin(2.5);
    const deadline = clock.now() + 1 + (round % 7) + round / 100;
    await new Promise<void>(resolve => {
      clock.callAt(deadline, resolve);
    });
    early.push(deadline - clock.now());
  }
  const earliest = Math.max(...early);
  assert.ok(earliest <= 0, `${earliest} ms before its deadline`);
});

test('a canceled call does not come', async () => {
  let calls = 0;
  const timer = clock.callAt(clock.now() + 5, () => {
    calls += 1;
  });
  timer.cancel();
  await new Promise(resolve => setTimeout(resolve, 20));
  assert.equal(calls, 0);
});
