/**
 * Who reads the source first. Every daemon ranks the daemons that it knows to
 * live; ranks only set how long a daemon waits for others to read, so views
 * that differ cost reads and nothing else.
 */
import type {PeerDaemon} from '../membership/peer-daemon.js';
import type {Hasher} from '../ports/hasher.js';

const RANK_SEED = 41;
/** Capacity that a reader should have, in thousandths of a core. */
const AMPLE_CAPACITY = 300;

/** What ranking needs of a daemon. */
export type RankedDaemon = Pick<
  PeerDaemon,
  'address' | 'failureDomain' | 'capacity' | 'leaving' | 'outOfTouch'
>;

/**
 * The rank of `self` among itself and its live peers, from 0. Ample daemons come
 * first; the second is of another failure domain than the first if one is.
 */
export function rankAmong(
  self: RankedDaemon,
  peers: readonly RankedDaemon[],
  hasher: Hasher,
): number {
  const ordered = [self, ...peers]
    .map(daemon => ({daemon, key: orderOf(daemon, hasher)}))
    .sort((a, b) => a.key - b.key)
    .map(({daemon}) => daemon);
  const [first, ...rest] = ordered;
  const second = rest.find(
    ({failureDomain, leaving, outOfTouch}) =>
      failureDomain !== first.failureDomain && !leaving && !outOfTouch,
  );
  const ranked =
    second === undefined
      ? ordered
      : [first, second, ...rest.filter(daemon => daemon !== second)];
  return ranked.findIndex(({address}) => address === self.address);
}

/**
 * Sorts daemons that leave or do not reach the store last, scarce ones behind
 * ample ones, then by hash.
 */
function orderOf(daemon: RankedDaemon, hasher: Hasher): number {
  const hash = hasher.hashText(String(daemon.address), RANK_SEED);
  const scarce = Math.min(daemon.capacity, AMPLE_CAPACITY) / AMPLE_CAPACITY;
  const unfit = daemon.leaving || daemon.outOfTouch;
  const steps = Math.round((1 - scarce) * 4) + (unfit ? 8 : 0);
  return steps * 2 ** 32 + hash;
}
