/**
 * The copy that daemons keep at the source for daemons that start: all routes and
 * servers, as daemons send them to each other. One daemon writes it, the first of those
 * that wait for events, when what it holds has changed.
 *
 * The pattern answered: all instances of a fleet on slow links lose power at once. The
 * published list names every route and server in words, 150 kB of 250 routes and 105
 * servers, which a link of 7 Mbit/s takes 0.17 s to carry while no request is served;
 * the kept copy of the same has some 20 kB.
 */
import type {CatalogSource} from '../ports/catalog-source.js';
import type {Clock} from '../ports/clock.js';
import type {Log} from '../ports/log.js';
import {encodeSnapshot} from './catalog-messages.js';
import type {Catalog} from './catalog.js';

/** Length of what a route and a server take in the published list, in bytes. */
const PUBLISHED_ROUTE_BYTES = 300;
const PUBLISHED_SERVER_BYTES = 350;
/** Length of a published list from which on a copy is kept, in bytes. */
const MIN_LIST_BYTES = 32_768;
/** Longest copy that is kept, in bytes: values of a store are bounded. */
const MAX_SNAPSHOT_BYTES = 512 * 1_024;
/**
 * Shortest time between two writes, in milliseconds. A daemon that starts from a copy
 * of then lacks what changed since, until it reads on.
 */
const MIN_WRITE_INTERVAL_MS = 2_000;
/** Longest wait for the answer to a write, in milliseconds. */
const WRITE_TIMEOUT_MS = 500;

/** What a kept copy holds, as far as it is known. */
interface SnapshotVersions {
  readonly routeVersion: number;
  readonly serverDigest: number;
}

/** What a keeper is made from. */
export interface SnapshotWriterOptions {
  readonly catalog: Catalog;
  readonly source: CatalogSource;
  readonly clock: Clock;
  readonly log: Log;
}

/** Keeps the copy up to date, where this daemon is the one to do it. */
export class SnapshotWriter {
  /** Revision at which the copy was last written, as far as is known; 0: never. */
  private revision = 0;
  /** What this daemon wrote last; undefined once another one wrote. */
  private lastWritten: SnapshotVersions | undefined;
  /** Monotonic milliseconds before which nothing is written again. */
  private nextWriteAt = -Infinity;

  private constructor(private readonly options: SnapshotWriterOptions) {}

  /** Creates a keeper that knows of no copy. */
  static create(options: SnapshotWriterOptions): SnapshotWriter {
    return new SnapshotWriter(options);
  }

  /** Notes that the copy was written at a revision, by this daemon or another one. */
  recordWrite(revision: number): void {
    if (revision > this.revision) {
      this.revision = revision;
      this.lastWritten = undefined;
    }
  }

  /** Writes what the catalog holds, if the kept copy is another and it is time. */
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
    const written = await source.writeSnapshot(bytes, this.revision, deadline);
    written.match(
      ({isDone, revision}) => {
        this.revision = revision;
        this.lastWritten = isDone ? held : undefined;
        // Another daemon's write was not known: this one may follow it at once.
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
  kept: SnapshotVersions | undefined,
): boolean {
  return (
    held.routeVersion === kept?.routeVersion &&
    held.serverDigest === kept.serverDigest
  );
}

/** Whether the published list is so long that a copy gains anything. */
function isWorthStoring(catalog: Catalog): boolean {
  const bytes =
    catalog.allRoutes().length * PUBLISHED_ROUTE_BYTES +
    catalog.allServers().length * PUBLISHED_SERVER_BYTES;
  return bytes >= MIN_LIST_BYTES;
}
