/** The port through which a daemon finds out whether a backend server's host answers. */
import type {CatalogServer} from '../catalog/records.js';

/** What came of an attempt to reach a server. */
export const ContactResult = {
  /** Its host answered in whatever way, or the attempt proves nothing. */
  REACHED: 'reached',
  /** Nothing came back in time. */
  SILENT: 'silent',
} as const;
/** One of the values of `ContactResult`. */
export type ContactResult = (typeof ContactResult)[keyof typeof ContactResult];

/** Attempts to reach servers, which cost them no work. */
export abstract class ServerContact {
  /** Tries to reach a server until `deadline` (monotonic milliseconds). */
  abstract reach(
    server: Pick<CatalogServer, 'address' | 'port'>,
    deadline: number,
  ): Promise<ContactResult>;
}
