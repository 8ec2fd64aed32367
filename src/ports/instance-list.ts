/** Port to the platform's list of instances, which is eventually consistent. */
import type {ResultAsync} from 'neverthrow';

/** What an instance runs. */
export const InstanceRole = {DAEMON: 'daemon', BACKEND: 'backend'} as const;
/** One of the roles in `InstanceRole`. */
export type InstanceRole = (typeof InstanceRole)[keyof typeof InstanceRole];

/** Lifecycle state of an instance. */
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
  /** Increases with each change of the entry. */
  readonly version: number;
  /** "ip:port" on which a daemon receives packets; empty for backend servers. */
  readonly fabricAddress: string;
  /** "ip:port" that the command-line client connects to; empty for backend servers. */
  readonly controlAddress: string;
}

/** The list as of one version. */
export interface InstanceListing {
  readonly version: number;
  readonly instances: readonly ListedInstance[];
}

/** The list could not be read or written. */
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
  /** Registers this process, or updates its entry; returns the list after it. */
  abstract announce(
    instance: ListedInstance,
  ): ResultAsync<InstanceListing, InstanceListUnavailable>;
}
