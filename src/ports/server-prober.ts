/** Port for probing whether a backend server's host is reachable. */
import type {CatalogServer} from '../catalog/records.js';

/** The result of a probe. */
export const ProbeResult = {
  /** The host responded in any way, or the probe was inconclusive. */
  REACHED: 'reached',
  /** No response before the deadline. */
  TIMEOUT: 'silent',
} as const;
/** One of the values of `ProbeResult`. */
export type ProbeResult = (typeof ProbeResult)[keyof typeof ProbeResult];

/** Probes servers' hosts without sending requests. */
export abstract class ServerProber {
  /** Probes a server's host until `deadline` (monotonic milliseconds). */
  abstract probe(
    server: Pick<CatalogServer, 'address' | 'port'>,
    deadline: number,
  ): Promise<ProbeResult>;
}
