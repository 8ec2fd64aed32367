/**
 * Stores catalog snapshots at the source for daemons that start. The first reader writes
 * a snapshot when the catalog has changed. It is a fraction of the size of the published
 * list, whose transfer would delay service on slow links after a loss of all instances.
 */
import type {CatalogSource} from '../ports/catalog-source.js';
import type {Clock} from '../ports/clock.js';
import type {Log} from '../ports/log.js';
import {encodeSnapshot} from './catalog-messages.js';
import type {Catalog} from './catalog.js';

/** Estimated size of a route and of a server in the published list. */
const PUBLISHED_ROUTE_BYTES = 300;
const PUBLISHED_SERVER_BYTES = 350;
/** Estimated size of the published list from which on snapshots are stored. */
const MIN_LIST_BYTES = 32_768;
/** Limits the snapshot's size, since the store limits its values. */
const MAX_SNAPSHOT_BYTES = 512 * 1_024;
/** A daemon that starts from a snapshot lacks later changes until it reads on. */
const MIN_WRITE_INTERVAL_MS = 2_000;
const WRITE_TIMEOUT_MS = 500;

/** Versions in a snapshot. */
interface SnapshotVersions {
  readonly routeVersion: number;
  readonly serverDigest: number;
}

/** Dependencies of `SnapshotWriter`. */
export interface SnapshotWriterOptions {
  readonly catalog: Catalog;
  readonly source: CatalogSource;
  readonly clock: Clock;
  readonly log: Log;
}

/** Keeps the stored snapshot up to date while this daemon is the first reader. */
export class SnapshotWriter {
  /** Revision at which a snapshot was last known to be written; 0: none known. */
  private revision = 0;
  /** What this daemon wrote last; undefined once another daemon has written. */
  private lastWritten: SnapshotVersions | undefined;
  /** Earliest time of the next write; monotonic milliseconds. */
  private nextWriteAt = -Infinity;

  private constructor(private readonly options: SnapshotWriterOptions) {}

  /** Creates a writer that knows of no snapshot. */
  static create(options: SnapshotWriterOptions): SnapshotWriter {
    return new SnapshotWriter(options);
  }

  /** Records that this daemon or another one wrote a snapshot at a revision. */
  recordWrite(revision: number): void {
    if (revision > this.revision) {
      this.revision = revision;
      this.lastWritten = undefined;
    }
  }

  /**
   * Writes a snapshot if the catalog has changed since the last one and is large enough,
   * at a limited rate. A failed write is logged, and repeated by a later call.
   */
  async write(): Promise<void> {
    const {catalog, source, clock, log} = this.options;
    const now = clock.now();
    const held = versionsOf(catalog);
    if (
      now < this.nextWriteAt ||
      isEqual(held, this.lastWritten) ||
      !isWorthStoring(catalog)
    ) {
      return;
    }
    const bytes = encodeSnapshot(catalog, now);
    this.nextWriteAt = now + MIN_WRITE_INTERVAL_MS;
    if (bytes.length > MAX_SNAPSHOT_BYTES) {
      return;
    }
    const deadline = now + WRITE_TIMEOUT_MS;
    const result = await source.writeSnapshot(bytes, this.revision, deadline);
    result.match(
      ({isDone, revision}) => {
        this.revision = revision;
        this.lastWritten = isDone ? held : undefined;
        // Lost to a write of another daemon that was not known: retry without delay.
        this.nextWriteAt = isDone ? this.nextWriteAt : now;
        log.info('copy-kept', {isDone, revision, bytes: bytes.length});
      },
      failure => log.info('copy-not-kept', {cause: failure.message}),
    );
  }
}

function versionsOf(catalog: Catalog): SnapshotVersions {
  const {routeVersion, serverDigest} = catalog.stamp;
  return {routeVersion, serverDigest};
}

function isEqual(
  held: SnapshotVersions,
  stored: SnapshotVersions | undefined,
): boolean {
  return (
    held.routeVersion === stored?.routeVersion &&
    held.serverDigest === stored.serverDigest
  );
}

/** Whether the published list is large enough for a snapshot to save time. */
function isWorthStoring(catalog: Catalog): boolean {
  const bytes =
    catalog.allRoutes().length * PUBLISHED_ROUTE_BYTES +
    catalog.allServers().length * PUBLISHED_SERVER_BYTES;
  return bytes >= MIN_LIST_BYTES;
}
