/** Port to the backend servers: packets, requests and health checks. */
import type {ResultAsync} from 'neverthrow';
import type {HealthReply, RunReply, RunRequest} from '../generated/request.js';

/** A call that certainly did not reach the server, so it is safe to retry. */
export class BackendUnreachable extends Error {
  readonly type = 'BackendUnreachable';
  /** Creates the failure of a call that was not sent. */
  static create(server: string, cause: string): BackendUnreachable {
    return new BackendUnreachable(`backend server ${server}: ${cause}`);
  }
}

/** A call that was sent and got no reply; the server may have run it. */
export class BackendSilent extends Error {
  readonly type = 'BackendSilent';
  /** Creates the failure of a call that may have run. */
  static create(server: string, cause: string): BackendSilent {
    return new BackendSilent(
      `backend server ${server} did not answer: ${cause}`,
    );
  }
}

/** Why a call to a backend server got no reply. */
export type BackendFailure = BackendUnreachable | BackendSilent;

/** Receives the function that cancels a call; only its first use has an effect. */
export type Cancellation = (cancel: () => void) => void;

/** Calls to backend servers, which are identified by "ip:port". */
export abstract class BackendServers {
  /** Forwards a packet unchanged. */
  abstract send(server: string, bytes: Uint8Array): void;
  /** Runs one request; `deadline` is monotonic milliseconds. */
  abstract run(
    server: string,
    request: RunRequest,
    deadline: number,
    onCancel?: Cancellation,
  ): ResultAsync<RunReply, BackendFailure>;
  /** Reads a server's reported health and load, which may be stale or wrong. */
  abstract health(
    server: string,
    deadline: number,
  ): ResultAsync<HealthReply, BackendFailure>;
}
