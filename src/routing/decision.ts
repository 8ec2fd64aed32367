/** What a router says is to be done with a packet. */
import type {FlowKey} from './flow-key.js';

/** What to do with a packet. */
export const DecisionKind = {
  FORWARD: 'forward',
  PASS: 'pass',
  DROP: 'drop',
} as const;

/** Why a packet is dropped. */
export const DropReason = {
  UNKNOWN_ADDRESS: 'unknown-address',
  /** The address is known but not in force yet, or was released. */
  ADDRESS_NOT_IN_FORCE: 'address-not-in-force',
  NO_SERVER: 'no-server',
  FLOW_TABLE_FULL: 'flow-table-full',
  /** A new flow at a daemon that no peer answers. */
  OUT_OF_TOUCH: 'out-of-touch',
} as const;
/** One of the reasons in `DropReason`. */
export type DropReason = (typeof DropReason)[keyof typeof DropReason];

/** Hand the packet on to a backend server. */
export interface Forward {
  readonly kind: typeof DecisionKind.FORWARD;
  /** The server's id. */
  readonly server: string;
  /** Set when the daemon that took the packet may remember the answer. */
  readonly remember?: FlowKey;
}

/** Pass the packet on to another daemon. */
export interface Pass {
  readonly kind: typeof DecisionKind.PASS;
  readonly member: string;
  /** The receiver decides, whatever its own view says. */
  readonly decide: boolean;
  /** Members that the receiver asks next when it has no entry. */
  readonly chain: readonly string[];
}

/** Drop the packet and count it. */
export interface Drop {
  readonly kind: typeof DecisionKind.DROP;
  readonly reason: DropReason;
}

/** One of the three. */
export type Decision = Forward | Pass | Drop;

/** How a packet came to this daemon. */
export interface Arrival {
  /** Daemons that handled the packet before; 0 from the fabric. */
  readonly hops: number;
  /** The sender left the decision to this daemon, or to the chain's last. */
  readonly decide: boolean;
  /** Members still to be asked. */
  readonly chain: readonly string[];
}

/** The arrival of a packet from the fabric. */
export const FROM_FABRIC: Arrival = {hops: 0, decide: false, chain: []};
