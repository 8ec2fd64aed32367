/** A daemon as its peers know it. */

/** Silence after which a peer is not counted on, in milliseconds: five beats. */
export const LIVE_AGE_MS = 2_500;

/** What one daemon knows of another. */
export interface PeerDaemon {
  /** IPv4 address as an unsigned number. */
  readonly address: number;
  readonly failureDomain: string;
  readonly leaving: boolean;
  /** Whether it holds routes and servers. */
  readonly hasCopy: boolean;
  /** Monotonic milliseconds at which it was last known to live. */
  readonly aliveAt: number;
}

/** Whether a peer was known to live of late. */
export function isLive({aliveAt}: PeerDaemon, now: number): boolean {
  return now - aliveAt <= LIVE_AGE_MS;
}
