/** Client of the backend servers: packets over UDP, requests and health checks over gRPC. */
import type dgram from 'node:dgram';
import {credentials, type ServiceError} from '@grpc/grpc-js';
import type {ResultAsync} from 'neverthrow';
import {
  BackendClient,
  type HealthReply,
  type RunReply,
  type RunRequest,
} from '../generated/request.js';
import {
  BackendServers,
  BackendSilent,
  BackendUnreachable,
  type BackendFailure,
  type Cancellation,
} from '../ports/backend-servers.js';
import type {Clock} from '../ports/clock.js';
import {CHANNEL_OPTIONS, callUnary, wasNeverSent} from './grpc-call.js';
import {bindUdp, sendUdp} from './udp-socket.js';

/** Backend server clients, with one gRPC connection per server. */
export class GrpcBackendServers extends BackendServers {
  private readonly clients = new Map<string, BackendClient>();

  private constructor(
    private readonly socket: dgram.Socket,
    private readonly clock: Clock,
  ) {
    super();
  }

  /** Binds the socket that packets are sent from; `host` is an IP address. */
  static async create(host: string, clock: Clock): Promise<GrpcBackendServers> {
    return new GrpcBackendServers(await bindUdp(`${host}:0`), clock);
  }

  send(server: string, bytes: Uint8Array): void {
    sendUdp(this.socket, server, bytes);
  }

  run(
    server: string,
    request: RunRequest,
    deadline: number,
    onCancel?: Cancellation,
  ): ResultAsync<RunReply, BackendFailure> {
    const client = this.getClient(server);
    return callUnary<RunReply>(
      this.clock,
      deadline,
      (...rest) => client.run(request, ...rest),
      onCancel,
    ).mapErr(error => toBackendFailure(server, error));
  }

  health(
    server: string,
    deadline: number,
  ): ResultAsync<HealthReply, BackendFailure> {
    const client = this.getClient(server);
    return callUnary<HealthReply>(this.clock, deadline, (...rest) =>
      client.health({}, ...rest),
    ).mapErr(error => toBackendFailure(server, error));
  }

  /** Closes all connections and the socket. */
  close(): void {
    this.clients.forEach(client => client.close());
    this.socket.close();
  }

  private getClient(server: string): BackendClient {
    const known = this.clients.get(server);
    if (known !== undefined) {
      return known;
    }
    const created = new BackendClient(
      server,
      credentials.createInsecure(),
      CHANNEL_OPTIONS,
    );
    this.clients.set(server, created);
    return created;
  }
}

/**
 * Classifies a failed call: only one that never had a connection is known not to have run
 * on the server.
 */
function toBackendFailure(server: string, error: ServiceError): BackendFailure {
  return wasNeverSent(error)
    ? BackendUnreachable.create(server, error.details)
    : BackendSilent.create(server, error.details);
}
