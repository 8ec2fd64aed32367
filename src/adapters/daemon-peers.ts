/**
 * Transport between daemons: datagrams over UDP and calls over gRPC, both at the same
 * "ip:port".
 */
import type dgram from 'node:dgram';
import {
  Server,
  type ChannelCredentials,
  type ServerCredentials,
} from '@grpc/grpc-js';
import {ResultAsync} from 'neverthrow';
import {
  PeerDatagram,
  type Hint,
  type PassedPacket,
  type Probe,
} from '../generated/packet.js';
import {
  ExceptionBatch,
  PeerClient,
  PeerService,
  type BatchReply,
  type ChangeList,
  type FlowException,
  type KeyBatch,
  type KeyRecord,
  type MemberList,
  type PeerServer,
} from '../generated/peer.js';
import type {CallerReply, CallerRequest} from '../generated/request.js';
import type {Clock} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import {PeerUnavailable, Peers, type PeerHandlers} from '../ports/peers.js';
import {DatagramAuthenticator} from './datagram-authenticator.js';
import {
  CHANNEL_OPTIONS,
  bindServer,
  callUnary,
  wasNeverSent,
  stopServer,
  type Invocation,
} from './grpc-call.js';
import {bindUdp, sendUdp} from './udp-socket.js';

/** Time that calls in progress get to finish when the server closes. */
const STOP_TIMEOUT_MS = 500;

/** Credentials for calls and datagrams between daemons. */
export interface PeerSecurity {
  readonly server: ServerCredentials;
  readonly client: ChannelCredentials;
  /** Shared key that authenticates datagrams; undefined: they are not authenticated. */
  readonly datagramKey: string | undefined;
}

export interface DaemonPeersOptions {
  readonly id: string;
  /** "ip:port" of this daemon. */
  readonly address: string;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly security: PeerSecurity;
}

/** Sends to and receives from the peers of one daemon. */
export class DaemonPeers extends Peers {
  private readonly server = new Server(CHANNEL_OPTIONS);
  private readonly clients = new Map<string, PeerClient>();
  private readonly authenticator: DatagramAuthenticator;

  private constructor(
    private readonly socket: dgram.Socket,
    private readonly options: DaemonPeersOptions,
  ) {
    super();
    this.authenticator = DatagramAuthenticator.create(
      options.security.datagramKey,
    );
  }

  /** Binds the datagram socket; `serve` starts the gRPC server. */
  static async create(options: DaemonPeersOptions): Promise<DaemonPeers> {
    return new DaemonPeers(await bindUdp(options.address), options);
  }

  async serve(handlers: PeerHandlers): Promise<void> {
    this.socket.on('message', (bytes, sender) => {
      this.receive(bytes, `${sender.address}:${sender.port}`, handlers);
    });
    this.server.addService(PeerService, createPeerServer(handlers));
    await bindServer(
      this.server,
      this.options.address,
      this.options.security.server,
    );
  }

  pass(address: string, passed: PassedPacket): void {
    const bytes = this.sendDatagram(address, {
      ...this.createDatagram(),
      passed,
    });
    this.options.counters.add(Metric.PEER_BYTES_SENT, bytes);
  }

  hint(address: string, hint: Hint): void {
    const bytes = this.sendDatagram(address, {...this.createDatagram(), hint});
    this.options.counters.add(Metric.PEER_BYTES_SENT, bytes);
  }

  probe(address: string, probe: Probe): void {
    const bytes = this.sendDatagram(address, {...this.createDatagram(), probe});
    this.options.counters.add(Metric.CONTROL_BYTES_SENT, bytes);
    this.options.counters.add(Metric.CONTROL_DATAGRAMS_SENT);
  }

  pushExceptions(
    address: string,
    exceptions: FlowException[],
    deadline: number,
    target = '',
  ): ResultAsync<number, PeerUnavailable> {
    const client = this.getClient(address);
    const request = {sender: this.options.id, exceptions, target};
    const {counters} = this.options;
    const bytes = ExceptionBatch.encode(request).finish().length;
    counters.add(Metric.REPLICATION_BYTES_SENT, bytes);
    counters.add(Metric.REPLICATION_ENTRIES_SENT, exceptions.length);
    return this.call<BatchReply>(address, deadline, (...rest) =>
      client.pushExceptions(request, ...rest),
    ).map(reply => reply.accepted);
  }

  pullState(
    address: string,
    partitions: number[],
    deadline: number,
  ): ResultAsync<FlowException[], PeerUnavailable> {
    const timeLeft = Math.max(1, deadline - this.options.clock.now());
    const stream = this.getClient(address).pullState(
      {sender: this.options.id, partitions},
      {deadline: Date.now() + timeLeft},
    );
    const all = new Promise<FlowException[]>((resolve, reject) => {
      const found: FlowException[] = [];
      stream.on('data', (batch: ExceptionBatch) => {
        batch.exceptions.forEach(exception => found.push(exception));
      });
      stream.on('end', () => resolve(found));
      stream.on('error', reject);
    });
    return ResultAsync.fromPromise(all, error =>
      PeerUnavailable.create(address, String(error)),
    );
  }

  pullChanges(
    address: string,
    epoch: number,
    after: number,
    deadline: number,
  ): ResultAsync<ChangeList, PeerUnavailable> {
    const client = this.getClient(address);
    const request = {sender: this.options.id, epoch, after};
    return this.call<ChangeList>(address, deadline, (...rest) =>
      client.pullChanges(request, ...rest),
    );
  }

  pullMembers(
    address: string,
    deadline: number,
  ): ResultAsync<MemberList, PeerUnavailable> {
    const client = this.getClient(address);
    return this.call<MemberList>(address, deadline, (...rest) =>
      client.pullMembers({}, ...rest),
    );
  }

  forward(
    address: string,
    request: CallerRequest,
    deadline: number,
  ): ResultAsync<CallerReply, PeerUnavailable> {
    const client = this.getClient(address);
    return this.call<CallerReply>(address, deadline, (...rest) =>
      client.forward(request, ...rest),
    );
  }

  keepKeys(
    address: string,
    range: number,
    records: KeyRecord[],
    deadline: number,
  ): ResultAsync<number, PeerUnavailable> {
    const client = this.getClient(address);
    const request = {sender: this.options.id, range, records};
    return this.call<BatchReply>(address, deadline, (...rest) =>
      client.keepKeys(request, ...rest),
    ).map(reply => reply.accepted);
  }

  pullKeys(
    address: string,
    range: number,
    deadline: number,
  ): ResultAsync<KeyRecord[], PeerUnavailable> {
    const client = this.getClient(address);
    const request = {sender: this.options.id, range};
    return this.call<KeyBatch>(address, deadline, (...rest) =>
      client.pullKeys(request, ...rest),
    ).map(reply => reply.records);
  }

  private call<T>(
    address: string,
    deadline: number,
    invoke: Invocation<T>,
  ): ResultAsync<T, PeerUnavailable> {
    return callUnary(this.options.clock, deadline, invoke).mapErr(error =>
      PeerUnavailable.create(address, error.details, !wasNeverSent(error)),
    );
  }

  async close(): Promise<void> {
    this.clients.forEach(client => client.close());
    const {clock} = this.options;
    await stopServer(this.server, clock, clock.now() + STOP_TIMEOUT_MS);
    this.socket.close();
  }

  private createDatagram(): PeerDatagram {
    return {
      sender: this.options.id,
      passed: undefined,
      hint: undefined,
      probe: undefined,
    };
  }

  private sendDatagram(address: string, datagram: PeerDatagram): number {
    const bytes = this.authenticator.sign(
      PeerDatagram.encode(datagram).finish(),
    );
    sendUdp(this.socket, address, bytes);
    return bytes.length;
  }

  private receive(
    bytes: Buffer,
    address: string,
    handlers: PeerHandlers,
  ): void {
    const datagram = this.decode(bytes);
    if (datagram === undefined) {
      this.options.counters.add(Metric.PEER_DATAGRAMS_REFUSED);
      return;
    }
    if (datagram.passed !== undefined) {
      handlers.onPassed(datagram.sender, datagram.passed);
    }
    if (datagram.hint !== undefined) {
      handlers.onHint(datagram.sender, datagram.hint);
    }
    if (datagram.probe !== undefined) {
      handlers.onProbe(datagram.sender, datagram.probe, address);
    }
  }

  private decode(bytes: Buffer): PeerDatagram | undefined {
    const content = this.authenticator.verify(bytes);
    if (content === undefined) {
      return undefined;
    }
    try {
      return PeerDatagram.decode(content);
    } catch {
      return undefined;
    }
  }

  private getClient(address: string): PeerClient {
    const known = this.clients.get(address);
    if (known !== undefined) {
      return known;
    }
    const created = new PeerClient(
      address,
      this.options.security.client,
      CHANNEL_OPTIONS,
    );
    this.clients.set(address, created);
    return created;
  }
}

/** Maps the gRPC methods that peers call to handlers. */
function createPeerServer(handlers: PeerHandlers): PeerServer {
  return {
    pushExceptions: (call, callback) => {
      const {sender, exceptions, target} = call.request;
      const accepted = handlers.onExceptions(sender, exceptions, target);
      callback(null, {accepted});
    },
    pullState: call => {
      const {sender, partitions} = call.request;
      [...handlers.onPullState(sender, partitions)].forEach(exceptions =>
        call.write({sender: '', exceptions, target: ''}),
      );
      call.end();
    },
    pullChanges: (call, callback) => {
      const {sender, epoch, after} = call.request;
      callback(null, handlers.onPullChanges(sender, epoch, after));
    },
    pullMembers: (_call, callback) => callback(null, handlers.onPullMembers()),
    forward: (call, callback) => {
      void handlers
        .onForward(call.request)
        .then(reply => callback(null, reply));
    },
    keepKeys: (call, callback) => {
      const {range, records} = call.request;
      callback(null, {accepted: handlers.onKeepKeys(range, records)});
    },
    pullKeys: (call, callback) => {
      const {range} = call.request;
      callback(null, {sender: '', range, records: handlers.onPullKeys(range)});
    },
  };
}
