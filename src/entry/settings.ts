/** Settings of a daemon that serves a fabric with cookies. */
import type {ColdStartLimits} from '../routing/cold-start-limiter.js';

/** Optional features; off by default. */
export interface EntryFeatures {
  /**
   * Resends packets to restarted servers and resets flows of ended servers and idle flows
   * of unreachable ones, so that callers reconnect early.
   */
  readonly feedback: boolean;
  /** Rates servers by evidence of the fleet: outlier ejection and weights. */
  readonly ratings: boolean;
  /** Reserved for pacing requests by urgency while capacity is short; has no effect. */
  readonly pressure: boolean;
}

/** Settings of one daemon process. */
export interface EntrySettings {
  readonly name: string;
  /** IPv4 address of the instance as an unsigned number. */
  readonly address: number;
  readonly failureDomain: string;
  /** Region by failure domain. */
  readonly regions: ReadonlyMap<string, string>;
  /** "ip:port" on which to receive packets from the fabric. */
  readonly fabricListen: string;
  /** How packets identify their servers; the platform's adapter interprets it. */
  readonly fabricForm: string;
  /** "ip:port" on which to serve readiness checks and counters. */
  readonly readinessListen: string;
  /** Port of heartbeats (UDP) and pulls (TCP); the same on all daemons. */
  readonly peerPort: number;
  /** Whether this is the first start of the whole fleet. */
  readonly isFirstStart: boolean;
  /** IPv4 addresses, as numbers, of daemons to contact first; some may not run. */
  readonly seeds: readonly number[];
  /** "ip:port" of the store. */
  readonly storeAddress: string;
  /** Processor share in thousandths of a core. */
  readonly capacity: number;
  /** Bandwidth of the instance's link, in megabits per second. */
  readonly linkMbps: number;
  /** Time limit of a graceful shutdown, in milliseconds. */
  readonly stopLimitMs: number;
  /** Maximum flow lifetime in milliseconds. */
  readonly flowLifetimeMs: number;
  /**
   * Time limit for a new version of the routes, or the evacuation of a failure domain, to
   * take effect on all daemons, in milliseconds.
   */
  readonly inForceLimitMs: number;
  /** Load that cold servers accept beyond the rate configured for their service. */
  readonly coldLimits: ColdStartLimits;
  readonly features: EntryFeatures;
}
