/** The port to the platform's list of instances, which lags behind reality. */
import type {ResultAsync} from 'neverthrow';

/** What an instance runs. */
export const InstanceRole = {DAEMON: 'daemon', BACKEND: 'backend'} as const;
/** One of the roles in `InstanceRole`. */
export type InstanceRole = (typeof InstanceRole)[keyof typeof InstanceRole];

/** How the platform sees an instance. */
export const InstanceState = {
  LIVE: 'live',
  LEAVING: 'leaving',
  GONE: 'gone',
} as const;
/** One of the states in `InstanceState`. */
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** One entry of the list. */
export interface ListedInstance {
  readonly id: string;
  readonly role: InstanceRole;
  /** "ip:port" for peers (daemons) or for packets (backend servers). */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: InstanceState;
  /** Grows with each change of the entry. */
  readonly version: number;
  /** Where the fabric hands packets over; empty for backend servers. */
  readonly fabricAddress: string;
  /** Where the command line asks; empty for backend servers. */
  readonly controlAddress: string;
}

/** The list as read at one moment. */
export interface InstanceListing {
  readonly version: number;
  readonly instances: readonly ListedInstance[];
}

/** The list did not answer. */
export class InstanceListUnavailable extends Error {
  readonly type = 'InstanceListUnavailable';
  /** Creates the failure of one call. */
  static create(cause: string): InstanceListUnavailable {
    return new InstanceListUnavailable(`instance list: ${cause}`);
  }
}

/** The platform's instance list. */
export abstract class InstanceList {
  /** Reads the whole list. */
  abstract list(): ResultAsync<InstanceListing, InstanceListUnavailable>;
  /** Announces this process, or a change of its state. */
  abstract announce(
    instance: ListedInstance,
  ): ResultAsync<InstanceListing, InstanceListUnavailable>;
}
