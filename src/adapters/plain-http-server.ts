/** A small HTTP/1.1 server that answers paths, for calls without a body. */
import net from 'node:net';
import {HttpMessages, HttpSide, type HttpMessage} from './http-messages.js';

/** Longest body of a request that is read and then ignored, in bytes. */
const LONGEST_BODY = 64 * 1_024;
/** Time without a byte after which a connection is closed, in milliseconds. */
const IDLE_LIMIT_MS = 60_000;

/** Statuses that weldyard's own servers answer. */
export const HttpStatus = {
  OK: 200,
  NOT_FOUND: 404,
  UNAVAILABLE: 503,
} as const;

const REASONS: Readonly<Record<number, string>> = {
  [HttpStatus.OK]: 'OK',
  [HttpStatus.NOT_FOUND]: 'Not Found',
  [HttpStatus.UNAVAILABLE]: 'Service Unavailable',
};

/** What a path answers. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string | Uint8Array;
}

/** Answers a path with its query; undefined when there is no such path. */
export type PathHandler = (
  target: string,
) => PlainAnswer | undefined | Promise<PlainAnswer | undefined>;

/** An answer of plain text. */
export function plainText(status: number, body: string): PlainAnswer {
  return {status, contentType: 'text/plain', body};
}

/** Serves at "ip:port"; the returned function stops it and closes connections. */
export function servePlainHttp(
  address: string,
  handle: PathHandler,
): Promise<() => void> {
  const [host, port] = address.split(':');
  const sockets = new Set<net.Socket>();
  const server = net.createServer({noDelay: true}, socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    serveConnection(socket, handle);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => {
      server.off('error', reject);
      resolve(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
      });
    });
  });
}

/** Answers the requests of one connection in the order in which they came. */
function serveConnection(socket: net.Socket, handle: PathHandler): void {
  let before = Promise.resolve();
  const messages = HttpMessages.create({
    sender: HttpSide.CLIENT,
    longestBody: LONGEST_BODY,
    onMessage: message => {
      before = before.then(() => answer(socket, message, handle));
    },
  });
  socket.setTimeout(IDLE_LIMIT_MS, () => socket.destroy());
  // The caller has gone; there is nobody left to tell.
  socket.on('error', () => socket.destroy());
  socket.on('data', bytes => {
    if (messages.read(bytes) !== undefined) {
      socket.destroy();
    }
  });
}

/** A handler that fails costs its caller the connection. */
async function answer(
  socket: net.Socket,
  {target, keepsAlive}: HttpMessage,
  handle: PathHandler,
): Promise<void> {
  try {
    const given = await handle(target);
    write(socket, given ?? plainText(HttpStatus.NOT_FOUND, ''), keepsAlive);
  } catch {
    socket.destroy();
  }
}

function write(
  socket: net.Socket,
  {status, contentType, body}: PlainAnswer,
  keepsAlive: boolean,
): void {
  const bytes = typeof body === 'string' ? Buffer.from(body) : body;
  const head = [
    `HTTP/1.1 ${status} ${REASONS[status] ?? 'Other'}`,
    `Content-Type: ${contentType}`,
    `Content-Length: ${bytes.length}`,
    `Connection: ${keepsAlive ? 'keep-alive' : 'close'}`,
  ].join('\r\n');
  socket.write(Buffer.concat([Buffer.from(`${head}\r\n\r\n`), bytes]));
  if (!keepsAlive) {
    socket.end();
  }
}
