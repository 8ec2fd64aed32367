/**
 * Ranks daemons for the reader election. Each daemon computes the same order from
 * addresses and processor shares, without knowing the full membership.
 */
import type {Hasher} from '../ports/hasher.js';

const RANK_SEED = 41;
/** Capacity from which on daemons rank alike. */
const PREFERRED_CAPACITY_MILLICORES = 300;
/** Levels into which capacities below the preferred one are divided. */
const CAPACITY_STEPS = 4;
const HASH_RANGE = 2 ** 32;
/** Fleet size up to which only a few daemons get nearly the same position. */
const MAX_FLEET_SIZE = 10_000;

/** The attributes of a daemon that determine its rank. */
export interface RankedDaemon {
  /** IPv4 address as an unsigned number. */
  readonly reader: number;
  readonly failureDomain: string;
  /** Processor share in thousandths of a core. */
  readonly capacity: number;
}

/**
 * Sorts daemons by rank: by capacity level, then by hash. The second one is in another
 * failure domain than the first, if any is.
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
 * Returns a daemon's position in the order of candidates: from 0 to 1, and up to a half
 * more at low capacity. Positions are logarithms of hashes, as in the exponentially
 * distributed timers of multicast feedback suppression, so the first few are about a
 * tenth apart in a fleet of any size.
 */
export function computeElectionPosition(
  daemon: RankedDaemon,
  hasher: Hasher,
): number {
  const share = (hashOf(daemon, hasher) + 1) / HASH_RANGE;
  const position = 1 + Math.log(share) / Math.log(MAX_FLEET_SIZE);
  return Math.max(0, position) + shortfallOf(daemon) / (2 * CAPACITY_STEPS);
}

/**
 * Returns the position to expect of the first of a number of daemons with the preferred
 * capacity; 0 for as many as the positions are made for, and more.
 */
export function computeFirstPosition(daemons: number): number {
  return Math.max(0, 1 - Math.log(daemons) / Math.log(MAX_FLEET_SIZE));
}

function rankKeyOf(daemon: RankedDaemon, hasher: Hasher): number {
  return shortfallOf(daemon) * HASH_RANGE + hashOf(daemon, hasher);
}

function hashOf({reader}: RankedDaemon, hasher: Hasher): number {
  return hasher.hashText(String(reader), RANK_SEED);
}

/** Returns how many levels a daemon is below the preferred capacity; 0: none. */
function shortfallOf({capacity}: RankedDaemon): number {
  const share =
    Math.min(capacity, PREFERRED_CAPACITY_MILLICORES) /
    PREFERRED_CAPACITY_MILLICORES;
  return Math.round((1 - share) * CAPACITY_STEPS);
}
