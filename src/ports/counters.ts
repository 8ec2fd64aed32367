/** The port for counters and gauges; names are listed in docs/METRICS.md. */

/** Names of all counters and gauges. */
export const Metric = {
  PACKETS_FORWARDED: 'packets.forwarded',
  /** Packets of callers sent once more to a server that started again. */
  PACKETS_REPEATED: 'packets.repeated',
  PACKETS_PASSED: 'packets.passed',
  PACKETS_DECIDED_FOR_PEER: 'packets.decided_for_peer',
  PACKETS_UNKNOWN_ADDRESS: 'packets.unknown_address',
  PACKETS_MALFORMED: 'packets.malformed',
  /** Datagrams that the system refused to send. */
  SEND_FAILURES: 'datagrams.send_failures',
  PACKETS_UNROUTABLE: 'packets.unroutable',
  FLOWS_PLACED_EXCEPTION: 'flows.placed_exception',
  /** Flows without a request under way that were reset, their server lost. */
  FLOWS_ENDED: 'flows.ended',
  FLOWS_TABLE_FULL: 'flows.table_full',
  FLOWS_HELD: 'flows.held',
  FLOWS_CACHED: 'flows.cached',
  PEER_DATAGRAMS_REFUSED: 'peers.datagrams_refused',
  PEER_BYTES_SENT: 'peers.bytes_sent',
  CONTROL_BYTES_SENT: 'control.bytes_sent',
  CONTROL_DATAGRAMS_SENT: 'control.datagrams_sent',
  REPLICATION_BYTES_SENT: 'replication.bytes_sent',
  REPLICATION_ENTRIES_SENT: 'replication.entries_sent',
  HEALTH_PROBES: 'health.probes',
  STORE_CALLS: 'store.calls',
  STORE_FAILURES: 'store.failures',
  REQUESTS_ANSWERED: 'requests.answered',
  REQUESTS_NOT_RUN: 'requests.not_run',
  REQUESTS_UNKNOWN: 'requests.unknown',
  REQUESTS_RETRIED: 'requests.retried',
  STREAMS_OPENED: 'streams.opened',
  STREAMS_REFUSED: 'streams.refused',
  REVISION_ACTIVE: 'configuration.revision',
  OPENING_ANSWER_MS: 'opening.answer_ms',
  REQUEST_ANSWER_MS: 'request.answer_ms',
} as const;
/** One of the names in `Metric`. */
export type Metric = (typeof Metric)[keyof typeof Metric];

/** Counts what happens and how long it takes; reading back is for status pages and tests. */
export abstract class Counters {
  /** Adds `by` (default 1) to a counter. */
  abstract add(name: Metric, by?: number): void;
  /** Sets a gauge. */
  abstract set(name: Metric, value: number): void;
  /** Adds a time in milliseconds to a histogram. */
  abstract observe(name: Metric, milliseconds: number): void;
  /** All current values of counters and gauges. */
  abstract read(): Readonly<Record<string, number>>;
}
