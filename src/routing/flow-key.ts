/** Flow keys: 64 bits of hash over a flow's four address fields. */
import type {PacketHeader} from '../generated/packet.js';
import type {Hasher} from '../ports/hasher.js';

/** Number of partitions that flow keys fall into; each has an owner daemon. */
export const PARTITION_COUNT = 256;

const ADDRESS_BYTES = 12;
const HIGH_SEED = 0x57454c44;
const LOW_SEED = 0x59415244;

/** A flow's 64-bit key as two unsigned 32-bit halves. */
export interface FlowKey {
  /** Chooses the entry of the lookup table. */
  readonly high: number;
  /** Chooses the partition, and so the owner. */
  readonly low: number;
}

/** The address fields of a packet. */
export type FlowAddresses = Pick<
  PacketHeader,
  'sourceAddress' | 'sourcePort' | 'destinationAddress' | 'destinationPort'
>;

/** Computes flow keys; keeps one buffer, so it is not reentrant. */
export class FlowKeys {
  private readonly bytes = new Uint8Array(ADDRESS_BYTES);
  private readonly view = new DataView(this.bytes.buffer);

  private constructor(private readonly hasher: Hasher) {}

  /** Creates the computation over a hash function. */
  static create(hasher: Hasher): FlowKeys {
    return new FlowKeys(hasher);
  }

  /** The key of the flow that the packet belongs to. */
  of(flow: FlowAddresses): FlowKey {
    this.view.setUint32(0, flow.sourceAddress);
    this.view.setUint16(4, flow.sourcePort);
    this.view.setUint32(6, flow.destinationAddress);
    this.view.setUint16(10, flow.destinationPort);
    return {
      high: this.hasher.hashBytes(this.bytes, HIGH_SEED),
      low: this.hasher.hashBytes(this.bytes, LOW_SEED),
    };
  }
}

/** The partition of a key. */
export function partitionOf(key: FlowKey): number {
  return key.low % PARTITION_COUNT;
}

/** A destination, or another address and port, as one number: a key of maps. */
export function destinationKey(address: number, port: number): number {
  return address * 65_536 + port;
}
