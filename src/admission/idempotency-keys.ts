/**
 * In-memory records of the idempotency keys of one key range. A key is recorded
 * before its request is dispatched and kept for `KEY_RETENTION_MS` after the
 * last update, so that a resend gets the same answer or the status UNKNOWN.
 */
import type {KeyRecord} from '../generated/peer.js';
import type {CallerReply} from '../generated/request.js';
import type {Clock} from '../ports/clock.js';

export const KEY_RETENTION_MS = 10 * 60_000;

/** The record of one key. */
export interface IdempotencyRecord {
  /** Undefined while the request runs, or when its outcome is unknown. */
  readonly reply: CallerReply | undefined;
  /** End of the retention period, in monotonic milliseconds. */
  readonly deadline: number;
}

/** Stores the records of one key range, limited in number. */
export class IdempotencyKeys {
  private readonly recordsByKey = new Map<string, IdempotencyRecord>();

  private constructor(
    private readonly clock: Clock,
    private readonly capacity: number,
  ) {}

  /** Creates an empty store for at most `capacity` keys. */
  static create(clock: Clock, capacity: number): IdempotencyKeys {
    return new IdempotencyKeys(clock, capacity);
  }

  /** Number of records, expired ones included. */
  get size(): number {
    return this.recordsByKey.size;
  }

  /** Whether there is room for another key once expired ones are removed. */
  hasRoom(): boolean {
    this.removeExpired();
    return this.recordsByKey.size < this.capacity;
  }

  /** Returns the record of a key; undefined when there is none or it expired. */
  get(key: string): IdempotencyRecord | undefined {
    const known = this.recordsByKey.get(key);
    return known === undefined || known.deadline <= this.clock.now()
      ? undefined
      : known;
  }

  /** Records a key and restarts its retention period. */
  set(key: string, reply: CallerReply | undefined): void {
    this.put(key, reply, this.clock.now() + KEY_RETENTION_MS);
  }

  /** Removes a key whose request did not run. */
  remove(key: string): void {
    this.recordsByKey.delete(key);
  }

  /** Returns all records, for replication to another daemon. */
  records(): KeyRecord[] {
    this.removeExpired();
    return [...this.recordsByKey].map(([key, known]) =>
      this.toKeyRecord(key, known),
    );
  }

  /**
   * Merges records of another daemon and returns how many there were. A record
   * without a reply keeps a reply that is known here.
   */
  merge(records: readonly KeyRecord[]): number {
    records.forEach(record => {
      if (record.freed) {
        this.remove(record.key);
        return;
      }
      const deadline = this.clock.now() + record.secondsLeft * 1_000;
      const knownReply = this.get(record.key)?.reply;
      this.put(record.key, record.reply ?? knownReply, deadline);
    });
    return records.length;
  }

  private toKeyRecord(key: string, known: IdempotencyRecord): KeyRecord {
    const remainingMs = known.deadline - this.clock.now();
    return {
      key,
      reply: known.reply,
      secondsLeft: Math.ceil(Math.max(0, remainingMs) / 1_000),
      freed: false,
    };
  }

  private put(
    key: string,
    reply: CallerReply | undefined,
    deadline: number,
  ): void {
    this.recordsByKey.delete(key);
    this.recordsByKey.set(key, {reply, deadline});
  }

  /**
   * Removes records from the oldest one up to the first that has not expired.
   * Merged records may be out of order and are then removed later.
   */
  private removeExpired(): void {
    const now = this.clock.now();
    const firstRetained = [...this.recordsByKey].findIndex(
      ([, {deadline}]) => deadline > now,
    );
    const expired = [...this.recordsByKey.keys()].slice(
      0,
      firstRetained < 0 ? this.recordsByKey.size : firstRetained,
    );
    expired.forEach(key => this.recordsByKey.delete(key));
  }
}
