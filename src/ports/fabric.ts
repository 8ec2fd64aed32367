/** The port to the fabric, which hands over packets of flows. */
import type {PacketHeader} from '../generated/packet.js';

/** A packet and the bytes that it arrived as. */
export interface FabricPacket {
  readonly packet: PacketHeader;
  readonly bytes: Uint8Array;
}

/** The fabric: packets arrive by callback. */
export abstract class Fabric {
  /** Starts taking packets; malformed datagrams are counted, never handed on. */
  abstract onPacket(handle: (packet: FabricPacket) => void): void;
  /** Stops taking packets. */
  abstract close(): void;
}
