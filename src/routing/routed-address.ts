/** What a configuration revision says of one destination address. */

/** A backend server of a service. */
export interface RoutedServer {
  /** "ip:port" of the server's packet entry. */
  readonly id: string;
  /** Relative share of the flows; greater than 0. */
  readonly weight: number;
}

/**
 * One set of servers that an address has had. A later generation follows when
 * the servers, their weights, the service or the flexible share change.
 */
export interface AddressGeneration {
  /** Revision that brought this generation. */
  readonly since: number;
  /** Wall milliseconds at which the next generation was accepted. */
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
  /** Open flows that each server takes. */
  readonly connectionLimit: number;
  /** Milliseconds over which a new server's share grows to its weight. */
  readonly warmUpMs: number;
  /** Seconds after which a flow with no packet is forgotten. */
  readonly idleLimitSeconds: number;
  /** Milliseconds that the longest flow lasts. */
  readonly flowLifetimeMs: number;
  /** The last is the newest. */
  readonly generations: readonly AddressGeneration[];
}

/** All addresses of one configuration revision. */
export interface RoutingRevision {
  readonly revision: number;
  readonly addresses: readonly RoutedAddress[];
}

/** The newest generation of an address. */
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

/** The address as it was at a revision; generations may be none. */
export function upToRevision(
  routed: RoutedAddress,
  revision: number,
): RoutedAddress {
  const generations = routed.generations.filter(({since}) => since <= revision);
  return {...routed, generations};
}
