import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CatalogTransferLimiter} from './catalog-transfer-limiter.js';

/** 55 kB, of which a link of 14 Mbit/s takes 32 ms each. */
const COPY = {routes: 1_400, servers: 205};
const SLOW_MBPS = 14;

test('a daemon on a slow link gives a few copies and names their takers to others', () => {
  const giver = CatalogTransferLimiter.create(SLOW_MBPS);
  const answers = Array.from({length: 8}, (_asker, index) =>
    giver.admitOrRefer(100 + index, COPY, 0),
  );
  const given = answers.filter(answer => answer === undefined).length;
  assert.ok(given >= 2 && given <= 4, `${given} given`);
  answers.forEach((answer, index) => {
    if (answer !== undefined) {
      assert.ok(answer.other >= 100 && answer.other < 100 + index);
      assert.ok(answer.waitMs > 0 && answer.waitMs < 200);
    }
  });
});

test('takers are named in turn, and never to themselves', () => {
  const giver = CatalogTransferLimiter.create(SLOW_MBPS);
  Array.from({length: 3}, (_asker, index) =>
    giver.admitOrRefer(1 + index, COPY, 0),
  );
  const named = Array.from(
    {length: 9},
    () => giver.admitOrRefer(9, COPY, 0)?.other,
  );
  assert.ok(new Set(named).size >= 2, named.join(' '));
  const toTaker = Array.from(
    {length: 9},
    () => giver.admitOrRefer(1, COPY, 0)?.other,
  );
  assert.ok(!toTaker.includes(1));
});

test('small copies and copies over an ample link are given to everyone', () => {
  const slow = CatalogTransferLimiter.create(SLOW_MBPS);
  const ample = CatalogTransferLimiter.create(10_000);
  Array.from({length: 100}, (_asker, index) => {
    assert.equal(
      slow.admitOrRefer(index, {routes: 1, servers: 20}, 0),
      undefined,
    );
    assert.equal(ample.admitOrRefer(index, COPY, 0), undefined);
  });
});

test('a link that has had time gives again', () => {
  const giver = CatalogTransferLimiter.create(SLOW_MBPS);
  Array.from({length: 10}, (_asker, index) =>
    giver.admitOrRefer(1 + index, COPY, 0),
  );
  assert.equal(giver.admitOrRefer(50, COPY, 1_000), undefined);
});
