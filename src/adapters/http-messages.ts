/**
 * HTTP/1.1 messages on a connection, read by the http-parser-js library. The
 * runtime's own HTTP module cannot be part of a start-up snapshot, and loading it
 * takes a fifth of a start's instructions; this parser is in the snapshot.
 */
import {HTTPParser} from 'http-parser-js';

/** A request or an answer, read to its end. */
export interface HttpMessage {
  /** Path and query of a request; empty in an answer. */
  readonly target: string;
  /** Status of an answer; 0 in a request. */
  readonly status: number;
  readonly body: Buffer;
  /** Whether the connection may carry another exchange after this one. */
  readonly keepsAlive: boolean;
}

/** Which end of a connection sent the messages. */
export const HttpSide = {
  CLIENT: HTTPParser.REQUEST,
  SERVER: HTTPParser.RESPONSE,
} as const;
/** One of the sides in `HttpSide`. */
export type HttpSide = (typeof HttpSide)[keyof typeof HttpSide];

/** What a reader of messages is made from. */
export interface HttpMessagesOptions {
  /** Who sends the messages. */
  readonly sender: HttpSide;
  /** Longest body that is read, in bytes. */
  readonly longestBody: number;
  /** Takes each message once it is whole. */
  onMessage(message: HttpMessage): void;
}

/** Reads the messages that arrive on one connection. */
export class HttpMessages {
  private readonly parser: InstanceType<typeof HTTPParser>;
  private chunks: Buffer[] = [];
  private bodyBytes = 0;
  private target = '';
  private status = 0;
  private keepsAlive = false;

  private constructor(private readonly options: HttpMessagesOptions) {
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
    this.parser[HTTPParser.kOnMessageComplete] = () => this.handOver();
  }

  /** Creates a reader at the beginning of a connection. */
  static create(options: HttpMessagesOptions): HttpMessages {
    return new HttpMessages(options);
  }

  /** Reads bytes; returns why they are no message, if so. */
  read(bytes: Buffer): Error | undefined {
    const result = this.parser.execute(bytes);
    if (result instanceof Error) {
      return result;
    }
    return this.bodyBytes > this.options.longestBody
      ? new Error('the body is too large')
      : undefined;
  }

  /** Notes that nothing more will come; returns what is missing, if so. */
  end(): Error | undefined {
    return this.parser.finish() ?? undefined;
  }

  private handOver(): void {
    const {target, status, keepsAlive} = this;
    const body = Buffer.concat(this.chunks);
    this.chunks = [];
    this.bodyBytes = 0;
    this.options.onMessage({target, status, body, keepsAlive});
  }
}
