/** Minimal HTTP/1.1 server for requests without a body. */
import net from 'node:net';
import {
  HttpMessageParser,
  HttpSide,
  type HttpMessage,
} from './http-message-parser.js';

/** Largest request body that is accepted; bodies are ignored. */
const MAX_BODY_BYTES = 64 * 1_024;
const IDLE_TIMEOUT_MS = 60_000;

/** Status codes that the servers of weldyard send. */
export const HttpStatus = {
  OK: 200,
  NOT_FOUND: 404,
  UNAVAILABLE: 503,
} as const;

const REASON_PHRASES: Readonly<Record<number, string>> = {
  [HttpStatus.OK]: 'OK',
  [HttpStatus.NOT_FOUND]: 'Not Found',
  [HttpStatus.UNAVAILABLE]: 'Service Unavailable',
};

/** The response of a handler. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string | Uint8Array;
}

/** Handles a path with its query; undefined sends 404. */
export type PathHandler = (
  target: string,
) => PlainResponse | undefined | Promise<PlainResponse | undefined>;

/** Creates a plain-text response. */
export function createTextResponse(
  status: number,
  body: string,
): PlainResponse {
  return {status, contentType: 'text/plain', body};
}

/** Listens at "ip:port"; the returned function stops the server and closes connections. */
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

/** Answers the requests of one connection in the order of arrival. */
function serveConnection(socket: net.Socket, handle: PathHandler): void {
  let previous = Promise.resolve();
  const parser = HttpMessageParser.create({
    sender: HttpSide.CLIENT,
    maxBodyBytes: MAX_BODY_BYTES,
    onMessage: message => {
      previous = previous.then(() => respond(socket, message, handle));
    },
  });
  socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
  // The client has disconnected, so no response is possible.
  socket.on('error', () => socket.destroy());
  socket.on('data', bytes => {
    if (parser.parse(bytes) !== undefined) {
      socket.destroy();
    }
  });
}

/** Sends the response of a handler; closes the connection when the handler throws. */
async function respond(
  socket: net.Socket,
  {target, keepsAlive}: HttpMessage,
  handle: PathHandler,
): Promise<void> {
  try {
    const given = await handle(target);
    writeResponse(
      socket,
      given ?? createTextResponse(HttpStatus.NOT_FOUND, ''),
      keepsAlive,
    );
  } catch {
    socket.destroy();
  }
}

function writeResponse(
  socket: net.Socket,
  {status, contentType, body}: PlainResponse,
  keepsAlive: boolean,
): void {
  const bytes = typeof body === 'string' ? Buffer.from(body) : body;
  const head = [
    `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? 'Other'}`,
    `Content-Type: ${contentType}`,
    `Content-Length: ${bytes.length}`,
    `Connection: ${keepsAlive ? 'keep-alive' : 'close'}`,
  ].join('\r\n');
  socket.write(Buffer.concat([Buffer.from(`${head}\r\n\r\n`), bytes]));
  if (!keepsAlive) {
    socket.end();
  }
}
