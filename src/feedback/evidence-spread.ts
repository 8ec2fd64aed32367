/**
 * Selects the evidence that rides in heartbeats. In a large fleet each daemon passes on
 * what is new to it a few times, so that it spreads like an infection; in a small one,
 * where heartbeats reach everybody, each daemon tells its own evidence only.
 *
 * A budget of bytes bounds the cost. When it falls short, the least told and youngest
 * records come first, since the fewest daemons know them.
 */
import type {EvidencePool, EvidenceRecord} from './evidence-pool.js';

/**
 * Budget for evidence in all heartbeats of one daemon, within 4,000 bytes a second for all
 * control traffic: other heartbeats take up to 2,600 and the heads of relays 300.
 */
const BYTES_PER_SECOND = 900;
/** Unused budget that is kept, since faults come in bursts: what two seconds yield. */
const MAX_SAVED_BYTES = 2 * BYTES_PER_SECOND;
/** Bytes of an entry in a heartbeat. */
const ENTRY_BYTES = 17;
/** Limit of entries in one heartbeat, which has to fit in a datagram. */
const MAX_ENTRIES = 40;
/**
 * Copies of a record that each daemon sends in a large fleet. With a fifth of them lost,
 * a record misses one daemon of 15,000.
 */
const MAX_COPIES = 12;
/** Heartbeats to all peers in which a daemon of a small fleet tells a record. */
const MAX_ROUNDS = 3;
/** Time for which a record is told; later it has reached the others or is outdated. */
const TELLING_TIME_MS = 3_000;

/** A record that is still to be told. */
interface PendingRecord {
  readonly record: EvidenceRecord;
  /** When it became known here; monotonic milliseconds. */
  readonly since: number;
  /** Copies sent so far. */
  copies: number;
}

/** The records that one daemon has yet to tell. */
export class EvidenceSpread {
  private pending: PendingRecord[] = [];
  private savedBytes = MAX_SAVED_BYTES;
  private savedAt = -Infinity;

  private constructor(private readonly pool: EvidencePool) {}

  /** Creates an instance without records to tell. */
  static create(pool: EvidencePool): EvidenceSpread {
    return new EvidenceSpread(pool);
  }

  /** Adds a record of this daemon or of a peer that is new here. */
  add(record: EvidenceRecord, now: number): void {
    this.pending.push({record, since: now, copies: 0});
  }

  /** Selects the records for a heartbeat to a number of receivers. */
  select(receivers: number, isLarge: boolean, now: number): EvidenceRecord[] {
    this.removeOutdated(now);
    if (this.pending.length === 0) {
      return [];
    }
    this.saveBudget(now);
    const affordable = Math.floor(
      this.savedBytes / (ENTRY_BYTES * Math.max(1, receivers)),
    );
    const selected = [...this.pending]
      .sort(compareUrgency)
      .slice(0, Math.min(affordable, MAX_ENTRIES));
    selected.forEach(each => (each.copies += receivers));
    this.savedBytes -= selected.length * ENTRY_BYTES * receivers;
    const maxCopies = isLarge ? MAX_COPIES : MAX_ROUNDS * receivers;
    this.pending = this.pending.filter(({copies}) => copies < maxCopies);
    return selected.map(({record}) => record);
  }

  private removeOutdated(now: number): void {
    this.pending = this.pending.filter(
      ({record, since}) =>
        now - since <= TELLING_TIME_MS && this.pool.holds(record),
    );
  }

  private saveBudget(now: number): void {
    const gained = ((now - this.savedAt) * BYTES_PER_SECOND) / 1_000;
    this.savedBytes = Math.min(MAX_SAVED_BYTES, this.savedBytes + gained);
    this.savedAt = now;
  }
}

/** Orders the least told records first, and of those the youngest. */
function compareUrgency(a: PendingRecord, b: PendingRecord): number {
  return a.copies - b.copies || b.record.at - a.record.at;
}
