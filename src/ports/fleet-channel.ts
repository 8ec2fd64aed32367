/** The port through which daemons that share a catalog talk to each other. */
import type {ResultAsync} from 'neverthrow';
import type {Beat, CatalogUpdate} from '../generated/catalog.js';
import type {PeerUnavailable} from './peers.js';

/** What a daemon that pulls holds already. */
export interface HeldVersions {
  /** Address of the daemon that pulls. */
  readonly asker: number;
  readonly routeVersion: number;
  /** Revision as of which its servers are complete; 0 asks for all. */
  readonly serverRevision: number;
  readonly serverDigest: number;
}

/** What a daemon does with what its peers send. */
export interface FleetHandlers {
  /** Takes a beat of the daemon at `sender` (IPv4 address as a number). */
  onHeartbeat(sender: number, beat: Beat): void;
  /** Answers a daemon that holds what the question says. */
  onPull(held: HeldVersions): CatalogUpdate;
}

/** Beats and pulls between daemons, which are named by IPv4 address. */
export abstract class FleetChannel {
  /** Installs the handlers and starts to receive. */
  abstract serve(handlers: FleetHandlers): Promise<void>;
  /** Sends a beat, which may be lost. */
  abstract sendHeartbeat(address: number, beat: Beat): void;
  /** Fetches what a peer holds beyond what is held here. */
  abstract pull(
    address: number,
    held: HeldVersions,
    deadline: number,
  ): ResultAsync<CatalogUpdate, PeerUnavailable>;
  /** Stops receiving and closes all connections. */
  abstract close(): Promise<void>;
}
