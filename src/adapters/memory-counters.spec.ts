import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Metric} from '../ports/counters.js';
import {MemoryCounters} from './memory-counters.js';

test('counters, gauges and histograms are exposed in the Prometheus text format', async () => {
  const counters = MemoryCounters.create();
  counters.add(Metric.PACKETS_FORWARDED, 3);
  counters.set(Metric.FLOWS_HELD, 7);
  [4, 5, 60, 9_000].forEach(ms =>
    counters.observe(Metric.OPENING_ANSWER_MS, ms),
  );
  const text = await counters.text();
  const lines = text.split('\n');
  [
    'weldyard_packets_forwarded_total 3',
    'weldyard_flows_held 7',
    'weldyard_opening_answer_ms_bucket{le="2"} 0',
    'weldyard_opening_answer_ms_bucket{le="5"} 2',
    'weldyard_opening_answer_ms_bucket{le="100"} 3',
    'weldyard_opening_answer_ms_bucket{le="+Inf"} 4',
  ].forEach(line => assert.ok(lines.includes(line), line));
});
