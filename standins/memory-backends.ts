/** Backend servers of flows in one process, with the oracle's counts. */
import {errAsync, type ResultAsync} from 'neverthrow';
import {Packet, PacketKind} from '../src/generated/packet.js';
import type {HealthReply, RunReply} from '../src/generated/request.js';
import {
  BackendServers,
  BackendUnreachable,
  type BackendFailure,
} from '../src/ports/backend-servers.js';
import {readClaim} from './flow-payload.js';

/** Told of each packet that a server got. */
export type PacketListener = (
  server: string,
  packet: Packet,
  reset: boolean,
) => void;

/** Servers that know which flows they opened. */
export class MemoryBackends extends BackendServers {
  /** Open flows by server. */
  readonly flows = new Map<string, Set<string>>();
  /** Packets of another service than the server's. */
  misrouted = 0;
  resets = 0;

  private constructor(
    /** The service of each server. */
    private readonly services: ReadonlyMap<string, string>,
    private readonly listener: PacketListener,
  ) {
    super();
  }

  /** Creates servers. */
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
      this.services.get(server) === readClaim(packet.payload) ? 0 : 1;
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
    return errAsync(BackendUnreachable.create(server, 'takes flows only'));
  }

  health(server: string): ResultAsync<HealthReply, BackendFailure> {
    return errAsync(BackendUnreachable.create(server, 'takes flows only'));
  }

  /** Open flows of a server. */
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
