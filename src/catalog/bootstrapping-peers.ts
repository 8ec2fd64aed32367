/**
 * Daemons that said they have no copy of the catalog yet. Those that started with a
 * fleet know a few addresses alone, and ask there before anyone has a copy.
 */

/** Time for which a daemon counts as one that seeks a copy, in milliseconds. */
const BOOTSTRAP_TTL_MS = 1_500;
/** Daemons remembered; 250 bytes to each take a slow link of 14 Mbit/s 36 ms. */
const MAX_PEERS = 256;

/** The seekers that one daemon heard of. */
export class BootstrappingPeers {
  /** When each last said so; monotonic milliseconds. */
  private readonly heardAt = new Map<number, number>();

  private constructor() {}

  /** Creates a record without seekers. */
  static create(): BootstrappingPeers {
    return new BootstrappingPeers();
  }

  /** Notes whether a daemon has a copy, by its own word. */
  record(address: number, hasCopy: boolean, now: number): void {
    if (hasCopy) {
      this.heardAt.delete(address);
    } else if (this.heardAt.has(address) || this.heardAt.size < MAX_PEERS) {
      this.heardAt.set(address, now);
    }
  }

  /** All that have said so of late. */
  listRecent(now: number): number[] {
    return [...this.heardAt]
      .filter(([, at]) => now - at <= BOOTSTRAP_TTL_MS)
      .map(([address]) => address);
  }
}
