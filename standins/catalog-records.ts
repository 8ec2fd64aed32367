/** Records of the catalog for tests and stand-ins, with the usual values filled in. */
import {
  ServerState,
  type CatalogRoute,
  type CatalogServer,
} from '../src/catalog/records.js';

/** What sets one route apart from another. */
type RoutePart = Partial<CatalogRoute> & Pick<CatalogRoute, 'address' | 'port'>;

/** A route of one service, by default without regions, urgency or limits of time. */
export function createRoute(service: string, part: RoutePart): CatalogRoute {
  return {
    shares: [{service, weight: 1}],
    repeatable: false,
    regions: [],
    priority: 0,
    targetMs: Infinity,
    limitMs: Infinity,
    ...part,
  };
}

/** A warm server of two slots that takes new flows, at an address of its own. */
export function createServer(
  id: string,
  service: string,
  part: Partial<CatalogServer> = {},
): CatalogServer {
  return {
    id,
    service,
    address: Number(id.slice(id.lastIndexOf('-') + 1)),
    port: 80,
    failureDomain: 'a',
    slots: 2,
    state: ServerState.READY,
    coldUntil: 0,
    createdRevision: 1,
    revision: 1,
    startTime: 0,
    ...part,
  };
}
