/** Channel options and helpers shared by all gRPC clients and servers. */
import {
  Metadata,
  Server,
  status,
  type CallOptions,
  type ChannelOptions,
  type ServerCredentials,
  type ServiceError,
} from '@grpc/grpc-js';
import {ResultAsync} from 'neverthrow';
import type {Clock} from '../ports/clock.js';

/** Options of all channels: quick reconnects, and no retries by the library. */
export const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.enable_retries': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.max_receive_message_length': 16 * 1_024 * 1_024,
};

/** Matches error details with which the library reports that it never connected. */
const NOT_CONNECTED =
  /^No connection established|^Failed to connect|ECONNREFUSED/;

/** Whether a failed call is known never to have been sent. */
export function wasNeverSent(error: ServiceError): boolean {
  return error.code === status.UNAVAILABLE && NOT_CONNECTED.test(error.details);
}

/** Invokes a unary method of a generated client. */
export type Invocation<T> = (
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, response: T) => void,
) => {cancel(): void};

/**
 * Makes a unary call with a deadline (monotonic milliseconds). `onCall` receives a
 * function that cancels it.
 */
export function callUnary<T>(
  clock: Clock,
  deadline: number,
  invoke: Invocation<T>,
  onCall?: (cancel: () => void) => void,
): ResultAsync<T, ServiceError> {
  const timeLeft = Math.max(1, deadline - clock.now());
  const promise = new Promise<T>((resolve, reject) => {
    const call = invoke(
      new Metadata(),
      {deadline: Date.now() + timeLeft},
      (error, response) => (error === null ? resolve(response) : reject(error)),
    );
    onCall?.(() => call.cancel());
  });
  return ResultAsync.fromPromise(promise, error => error as ServiceError);
}

/** Binds a server to "ip:port"; resolves to its port. */
export function bindServer(
  server: Server,
  address: string,
  credentials: ServerCredentials,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, credentials, (error, port) =>
      error === null ? resolve(port) : reject(error),
    );
  });
}

/** Stops a server; calls that are still in progress at the deadline are aborted. */
export function stopServer(
  server: Server,
  clock: Clock,
  deadline: number,
): Promise<void> {
  return new Promise(resolve => {
    const timer = clock.callAt(deadline, () => {
      server.forceShutdown();
      resolve();
    });
    server.tryShutdown(() => {
      timer.cancel();
      resolve();
    });
  });
}
