/** Beats as UDP datagrams and pulls as HTTP calls, both in protobuf, on one port. */
import type dgram from 'node:dgram';
import http from 'node:http';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {Beat, CatalogUpdate} from '../generated/catalog.js';
import type {Clock} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import {
  FleetChannel,
  type FleetHandlers,
  type HeldVersions,
} from '../ports/fleet-channel.js';
import type {Log} from '../ports/log.js';
import {PeerUnavailable} from '../ports/peers.js';
import {formatIpv4, parseIpv4} from '../routing/ipv4.js';
import {bindUdp} from './udp-socket.js';

const PULL_PATH = '/catalog';
const OK = 200;
const NOT_FOUND = 404;

/** What a channel is made from. */
export interface DatagramFleetOptions {
  /** This instance's IPv4 address as a number. */
  readonly address: number;
  /** Port of all daemons, for UDP and TCP. */
  readonly port: number;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
}

/** The channel of one daemon. */
export class DatagramFleet extends FleetChannel {
  private socket: dgram.Socket | undefined;
  private server: http.Server | undefined;
  private handlers: FleetHandlers | undefined;

  private constructor(private readonly options: DatagramFleetOptions) {
    super();
  }

  /** Creates a channel that is closed until it serves. */
  static create(options: DatagramFleetOptions): DatagramFleet {
    return new DatagramFleet(options);
  }

  async serve(handlers: FleetHandlers): Promise<void> {
    const {address, port} = this.options;
    this.handlers = handlers;
    const endpoint = `${formatIpv4(address)}:${port}`;
    this.socket = await bindUdp(endpoint, error => this.noteUnsent(error));
    this.socket.on('message', (bytes, from) =>
      this.receive(handlers, bytes, from.address),
    );
  }

  /** Answers pulls; separate, since a starting daemon has nothing to give yet. */
  async servePulls(): Promise<void> {
    const {address, port} = this.options;
    const server = http.createServer((request, response) =>
      answerPull(this.handlers, request, response),
    );
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, formatIpv4(address), resolve);
    });
  }

  beat(address: number, beat: Beat): void {
    const bytes = Beat.encode(beat).finish();
    this.options.counters.add(Metric.CONTROL_DATAGRAMS_SENT);
    this.options.counters.add(Metric.CONTROL_BYTES_SENT, bytes.length);
    this.socket?.send(bytes, this.options.port, formatIpv4(address));
  }

  pull(
    address: number,
    held: HeldVersions,
    deadline: number,
  ): ResultAsync<CatalogUpdate, PeerUnavailable> {
    const query = new URLSearchParams({
      routes: String(held.routeVersion),
      revision: String(held.serverRevision),
      servers: String(held.serverDigest),
    });
    const path = `${PULL_PATH}?${query.toString()}`;
    return new ResultAsync(this.fetch(address, path, deadline));
  }

  async close(): Promise<void> {
    this.socket?.close();
    this.socket = undefined;
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private noteUnsent(error: Error): void {
    const {counters, log} = this.options;
    counters.add(Metric.SEND_FAILURES);
    log.info('beat-not-sent', {cause: error.message});
  }

  private receive(
    handlers: FleetHandlers,
    bytes: Uint8Array,
    from: string,
  ): void {
    const sender = parseIpv4(from);
    const beat = decodeBeat(bytes);
    if (sender === undefined || beat === undefined) {
      this.options.counters.add(Metric.PEER_DATAGRAMS_REFUSED);
      return;
    }
    handlers.onBeat(sender, beat);
  }

  private fetch(
    address: number,
    path: string,
    deadline: number,
  ): Promise<Result<CatalogUpdate, PeerUnavailable>> {
    const {port, clock} = this.options;
    const host = formatIpv4(address);
    return new Promise(resolve => {
      const request = http.get({host, port, path, agent: false});
      const settle = (result: Result<CatalogUpdate, PeerUnavailable>) => {
        timer.cancel();
        request.destroy();
        resolve(result);
      };
      const fail = (cause: string) =>
        settle(err(PeerUnavailable.create(host, cause)));
      const timer = clock.callAt(deadline, () => fail('no answer in time'));
      request.on('error', error => fail(error.message));
      request.on('response', response =>
        readUpdate(response, fail, update => settle(ok(update))),
      );
    });
  }
}

/** Reads the answer to a pull and calls one of the two. */
function readUpdate(
  response: http.IncomingMessage,
  fail: (cause: string) => void,
  take: (update: CatalogUpdate) => void,
): void {
  const chunks: Buffer[] = [];
  response.on('data', (chunk: Buffer) => chunks.push(chunk));
  response.on('error', error => fail(error.message));
  response.on('end', () => {
    const update = decodeUpdate(Buffer.concat(chunks));
    if (response.statusCode !== OK || update === undefined) {
      fail(`status ${response.statusCode}, unreadable`);
    } else {
      take(update);
    }
  });
}

function answerPull(
  handlers: FleetHandlers | undefined,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const [path, query] = (request.url ?? '').split('?');
  if (path !== PULL_PATH || handlers === undefined) {
    response.writeHead(NOT_FOUND).end();
    return;
  }
  const held = new URLSearchParams(query);
  const update = handlers.onPull({
    routeVersion: Number(held.get('routes')),
    serverRevision: Number(held.get('revision')),
    serverDigest: Number(held.get('servers')),
  });
  response.writeHead(OK, {connection: 'close'});
  response.end(CatalogUpdate.encode(update).finish());
}

/** Undefined for bytes that are no beat; the caller counts them. */
function decodeBeat(bytes: Uint8Array): Beat | undefined {
  try {
    return Beat.decode(bytes);
  } catch {
    return undefined;
  }
}

/** Undefined for bytes that are no update; the pull then fails. */
function decodeUpdate(bytes: Uint8Array): CatalogUpdate | undefined {
  try {
    return CatalogUpdate.decode(bytes);
  } catch {
    return undefined;
  }
}
