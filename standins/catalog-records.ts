/** Creates catalog records with default values for tests and stand-ins. */
import {
  ServerState,
  type CatalogRoute,
  type CatalogServer,
} from '../src/catalog/records.js';

/** Properties of a route that differ from the defaults. */
type RouteOverrides = Partial<CatalogRoute> &
  Pick<CatalogRoute, 'address' | 'port'>;

/** Creates a route to one service without regions, priority or time limits by default. */
export function createRoute(
  service: string,
  overrides: RouteOverrides,
): CatalogRoute {
  return {
    shares: [{service, weight: 1}],
    repeatable: false,
    regions: [],
    priority: 0,
    targetMs: Infinity,
    limitMs: Infinity,
    ...overrides,
  };
}

/** Creates a ready, warm server with two slots; its address is the number in its id. */
export function createServer(
  id: string,
  service: string,
  overrides: Partial<CatalogServer> = {},
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
    ...overrides,
  };
}
