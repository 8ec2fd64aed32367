/**
 * What happened to callers over time, by cause, as the log lines of all daemons tell
 * it: the first look at a day on which requests failed.
 */
import type {TimelineEvent} from '../generated/peer.js';
import {detailsOf, type Details} from './process-logs.js';

/** Counts of one span of time. */
export interface CauseSpan {
  /** Wall milliseconds at which the span begins. */
  readonly startMs: number;
  /** How often each cause occurred; causes that did not are missing. */
  readonly counts: Readonly<Record<string, number>>;
}

/** The cause that a line stands for, by its event; others stand for none. */
const CAUSES: Readonly<Record<string, (details: Details) => string>> = {
  'flow-placed': ({copy}) =>
    Number(copy) > 0 ? 'opening repeated' : 'flow opened',
  'packet-refused': ({reason, outcome}) =>
    `${String(outcome)}: ${String(reason)}`,
  'server-silent': () => 'server silent',
  'server-unreachable': () => 'server unreachable',
  'flow-reset': ({reason}) => `reset: ${String(reason)}`,
  'server-departed': () => 'server departed',
  started: () => 'daemon started',
  'first-packet': () => 'first packet',
  stopping: () => 'daemon stopping',
  'peer-lost': () => 'peer lost',
  'source-lost': () => 'store lost',
  'routes-taken': () => 'routes taken',
  'lines-left-out': ({of}) => `lines left out of ${String(of)}`,
};

/** Counts the causes in spans of `spanMs`; spans without any line are listed too. */
export function countCauses(
  events: readonly TimelineEvent[],
  spanMs: number,
): CauseSpan[] {
  const spans = new Map<number, Map<string, number>>();
  const spanOf = (at: number) => Math.floor(at / spanMs) * spanMs;
  events.forEach(event => {
    const counts = spans.get(spanOf(event.physicalMs)) ?? new Map();
    spans.set(spanOf(event.physicalMs), counts);
    const details = detailsOf(event);
    const cause = CAUSES[event.kind]?.(details);
    if (cause !== undefined) {
      // A line about lines that were left out tells how many.
      const times = Number(details['count'] ?? 1);
      counts.set(cause, (counts.get(cause) ?? 0) + times);
    }
  });
  const first = Math.min(...spans.keys());
  const last = Math.max(...spans.keys());
  const length = spans.size === 0 ? 0 : (last - first) / spanMs + 1;
  return Array.from({length}, (_span, index) => {
    const startMs = first + index * spanMs;
    return {startMs, counts: Object.fromEntries(spans.get(startMs) ?? [])};
  });
}

/** The spans as rows: a heading with every cause that occurs, then a row each. */
export function causeRows(spans: readonly CauseSpan[]): string[][] {
  const causes = [
    ...new Set(spans.flatMap(({counts}) => Object.keys(counts))),
  ].sort();
  return [
    ['from', ...causes],
    ...spans.map(({startMs, counts}) => [
      new Date(startMs).toISOString(),
      ...causes.map(cause => String(counts[cause] ?? '')),
    ]),
  ];
}
