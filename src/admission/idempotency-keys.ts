/**
 * What is remembered of request keys that may not run twice.
 *
 * A key is remembered from before its dispatch until `REMEMBER_MS` after; a
 * resend in that time gets the same answer, or "unknown".
 */
import type {KeyRecord} from '../generated/peer.js';
import type {CallerReply} from '../generated/request.js';
import type {Clock} from '../ports/clock.js';

/** Time for which a key is remembered, in milliseconds. */
export const KEY_RETENTION_MS = 10 * 60_000;

/** What is known of one key. */
export interface IdempotencyRecord {
  /** Undefined: the request was let through and its outcome is not known. */
  readonly reply: CallerReply | undefined;
  /** Monotonic milliseconds. */
  readonly deadline: number;
}

/** The keys of one range; the oldest expire first. */
export class IdempotencyKeys {
  private readonly keys = new Map<string, IdempotencyRecord>();

  private constructor(
    private readonly clock: Clock,
    private readonly bound: number,
  ) {}

  /** Creates an empty memory for at most `bound` keys. */
  static create(clock: Clock, bound: number): IdempotencyKeys {
    return new IdempotencyKeys(clock, bound);
  }

  /** Keys remembered, expired ones included. */
  get size(): number {
    return this.keys.size;
  }

  /** Whether another key fits; expired keys are removed first. */
  hasRoom(): boolean {
    this.expire();
    return this.keys.size < this.bound;
  }

  /** What is known of a key. */
  get(key: string): IdempotencyRecord | undefined {
    const known = this.keys.get(key);
    return known === undefined || known.deadline <= this.clock.now()
      ? undefined
      : known;
  }

  /** Remembers a key; without a reply its outcome is not known. */
  set(key: string, reply: CallerReply | undefined): void {
    this.put(key, reply, this.clock.now() + KEY_RETENTION_MS);
  }

  /** Forgets a key whose request surely did not run. */
  free(key: string): void {
    this.keys.delete(key);
  }

  /** All keys, for another holder. */
  records(): KeyRecord[] {
    this.expire();
    return [...this.keys].map(([key, known]) => this.recordOf(key, known));
  }

  /** Takes what another holder knows; an outcome replaces a missing one. */
  merge(records: readonly KeyRecord[]): number {
    records.forEach(record => {
      if (record.freed) {
        this.free(record.key);
        return;
      }
      const deadline = this.clock.now() + record.secondsLeft * 1_000;
      const known = this.get(record.key)?.reply;
      this.put(record.key, record.reply ?? known, deadline);
    });
    return records.length;
  }

  private recordOf(key: string, known: IdempotencyRecord): KeyRecord {
    const left = known.deadline - this.clock.now();
    return {
      key,
      reply: known.reply,
      secondsLeft: Math.ceil(Math.max(0, left) / 1_000),
      freed: false,
    };
  }

  private put(
    key: string,
    reply: CallerReply | undefined,
    deadline: number,
  ): void {
    this.keys.delete(key);
    this.keys.set(key, {reply, deadline});
  }

  /** Keys are in the order of their deadlines, save for merged ones. */
  private expire(): void {
    const now = this.clock.now();
    const firstKept = [...this.keys].findIndex(
      ([, {deadline}]) => deadline > now,
    );
    const expired = [...this.keys.keys()].slice(
      0,
      firstKept < 0 ? this.keys.size : firstKept,
    );
    expired.forEach(key => this.keys.delete(key));
  }
}
