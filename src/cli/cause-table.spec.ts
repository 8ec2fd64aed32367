import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TimelineEvent} from '../generated/peer.js';
import {formatCauseRows, countCauses} from './cause-table.js';

function eventOf(
  physicalMs: number,
  kind: string,
  fields: object = {},
): TimelineEvent {
  const detailJson = JSON.stringify(fields);
  return {process: 'd1', kind, physicalMs, logical: 0, detailJson};
}

test('causes are counted by span, empty spans included', () => {
  const refused = {reason: 'unknown-cookie', outcome: 'drop'};
  const spans = countCauses(
    [
      eventOf(2_100, 'flow-placed', {copy: 0}),
      eventOf(2_200, 'flow-placed', {copy: 1}),
      eventOf(3_900, 'server-silent'),
      eventOf(8_000, 'packet-refused', refused),
      eventOf(8_001, 'packet-refused', refused),
      eventOf(8_002, 'lines-left-out', {of: 'packet-refused', count: 40}),
      eventOf(8_003, 'reader-changed'),
    ],
    2_000,
  );
  assert.deepEqual(spans, [
    {
      startMs: 2_000,
      counts: {'flow opened': 1, 'opening repeated': 1, 'server silent': 1},
    },
    {startMs: 4_000, counts: {}},
    {startMs: 6_000, counts: {}},
    {
      startMs: 8_000,
      counts: {
        'drop: unknown-cookie': 2,
        'lines left out of packet-refused': 40,
      },
    },
  ]);
  const [heading, , silent] = formatCauseRows(spans);
  assert.equal(heading.length, 6);
  assert.deepEqual(silent, ['1970-01-01T00:00:04.000Z', '', '', '', '', '']);
  assert.deepEqual(countCauses([], 1_000), []);
});
