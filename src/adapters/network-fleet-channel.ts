/**
 * The fleet channel over the network: heartbeats as UDP datagrams and pulls as HTTP
 * requests, both with protobuf bodies, on one port.
 */
import type dgram from 'node:dgram';
import {err, ok, type Result, type ResultAsync} from 'neverthrow';
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
import {HttpClient, type HttpResponse} from './http-client.js';
import {
  HttpStatus,
  servePlainHttp,
  type PlainResponse,
} from './plain-http-server.js';
import {bindUdp} from './udp-socket.js';

const PULL_PATH = '/catalog';
/** Largest response to a pull that is accepted: about 20,000 servers. */
const MAX_UPDATE_BYTES = 4 * 1_024 * 1_024;

export interface NetworkFleetChannelOptions {
  /** IPv4 address of this instance, as a number. */
  readonly address: number;
  /** UDP and TCP port, the same on all daemons. */
  readonly port: number;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
}

/** The channel between one daemon and its peers. */
export class NetworkFleetChannel extends FleetChannel {
  private socket: dgram.Socket | undefined;
  private stopServing: () => void = () => undefined;
  private handlers: FleetHandlers | undefined;

  private constructor(private readonly options: NetworkFleetChannelOptions) {
    super();
  }

  /** Creates a channel; `serve` opens its socket. */
  static create(options: NetworkFleetChannelOptions): NetworkFleetChannel {
    return new NetworkFleetChannel(options);
  }

  async serve(handlers: FleetHandlers): Promise<void> {
    const {address, port} = this.options;
    this.handlers = handlers;
    const endpoint = `${formatIpv4(address)}:${port}`;
    this.socket = await bindUdp(endpoint, error =>
      this.recordSendFailure(error),
    );
    this.socket.on('message', (bytes, from) =>
      this.receive(handlers, bytes, from.address),
    );
  }

  /**
   * Starts to answer pulls. Separate from `serve`, since a daemon has no catalog to offer
   * while it starts.
   */
  async servePulls(): Promise<void> {
    const {address, port} = this.options;
    this.stopServing = await servePlainHttp(
      `${formatIpv4(address)}:${port}`,
      target => answerPull(this.handlers, target),
    );
  }

  sendHeartbeat(address: number, heartbeat: Beat): void {
    const bytes = Beat.encode(heartbeat).finish();
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
      asker: String(held.asker),
      routes: String(held.routeVersion),
      revision: String(held.serverRevision),
      servers: String(held.serverDigest),
      'route-changes': held.takesRouteChanges === true ? '1' : '0',
    });
    const {port, clock} = this.options;
    const host = formatIpv4(address);
    const client = HttpClient.create({
      host,
      port,
      clock,
      maxBodyBytes: MAX_UPDATE_BYTES,
    });
    return client
      .get(`${PULL_PATH}?${query.toString()}`, deadline)
      .mapErr(failure => failure.message)
      .andThen(readUpdate)
      .map(update => {
        client.close();
        return update;
      })
      .mapErr(cause => {
        client.close();
        return PeerUnavailable.create(host, cause);
      });
  }

  async close(): Promise<void> {
    this.socket?.close();
    this.socket = undefined;
    this.stopServing();
  }

  private recordSendFailure(error: Error): void {
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
    const heartbeat = decodeHeartbeat(bytes);
    if (sender === undefined || heartbeat === undefined) {
      this.options.counters.add(Metric.PEER_DATAGRAMS_REFUSED);
      return;
    }
    handlers.onHeartbeat(sender, heartbeat);
  }
}

/** Decodes the response to a pull; the error is the cause as text. */
function readUpdate({
  status,
  body,
}: HttpResponse): Result<CatalogUpdate, string> {
  const update = decodeUpdate(body);
  return status !== HttpStatus.OK || update === undefined
    ? err(`no catalog update in the response: status ${status}`)
    : ok(update);
}

function answerPull(
  handlers: FleetHandlers | undefined,
  target: string,
): PlainResponse | undefined {
  const [path, query] = target.split('?');
  if (path !== PULL_PATH || handlers === undefined) {
    return undefined;
  }
  const held = new URLSearchParams(query);
  const update = handlers.onPull({
    asker: Number(held.get('asker')),
    routeVersion: Number(held.get('routes')),
    serverRevision: Number(held.get('revision')),
    serverDigest: Number(held.get('servers')),
    takesRouteChanges: held.get('route-changes') === '1',
  });
  return {
    status: HttpStatus.OK,
    contentType: 'application/octet-stream',
    body: CatalogUpdate.encode(update).finish(),
  };
}

/** Decodes a heartbeat; undefined when the bytes are malformed. */
function decodeHeartbeat(bytes: Uint8Array): Beat | undefined {
  try {
    return Beat.decode(bytes);
  } catch {
    return undefined;
  }
}

/** Decodes a catalog update; undefined when the bytes are malformed. */
function decodeUpdate(bytes: Uint8Array): CatalogUpdate | undefined {
  try {
    return CatalogUpdate.decode(bytes);
  } catch {
    return undefined;
  }
}
