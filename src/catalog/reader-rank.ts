/**
 * The order in which daemons read the store, worked out alike by all of them from
 * their addresses and processor shares, without knowing each other.
 */
import type {Hasher} from '../ports/hasher.js';

const RANK_SEED = 41;
/** Capacity that a reader should have, in thousandths of a core. */
const PREFERRED_CAPACITY = 300;
/** Steps by which a daemon without any processor share ranks behind an ample one. */
const CAPACITY_STEPS = 4;
const HASH_RANGE = 2 ** 32;
/** Size of a fleet up to which few daemons draw nearly the same place. */
const MAX_FLEET_SIZE = 10_000;

/** What ranking needs of a daemon. */
export interface RankedDaemon {
  /** IPv4 address as an unsigned number. */
  readonly reader: number;
  readonly failureDomain: string;
  /** Processor share in thousandths of a core. */
  readonly capacity: number;
}

/**
 * Daemons in the order of their rank. Ample ones come first, then by hash; the second
 * is of another failure domain than the first if one is.
 */
export function orderReaders<T extends RankedDaemon>(
  daemons: readonly T[],
  hasher: Hasher,
): T[] {
  const ordered = daemons
    .map(daemon => ({daemon, key: rankKeyOf(daemon, hasher)}))
    .sort((a, b) => a.key - b.key)
    .map(({daemon}) => daemon);
  const [first, ...rest] = ordered;
  const second = rest.find(
    ({failureDomain}) => failureDomain !== first.failureDomain,
  );
  return second === undefined
    ? ordered
    : [first, second, ...rest.filter(daemon => daemon !== second)];
}

/**
 * A daemon's place in the order in which daemons that do not know each other offer
 * to read, mostly from 0 to 1, somewhat above for scarce ones. Places are logarithms
 * of hashes: whether a fleet has 8 daemons or 10,000, its first few places lie apart
 * alike, by about a tenth, and no matter how many come after them (exponentially
 * distributed timers, as multicast feedback is suppressed).
 */
export function computeElectionPosition(
  daemon: RankedDaemon,
  hasher: Hasher,
): number {
  const share = (hashOf(daemon, hasher) + 1) / HASH_RANGE;
  const place = 1 + Math.log(share) / Math.log(MAX_FLEET_SIZE);
  return Math.max(0, place) + shortfallOf(daemon) / (2 * CAPACITY_STEPS);
}

/** Sorts scarce daemons behind ample ones, then by hash. */
function rankKeyOf(daemon: RankedDaemon, hasher: Hasher): number {
  return shortfallOf(daemon) * HASH_RANGE + hashOf(daemon, hasher);
}

function hashOf({reader}: RankedDaemon, hasher: Hasher): number {
  return hasher.hashText(String(reader), RANK_SEED);
}

/** Whole steps by which a daemon lacks capacity, from 0 to `SCARCE_STEPS`. */
function shortfallOf({capacity}: RankedDaemon): number {
  const share = Math.min(capacity, PREFERRED_CAPACITY) / PREFERRED_CAPACITY;
  return Math.round((1 - share) * CAPACITY_STEPS);
}
