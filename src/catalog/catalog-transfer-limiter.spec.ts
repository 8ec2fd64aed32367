import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CatalogTransferLimiter} from './catalog-transfer-limiter.js';

/** 55 kB, which takes 32 ms on a link of 14 Mbit/s. */
const CATALOG_SIZE = {routes: 1_400, servers: 205};
const SLOW_MBPS = 14;

test('a daemon on a slow link sends a few catalogs and refers others to the recipients', () => {
  const limiter = CatalogTransferLimiter.create(SLOW_MBPS);
  const referrals = Array.from({length: 8}, (_asker, index) =>
    limiter.admitOrRefer(100 + index, CATALOG_SIZE, 0),
  );
  const admitted = referrals.filter(referral => referral === undefined).length;
  assert.ok(admitted >= 2 && admitted <= 4, `${admitted} admitted`);
  referrals.forEach((referral, index) => {
    if (referral !== undefined) {
      assert.ok(referral.other >= 100 && referral.other < 100 + index);
      assert.ok(referral.waitMs > 0 && referral.waitMs < 200);
    }
  });
});

test('referrals alternate between recipients and never name the asker', () => {
  const limiter = CatalogTransferLimiter.create(SLOW_MBPS);
  Array.from({length: 3}, (_asker, index) =>
    limiter.admitOrRefer(1 + index, CATALOG_SIZE, 0),
  );
  const referred = Array.from(
    {length: 9},
    () => limiter.admitOrRefer(9, CATALOG_SIZE, 0)?.other,
  );
  assert.ok(new Set(referred).size >= 2, referred.join(' '));
  const referredRecipient = Array.from(
    {length: 9},
    () => limiter.admitOrRefer(1, CATALOG_SIZE, 0)?.other,
  );
  assert.ok(!referredRecipient.includes(1));
});

test('small transfers, and all transfers on a fast link, are admitted', () => {
  const slow = CatalogTransferLimiter.create(SLOW_MBPS);
  const fast = CatalogTransferLimiter.create(10_000);
  Array.from({length: 100}, (_asker, index) => {
    assert.equal(
      slow.admitOrRefer(index, {routes: 1, servers: 20}, 0),
      undefined,
    );
    assert.equal(fast.admitOrRefer(index, CATALOG_SIZE, 0), undefined);
  });
});

test('transfers are admitted again once the queue has drained', () => {
  const limiter = CatalogTransferLimiter.create(SLOW_MBPS);
  Array.from({length: 10}, (_asker, index) =>
    limiter.admitOrRefer(1 + index, CATALOG_SIZE, 0),
  );
  assert.equal(limiter.admitOrRefer(50, CATALOG_SIZE, 1_000), undefined);
});
