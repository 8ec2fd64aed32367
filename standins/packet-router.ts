/**
 * The router before the daemons, as much of it as an emulated platform needs: it
 * checks readiness and gives each flow to one of the daemons that are in.
 */
import type {Hasher} from '../src/ports/hasher.js';

/** Checks in a row that a daemon must miss to be taken out. */
const MISSES_BEFORE_OUT = 2;
/** Sets the router's hashes apart from those of the daemons. */
const FLOW_SEED = 5;

/** A daemon as the router sees it. */
export interface CheckedDaemon {
  readonly name: string;
  /** Checks missed in a row. */
  misses: number;
  /** Whether it gets packets. */
  isIn: boolean;
}

/** Notes the outcome of one readiness check. */
export function noteCheck(daemon: CheckedDaemon, ready: boolean): void {
  daemon.misses = ready ? 0 : daemon.misses + 1;
  daemon.isIn = ready || (daemon.isIn && daemon.misses < MISSES_BEFORE_OUT);
}

/** The daemon of a flow among those that are in, by a hash of the flow. */
export function chooseDaemon<T extends CheckedDaemon>(
  daemons: readonly T[],
  flow: string,
  hasher: Hasher,
): T | undefined {
  const [chosen] = daemons
    .filter(({isIn}) => isIn)
    .map(daemon => ({
      daemon,
      score: hasher.hashText(`${daemon.name}/${flow}`, FLOW_SEED),
    }))
    .sort((a, b) => b.score - a.score);
  return chosen?.daemon;
}
