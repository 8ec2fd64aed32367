/** Port for probing whether a backend server's host is reachable. */
import type {CatalogServer} from '../catalog/records.js';

/** The result of a probe. */
export const ContactResult = {
  /** The host responded in any way, or the probe was inconclusive. */
  REACHED: 'reached',
  /** No response before the deadline. */
  SILENT: 'silent',
} as const;
/** One of the values of `ProbeResult`. */
export type ContactResult = (typeof ContactResult)[keyof typeof ContactResult];

/** Probes servers' hosts without sending requests. */
export abstract class ServerContact {
  /** Probes a server's host until `deadline` (monotonic milliseconds). */
  abstract reach(
    server: Pick<CatalogServer, 'address' | 'port'>,
    deadline: number,
  ): Promise<ContactResult>;
}
