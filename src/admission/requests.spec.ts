/**
 * Stateful fuzzing of non-repeatable requests over several daemons. The servers
 * count the runs of each key and serve as the oracle.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {MemoryRequests} from '../../standins/memory-requests.js';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {RequestStatus} from '../generated/request.js';
import {OutcomeReason, statusOf} from './outcome.js';

const hasher = await XxhashHasher.create();

type Step =
  | {readonly kind: 'send'; readonly count: number; readonly twice: boolean}
  | {readonly kind: 'resend'; readonly pick: number}
  | {readonly kind: 'freeze'; readonly pick: number}
  | {readonly kind: 'thaw'}
  | {readonly kind: 'crash'; readonly pick: number}
  | {readonly kind: 'split'; readonly pick: number}
  | {readonly kind: 'agree'}
  | {readonly kind: 'store'; readonly down: boolean; readonly lose: number}
  | {readonly kind: 'servers'; readonly lose: number; readonly cut: number}
  | {readonly kind: 'wait'; readonly ms: number};

const STEP: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('send' as const),
      count: fc.integer({min: 1, max: 12}),
      twice: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('resend' as const),
      pick: fc.nat(1_000),
    }),
  },
  fc.record({kind: fc.constant('freeze' as const), pick: fc.nat(10)}),
  fc.record({kind: fc.constant('thaw' as const)}),
  fc.record({kind: fc.constant('crash' as const), pick: fc.nat(10)}),
  fc.record({kind: fc.constant('split' as const), pick: fc.nat(10)}),
  fc.record({kind: fc.constant('agree' as const)}),
  fc.record({
    kind: fc.constant('store' as const),
    down: fc.boolean(),
    lose: fc.constantFrom(0, 0.3),
  }),
  fc.record({
    kind: fc.constant('servers' as const),
    lose: fc.constantFrom(0, 0.2),
    cut: fc.constantFrom(0, 0.2),
  }),
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constantFrom(20, 300, 2_000, 12_000, 40_000),
    }),
  },
);

async function apply(fleet: MemoryRequests, step: Step): Promise<void> {
  switch (step.kind) {
    case 'send':
      Array.from({length: step.count}).forEach(() =>
        fleet.send(step.twice ? 2 : 1),
      );
      break;
    case 'resend':
      fleet.resend(step.pick);
      break;
    case 'freeze':
      fleet.freeze(step.pick);
      break;
    case 'thaw':
      fleet.thaw();
      break;
    case 'crash':
      fleet.crash(step.pick);
      break;
    case 'split':
      fleet.hideAllPeers(step.pick);
      break;
    case 'agree':
      fleet.restoreViews();
      break;
    case 'store':
      fleet.store.isDown = step.down;
      fleet.store.lostAnswerRate = step.lose;
      break;
    case 'servers':
      fleet.backends.lostAnswerRate = step.lose;
      fleet.backends.truncatedAnswerRate = step.cut;
      break;
    case 'wait':
      await fleet.clock.advance(step.ms);
      break;
  }
  await fleet.clock.advance(10);
}

async function runSteps(
  seed: number,
  steps: readonly Step[],
  guarded: boolean,
): Promise<MemoryRequests> {
  const fleet = MemoryRequests.create({hasher, seed, guarded});
  await fleet.clock.advance(3_000);
  await steps.reduce(async (earlier, step) => {
    await earlier;
    await apply(fleet, step);
  }, Promise.resolve());
  fleet.thaw();
  await fleet.clock.advance(20_000);
  return fleet;
}

function check(fleet: MemoryRequests): void {
  fleet.backends.runs.forEach((runs, key) =>
    assert.ok(runs <= 1, `${key} ran ${runs} times`),
  );
  fleet.replies.forEach(({key, reply}) => {
    const runs = fleet.backends.runs.get(key) ?? 0;
    if (reply.status === RequestStatus.NOT_RUN && !fleet.wasResent(key)) {
      assert.equal(runs, 0, `${key}: "not run" (${reply.reason}), but it ran`);
    }
    if (reply.status === RequestStatus.ANSWERED) {
      assert.equal(runs, 1, `${key}: answered without a run`);
      assert.equal(reply.body.toString(), fleet.backends.createAnswer(key));
    }
  });
}

test('a non-repeatable request runs at most once and its status is accurate', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({min: 1, max: 1_000_000}),
      fc.array(STEP, {minLength: 4, maxLength: 30}),
      async (seed, steps) => check(await runSteps(seed, steps, true)),
    ),
    {
      seed: Number(process.env['FUZZ_SEED'] ?? 30),
      numRuns: Number(process.env['FUZZ_RUNS'] ?? 15),
      path: process.env['FUZZ_PATH'],
      includeErrorInReport: true,
      endOnFailure: true,
    },
  );
});

test('without leases and replicated keys a request runs twice', async () => {
  const steps: Step[] = [
    {kind: 'split', pick: 0},
    ...Array.from({length: 6}, (): Step => ({
      kind: 'send',
      count: 12,
      twice: true,
    })),
    {kind: 'wait', ms: 2_000},
  ];
  const unsafe = await runSteps(5, steps, false);
  const runs = [...unsafe.backends.runs.values()];
  assert.ok(runs.some(count => count > 1));
  check(await runSteps(5, steps, true));
});

test('every reason maps to a status, and all three statuses occur', () => {
  const statuses = Object.values(OutcomeReason).map(statusOf);
  assert.equal(new Set(statuses).size, 3);
});
