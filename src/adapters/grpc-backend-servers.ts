/** Backend servers: packets over UDP, requests and health over gRPC. */
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
import {CHANNEL_OPTIONS, callUnary, isUnsent} from './grpc-call.js';
import {bindUdp, sendUdp} from './udp-socket.js';

/** Backend server clients, one connection a server. */
export class GrpcBackendServers extends BackendServers {
  private readonly clients = new Map<string, BackendClient>();

  private constructor(
    private readonly socket: dgram.Socket,
    private readonly clock: Clock,
  ) {
    super();
  }

  /** Opens the socket that packets are sent from; `host` is an IP number. */
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
    const client = this.clientOf(server);
    return callUnary<RunReply>(
      this.clock,
      deadline,
      (...rest) => client.run(request, ...rest),
      onCancel,
    ).mapErr(error => failureOf(server, error));
  }

  health(
    server: string,
    deadline: number,
  ): ResultAsync<HealthReply, BackendFailure> {
    const client = this.clientOf(server);
    return callUnary<HealthReply>(this.clock, deadline, (...rest) =>
      client.health({}, ...rest),
    ).mapErr(error => failureOf(server, error));
  }

  /** Closes all connections. */
  close(): void {
    this.clients.forEach(client => client.close());
    this.socket.close();
  }

  private clientOf(server: string): BackendClient {
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

/** Only a call that never had a connection surely did not run. */
function failureOf(server: string, error: ServiceError): BackendFailure {
  return isUnsent(error)
    ? BackendUnreachable.create(server, error.details)
    : BackendSilent.create(server, error.details);
}
