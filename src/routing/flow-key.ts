/** Flow keys: 64-bit hashes of the addresses and ports of a flow. */
import type {PacketHeader} from '../generated/packet.js';
import type {CallerPosition} from '../ports/cookie-fabric.js';
import type {Hasher} from '../ports/hasher.js';

/** Number of partitions of the flow keys; each is owned by one daemon. */
export const PARTITION_COUNT = 256;

const ADDRESS_BYTES = 12;
const HIGH_SEED = 0x57454c44;
const LOW_SEED = 0x59415244;

/** A flow's 64-bit key as two unsigned 32-bit halves. */
export interface FlowKey {
  /** Selects the entry of the lookup table. */
  readonly high: number;
  /** Selects the partition, and so its owner. */
  readonly low: number;
}

/** The addresses and ports of a packet. */
export type FlowAddresses = Pick<
  PacketHeader,
  'sourceAddress' | 'sourcePort' | 'destinationAddress' | 'destinationPort'
>;

/** Computes flow keys; reuses one buffer for all of them. */
export class FlowKeyHasher {
  private readonly bytes = new Uint8Array(ADDRESS_BYTES);
  private readonly view = new DataView(this.bytes.buffer);

  private constructor(private readonly hasher: Hasher) {}

  /** Creates a computation that uses a hash function. */
  static create(hasher: Hasher): FlowKeyHasher {
    return new FlowKeyHasher(hasher);
  }

  /** Returns the key of the flow that a packet belongs to. */
  compute(flow: FlowAddresses): FlowKey {
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

/** Returns the partition of a key, below `PARTITION_COUNT`. */
export function partitionOf(key: FlowKey): number {
  return key.low % PARTITION_COUNT;
}

/** Returns an IPv4 address and a port as one number, for use as a map key. */
export function destinationKey(address: number, port: number): number {
  return address * 65_536 + port;
}

/** Returns the key of a caller's flow: its source and destination address and port. */
export function callerFlowKey(flow: CallerPosition): string {
  const source = destinationKey(flow.sourceAddress, flow.sourcePort);
  const destination = destinationKey(
    flow.destinationAddress,
    flow.destinationPort,
  );
  return `${source}/${destination}`;
}
