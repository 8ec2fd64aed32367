/**
 * Calls over HTTP/1.1 to one address. Each call has one deadline over
 * connecting, sending and answering; an answer whose bytes still come then is read on,
 * since a long one takes a slow link its time. A connection is used again while it works;
 * once a call fails, all of them are closed, since connections may fall silent
 * without a reset while new ones work.
 */
import net from 'node:net';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import type {Clock, Timer} from '../ports/clock.js';
import {HttpMessages, HttpSide, type HttpMessage} from './http-messages.js';

/** Why a call gave no answer. */
export const HttpFailureKind = {
  /** The connection was refused or closed. */
  DISCONNECTED: 'disconnected',
  /** No answer before the deadline. */
  SILENT: 'silent',
  /** What came is no answer, or a larger one than is read. */
  MALFORMED: 'malformed',
} as const;
/** One of the kinds in `HttpFailureKind`. */
export type HttpFailureKind =
  (typeof HttpFailureKind)[keyof typeof HttpFailureKind];

/** A call gave no answer. */
export class HttpFailure extends Error {
  readonly type = 'HttpFailure';

  private constructor(
    readonly kind: HttpFailureKind,
    message: string,
  ) {
    super(message);
  }

  /** Creates a failure. */
  static create(kind: HttpFailureKind, cause: string): HttpFailure {
    return new HttpFailure(kind, cause);
  }
}

/**
 * Longest time between two pieces of an answer that is read on after its deadline, in
 * milliseconds: a lost packet is sent again after 200. Without it a daemon on a link of
 * 2 Mbit/s never gets 1,400 routes, by estimate 330 kB and 1.3 s, and a fleet of such
 * daemons that has lost all its copies never serves again.
 */
const LONGEST_GAP_MS = 400;
/** Time after its deadline at which an answer is given up in any case, in milliseconds. */
const LONGEST_ARRIVAL_MS = 10_000;

/** The answer to a call. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: Buffer;
}

type Outcome = Result<HttpMessage, HttpFailure>;

/** What a client is made from. */
export interface HttpClientOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  /** Longest body of an answer that is read, in bytes. */
  readonly longestBody: number;
}

/** Calls to one address. */
export class HttpClient {
  /** Connections that wait for their next call. */
  private idle: HttpConnection[] = [];
  private readonly open = new Set<HttpConnection>();

  private constructor(private readonly options: HttpClientOptions) {}

  /** Creates a client; it connects with the first call. */
  static create(options: HttpClientOptions): HttpClient {
    return new HttpClient(options);
  }

  /** Gets a path; `deadline` is monotonic milliseconds. */
  get(path: string, deadline: number): ResultAsync<HttpAnswer, HttpFailure> {
    return new ResultAsync(this.call(`GET ${path}`, '', deadline));
  }

  /** Posts JSON to a path; `deadline` is monotonic milliseconds. */
  post(
    path: string,
    body: object,
    deadline: number,
  ): ResultAsync<HttpAnswer, HttpFailure> {
    const text = JSON.stringify(body);
    return new ResultAsync(this.call(`POST ${path}`, text, deadline));
  }

  /** Closes all connections; calls under way fail. */
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
    const release = this.limit(connection, deadline);
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
   * Fails the call under way at its deadline, or once the pieces of its answer cease to
   * come; the returned function takes that back.
   */
  private limit(connection: HttpConnection, deadline: number): () => void {
    const {clock} = this.options;
    const last = deadline + LONGEST_ARRIVAL_MS;
    let timer: Timer;
    const expire = () => {
      const until = Math.min(last, connection.receivedAt + LONGEST_GAP_MS);
      if (until > clock.now()) {
        timer = clock.callAt(until, expire);
      } else {
        connection.fail(HttpFailureKind.SILENT, 'no answer in time');
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

/** One connection; it carries one call at a time. */
class HttpConnection {
  private readonly socket: net.Socket;
  private readonly messages: HttpMessages;
  /** When a piece of the answer under way came; monotonic milliseconds. */
  receivedAt = -Infinity;
  /** Ends the call under way. */
  private settle: ((outcome: Outcome) => void) | undefined;

  private constructor(
    private readonly options: HttpClientOptions,
    onClose: () => void,
  ) {
    const {host, port, longestBody} = options;
    this.socket = net.connect({host, port, noDelay: true});
    this.messages = HttpMessages.create({
      sender: HttpSide.SERVER,
      longestBody,
      onMessage: message => this.finish(ok(message)),
    });
    this.socket.on('data', bytes => {
      this.receivedAt = options.clock.now();
      this.failBy(HttpFailureKind.MALFORMED, this.messages.read(bytes));
    });
    this.socket.on('end', () =>
      this.failBy(HttpFailureKind.DISCONNECTED, this.messages.end()),
    );
    this.socket.on('error', error =>
      this.fail(HttpFailureKind.DISCONNECTED, error.message),
    );
    this.socket.on('close', () => {
      this.fail(HttpFailureKind.DISCONNECTED, 'closed without an answer');
      onClose();
    });
  }

  /** Connects; `onClose` is called once when the connection is over. */
  static create(
    options: HttpClientOptions,
    onClose: () => void,
  ): HttpConnection {
    return new HttpConnection(options, onClose);
  }

  /** Sends a method with its path, and JSON unless it is empty; one call at a time. */
  call(target: string, body: string): Promise<Outcome> {
    const {host, port} = this.options;
    this.receivedAt = -Infinity;
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

  /** Ends the call under way, if there is one, and closes. */
  fail(kind: HttpFailureKind, cause: string): void {
    this.finish(err(HttpFailure.create(kind, cause)));
    this.close();
  }

  /** Closes; a call under way then fails. */
  close(): void {
    this.socket.destroy();
  }

  /** Fails if there is a fault. */
  private failBy(kind: HttpFailureKind, fault: Error | undefined): void {
    if (fault !== undefined) {
      this.fail(kind, fault.message);
    }
  }

  private finish(outcome: Outcome): void {
    this.settle?.(outcome);
    this.settle = undefined;
  }
}
