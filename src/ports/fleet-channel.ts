/** Port for messages between daemons that share a catalog. */
import type {ResultAsync} from 'neverthrow';
import type {Beat, CatalogUpdate} from '../generated/catalog.js';
import type {PeerUnavailable} from './peers.js';

/** The versions that a pulling daemon already holds. */
export interface HeldVersions {
  /** Address of the pulling daemon. */
  readonly asker: number;
  readonly routeVersion: number;
  /** Revision up to which its servers are complete; 0 requests all of them. */
  readonly serverRevision: number;
  readonly serverDigest: number;
  /** Whether it takes the changes of the routes in place of all routes; absent: no. */
  readonly takesRouteChanges?: boolean;
}

/** Handlers of messages from peers. */
export interface FleetHandlers {
  /** Handles a heartbeat from the daemon at `sender` (IPv4 address as a number). */
  onHeartbeat(sender: number, beat: Beat): void;
  /** Returns what the catalog holds beyond `held`. */
  onPull(held: HeldVersions): CatalogUpdate;
}

/** Heartbeats and pulls between daemons, which are identified by IPv4 address. */
export abstract class FleetChannel {
  /** Installs the handlers and starts to receive. */
  abstract serve(handlers: FleetHandlers): Promise<void>;
  /** Sends a heartbeat, without delivery guarantee. */
  abstract sendHeartbeat(address: number, beat: Beat): void;
  /** Fetches what a peer's catalog holds beyond `held`. */
  abstract pull(
    address: number,
    held: HeldVersions,
    deadline: number,
  ): ResultAsync<CatalogUpdate, PeerUnavailable>;
  /** Stops receiving and closes all connections. */
  abstract close(): Promise<void>;
}
