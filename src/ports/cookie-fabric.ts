/**
 * The port to a fabric whose packets carry a cookie: a number that weldyard
 * writes into the packets towards a backend server and that comes back in the
 * caller's later packets. Any daemon can tell a flow's server from it.
 */
import type {CatalogServer} from '../catalog/records.js';

/** A packet of a caller, as much of it as routing reads. */
export interface CookiePacket {
  readonly sourceAddress: number;
  readonly sourcePort: number;
  readonly destinationAddress: number;
  readonly destinationPort: number;
  /** First packet of a flow, or a copy of it. */
  readonly opens: boolean;
  /** The caller sends nothing after it. */
  readonly closes: boolean;
  /** The caller has given the flow up. */
  readonly resets: boolean;
  /** 0 while the caller has none. */
  readonly cookie: number;
  /** Position of the packet's data in what the caller sends. */
  readonly sequence: number;
  /** Position up to which the caller has the server's data. */
  readonly acknowledged: number;
  /** Which copy of the opening packet it is, from 0; else meaningless. */
  readonly openCopy: number;
  /** Bytes of data. */
  readonly dataLength: number;
  /** The packet as it arrived. */
  readonly bytes: Uint8Array;
}

/** Where a caller stands in its flow, as a reset to it needs it. */
export type CallerPosition = Pick<
  CookiePacket,
  | 'sourceAddress'
  | 'sourcePort'
  | 'destinationAddress'
  | 'destinationPort'
  | 'acknowledged'
>;

/** A fabric with cookies; packets arrive by callback. */
export abstract class CookieFabric {
  /** Starts taking packets; malformed datagrams are counted, never handed on. */
  abstract onPacket(handle: (packet: CookiePacket) => void): void;
  /** Sends a packet on to a server and has the cookie come back later. */
  abstract forward(
    packet: CookiePacket,
    server: CatalogServer,
    cookie: number,
  ): void;
  /** Tells the caller that its flow is over, or was never opened. */
  abstract reset(caller: CallerPosition): void;
  /** Stops taking packets. */
  abstract close(): void;
}
