/** Destination addresses of a configuration revision, with limits and servers. */

/** A backend server of a service. */
export interface RoutedServer {
  /** "ip:port" at which the server receives packets. */
  readonly id: string;
  /** Relative share of the flows; greater than 0. */
  readonly weight: number;
}

/**
 * One version of an address's servers. A new generation starts when the servers,
 * their weights, the workspace, the service or the flexible share change.
 */
export interface AddressGeneration {
  /** Revision that introduced this generation. */
  readonly since: number;
  /** Wall time at which the next generation was accepted; undefined for the newest. */
  readonly endedAtMs?: number;
  readonly workspace: string;
  readonly service: string;
  /** Share of flow keys, 0 to 1, whose flows may be placed by load. */
  readonly flexibleShare: number;
  /** Empty when the address was released. */
  readonly servers: readonly RoutedServer[];
}

/** An address, its limits and its generations, oldest first. */
export interface RoutedAddress {
  /** IPv4 address as an unsigned 32-bit number. */
  readonly address: number;
  readonly port: number;
  /** Maximum number of open flows per server. */
  readonly connectionLimit: number;
  /** Slow start: time over which a new server's share grows to its weight. */
  readonly warmUpMs: number;
  /** Time after which the entry of a flow without packets expires. */
  readonly idleLimitSeconds: number;
  /** Longest duration of a flow. */
  readonly flowLifetimeMs: number;
  readonly generations: readonly AddressGeneration[];
}

/** All addresses of one configuration revision. */
export interface RoutingRevision {
  readonly revision: number;
  readonly addresses: readonly RoutedAddress[];
}

/** Returns the newest generation of an address. */
export function newestGeneration(routed: RoutedAddress): AddressGeneration {
  return routed.generations[routed.generations.length - 1];
}

/** Whether the flows of a generation may still be open at `wallMs`. */
export function isRetained(
  generation: AddressGeneration,
  routed: RoutedAddress,
  wallMs: number,
): boolean {
  return (
    generation.endedAtMs === undefined ||
    generation.endedAtMs + routed.flowLifetimeMs > wallMs
  );
}

/** Returns the address without generations newer than a revision; none may be left. */
export function atRevision(
  routed: RoutedAddress,
  revision: number,
): RoutedAddress {
  const generations = routed.generations.filter(({since}) => since <= revision);
  return {...routed, generations};
}
