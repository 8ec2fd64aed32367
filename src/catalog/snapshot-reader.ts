/**
 * Reads the catalog snapshot that `SnapshotWriter` stores at the source, for daemons
 * that start on a link slow enough for the smaller size to matter.
 */
import type {ResultAsync} from 'neverthrow';
import type {
  CatalogReading,
  CatalogSource,
  SourceFailure,
} from '../ports/catalog-source.js';
import type {Clock} from '../ports/clock.js';
import type {Log} from '../ports/log.js';
import {decodeSnapshot} from './catalog-messages.js';

/** Size of a published list of 250 routes and 105 servers. */
const REFERENCE_LIST_KILOBITS = 1_200;
/** Transfer time of that list above which the snapshot is read first. */
const MIN_TRANSFER_MS = 5;

/** Dependencies and settings of `SnapshotReader`. */
export interface SnapshotReaderOptions {
  readonly source: CatalogSource;
  readonly clock: Clock;
  readonly log: Log;
  /** Bandwidth of the instance's link, in megabits per second. */
  readonly linkMbps: number;
}

/** Reads the snapshot for one daemon that starts. */
export class SnapshotReader {
  private constructor(private readonly options: SnapshotReaderOptions) {}

  /** Creates a snapshot reader. */
  static create(options: SnapshotReaderOptions): SnapshotReader {
    return new SnapshotReader(options);
  }

  /** Whether to read the snapshot first; on a fast link the list is as quick to read. */
  get isPreferred(): boolean {
    return REFERENCE_LIST_KILOBITS / this.options.linkMbps > MIN_TRANSFER_MS;
  }

  /**
   * Reads the snapshot by a deadline in monotonic milliseconds; undefined if there is
   * none or it cannot be decoded.
   */
  read(
    deadline: number,
  ): ResultAsync<CatalogReading | undefined, SourceFailure> {
    const {source, clock, log} = this.options;
    return source.readSnapshot(deadline).map(snapshot =>
      snapshot === undefined
        ? undefined
        : decodeSnapshot(snapshot.bytes, clock.now()).match(
            reading => reading,
            cause => {
              log.warn('kept-copy-unreadable', {cause});
              return undefined;
            },
          ),
    );
  }
}
