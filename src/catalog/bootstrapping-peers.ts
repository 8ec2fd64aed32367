/**
 * Tracks the peers that have no catalog yet. When a fleet starts, they ask the few seeds
 * that they know before any daemon has one, and have to be notified later.
 */

/** How long a peer counts as bootstrapping after it last reported so. */
const BOOTSTRAP_TTL_MS = 1_500;
/**
 * Limits the burst of heartbeats that notifies all of them: 250 bytes each, 36 ms in all on
 * a link of 14 Mbit/s.
 */
const MAX_PEERS = 256;

/** The bootstrapping peers that one daemon knows. */
export class BootstrappingPeers {
  /** When each last reported that it has no catalog; monotonic milliseconds. */
  private readonly reportedAt = new Map<number, number>();

  private constructor() {}

  /** Creates an empty set. */
  static create(): BootstrappingPeers {
    return new BootstrappingPeers();
  }

  /** Records whether a peer reports that it has a catalog. */
  record(address: number, hasCopy: boolean, now: number): void {
    if (hasCopy) {
      this.reportedAt.delete(address);
    } else if (
      this.reportedAt.has(address) ||
      this.reportedAt.size < MAX_PEERS
    ) {
      this.reportedAt.set(address, now);
    }
  }

  /** Returns the addresses of the peers that were bootstrapping recently. */
  listRecent(now: number): number[] {
    return [...this.reportedAt]
      .filter(([, at]) => now - at <= BOOTSTRAP_TTL_MS)
      .map(([address]) => address);
  }
}
