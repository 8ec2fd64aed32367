/**
 * HTTP/1.1 client for one address. One deadline covers connecting, sending and receiving,
 * but a response that is still arriving is read beyond it, for slow links. Connections are
 * kept alive; after any failed call all are closed, since connections may hang without a
 * reset while new ones work.
 */
import net from 'node:net';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import type {Clock, Timer} from '../ports/clock.js';
import {
  HttpMessageParser,
  HttpSide,
  type HttpMessage,
} from './http-message-parser.js';

/** Why a call failed. */
export const HttpFailureKind = {
  /** The connection was refused, reset or closed early. */
  DISCONNECTED: 'disconnected',
  /** No complete response in time. */
  TIMED_OUT: 'silent',
  /** The response is not valid HTTP, or its body is too large. */
  MALFORMED: 'malformed',
} as const;
/** One of the kinds in `HttpFailureKind`. */
export type HttpFailureKind =
  (typeof HttpFailureKind)[keyof typeof HttpFailureKind];

/** A call that received no usable response. */
export class HttpFailure extends Error {
  readonly type = 'HttpFailure';

  private constructor(
    readonly kind: HttpFailureKind,
    message: string,
  ) {
    super(message);
  }

  /** Creates a failure; `cause` becomes its message. */
  static create(kind: HttpFailureKind, cause: string): HttpFailure {
    return new HttpFailure(kind, cause);
  }
}

/**
 * Longest gap between two reads of a response that is received beyond its deadline; covers
 * one TCP retransmission, which takes about 200 ms.
 */
const MAX_RECEIVE_GAP_MS = 400;
/** Time after its deadline at which a response is abandoned even if it still arrives. */
const MAX_RECEIVE_OVERRUN_MS = 10_000;

/** The response to a call. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}

type Outcome = Result<HttpMessage, HttpFailure>;

export interface HttpClientOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  /** Largest response body that is accepted, in bytes. */
  readonly maxBodyBytes: number;
}

/** HTTP client with kept-alive connections to one address. */
export class HttpClient {
  /** Open connections without a call in progress. */
  private idle: HttpConnection[] = [];
  private readonly open = new Set<HttpConnection>();

  private constructor(private readonly options: HttpClientOptions) {}

  /** Creates a client; it connects on the first call. */
  static create(options: HttpClientOptions): HttpClient {
    return new HttpClient(options);
  }

  /** Sends a GET request; `deadline` is in monotonic milliseconds. */
  get(path: string, deadline: number): ResultAsync<HttpResponse, HttpFailure> {
    return new ResultAsync(this.call(`GET ${path}`, '', deadline));
  }

  /** Sends a POST request with a JSON body; `deadline` is in monotonic milliseconds. */
  post(
    path: string,
    body: object,
    deadline: number,
  ): ResultAsync<HttpResponse, HttpFailure> {
    const text = JSON.stringify(body);
    return new ResultAsync(this.call(`POST ${path}`, text, deadline));
  }

  /** Closes all connections; calls in progress fail. */
  close(): void {
    const closed = [...this.open];
    this.open.clear();
    this.idle = [];
    closed.forEach(connection => connection.close());
  }

  private async call(
    target: string,
    body: string,
    deadline: number,
  ): Promise<Outcome> {
    const connection = this.idle.pop() ?? this.connect();
    const release = this.enforceDeadline(connection, deadline);
    const outcome = await connection.call(target, body);
    release();
    if (outcome.isErr()) {
      this.close();
    } else if (outcome.value.keepsAlive && this.open.has(connection)) {
      this.idle.push(connection);
    } else {
      connection.close();
    }
    return outcome;
  }

  /**
   * Fails the call in progress at its deadline or, if its response is still arriving then,
   * once it stalls. The returned function cancels this.
   */
  private enforceDeadline(
    connection: HttpConnection,
    deadline: number,
  ): () => void {
    const {clock} = this.options;
    const latestMs = deadline + MAX_RECEIVE_OVERRUN_MS;
    let timer: Timer;
    const expire = () => {
      const giveUpAtMs = Math.min(
        latestMs,
        connection.lastReceivedAtMs + MAX_RECEIVE_GAP_MS,
      );
      if (giveUpAtMs > clock.now()) {
        timer = clock.callAt(giveUpAtMs, expire);
      } else {
        connection.fail(
          HttpFailureKind.TIMED_OUT,
          'no complete response before the deadline',
        );
      }
    };
    timer = clock.callAt(deadline, expire);
    return () => timer.cancel();
  }

  private connect(): HttpConnection {
    const connection = HttpConnection.create(this.options, () => {
      this.open.delete(connection);
      this.idle = this.idle.filter(idle => idle !== connection);
    });
    this.open.add(connection);
    return connection;
  }
}

/** One connection, with at most one call in progress. */
class HttpConnection {
  private readonly socket: net.Socket;
  private readonly parser: HttpMessageParser;
  /** When bytes of the current response last arrived, in monotonic milliseconds. */
  lastReceivedAtMs = -Infinity;
  /** Resolves the call in progress; undefined when there is none. */
  private settle: ((outcome: Outcome) => void) | undefined;

  private constructor(
    private readonly options: HttpClientOptions,
    onClose: () => void,
  ) {
    const {host, port, maxBodyBytes} = options;
    this.socket = net.connect({host, port, noDelay: true});
    this.parser = HttpMessageParser.create({
      sender: HttpSide.SERVER,
      maxBodyBytes,
      onMessage: message => this.finish(ok(message)),
    });
    this.socket.on('data', bytes => {
      this.lastReceivedAtMs = options.clock.now();
      this.failOn(HttpFailureKind.MALFORMED, this.parser.parse(bytes));
    });
    this.socket.on('end', () =>
      this.failOn(HttpFailureKind.DISCONNECTED, this.parser.end()),
    );
    this.socket.on('error', error =>
      this.fail(HttpFailureKind.DISCONNECTED, error.message),
    );
    this.socket.on('close', () => {
      this.fail(
        HttpFailureKind.DISCONNECTED,
        'connection closed before the response was complete',
      );
      onClose();
    });
  }

  /** Connects; `onClose` is called once, when the connection has closed. */
  static create(
    options: HttpClientOptions,
    onClose: () => void,
  ): HttpConnection {
    return new HttpConnection(options, onClose);
  }

  /** Sends a request: `target` is method and path, `body` is JSON or empty. */
  call(target: string, body: string): Promise<Outcome> {
    const {host, port} = this.options;
    this.lastReceivedAtMs = -Infinity;
    const content =
      body === ''
        ? ''
        : `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n`;
    return new Promise(resolve => {
      this.settle = resolve;
      this.socket.write(
        `${target} HTTP/1.1\r\nHost: ${host}:${port}\r\nConnection: keep-alive\r\n${content}\r\n${body}`,
      );
    });
  }

  /** Fails the call in progress, if any, and closes the connection. */
  fail(kind: HttpFailureKind, cause: string): void {
    this.finish(err(HttpFailure.create(kind, cause)));
    this.close();
  }

  /** Closes the connection; a call in progress fails. */
  close(): void {
    this.socket.destroy();
  }

  /** Fails the connection if `fault` is given. */
  private failOn(kind: HttpFailureKind, fault: Error | undefined): void {
    if (fault !== undefined) {
      this.fail(kind, fault.message);
    }
  }

  private finish(outcome: Outcome): void {
    this.settle?.(outcome);
    this.settle = undefined;
  }
}
