/**
 * Port to a fabric whose packets carry a cookie: a number that a daemon adds to the packets
 * it forwards and that the caller echoes in later packets. It identifies the flow's server,
 * so any daemon can forward any packet of the flow.
 */
import type {CatalogServer} from '../catalog/records.js';

/** The fields of a caller's packet that routing needs. */
export interface CookiePacket {
  readonly sourceAddress: number;
  readonly sourcePort: number;
  readonly destinationAddress: number;
  readonly destinationPort: number;
  /** Whether it opens a flow; true for retransmissions of the opening packet too. */
  readonly opens: boolean;
  /** Whether the caller closes its sending side. */
  readonly closes: boolean;
  /** Whether the caller aborts the flow. */
  readonly resets: boolean;
  /** 0 if the caller has not received a cookie yet. */
  readonly cookie: number;
  /** Sequence number of the first data byte. */
  readonly sequence: number;
  /** Acknowledgment number: the position up to which the caller has received data. */
  readonly acknowledged: number;
  /** Number of the attempt to open the flow, from 0; meaningless on other packets. */
  readonly openAttempt: number;
  /** Payload length in bytes. */
  readonly dataLength: number;
  /** The packet as it arrived. */
  readonly bytes: Uint8Array;
}

/** The fields of a flow's latest packet that a reset to its caller needs. */
export type CallerPosition = Pick<
  CookiePacket,
  | 'sourceAddress'
  | 'sourcePort'
  | 'destinationAddress'
  | 'destinationPort'
  | 'acknowledged'
>;

/** A fabric with cookies. */
export abstract class CookieFabric {
  /** Starts receiving packets; malformed datagrams are counted and dropped. */
  abstract onPacket(handle: (packet: CookiePacket) => void): void;
  /** Forwards a packet to a server together with the cookie for the caller to echo. */
  abstract forward(
    packet: CookiePacket,
    server: CatalogServer,
    cookie: number,
  ): void;
  /** Sends the caller a reset of its flow. */
  abstract reset(caller: CallerPosition): void;
  /** Stops receiving packets. */
  abstract close(): void;
}
