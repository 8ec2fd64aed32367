/** Port to the fabric, which delivers callers' packets. */
import type {PacketHeader} from '../generated/packet.js';

/** A decoded packet header and the datagram as received. */
export interface FabricPacket {
  readonly packet: PacketHeader;
  readonly bytes: Uint8Array;
}

/** The network fabric in front of the daemons. */
export abstract class Fabric {
  /** Starts receiving packets; malformed datagrams are counted and dropped. */
  abstract onPacket(handle: (packet: FabricPacket) => void): void;
  /** Stops receiving packets. */
  abstract close(): void;
}
