/** In-memory pool of evidence against backend servers, filled by tests. */
import type {CatalogServer} from '../src/catalog/records.js';
import {
  NO_FAULTS,
  ServerEvidencePool,
  type FaultCounts,
  type FaultKind,
} from '../src/feedback/server-evidence.js';

/** Counts as they were at a time, in monotonic milliseconds. */
interface DatedCounts {
  readonly counts: FaultCounts;
  readonly at: number;
}

/** A pool that all daemons of a test share, without delay unless its user adds one. */
export class MemoryEvidencePool extends ServerEvidencePool {
  private readonly counts = new Map<string, DatedCounts>();

  private constructor(readonly halfLifeMs: number) {
    super();
  }

  /** Creates an empty pool whose counts halve in each `halfLifeMs`. */
  static create(halfLifeMs: number): MemoryEvidencePool {
    return new MemoryEvidencePool(halfLifeMs);
  }

  /** Adds `by` (default 1) requests that ended badly at `now`, in monotonic milliseconds. */
  record(server: CatalogServer, kind: FaultKind, now: number, by = 1): void {
    const counts = this.countFaults(server, now);
    this.counts.set(keyOf(server), {
      counts: {...counts, [kind]: counts[kind] + by},
      at: now,
    });
  }

  countFaults(server: CatalogServer, now: number): FaultCounts {
    const known = this.counts.get(keyOf(server));
    if (known === undefined) {
      return NO_FAULTS;
    }
    const share = 0.5 ** ((now - known.at) / this.halfLifeMs);
    const {failed, overdue, slow} = known.counts;
    return {
      failed: failed * share,
      overdue: overdue * share,
      slow: slow * share,
    };
  }
}

/** Returns the key of one incarnation of a server. */
function keyOf({id, startTime}: CatalogServer): string {
  return `${id}/${startTime}`;
}
