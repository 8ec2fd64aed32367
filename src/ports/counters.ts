/** Port to metrics: counters, gauges and histograms; docs/METRICS.md lists the names. */

/** Names of all metrics. */
export const Metric = {
  PACKETS_FORWARDED: 'packets.forwarded',
  /** Callers' packets resent to a restarted server. */
  PACKETS_REPEATED: 'packets.repeated',
  PACKETS_PASSED: 'packets.passed',
  PACKETS_DECIDED_FOR_PEER: 'packets.decided_for_peer',
  PACKETS_UNKNOWN_ADDRESS: 'packets.unknown_address',
  PACKETS_MALFORMED: 'packets.malformed',
  /** Datagrams that the operating system failed to send. */
  SEND_FAILURES: 'datagrams.send_failures',
  PACKETS_UNROUTABLE: 'packets.unroutable',
  FLOWS_PLACED_EXCEPTION: 'flows.placed_exception',
  /** Idle flows that were reset because their server ended or is unreachable. */
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
  /** Backend servers that get no new flows since they are outliers. */
  SERVERS_EJECTED: 'servers.ejected',
  SERVERS_EJECTIONS: 'servers.ejections',
  STREAMS_OPENED: 'streams.opened',
  STREAMS_REFUSED: 'streams.refused',
  /** Requests of this daemon that ended badly, by kind. */
  EVIDENCE_FAILED: 'evidence.failed',
  EVIDENCE_OVERDUE: 'evidence.overdue',
  EVIDENCE_SLOW: 'evidence.slow',
  /** Records of evidence sent to peers. */
  EVIDENCE_TOLD: 'evidence.told',
  /** Verdicts on requests that were not counted. */
  EVIDENCE_DROPPED: 'evidence.dropped',
  REVISION_ACTIVE: 'configuration.revision',
  FLEET_BUILDS: 'fleet.builds',
  OPENING_ANSWER_MS: 'opening.answer_ms',
  REQUEST_ANSWER_MS: 'request.answer_ms',
  /** Packets that waited for this instance's link. */
  LINK_PACED: 'link.paced',
  /** Packets dropped since they would have waited for the link too long. */
  LINK_DROPPED: 'link.dropped',
  LINK_WAIT_MS: 'link.wait_ms',
  /** Times at which unanswered packets were put down to this daemon. */
  LOCAL_FAULTS: 'local.faults',
  /** Unanswered packets that no server was blamed for. */
  LOCAL_UNANSWERED: 'local.unanswered',
} as const;
/** One of the names in `Metric`. */
export type Metric = (typeof Metric)[keyof typeof Metric];

/** Records metrics. */
export abstract class Counters {
  /** Adds `by` (default 1) to a counter. */
  abstract add(name: Metric, by?: number): void;
  /** Sets a gauge. */
  abstract set(name: Metric, value: number): void;
  /** Adds a duration in milliseconds to a histogram. */
  abstract observe(name: Metric, milliseconds: number): void;
  /** Returns the current values of all counters and gauges by name. */
  abstract read(): Readonly<Record<string, number>>;
}
