/** The port to the place where routes and backend servers are published. */
import type {ResultAsync} from 'neverthrow';
import type {RouteListing, ServerListing} from '../catalog/records.js';

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

/** The routes as read; undefined while the operators have published none. */
export interface RouteReading {
  readonly listing: RouteListing | undefined;
  /** Position from which a wait for the next version goes on. */
  readonly position: number;
}

/** Where routes and backend servers are published. */
export abstract class CatalogSource {
  /** Reads all servers; `deadline` is monotonic milliseconds. */
  abstract readServers(
    deadline: number,
  ): ResultAsync<ServerListing, SourceFailure>;
  /** Reads the newest routes. */
  abstract readRoutes(
    deadline: number,
  ): ResultAsync<RouteReading, SourceFailure>;
  /**
   * Waits until there is a version after `position` or `deadline` comes. The
   * listing is undefined when nothing has changed.
   */
  abstract awaitRoutes(
    position: number,
    deadline: number,
  ): ResultAsync<RouteReading, SourceFailure>;
  /** Closes all connections. */
  abstract close(): void;
}
