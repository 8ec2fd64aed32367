/** Concurrent edits by several operators with lost replies and store outages. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {FakeClock} from '../../standins/fake-clock.js';
import {MemoryStore} from '../../standins/memory-store.js';
import {Random} from '../routing/random.js';
import {decodeDocument, type ConfigurationDocument} from './document.js';
import {Editor, type EditFailure} from './editor.js';
import type {Edit} from './revision.js';
import {Watcher} from './watcher.js';

const TEMPLATE = '[template]\nname = pay\n';

function workspace(name: string, value: number): string {
  return [
    '[workspace]',
    `name = ${name}`,
    `requests-in-flight = ${value}`,
    '[service.pay]',
    'template = pay',
    `address = 10.0.0.${name.charCodeAt(1)}:443`,
    `servers[] = 10.1.${name.charCodeAt(1)}.1:80`,
  ].join('\n');
}

function editOf(editor: string, value: number, target: string): Edit {
  return {
    editId: `${editor}-${value}`,
    editor,
    atMs: value,
    changes: {
      'template/pay': TEMPLATE,
      [`workspace/${target}`]: workspace(target, value),
    },
  };
}

interface Attempt {
  readonly edit: Edit;
  readonly target: string;
  result: ConfigurationDocument | EditFailure | undefined;
}

const STEP = fc.record({
  operators: fc.integer({min: 1, max: 3}),
  sameTarget: fc.boolean(),
  rebase: fc.boolean(),
  lose: fc.constantFrom(0, 0.5),
  downMs: fc.constantFrom(0, 0, 500, 20_000),
});

test('no accepted edit is lost, silently overwritten or reverted', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({min: 1, max: 1_000_000}),
      fc.array(STEP, {minLength: 1, maxLength: 12}),
      async (seed, steps) => {
        const clock = FakeClock.create();
        const store = MemoryStore.create(clock, Random.create(seed));
        const seen: number[] = [];
        const stop = Watcher.create({
          store,
          clock,
          isWatching: () => true,
          onValue: value =>
            seen.push(decodeDocument(value)._unsafeUnwrap().revision),
          onStoreLost: () => undefined,
          onStoreRestored: () => undefined,
        }).start();
        const attempts: Attempt[] = [];
        await steps.reduce(async (earlier, step, index) => {
          await earlier;
          store.lostAnswerRate = step.lose;
          store.isDown = step.downMs > 0;
          clock.callAt(clock.now() + step.downMs, () => {
            store.isDown = false;
          });
          Array.from({length: step.operators}).forEach((_, operator) => {
            const target = step.sameTarget ? 'w0' : `w${operator}`;
            const edit = editOf(`op${operator}`, index + 1, target);
            const attempt: Attempt = {edit, target, result: undefined};
            attempts.push(attempt);
            void Editor.create(store, clock)
              .apply(edit, {
                rebase: step.rebase,
                deadline: clock.now() + 5_000,
              })
              .then(result => {
                attempt.result = result.match(
                  document => document,
                  failure => failure,
                );
              });
          });
          await clock.advance(40_000);
        }, Promise.resolve());
        store.lostAnswerRate = 0;
        await clock.advance(10_000);
        stop();
        const stored = await settle(clock, Editor.create(store, clock).read());
        check(attempts, stored._unsafeUnwrap().document, seen);
      },
    ),
    {seed: 40, numRuns: 60},
  );
});

async function settle<T>(clock: FakeClock, promise: Promise<T>): Promise<T> {
  await clock.advance(1_000);
  return promise;
}

function check(
  attempts: readonly Attempt[],
  last: ConfigurationDocument,
  seen: readonly number[],
): void {
  const ids = last.edits.map(({editId}) => editId);
  attempts.forEach(({edit, result}) => {
    assert.notEqual(result, undefined, `${edit.editId} never ended`);
    const accepted = result !== undefined && 'revision' in result;
    const conflict = result instanceof Error && result.name !== '';
    assert.ok(accepted || conflict);
    if (accepted) {
      assert.equal(ids.filter(id => id === edit.editId).length, 1);
    } else if ('type' in (result as EditFailure)) {
      const {type} = result as EditFailure;
      // Only an unsettled edit may have taken effect.
      assert.ok(type === 'EditUnsettled' || !ids.includes(edit.editId));
    }
  });
  // The newest accepted edit of each target is in force.
  attempts.forEach(({target}) => {
    const newest = [...last.edits]
      .reverse()
      .find(({changed}) => changed.includes(`workspace/${target}`));
    const expected = attempts.find(({edit}) => edit.editId === newest?.editId)
      ?.edit.changes[`workspace/${target}`];
    assert.equal(last.sources[`workspace/${target}`], expected ?? undefined);
  });
  assert.deepEqual(
    [...seen].sort((a, b) => a - b),
    seen,
    'a revision reverted',
  );
}

test('concurrent edits are both kept, unlike with blind writes', async () => {
  const clock = FakeClock.create();
  const store = MemoryStore.create(clock, Random.create(1));
  const editor = Editor.create(store, clock);
  const options = {rebase: true, deadline: clock.now() + 60_000};
  const both = Promise.all([
    editor.apply(editOf('a', 1, 'w0'), options),
    editor.apply(editOf('b', 1, 'w1'), options),
  ]);
  await clock.advance(5_000);
  const results = await both;
  assert.ok(results.every(result => result.isOk()));
  const read = await settle(clock, editor.read());
  assert.equal(read._unsafeUnwrap().document.edits.length, 2);

  // The naive tool writes at the newest version, not at the one it read.
  const naive = await settle(clock, blindWrites(store, clock));
  assert.equal(naive, 1);
});

/** Runs two blind writers concurrently and returns the number of edits kept. */
async function blindWrites(
  store: MemoryStore,
  clock: FakeClock,
): Promise<number> {
  const key = 'naive';
  const add = async (name: string) => {
    const read = (await store.get(key))._unsafeUnwrap();
    const text = new TextDecoder().decode(read.value);
    const newest = (await store.get(key))._unsafeUnwrap();
    const value = new TextEncoder().encode(`${text}${name};`);
    await store.compareAndSwap(key, value, newest.version);
    const after = (await store.get(key))._unsafeUnwrap();
    if (!new TextDecoder().decode(after.value).includes(name)) {
      await store.compareAndSwap(key, value, after.version);
    }
  };
  await Promise.all([add('a'), add('b')]);
  const last = (await store.get(key))._unsafeUnwrap();
  await clock.flushPromises();
  return new TextDecoder().decode(last.value).split(';').length - 1;
}

test('of two valid edits that conflict with each other one is rejected', async () => {
  const clock = FakeClock.create();
  const store = MemoryStore.create(clock, Random.create(2));
  const editor = Editor.create(store, clock);
  const clash = editOf('b', 1, 'w1');
  const same = workspace('w1', 1).replace('10.0.0.49:443', '10.0.0.48:443');
  const options = {rebase: true, deadline: clock.now() + 60_000};
  const both = Promise.all([
    editor.apply(editOf('a', 1, 'w0'), options),
    editor.apply(
      {...clash, changes: {...clash.changes, 'workspace/w1': same}},
      options,
    ),
  ]);
  await clock.advance(5_000);
  const [first, second] = await both;
  assert.ok(first.isOk());
  assert.ok(second.isErr());
  assert.equal(second.error.type, 'ConfigurationFaults');
});
