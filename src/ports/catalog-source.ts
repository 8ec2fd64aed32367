/** The port to the place where routes and backend servers are published. */
import type {ResultAsync} from 'neverthrow';
import type {
  CatalogEvents,
  RouteListing,
  ServerListing,
} from '../catalog/records.js';

/** Why a read gave no result. */
export const SourceFailureKind = {
  /** Too many calls are made; nothing was done. */
  OVERLOADED: 'overloaded',
  /** The source turned the call away; nothing was done. */
  UNAVAILABLE: 'unavailable',
  /** The connection was refused or closed. */
  DISCONNECTED: 'disconnected',
  /** No answer before the deadline. */
  SILENT: 'silent',
  /** The events asked for are no longer kept. */
  HISTORY_LOST: 'history-lost',
  /** The answer could not be read. */
  MALFORMED: 'malformed',
} as const;
/** One of the kinds in `SourceFailureKind`. */
export type SourceFailureKind =
  (typeof SourceFailureKind)[keyof typeof SourceFailureKind];

/** A read of the source failed. */
export class SourceFailure extends Error {
  readonly type = 'SourceFailure';

  private constructor(
    readonly kind: SourceFailureKind,
    message: string,
  ) {
    super(message);
  }

  /** Creates the failure of one call. */
  static create(
    kind: SourceFailureKind,
    call: string,
    cause: string,
  ): SourceFailure {
    return new SourceFailure(kind, `${call}: ${cause}`);
  }
}

/** Everything that is published, as read at once. */
export interface CatalogReading {
  /** Undefined while the operators have published none. */
  readonly routes: RouteListing | undefined;
  readonly servers: ServerListing;
}

/** What a wait for events ended with. */
export interface EventsReading extends CatalogEvents {
  /** Changes reported, those included that say nothing here; 0: none came in time. */
  readonly changeCount: number;
}

/** Bytes that daemons keep at the source for daemons that start. */
export interface KeptCopy {
  readonly bytes: Uint8Array;
  /** Revision of the source at which they were written. */
  readonly revision: number;
}

/** What became of a write of the kept copy. */
export interface KeepOutcome {
  /** Whether it was done; else the kept copy had another revision than expected. */
  readonly isDone: boolean;
  /** Revision at which the kept copy was last written; 0: there is none. */
  readonly revision: number;
}

/** Where routes and backend servers are published. */
export abstract class CatalogSource {
  /**
   * Reads everything by `deadline` (monotonic milliseconds). It ends earlier when
   * the source does not answer; a slow source may take all the time.
   */
  abstract readAll(
    deadline: number,
  ): ResultAsync<CatalogReading, SourceFailure>;
  /**
   * Reads everything as it was at some moment of late, which may lie seconds back, at
   * a fraction of the price. The revision in it is that of the same moment.
   */
  abstract readOld(
    deadline: number,
  ): ResultAsync<CatalogReading, SourceFailure>;
  /**
   * Waits until something is written after `revision` or `deadline` comes.
   */
  abstract awaitEvents(
    revision: number,
    deadline: number,
  ): ResultAsync<EventsReading, SourceFailure>;
  /**
   * Reads the kept copy as it was at some moment of late, at a fraction of the price;
   * undefined when there is none.
   */
  abstract readKept(
    deadline: number,
  ): ResultAsync<KeptCopy | undefined, SourceFailure>;
  /**
   * Keeps a copy in place of the one that was written at a revision (0: of none). If
   * another daemon wrote since, nothing changes.
   */
  abstract keep(
    bytes: Uint8Array,
    expectedRevision: number,
    deadline: number,
  ): ResultAsync<KeepOutcome, SourceFailure>;
  /** Closes all connections. */
  abstract close(): void;
}
