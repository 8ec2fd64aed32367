/** A small HTTP server that answers paths with text. */
import http from 'node:http';

const NOT_FOUND = 404;

/** What a path answers. */
export interface TextAnswer {
  readonly status: number;
  readonly text: string;
}

/** Answers a path; undefined when there is no such path. */
export type PathHandler = (
  path: string,
) => TextAnswer | undefined | Promise<TextAnswer | undefined>;

/** Serves at "ip:port"; the returned function stops it. */
export function servePlainHttp(
  address: string,
  handle: PathHandler,
): Promise<() => void> {
  const [host, port] = address.split(':');
  const server = http.createServer((request, response) => {
    const path = (request.url ?? '/').split('?')[0];
    Promise.resolve(handle(path)).then(
      answer => send(response, answer),
      () => response.destroy(),
    );
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => {
      server.off('error', reject);
      resolve(() => {
        server.close();
        server.closeAllConnections();
      });
    });
  });
}

function send(
  response: http.ServerResponse,
  answer: TextAnswer | undefined,
): void {
  const status = answer?.status ?? NOT_FOUND;
  response.writeHead(status, {'content-type': 'text/plain'});
  response.end(answer?.text ?? '');
}
