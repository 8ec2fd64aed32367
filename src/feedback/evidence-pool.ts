/**
 * Evidence against backend servers as known to one daemon: its own and that of its peers,
 * one record for each reporter and server. The newest record of a reporter replaces its
 * former one, so evidence that arrives over several paths counts once.
 */
import type {CatalogServer} from '../catalog/records.js';
import type {ServerHashes} from '../routing/server-hashes.js';
import {
  FaultKind,
  NO_FAULTS,
  ServerEvidencePool,
  type FaultCounts,
} from './server-evidence.js';

/**
 * Time in which counts halve. A server that takes 8 requests a second counts some 57
 * requests of late, so that 40% failures stand out from chance within a few seconds.
 */
export const EVIDENCE_HALF_LIFE_MS = 5_000;
/** Time after which a record is removed: four half-lives. */
const RECORD_LIFETIME_MS = 20_000;
/** Limit of records; the oldest are removed first. */
const MAX_RECORDS = 2_048;
/** Records removed at once when there are too many. */
const EVICTION_BATCH = 128;
/** Difference of time stamps, from relaying, within which records are not ordered by it. */
const TIME_TOLERANCE_MS = 150;
/** Difference of time stamps up to which records with equal counts are the same. */
const MAX_RELAY_DELAY_MS = 1_000;
/**
 * Time after a restart in which told evidence on the server is ignored: its reporter may
 * not know of the restart yet.
 */
const RESTART_SPREAD_MS = 2_000;
/** Counts are kept in tenths of requests, as they are sent. */
const TENTHS = 10;
/** Stands in place of the reporter in a summary, the sum of records of all reporters. */
const SUMMARY = 0;
/** Sum of faults from which a summary is made: two faults may be chance. */
const MIN_SUMMARY_FAULTS = 3;
/** Multiple of the known summary that a greater one has to exceed to be passed on. */
const SUMMARY_GROWTH = 1.5;

/** Evidence of one reporter against one server; counts are tenths as of `at`. */
export interface EvidenceRecord {
  /** Address of the daemon that observed it. */
  readonly reporter: number;
  /** Hash of the server's id. */
  readonly server: number;
  readonly failed: number;
  readonly overdue: number;
  readonly slow: number;
  /** When the reporter last added to it; monotonic milliseconds. */
  readonly at: number;
}

/** The records of one daemon. */
export class EvidencePool extends ServerEvidencePool {
  private readonly byServer = new Map<number, EvidenceRecord[]>();
  private count = 0;
  /** Up to when told evidence on a server is void, by hash; monotonic milliseconds. */
  private readonly voidUntil = new Map<number, number>();

  private constructor(
    /** Address of this daemon. */
    private readonly self: number,
    private readonly hashes: ServerHashes,
  ) {
    super();
  }

  /** Creates an empty pool. */
  static create(self: number, hashes: ServerHashes): EvidencePool {
    return new EvidencePool(self, hashes);
  }

  /** Number of records held. */
  get size(): number {
    return this.count;
  }

  countFaults(server: CatalogServer, now: number): FaultCounts {
    const records = this.byServer.get(this.hashes.of(server.id));
    if (records === undefined) {
      return NO_FAULTS;
    }
    const sum = sumAt(records.filter(isReport), now);
    const told = sumAt(records.filter(isSummary), now);
    // Both count the same faults, so they are not added up.
    return {
      failed: Math.max(sum.failed, told.failed),
      overdue: Math.max(sum.overdue, told.overdue),
      slow: Math.max(sum.slow, told.slow),
    };
  }

  /**
   * Makes a summary of the records on a server, given by its hash. One summary reaches
   * all daemons sooner than the records of many reporters. Returns undefined if there are
   * too few faults, or the known summary says about as much.
   */
  summarize(server: number, now: number): EvidenceRecord | undefined {
    const records = this.byServer.get(server)?.filter(isReport) ?? [];
    const {failed, overdue, slow} = sumAt(records, now);
    const summary = {
      reporter: SUMMARY,
      server,
      failed: Math.round(failed * TENTHS),
      overdue: Math.round(overdue * TENTHS),
      slow: Math.round(slow * TENTHS),
      at: now,
    };
    const known = this.find(SUMMARY, server);
    const isWorthTelling =
      failed + overdue + slow >= MIN_SUMMARY_FAULTS &&
      (known === undefined || isGreaterSummary(summary, known));
    if (!isWorthTelling) {
      return undefined;
    }
    this.put(summary);
    return summary;
  }

  /**
   * Adds a fault that this daemon observed of a request started at `startedAt`. Returns
   * the new record; undefined if the server has restarted since.
   */
  add(
    {id}: CatalogServer,
    kind: FaultKind,
    startedAt: number,
    now: number,
  ): EvidenceRecord | undefined {
    const server = this.hashes.of(id);
    const voidUntil = this.voidUntil.get(server) ?? -Infinity;
    if (startedAt < voidUntil - RESTART_SPREAD_MS) {
      return undefined;
    }
    const known = this.find(this.self, server);
    const share = known === undefined ? 0 : decayBetween(known.at, now);
    const countOf = (each: FaultKind) =>
      Math.round((known?.[each] ?? 0) * share) + (each === kind ? TENTHS : 0);
    const record = {
      reporter: this.self,
      server,
      failed: countOf(FaultKind.FAILED),
      overdue: countOf(FaultKind.OVERDUE),
      slow: countOf(FaultKind.SLOW),
      at: now,
    };
    this.put(record);
    return record;
  }

  /** Merges a peer's record; returns whether it is newer than the known one. */
  merge(record: EvidenceRecord, now: number): boolean {
    const {reporter, server, at} = record;
    const isVoid =
      reporter === this.self ||
      now - at > RECORD_LIFETIME_MS ||
      at < (this.voidUntil.get(server) ?? -Infinity);
    const known = this.find(reporter, server);
    if (isVoid || (known !== undefined && !replaces(record, known))) {
      return false;
    }
    this.put(record);
    return true;
  }

  /** Whether a record has not been replaced or removed. */
  holds(record: EvidenceRecord): boolean {
    return this.byServer.get(record.server)?.includes(record) === true;
  }

  /** Voids all evidence against a server that restarted or departed. */
  forget(id: string, now: number): void {
    const server = this.hashes.of(id);
    this.count -= this.byServer.get(server)?.length ?? 0;
    this.byServer.delete(server);
    this.voidUntil.set(server, now + RESTART_SPREAD_MS);
  }

  /** Removes expired records; call it about every second. */
  removeExpired(now: number): void {
    this.removeRecordsUntil(now - RECORD_LIFETIME_MS);
    this.voidUntil.forEach((until, server) => {
      if (until + RECORD_LIFETIME_MS <= now) {
        this.voidUntil.delete(server);
      }
    });
  }

  private find(reporter: number, server: number): EvidenceRecord | undefined {
    return this.byServer
      .get(server)
      ?.find(record => record.reporter === reporter);
  }

  /** Stores a record in place of the reporter's former one. */
  private put(record: EvidenceRecord): void {
    const records = this.byServer.get(record.server) ?? [];
    this.byServer.set(record.server, records);
    const index = records.findIndex(
      ({reporter}) => reporter === record.reporter,
    );
    if (index >= 0) {
      records[index] = record;
      return;
    }
    records.push(record);
    this.count += 1;
    if (this.count > MAX_RECORDS) {
      this.evictOldest();
    }
  }

  private evictOldest(): void {
    const times = [...this.byServer.values()]
      .flatMap(records => records.map(({at}) => at))
      .sort((a, b) => a - b);
    this.removeRecordsUntil(times[EVICTION_BATCH]);
  }

  private removeRecordsUntil(at: number): void {
    this.byServer.forEach((records, server) => {
      const kept = records.filter(record => record.at > at);
      this.count -= records.length - kept.length;
      if (kept.length === 0) {
        this.byServer.delete(server);
      } else if (kept.length < records.length) {
        this.byServer.set(server, kept);
      }
    });
  }
}

/** Whether a told record takes the place of the known one of the same reporter. */
function replaces(told: EvidenceRecord, known: EvidenceRecord): boolean {
  return isSummary(told) ? isGreaterSummary(told, known) : isNewer(told, known);
}

function isSummary({reporter}: EvidenceRecord): boolean {
  return reporter === SUMMARY;
}

function isReport(record: EvidenceRecord): boolean {
  return !isSummary(record);
}

/** Whether a summary is well above a known one, both as of the later of their times. */
function isGreaterSummary(
  summary: EvidenceRecord,
  known: EvidenceRecord,
): boolean {
  const now = Math.max(summary.at, known.at);
  const decayedSum = (record: EvidenceRecord) =>
    sumOf(record) * decayBetween(record.at, now);
  return decayedSum(summary) > decayedSum(known) * SUMMARY_GROWTH;
}

/** Returns the decayed counts of several records, in requests. */
function sumAt(records: readonly EvidenceRecord[], now: number): FaultCounts {
  return records.reduce<FaultCounts>((sum, record) => {
    const share = decayBetween(record.at, now) / TENTHS;
    return {
      failed: sum.failed + record.failed * share,
      overdue: sum.overdue + record.overdue * share,
      slow: sum.slow + record.slow * share,
    };
  }, NO_FAULTS);
}

/**
 * Whether a told record is newer than the known one of the same reporter and server. A
 * record that was relayed seems younger than it is by the time spent on the way.
 */
function isNewer(told: EvidenceRecord, known: EvidenceRecord): boolean {
  const gainedMs = told.at - known.at;
  const isSameCounts =
    told.failed === known.failed &&
    told.overdue === known.overdue &&
    told.slow === known.slow;
  if (isSameCounts) {
    return gainedMs > MAX_RELAY_DELAY_MS;
  }
  return (
    gainedMs > TIME_TOLERANCE_MS ||
    (gainedMs >= -TIME_TOLERANCE_MS && sumOf(told) > sumOf(known))
  );
}

function sumOf({failed, overdue, slow}: EvidenceRecord): number {
  return failed + overdue + slow;
}

/** Share of a count at `from` that is left at `to`. */
function decayBetween(from: number, to: number): number {
  return 2 ** (-Math.max(0, to - from) / EVIDENCE_HALF_LIFE_MS);
}
