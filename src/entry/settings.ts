/** Settings of a daemon that serves a fabric with cookies. */
import type {ColdLimits} from '../routing/cold-openings.js';

/** What a deployment asks for beyond forwarding; all are off unless it does. */
export interface EntryFeatures {
  /**
   * What servers say of their health may mislead: callers' packets decide beside it who
   * gets new flows, and how many. Flows that can come to nothing are ended early.
   */
  readonly feedback: boolean;
  /** Callers may compete for room: requests are paced by urgency while there is too little. */
  readonly pressure: boolean;
}

/** What one process is told at its start. */
export interface EntrySettings {
  readonly name: string;
  /** IPv4 address of the instance as an unsigned number. */
  readonly address: number;
  readonly failureDomain: string;
  /** The region of each failure domain. */
  readonly regions: ReadonlyMap<string, string>;
  /** "ip:port" at which the fabric hands packets over. */
  readonly fabricListen: string;
  /** The platform's word for how packets name their servers; its adapter knows it. */
  readonly fabricForm: string;
  /** "ip:port" of readiness checks and of counters. */
  readonly readinessListen: string;
  /** Port of beats (UDP) and pulls (TCP), the same at all daemons. */
  readonly peerPort: number;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Addresses of daemons that may run, as IPv4 numbers. */
  readonly seeds: readonly number[];
  /** "ip:port" of the store. */
  readonly storeAddress: string;
  /** Processor share in thousandths of a core. */
  readonly capacity: number;
  /** What the instance's link carries, in megabits a second. */
  readonly linkMbps: number;
  /** Longest time that a planned stop may take, in milliseconds. */
  readonly stopLimitMs: number;
  /** Longest life of a flow, in milliseconds. */
  readonly flowLifetimeMs: number;
  /**
   * Time in which a version, and the evacuation of a failure domain, have to be in
   * force everywhere, in milliseconds.
   */
  readonly inForceLimitMs: number;
  /** What cold servers take beyond the rate that their service states. */
  readonly coldLimits: ColdLimits;
  readonly features: EntryFeatures;
}
