/**
 * The start from the copy that daemons keep at the source, where the instance's link is
 * slow enough for its shortness to count (copy-keeper.ts).
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

/** Length of a long published list, in kilobits: 250 routes and 105 servers. */
const REFERENCE_LIST_KILOBITS = 1_200;
/** Time on the link that is worth asking for the kept copy first, in milliseconds. */
const MIN_TRANSFER_MS = 5;

/** What a kept copy is read with. */
export interface SnapshotReaderOptions {
  readonly source: CatalogSource;
  readonly clock: Clock;
  readonly log: Log;
  /** What the instance's link carries, in megabits a second. */
  readonly linkMbps: number;
}

/** Reads the kept copy for one daemon that starts. */
export class SnapshotReader {
  private constructor(private readonly options: SnapshotReaderOptions) {}

  /** Creates a reader of the kept copy. */
  static create(options: SnapshotReaderOptions): SnapshotReader {
    return new SnapshotReader(options);
  }

  /** Whether it is worth a call: on an ample link the published list is as fast. */
  get isPreferred(): boolean {
    return REFERENCE_LIST_KILOBITS / this.options.linkMbps > MIN_TRANSFER_MS;
  }

  /**
   * Reads the kept copy by a deadline, in monotonic milliseconds; undefined when there
   * is none that can be read.
   */
  read(
    deadline: number,
  ): ResultAsync<CatalogReading | undefined, SourceFailure> {
    const {source, clock, log} = this.options;
    return source.readSnapshot(deadline).map(copy =>
      copy === undefined
        ? undefined
        : decodeSnapshot(copy.bytes, clock.now()).match(
            reading => reading,
            cause => {
              log.warn('kept-copy-unreadable', {cause});
              return undefined;
            },
          ),
    );
  }
}
