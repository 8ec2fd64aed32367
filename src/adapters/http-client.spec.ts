import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {test} from 'node:test';
import {HttpClient, HttpFailureKind} from './http-client.js';
import {createTextResponse, servePlainHttp} from './plain-http-server.js';
import {SystemClock} from './system-clock.js';

const clock = SystemClock.create();
const HOST = '127.0.0.1';
const DEADLINE_MS = 300;
const MAX_BODY_BYTES = 1_000;

function createDeadline(): number {
  return clock.now() + DEADLINE_MS;
}

/** Runs calls against a server, then closes it and its connections. */
async function withServer(
  server: net.Server,
  run: (client: HttpClient) => Promise<void>,
): Promise<void> {
  const sockets = new Set<net.Socket>();
  server.on('connection', socket => sockets.add(socket));
  await new Promise<void>(resolve => {
    server.listen(0, HOST, resolve);
  });
  const {port} = server.address() as net.AddressInfo;
  const client = HttpClient.create({
    host: HOST,
    port,
    clock,
    maxBodyBytes: MAX_BODY_BYTES,
  });
  try {
    await run(client);
  } finally {
    client.close();
    server.close();
    sockets.forEach(socket => socket.destroy());
  }
}

test('responses with a length, in chunks and up to the end of the connection are read completely', async () => {
  const server = http.createServer((request, response) => {
    if (request.url === '/chunks') {
      response.write('some ');
      setTimeout(() => response.end('text'), 5);
    } else if (request.url === '/end') {
      response.useChunkedEncodingByDefault = false;
      response.setHeader('connection', 'close');
      response.end('some text');
    } else {
      response.setHeader('content-length', 9).end('some text');
    }
  });
  await withServer(server, async client => {
    for (const path of ['/whole', '/chunks', '/end', '/whole']) {
      const result = (await client.get(path, createDeadline()))._unsafeUnwrap();
      assert.equal(result.status, 200);
      assert.equal(result.body.toString(), 'some text', path);
    }
  });
});

test('sequential calls share a connection, concurrent calls do not', async () => {
  let connections = 0;
  const server = http.createServer((_request, response) => {
    setTimeout(() => response.end('x'), 5);
  });
  server.on('connection', () => (connections += 1));
  await withServer(server, async client => {
    await client.get('/', createDeadline());
    await client.get('/', createDeadline());
    assert.equal(connections, 1);
    await Promise.all([
      client.get('/', createDeadline()),
      client.get('/', createDeadline()),
    ]);
    assert.equal(connections, 2);
  });
});

test('a hung connection costs one deadline; later calls use new connections', async () => {
  let isHung = false;
  const server = net.createServer(socket => {
    const isOld = !isHung;
    socket.on('data', () => {
      if (!(isOld && isHung)) {
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx');
      }
    });
  });
  await withServer(server, async client => {
    await Promise.all([
      client.get('/', createDeadline()),
      client.get('/', createDeadline()),
    ]);
    isHung = true;
    const started = clock.now();
    const failed = (await client.get('/', createDeadline()))._unsafeUnwrapErr();
    assert.equal(failed.kind, HttpFailureKind.TIMED_OUT);
    assert.ok(clock.now() - started < DEADLINE_MS * 1.5);
    // The second old connection hangs too and must not be used again.
    assert.ok((await client.get('/', createDeadline())).isOk());
    assert.ok((await client.get('/', createDeadline())).isOk());
  });
});

test('a closed port, a truncated response, invalid HTTP and a large body have their failure kinds', async () => {
  const responses: Readonly<Record<string, string>> = {
    '/broken': 'HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nx',
    '/other': 'SSH-2.0-x\r\n\r\n',
    '/long': `HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n${'x'.repeat(3_000)}`,
  };
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      const path = bytes.toString().split(' ')[1];
      socket.write(responses[path]);
      if (path === '/broken') {
        socket.end();
      }
    });
  });
  const kindOf = async (client: HttpClient, path: string) =>
    (await client.get(path, createDeadline()))._unsafeUnwrapErr().kind;
  await withServer(server, async client => {
    const {DISCONNECTED, MALFORMED} = HttpFailureKind;
    assert.equal(await kindOf(client, '/broken'), DISCONNECTED);
    assert.equal(await kindOf(client, '/other'), MALFORMED);
    assert.equal(await kindOf(client, '/long'), MALFORMED);
    server.close();
    client.close();
    assert.equal(await kindOf(client, '/broken'), DISCONNECTED);
  });
});

test('pipelined requests are answered in order; invalid bytes close the connection', async () => {
  const port = 17_911;
  const stop = await servePlainHttp(`${HOST}:${port}`, async target => {
    await new Promise(resolve =>
      setTimeout(resolve, target === '/slow' ? 20 : 0),
    );
    return target === '/none' ? undefined : createTextResponse(200, target);
  });
  const socket = net.connect(port, HOST);
  const request = (target: string) =>
    `GET ${target} HTTP/1.1\r\nHost: x\r\n\r\n`;
  let received = '';
  socket.on('data', bytes => (received += bytes.toString()));
  const closed = new Promise(resolve => socket.on('close', resolve));
  socket.write(request('/slow') + request('/fast?a=1') + request('/none'));
  while (!received.includes('404')) {
    await new Promise(resolve => setTimeout(resolve, 2));
  }
  const bodies = [...received.matchAll(/\r\n\r\n(?<body>\/[a-z?=1]+)/g)];
  assert.deepEqual(
    bodies.map(({groups}) => groups?.['body']),
    ['/slow', '/fast?a=1'],
  );
  socket.write('no request\r\n');
  await closed;
  stop();
});

/** Sends `chunks` of ten bytes, 60 ms apart; without `ends` the response stays incomplete. */
function createSlowServer(chunks: number, ends: boolean): http.Server {
  return http.createServer((_request, response) => {
    response.setHeader('content-length', ends ? chunks * 10 : MAX_BODY_BYTES);
    Array.from({length: chunks}, (_chunk, index) =>
      setTimeout(() => response.write('0123456789'), index * 60),
    );
  });
}

test('a response that is still arriving at the deadline is read completely', async () => {
  await withServer(createSlowServer(12, true), async client => {
    const startedAt = clock.now();
    const result = (await client.get('/', createDeadline()))._unsafeUnwrap();
    assert.equal(result.body.length, 120);
    assert.ok(clock.now() - startedAt > 2 * DEADLINE_MS);
  });
});

test('a response that stalls fails soon after the deadline', async () => {
  await withServer(createSlowServer(8, false), async client => {
    const startedAt = clock.now();
    const failure = (
      await client.get('/', createDeadline())
    )._unsafeUnwrapErr();
    assert.equal(failure.kind, HttpFailureKind.TIMED_OUT);
    const tookMs = clock.now() - startedAt;
    assert.ok(tookMs > DEADLINE_MS && tookMs < 1_300, String(tookMs));
  });
});
