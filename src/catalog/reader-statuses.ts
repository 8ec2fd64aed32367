/**
 * Statuses of the daemons that read the store, as gossiped in heartbeats. The set is
 * bounded: it keeps the readers of the best rank and the newest statuses of others.
 */
import {ReadState} from '../generated/catalog.js';
import type {Hasher} from '../ports/hasher.js';
import {orderReaders} from './reader-rank.js';

/** Readers kept: the elected ones and as many that may succeed them. */
const MAX_READERS = 4;
/** Statuses kept of daemons that attempt to read or have ceased to. */
const MAX_NON_READERS = 4;
const NON_READER_RETENTION_MS = 10_000;
/**
 * Difference in time up to which two statuses of one daemon count as the same: each
 * gossip hop adds its delay to the age.
 */
const AGE_TOLERANCE_MS = 150;

/** Order of the states of one daemon whose times count as the same. */
const STATE_ORDER: readonly ReadState[] = [
  ReadState.READ_TRYING,
  ReadState.READ_DONE,
  ReadState.READ_CEASED,
];

/** State of one daemon's reads of the store. */
export interface ReaderStatus {
  /** IPv4 address as an unsigned number. */
  readonly reader: number;
  readonly failureDomain: string;
  /** Processor share in thousandths of a core. */
  readonly capacity: number;
  readonly state: ReadState;
  /** When the daemon was last in this state; monotonic milliseconds. */
  readonly at: number;
}

/** The statuses that one daemon knows. */
export class ReaderStatuses {
  private readonly statuses = new Map<number, ReaderStatus>();

  private constructor(
    private readonly hasher: Hasher,
    /** How long a daemon counts as a reader after its last read. */
    private readonly leaseMs: number,
  ) {}

  /** Creates an empty set. */
  static create(hasher: Hasher, leaseMs: number): ReaderStatuses {
    return new ReaderStatuses(hasher, leaseMs);
  }

  /**
   * Merges a status. Returns by how many milliseconds it is newer than the known one of
   * that daemon, Infinity if its state is another or none was known, 0 if it is not newer.
   */
  merge(status: ReaderStatus, now: number): number {
    const known = this.statuses.get(status.reader);
    if (known !== undefined && !isNewer(status, known)) {
      return 0;
    }
    this.statuses.set(status.reader, status);
    this.evictExcess(now);
    return known?.state === status.state ? status.at - known.at : Infinity;
  }

  /** Returns the daemons that read, in order of rank. */
  readers(now: number): ReaderStatus[] {
    const reading = [...this.statuses.values()].filter(
      ({state, at}) =>
        state === ReadState.READ_DONE && now - at <= this.leaseMs,
    );
    return orderReaders(reading, this.hasher);
  }

  /** Returns the daemons that attempt to read or have ceased to, newest first. */
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
    this.statuses.forEach((status, reader) => {
      if (!kept.has(status)) {
        this.statuses.delete(reader);
      }
    });
  }
}

/** Of two statuses at the same time, the outcome of an attempt is newer, and its end. */
function isNewer(status: ReaderStatus, known: ReaderStatus): boolean {
  if (Math.abs(status.at - known.at) > AGE_TOLERANCE_MS) {
    return status.at > known.at;
  }
  return STATE_ORDER.indexOf(status.state) > STATE_ORDER.indexOf(known.state);
}
