/**
 * Parses HTTP/1.1 messages with http-parser-js. Node's own `http` module cannot be part of
 * a start-up snapshot and is slow to load; this parser is in the snapshot.
 */
import {HTTPParser} from 'http-parser-js';

/** A complete request or response. */
export interface HttpMessage {
  /** Path and query of a request; empty in a response. */
  readonly target: string;
  /** Status of a response; 0 in a request. */
  readonly status: number;
  readonly body: Buffer;
  /** Whether the connection stays open after this exchange. */
  readonly keepsAlive: boolean;
}

/** The end of a connection that sends the parsed messages. */
export const HttpSide = {
  CLIENT: HTTPParser.REQUEST,
  SERVER: HTTPParser.RESPONSE,
} as const;
/** One of the sides in `HttpSide`. */
export type HttpSide = (typeof HttpSide)[keyof typeof HttpSide];

export interface HttpMessageParserOptions {
  readonly sender: HttpSide;
  /** Largest body that is accepted, in bytes. */
  readonly maxBodyBytes: number;
  /** Receives each message once it is complete. */
  onMessage(message: HttpMessage): void;
}

/** Parses the messages that arrive on one connection. */
export class HttpMessageParser {
  private readonly parser: InstanceType<typeof HTTPParser>;
  private chunks: Buffer[] = [];
  private bodyBytes = 0;
  private target = '';
  private status = 0;
  private keepsAlive = false;

  private constructor(private readonly options: HttpMessageParserOptions) {
    this.parser = new HTTPParser(options.sender);
    this.parser[HTTPParser.kOnHeadersComplete] = head => {
      this.target = head.url ?? '';
      this.status = head.statusCode ?? 0;
      this.keepsAlive = head.shouldKeepAlive;
    };
    this.parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      this.bodyBytes += length;
      this.chunks.push(chunk.subarray(offset, offset + length));
    };
    this.parser[HTTPParser.kOnMessageComplete] = () => this.emitMessage();
  }

  /** Creates a parser for a new connection. */
  static create(options: HttpMessageParserOptions): HttpMessageParser {
    return new HttpMessageParser(options);
  }

  /** Parses received bytes; returns an error when they are invalid or a body is too large. */
  parse(bytes: Buffer): Error | undefined {
    const result = this.parser.execute(bytes);
    if (result instanceof Error) {
      return result;
    }
    return this.bodyBytes > this.options.maxBodyBytes
      ? new Error(`body larger than ${this.options.maxBodyBytes} bytes`)
      : undefined;
  }

  /** Handles the end of the stream; returns an error when a message is incomplete. */
  end(): Error | undefined {
    return this.parser.finish() ?? undefined;
  }

  private emitMessage(): void {
    const {target, status, keepsAlive} = this;
    const body = Buffer.concat(this.chunks);
    this.chunks = [];
    this.bodyBytes = 0;
    this.options.onMessage({target, status, body, keepsAlive});
  }
}
