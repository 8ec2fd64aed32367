/** Catalog records as messages between daemons, and back. */
import {Result, err, ok} from 'neverthrow';
import {
  CatalogUpdate,
  type ReadMark as ReadMarkMessage,
  type RouteEntry,
  type RouteList,
  type ServerEntry,
  type ServerList,
} from '../generated/catalog.js';
import type {CatalogReading} from '../ports/catalog-source.js';
import type {HeldVersions} from '../ports/fleet-channel.js';
import type {Catalog} from './catalog.js';
import type {ReaderStatus} from './reader-statuses.js';
import {
  ServerState,
  type CatalogRoute,
  type CatalogServer,
  type RouteListing,
  type ServerListing,
} from './records.js';
import type {KnownRoute} from './route-table.js';

/** Longer spans are sent as this: one hour, in milliseconds. */
const MAX_DURATION_MS = 3_600_000;

/** Milliseconds since `at`, as they are sent. */
export function encodeAge(at: number, now: number): number {
  return encodeDuration(at, now);
}

/** Milliseconds from one time to a later one, as they are sent; 0 if it is not later. */
function encodeDuration(from: number, to: number): number {
  return Math.round(Math.min(MAX_DURATION_MS, Math.max(0, to - from)));
}

/** A reader's mark, with its time as an age. */
export function encodeReaderStatus(
  mark: ReaderStatus,
  now: number,
): ReadMarkMessage {
  const {reader, failureDomain, capacity, state, at} = mark;
  return {reader, failureDomain, capacity, state, ageMs: encodeAge(at, now)};
}

/** The inverse of `encodeMark`. */
export function decodeReaderStatus(
  message: ReadMarkMessage,
  now: number,
): ReaderStatus {
  const {reader, failureDomain, capacity, state, ageMs} = message;
  return {reader, failureDomain, capacity, state, at: now - ageMs};
}

/** The versions of a daemon that has no copy; it is nobody's asker. */
const NO_VERSIONS: HeldVersions = {
  asker: 0,
  routeVersion: 0,
  serverRevision: 0,
  serverDigest: 0,
};

/** What a daemon that holds these versions lacks. */
export function updateFor(
  catalog: Catalog,
  held: HeldVersions,
  now: number,
): CatalogUpdate {
  const {stamp} = catalog;
  const lacksServers =
    stamp.serverRevision > 0 && stamp.serverDigest !== held.serverDigest;
  return {
    routes:
      stamp.routeVersion > held.routeVersion
        ? encodeRouteList(catalog, now)
        : undefined,
    servers: lacksServers
      ? encodeServerList(catalog, held.serverRevision, now)
      : undefined,
    other: 0,
    waitMs: 0,
  };
}

/** Takes a peer's answer; the ages in it count back from `now`. */
export function applyUpdate(
  catalog: Catalog,
  update: CatalogUpdate,
  now: number,
): void {
  if (update.routes !== undefined) {
    applyRouteList(catalog, update.routes, now);
  }
  if (update.servers !== undefined) {
    applyServerList(catalog, update.servers, now);
  }
}

/** All that a catalog holds, for daemons that start. */
export function encodeSnapshot(catalog: Catalog, now: number): Uint8Array {
  return CatalogUpdate.encode(updateFor(catalog, NO_VERSIONS, now)).finish();
}

/** The inverse of `encodeWhole`; the error is the cause as text. */
export function decodeSnapshot(
  bytes: Uint8Array,
  now: number,
): Result<CatalogReading, string> {
  return Result.fromThrowable(
    () => CatalogUpdate.decode(bytes),
    String,
  )().andThen(({routes, servers}) =>
    routes === undefined || servers?.whole !== true
      ? err('no whole copy')
      : ok({
          routes: decodeRouteList(routes),
          servers: decodeServerList(servers, now),
        }),
  );
}

function applyServerList(
  catalog: Catalog,
  list: ServerList,
  now: number,
): void {
  const {removed, revision, evacuated, whole} = list;
  const confirmedAt = now - list.ageMs;
  const listing = decodeServerList(list, now);
  if (whole) {
    catalog.takeServers(listing, confirmedAt);
  } else {
    const {servers: written, unreadable} = listing;
    const changes = {written, unreadable, removed};
    catalog.takeServerChanges(changes, {revision, evacuated}, confirmedAt);
  }
}

function applyRouteList(catalog: Catalog, list: RouteList, now: number): void {
  catalog.takeRoutes(decodeRouteList(list), now - list.ageMs);
}

function decodeServerList(list: ServerList, now: number): ServerListing {
  const {revision, evacuated} = list;
  const servers = list.servers.map(entry => decodeServer(entry, now));
  const unreadable = list.unreadable.map(entry => ({...entry, cause: ''}));
  return {revision, servers, unreadable, evacuated};
}

function decodeRouteList(list: RouteList): RouteListing {
  const {version, coldServices} = list;
  const routes = list.routes.map(decodeRoute);
  // A configuration names some service, so none means that they were not told.
  const services = list.services.length === 0 ? undefined : list.services;
  return {version, routes, coldServices, services};
}

function encodeRouteList(catalog: Catalog, now: number): RouteList {
  const {routeVersion, routesConfirmedAt} = catalog.stamp;
  return {
    version: routeVersion,
    ageMs: encodeAge(routesConfirmedAt, now),
    routes: catalog.allRoutes().map(encodeRoute),
    coldServices: [...catalog.coldServices()],
    services: [...(catalog.serviceNames() ?? [])],
  };
}

function encodeRoute(route: KnownRoute): RouteEntry {
  const {address, port, shares, repeatable, regions, priority} = route;
  return {
    address,
    port,
    shares: shares.map(({service, weight}) => ({service, weight})),
    repeatable,
    regions: [...regions],
    priority,
    targetMs: encodeOptionalDuration(route.targetMs),
    limitMs: encodeOptionalDuration(route.limitMs),
  };
}

/** The inverse of `encodeRoute`. */
function decodeRoute(entry: RouteEntry): CatalogRoute {
  return {
    ...entry,
    targetMs: decodeOptionalDuration(entry.targetMs),
    limitMs: decodeOptionalDuration(entry.limitMs),
  };
}

/** A span that may be unbounded, as it is sent: 0 stands for none. */
function encodeOptionalDuration(span: number): number {
  return span === Infinity ? 0 : Math.round(span);
}

function decodeOptionalDuration(span: number): number {
  return span === 0 ? Infinity : span;
}

/** The changes since a revision, or the whole list where they are not known. */
function encodeServerList(
  catalog: Catalog,
  since: number,
  now: number,
): ServerList {
  const {serverRevision, serversConfirmedAt} = catalog.stamp;
  const changes = since === 0 ? undefined : catalog.serverChangesSince(since);
  const servers = changes?.written ?? catalog.allServers();
  const unreadable = changes?.unreadable ?? catalog.unreadableEntries();
  return {
    revision: serverRevision,
    ageMs: encodeAge(serversConfirmedAt, now),
    servers: servers.map(server => encodeServer(server, now)),
    whole: changes === undefined,
    removed: [...(changes?.removed ?? [])],
    evacuated: catalog.evacuatedDomains(),
    unreadable: unreadable.map(({id, revision: at}) => ({id, revision: at})),
  };
}

/** The state is sent as a flag and the deadline as the time that is left. */
function encodeServer(server: CatalogServer, now: number): ServerEntry {
  const {id, service, address, port, failureDomain, slots} = server;
  const {createdRevision, revision, startTime} = server;
  return {
    id,
    service,
    address,
    port,
    failureDomain,
    slots,
    draining: server.state === ServerState.DRAINING,
    coldMs: encodeDuration(now, server.coldUntil),
    createdRevision,
    revision,
    startTime,
  };
}

/**
 * The inverse of `encodeServer`. Fields stand in the order in which the store's
 * entries are decoded, so that the router meets servers of one shape.
 */
function decodeServer(entry: ServerEntry, now: number): CatalogServer {
  const {id, service, address, port, failureDomain, slots} = entry;
  const {createdRevision, revision, startTime} = entry;
  return {
    id,
    service,
    address,
    port,
    failureDomain,
    slots,
    state: entry.draining ? ServerState.DRAINING : ServerState.READY,
    coldUntil: now + entry.coldMs,
    createdRevision,
    revision,
    startTime,
  };
}
