import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {EntryKind, FlowTable, type FlowEntry} from './flow-table.js';

const KEYS = fc.record({
  high: fc.integer({min: 0, max: 40}),
  low: fc.integer({min: 0, max: 3}),
});

const STEPS = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constant('set' as const),
      key: KEYS,
      server: fc.nat(100),
      deadline: fc.nat(20),
    }),
    fc.record({kind: fc.constant('delete' as const), key: KEYS}),
    fc.record({kind: fc.constant('sweep' as const), now: fc.nat(20)}),
  ),
  {maxLength: 200},
);

function entry(server: number, deadline: number): FlowEntry {
  return {kind: EntryKind.HELD, server, address: 1, port: 2, deadline};
}

test('the flow table matches a map under collisions, removals and sweeps', () => {
  fc.assert(
    fc.property(STEPS, steps => {
      const table = FlowTable.create(1_000);
      const model = new Map<string, {server: number; deadline: number}>();
      steps.forEach(step => {
        if (step.kind === 'set') {
          table.set(step.key, entry(step.server, step.deadline));
          model.set(`${step.key.high}/${step.key.low}`, step);
        } else if (step.kind === 'delete') {
          table.delete(step.key);
          model.delete(`${step.key.high}/${step.key.low}`);
        } else {
          table.sweep(step.now, Infinity);
          [...model]
            .filter(([, {deadline}]) => deadline <= step.now)
            .forEach(([key]) => model.delete(key));
        }
      });
      assert.equal(table.size, model.size);
      table.forEach((key, found) =>
        assert.equal(found.server, model.get(`${key.high}/${key.low}`)?.server),
      );
    }),
    {seed: 7, numRuns: 300},
  );
});

test('the flow table grows and rejects new keys when it is full', () => {
  const table = FlowTable.create(5_000);
  const stored = Array.from({length: 6_000}, (_, index) =>
    table.set({high: index * 7, low: index}, entry(index % 10, 100)),
  );
  assert.equal(stored.filter(Boolean).length, 5_000);
  assert.equal(table.get({high: 7 * 4_999, low: 4_999})?.server, 9);
  assert.equal(table.get({high: 7 * 5_000, low: 5_000}), undefined);
  assert.equal(table.set({high: 7, low: 1}, entry(3, 100)), true);
});
