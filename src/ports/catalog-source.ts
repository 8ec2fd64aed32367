/** Port to the store where operators publish routes and servers register. */
import type {ResultAsync} from 'neverthrow';
import type {
  CatalogEvents,
  RouteListing,
  ServerListing,
} from '../catalog/records.js';

/** Why a call to the source failed. */
export const SourceFailureKind = {
  /** Rate limit exceeded; the call had no effect. */
  OVERLOADED: 'overloaded',
  /** The source rejected the call; it had no effect. */
  UNAVAILABLE: 'unavailable',
  /** The connection was refused or closed. */
  DISCONNECTED: 'disconnected',
  /** No response before the deadline. */
  TIMEOUT: 'silent',
  /** The source has discarded the requested events. */
  HISTORY_LOST: 'history-lost',
  /** The response could not be decoded. */
  MALFORMED: 'malformed',
} as const;
/** One of the kinds in `SourceFailureKind`. */
export type SourceFailureKind =
  (typeof SourceFailureKind)[keyof typeof SourceFailureKind];

/** A call to the source failed. */
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

/** All routes and servers, as of one revision. */
export interface CatalogReading {
  /** Undefined if none were ever published, or they cannot be read. */
  readonly routes: RouteListing | undefined;
  readonly servers: ServerListing;
}

/** What a wait for events returned. */
export interface EventsReading extends CatalogEvents {
  /** Writes reported, those included that change nothing here; 0: none until the deadline. */
  readonly changeCount: number;
}

/** An encoded catalog that daemons store at the source for starting daemons. */
export interface CatalogSnapshot {
  readonly bytes: Uint8Array;
  /** Revision of the source at which it was written. */
  readonly revision: number;
}

/** The result of a conditional write of the snapshot. */
export interface SnapshotWriteOutcome {
  /** Whether it was written; if not, the revision was not the expected one. */
  readonly isDone: boolean;
  /** Revision at which the snapshot was last written; 0 if there is none. */
  readonly revision: number;
}

/** The published routes and backend servers. */
export abstract class CatalogSource {
  /**
   * Reads all routes and servers by `deadline` (monotonic milliseconds). Fails earlier if
   * the source doesn't respond at all.
   */
  abstract readAll(
    deadline: number,
  ): ResultAsync<CatalogReading, SourceFailure>;
  /**
   * Reads all routes and servers from a replica that may lag by seconds, at a lower cost.
   * The result is consistent with its revision.
   */
  abstract readStale(
    deadline: number,
  ): ResultAsync<CatalogReading, SourceFailure>;
  /** Waits for writes after `revision` until `deadline`. */
  abstract awaitEvents(
    revision: number,
    deadline: number,
  ): ResultAsync<EventsReading, SourceFailure>;
  /**
   * Reads the snapshot from a replica that may lag, at a lower cost; undefined if there is
   * none.
   */
  abstract readSnapshot(
    deadline: number,
  ): ResultAsync<CatalogSnapshot | undefined, SourceFailure>;
  /**
   * Replaces the snapshot if it was last written at `expectedRevision` (0: it doesn't
   * exist).
   */
  abstract writeSnapshot(
    bytes: Uint8Array,
    expectedRevision: number,
    deadline: number,
  ): ResultAsync<SnapshotWriteOutcome, SourceFailure>;
  /** Closes all connections. */
  abstract close(): void;
}
