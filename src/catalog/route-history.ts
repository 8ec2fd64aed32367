/** The latest changes of the routes, from which a daemon brings its peers up to date. */
import {destinationKey} from '../routing/flow-key.js';
import type {CatalogRoute, Destination, RouteChanges} from './records.js';

/** Limits of the changes kept: versions, and routes in all of them. */
const MAX_VERSIONS = 64;
const MAX_CHANGED_ROUTES = 1_024;

/** The changes of one version. */
interface VersionChange {
  readonly baseVersion: number;
  readonly changes: RouteChanges;
}

/** The changes of consecutive versions, up to the newest one of a daemon. */
export class RouteHistory {
  /** Oldest first; each base version is the version that the one before led to. */
  private versions: VersionChange[] = [];

  private constructor() {}

  /** Creates an empty history. */
  static create(): RouteHistory {
    return new RouteHistory();
  }

  /** Appends the changes that lead from the newest version to the next one. */
  append(baseVersion: number, changes: RouteChanges): void {
    const versions = [...this.versions, {baseVersion, changes}];
    const sizes = versions.map(({changes: {written, removed}}) =>
      Math.max(1, written.length + removed.length),
    );
    const first = versions.findIndex((_version, index) =>
      isWithinLimits(sizes.slice(index)),
    );
    this.versions = first < 0 ? [] : versions.slice(first);
  }

  /** Returns the changes from a version to the newest one; undefined: not known. */
  changesSince(version: number): RouteChanges | undefined {
    const first = this.versions.findIndex(
      ({baseVersion}) => baseVersion === version,
    );
    return first < 0
      ? undefined
      : mergeChanges(this.versions.slice(first).map(({changes}) => changes));
  }
}

function isWithinLimits(sizes: readonly number[]): boolean {
  const total = sizes.reduce((sum, size) => sum + size, 0);
  return sizes.length <= MAX_VERSIONS && total <= MAX_CHANGED_ROUTES;
}

/** Merges consecutive changes; of several for one destination the last one stands. */
function mergeChanges(all: readonly RouteChanges[]): RouteChanges {
  const written = new Map<number, CatalogRoute>();
  const removed = new Map<number, Destination>();
  all.forEach(changes => {
    changes.written.forEach(route => {
      written.set(keyOf(route), route);
      removed.delete(keyOf(route));
    });
    changes.removed.forEach(key => {
      removed.set(keyOf(key), key);
      written.delete(keyOf(key));
    });
  });
  return {written: [...written.values()], removed: [...removed.values()]};
}

function keyOf({address, port}: Destination): number {
  return destinationKey(address, port);
}

/** Whether a known route of a destination, if there is one, is the same as another. */
export function areEqualRoutes(
  known: CatalogRoute | undefined,
  other: CatalogRoute,
): boolean {
  return (
    known !== undefined &&
    known.repeatable === other.repeatable &&
    known.priority === other.priority &&
    known.targetMs === other.targetMs &&
    known.limitMs === other.limitMs &&
    known.regions.length === other.regions.length &&
    known.regions.every((region, index) => region === other.regions[index]) &&
    known.shares.length === other.shares.length &&
    known.shares.every(
      ({service, weight}, index) =>
        service === other.shares[index].service &&
        weight === other.shares[index].weight,
    )
  );
}
