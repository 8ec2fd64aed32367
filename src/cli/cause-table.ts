/** Counts events in the logs of all daemons by cause and time span, for `weldyard causes`. */
import type {TimelineEvent} from '../generated/peer.js';
import {parseDetails, type EventDetails} from './process-logs.js';

/** Counts within one time span. */
export interface CauseSpan {
  /** Start of the span, in wall milliseconds. */
  readonly startMs: number;
  /** Occurrences of each cause; causes that did not occur are omitted. */
  readonly counts: Readonly<Record<string, number>>;
}

/** The cause that a log line counts towards, by its event; other events are ignored. */
const CAUSE_BY_EVENT: Readonly<
  Record<string, (details: EventDetails) => string>
> = {
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

/** Counts causes in spans of `spanMs`; includes empty spans between the first and the last. */
export function countCauses(
  events: readonly TimelineEvent[],
  spanMs: number,
): CauseSpan[] {
  const spans = new Map<number, Map<string, number>>();
  const startOfSpan = (at: number) => Math.floor(at / spanMs) * spanMs;
  events.forEach(event => {
    const counts = spans.get(startOfSpan(event.physicalMs)) ?? new Map();
    spans.set(startOfSpan(event.physicalMs), counts);
    const details = parseDetails(event);
    const cause = CAUSE_BY_EVENT[event.kind]?.(details);
    if (cause !== undefined) {
      // Lines that summarize suppressed ones carry their number.
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

/** Formats spans as rows: a heading with all causes that occur, then one row per span. */
export function formatCauseRows(spans: readonly CauseSpan[]): string[][] {
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
