/** The port to the backend servers: packets, requests and health. */
import type {ResultAsync} from 'neverthrow';
import type {HealthReply, RunReply, RunRequest} from '../generated/request.js';

/** The call surely did not reach the server. */
export class BackendUnreachable extends Error {
  readonly type = 'BackendUnreachable';
  /** Creates the failure to reach one server. */
  static create(server: string, cause: string): BackendUnreachable {
    return new BackendUnreachable(`backend server ${server}: ${cause}`);
  }
}

/** The call was sent and no answer came: the server may have run it. */
export class BackendSilent extends Error {
  readonly type = 'BackendSilent';
  /** Creates the failure of a call that may have run. */
  static create(server: string, cause: string): BackendSilent {
    return new BackendSilent(
      `backend server ${server} did not answer: ${cause}`,
    );
  }
}

/** Why a call to a backend server gave no answer. */
export type BackendFailure = BackendUnreachable | BackendSilent;

/** Cancels a call; later calls of the function do nothing. */
export type Cancellation = (cancel: () => void) => void;

/** The backend servers, named by id ("ip:port"). */
export abstract class BackendServers {
  /** Hands a packet on to a server, as the bytes it arrived as. */
  abstract send(server: string, bytes: Uint8Array): void;
  /** Runs one request; `deadline` is monotonic milliseconds. */
  abstract run(
    server: string,
    request: RunRequest,
    deadline: number,
    onCancel?: Cancellation,
  ): ResultAsync<RunReply, BackendFailure>;
  /** Reads a server's health and load, which lag or mislead. */
  abstract health(
    server: string,
    deadline: number,
  ): ResultAsync<HealthReply, BackendFailure>;
}
