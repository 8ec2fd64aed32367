/** The fabric as UDP datagrams with protobuf packets. */
import type dgram from 'node:dgram';
import {PacketHeader, PacketKind} from '../generated/packet.js';
import {Metric, type Counters} from '../ports/counters.js';
import {Fabric, type FabricPacket} from '../ports/fabric.js';
import {bindUdp} from './udp-socket.js';

const MAX_PORT = 65_535;

/** Decodes the header of a packet; undefined when it is malformed. */
export function decodePacket(bytes: Uint8Array): PacketHeader | undefined {
  try {
    const packet = PacketHeader.decode(bytes);
    return isWellFormed(packet) ? packet : undefined;
  } catch {
    return undefined;
  }
}

function isWellFormed(packet: PacketHeader): boolean {
  return (
    packet.sourcePort <= MAX_PORT &&
    packet.destinationPort <= MAX_PORT &&
    packet.destinationPort > 0 &&
    packet.kind <= PacketKind.CLOSE
  );
}

/** Fabric over one UDP socket. */
export class UdpFabric extends Fabric {
  private constructor(
    private readonly socket: dgram.Socket,
    private readonly counters: Counters,
  ) {
    super();
  }

  /** Binds a socket at "ip:port". */
  static async create(address: string, counters: Counters): Promise<UdpFabric> {
    return new UdpFabric(await bindUdp(address), counters);
  }

  onPacket(handle: (packet: FabricPacket) => void): void {
    this.socket.on('message', bytes => {
      const packet = decodePacket(bytes);
      if (packet === undefined) {
        this.counters.add(Metric.PACKETS_MALFORMED);
      } else {
        handle({packet, bytes});
      }
    });
  }

  close(): void {
    this.socket.close();
  }
}
