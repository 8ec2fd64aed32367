/** A router's decision on a packet, and how the packet arrived. */
import type {FlowKey} from './flow-key.js';

/** Kinds of decisions. */
export const DecisionKind = {
  FORWARD: 'forward',
  PASS: 'pass',
  DROP: 'drop',
} as const;

/** Reasons to drop a packet. */
export const DropReason = {
  UNKNOWN_ADDRESS: 'unknown-address',
  /** The address has no servers in the active revision: not added yet, or released. */
  ADDRESS_NOT_ACTIVE: 'address-not-active',
  NO_SERVER: 'no-server',
  FLOW_TABLE_FULL: 'flow-table-full',
  /** An open at a daemon without a responsive peer, which may be outdated. */
  NO_RESPONSIVE_PEER: 'no-responsive-peer',
} as const;
/** One of the reasons in `DropReason`. */
export type DropReason = (typeof DropReason)[keyof typeof DropReason];

/** Sends the packet to a backend server. */
export interface Forward {
  readonly kind: typeof DecisionKind.FORWARD;
  /** Id of the server. */
  readonly server: string;
  /** Key for the hint to the daemon where the packet entered; undefined for none. */
  readonly hintKey?: FlowKey;
}

/** Passes the packet to another daemon. */
export interface Pass {
  readonly kind: typeof DecisionKind.PASS;
  /** Id of the daemon. */
  readonly member: string;
  /** Whether the receiver decides although it need not be the partition's owner. */
  readonly decide: boolean;
  /** Members to pass the packet on to, in order, if the receiver has no entry. */
  readonly chain: readonly string[];
}

/** Drops the packet. */
export interface Drop {
  readonly kind: typeof DecisionKind.DROP;
  readonly reason: DropReason;
}

/** What to do with a packet. */
export type Decision = Forward | Pass | Drop;

/** How a packet reached this daemon. */
export interface Arrival {
  /** Daemons that handled the packet before this one; 0 from the fabric. */
  readonly hops: number;
  /** Whether this daemon decides although it need not be the partition's owner. */
  readonly decide: boolean;
  /** Members to pass the packet on to, in order, if this daemon has no entry. */
  readonly chain: readonly string[];
}

/** The arrival of a packet from the fabric. */
export const FROM_FABRIC: Arrival = {hops: 0, decide: false, chain: []};
