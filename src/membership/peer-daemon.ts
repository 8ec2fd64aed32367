/** State of a daemon as its peers know it. */

/**
 * Silence after which a peer is not considered live: five heartbeat intervals.
 */
export const LIVENESS_TIMEOUT_MS = 2_500;

/** What one daemon knows of a peer. */
export interface PeerDaemon {
  /** IPv4 address as an unsigned number. */
  readonly address: number;
  readonly failureDomain: string;
  readonly leaving: boolean;
  /** Whether it holds a catalog snapshot. */
  readonly hasCopy: boolean;
  /** Monotonic milliseconds at which it was last known to be alive. */
  readonly aliveAt: number;
}

/** Whether a peer was known to be alive within the liveness timeout. */
export function isLive({aliveAt}: PeerDaemon, now: number): boolean {
  return now - aliveAt <= LIVENESS_TIMEOUT_MS;
}
