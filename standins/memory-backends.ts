/** In-memory backend servers that accept flows and count misrouted packets and resets. */
import {errAsync, type ResultAsync} from 'neverthrow';
import {Packet, PacketKind} from '../src/generated/packet.js';
import type {HealthReply, RunReply} from '../src/generated/request.js';
import {
  BackendServers,
  BackendUnreachable,
  type BackendFailure,
} from '../src/ports/backend-servers.js';
import {decodePayload} from './flow-payload.js';

/** Called for each packet that a server received; `reset`: the server reset the flow. */
export type PacketListener = (
  server: string,
  packet: Packet,
  reset: boolean,
) => void;

/** Backend servers that track their open flows. */
export class MemoryBackends extends BackendServers {
  /** Open flows by server. */
  readonly flows = new Map<string, Set<string>>();
  /** Packets received for another service than the server's. */
  misrouted = 0;
  resets = 0;

  private constructor(
    /** Service by server. */
    private readonly services: ReadonlyMap<string, string>,
    private readonly listener: PacketListener,
  ) {
    super();
  }

  /** Creates servers without flows. */
  static create(
    services: ReadonlyMap<string, string>,
    listener: PacketListener = () => undefined,
  ): MemoryBackends {
    return new MemoryBackends(services, listener);
  }

  send(server: string, bytes: Uint8Array): void {
    const packet = Packet.decode(bytes);
    const flow = `${packet.sourceAddress}:${packet.sourcePort}>${packet.destinationAddress}:${packet.destinationPort}`;
    const open = this.flowsOf(server);
    const reset = packet.kind === PacketKind.DATA && !open.has(flow);
    this.misrouted +=
      this.services.get(server) === decodePayload(packet.payload) ? 0 : 1;
    this.resets += reset ? 1 : 0;
    if (packet.kind === PacketKind.OPEN) {
      open.add(flow);
    }
    if (packet.kind === PacketKind.CLOSE) {
      open.delete(flow);
    }
    this.listener(server, packet, reset);
  }

  run(server: string): ResultAsync<RunReply, BackendFailure> {
    return errAsync(BackendUnreachable.create(server, 'accepts flows only'));
  }

  health(server: string): ResultAsync<HealthReply, BackendFailure> {
    return errAsync(BackendUnreachable.create(server, 'accepts flows only'));
  }

  /** Returns the open flows of a server. */
  flowsOf(server: string): Set<string> {
    const known = this.flows.get(server);
    if (known !== undefined) {
      return known;
    }
    const created = new Set<string>();
    this.flows.set(server, created);
    return created;
  }
}
