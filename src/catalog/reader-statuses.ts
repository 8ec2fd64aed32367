/**
 * Who reads the store, as one daemon knows it. Readers mark their reads, and the
 * marks travel with beats. The record is bounded, however many daemons read: of those
 * that read it keeps the ones that rank first, of the others the newest.
 */
import {ReadState} from '../generated/catalog.js';
import type {Hasher} from '../ports/hasher.js';
import {orderReaders} from './reader-rank.js';

/** Readers kept at the most: the two that are to read, and as many that may follow. */
const MAX_READERS = 4;
/** Marks kept of daemons that try to read or have ceased to. */
const MAX_NON_READERS = 4;
/** Time for which a mark of a daemon that does not read is kept, in milliseconds. */
const NON_READER_RETENTION_MS = 10_000;
/**
 * Difference in time up to which two marks of one reader are the same, in
 * milliseconds: ages are told over several hops, and each adds its delay.
 */
const AGE_TOLERANCE_MS = 150;

/** How one daemon stands with the store. */
export interface ReaderStatus {
  /** IPv4 address as an unsigned number. */
  readonly reader: number;
  readonly failureDomain: string;
  /** Processor share in thousandths of a core. */
  readonly capacity: number;
  readonly state: ReadState;
  /** When it was so last; monotonic milliseconds. */
  readonly at: number;
}

/** The marks that one daemon knows. */
export class ReaderStatuses {
  private readonly statuses = new Map<number, ReaderStatus>();

  private constructor(
    private readonly hasher: Hasher,
    /** Time after its last read for which a daemon counts as a reader. */
    private readonly leaseMs: number,
  ) {}

  /** Creates a record without marks. */
  static create(hasher: Hasher, lifetimeMs: number): ReaderStatuses {
    return new ReaderStatuses(hasher, lifetimeMs);
  }

  /**
   * Takes a mark; returns by how many milliseconds it is newer than what was known of
   * its reader, 0 if it is not. Another state than was known counts as Infinity.
   */
  merge(mark: ReaderStatus, now: number): number {
    const known = this.statuses.get(mark.reader);
    if (known !== undefined && !isNewer(mark, known)) {
      return 0;
    }
    this.statuses.set(mark.reader, mark);
    this.evictExcess(now);
    return known?.state === mark.state ? mark.at - known.at : Infinity;
  }

  /** Daemons that read, the first in rank first. */
  readers(now: number): ReaderStatus[] {
    const reading = [...this.statuses.values()].filter(
      ({state, at}) =>
        state === ReadState.READ_DONE && now - at <= this.leaseMs,
    );
    return orderReaders(reading, this.hasher);
  }

  /** Daemons that have ceased to read, or try to and may not succeed; newest first. */
  nonReaders(now: number): ReaderStatus[] {
    return [...this.statuses.values()]
      .filter(
        ({state, at}) =>
          state !== ReadState.READ_DONE && now - at <= NON_READER_RETENTION_MS,
      )
      .sort((a, b) => b.at - a.at);
  }

  private evictExcess(now: number): void {
    const kept = new Set([
      ...this.readers(now).slice(0, MAX_READERS),
      ...this.nonReaders(now).slice(0, MAX_NON_READERS),
    ]);
    this.statuses.forEach((mark, reader) => {
      if (!kept.has(mark)) {
        this.statuses.delete(reader);
      }
    });
  }
}

/** Of two marks of one attempt, the one that says how it ended is newer. */
function isNewer(mark: ReaderStatus, known: ReaderStatus): boolean {
  if (Math.abs(mark.at - known.at) > AGE_TOLERANCE_MS) {
    return mark.at > known.at;
  }
  return known.state === ReadState.READ_TRYING && mark.state !== known.state;
}
