/**
 * Model of the platform's router, for the simulated and the emulated platform: takes
 * daemons in and out of service by readiness checks, and distributes flows by hash.
 */
import type {Hasher} from '../src/ports/hasher.js';

/** Consecutive failed checks that take a daemon out of service. */
const FAILURES_BEFORE_REMOVAL = 2;
/** Makes the router's hashes independent of the daemons' hashes. */
const FLOW_HASH_SEED = 5;

/** The router's state of a daemon. */
export interface RoutedDaemon {
  readonly name: string;
  /** Readiness checks failed in a row. */
  consecutiveFailures: number;
  /** Whether the router sends it packets. */
  isInService: boolean;
}

/** Records the result of a readiness check. */
export function recordReadinessCheck(
  daemon: RoutedDaemon,
  ready: boolean,
): void {
  daemon.consecutiveFailures = ready ? 0 : daemon.consecutiveFailures + 1;
  daemon.isInService =
    ready ||
    (daemon.isInService &&
      daemon.consecutiveFailures < FAILURES_BEFORE_REMOVAL);
}

/**
 * Selects the daemon of a flow among those in service by rendezvous hashing; undefined:
 * none is in service.
 */
export function selectDaemon<T extends RoutedDaemon>(
  daemons: readonly T[],
  flow: string,
  hasher: Hasher,
): T | undefined {
  const [chosen] = daemons
    .filter(daemon => daemon.isInService)
    .map(daemon => ({
      daemon,
      score: hasher.hashText(`${daemon.name}/${flow}`, FLOW_HASH_SEED),
    }))
    .sort((a, b) => b.score - a.score);
  return chosen?.daemon;
}
