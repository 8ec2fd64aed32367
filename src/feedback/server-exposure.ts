/**
 * Tells servers that were open long enough for their counts to be compared from those
 * that were added of late: counts of the latter are low for want of time.
 */
import type {CatalogServer} from '../catalog/records.js';

/** When each open server was first seen by its service's rater, by incarnation. */
export class ServerExposure {
  private firstSeen = new Map<string, number>();
  private recorded: readonly CatalogServer[] = [];

  private constructor(private readonly settlingMs: number) {}

  /** Creates an instance to which servers are settled `settlingMs` after they are added. */
  static create(settlingMs: number): ServerExposure {
    return new ServerExposure(settlingMs);
  }

  /**
   * Records the open servers at `now`, in monotonic milliseconds. The first ones recorded
   * are settled, as nothing is known of when they were added. The same array again
   * stands for the same servers.
   */
  record(servers: readonly CatalogServer[], now: number): void {
    if (servers === this.recorded) {
      return;
    }
    this.recorded = servers;
    const isFirst = this.firstSeen.size === 0;
    const known = this.firstSeen;
    this.firstSeen = new Map(
      servers.map(server => {
        const key = keyOf(server);
        return [key, known.get(key) ?? (isFirst ? -Infinity : now)];
      }),
    );
  }

  /** Whether a server has been open for long enough. */
  isSettled(server: CatalogServer, now: number): boolean {
    return (this.firstSeen.get(keyOf(server)) ?? now) + this.settlingMs <= now;
  }
}

/** Returns the key of one incarnation of a server. */
function keyOf({id, startTime}: CatalogServer): string {
  return `${id}/${startTime}`;
}
