/** Converts catalog records to the messages that daemons exchange, and back. */
import {Result, err, ok} from 'neverthrow';
import {
  CatalogUpdate,
  ReadState,
  StoredSnapshot,
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

/** Format of the snapshots that this build writes and reads. */
const SNAPSHOT_FORMAT = 0;
/** Longer durations are sent as one hour. */
const MAX_DURATION_MS = 3_600_000;

/** Encodes the time since `at`, in milliseconds. */
export function encodeAge(at: number, now: number): number {
  return encodeDuration(at, now);
}

/** Encodes the time between two times, in milliseconds; 0 if the second is earlier. */
function encodeDuration(from: number, to: number): number {
  return Math.round(Math.min(MAX_DURATION_MS, Math.max(0, to - from)));
}

/** Encodes a reader status, with its time as an age. */
export function encodeReaderStatus(
  status: ReaderStatus,
  now: number,
): ReadMarkMessage {
  const {reader, failureDomain, capacity, state, at} = status;
  return {reader, failureDomain, capacity, state, ageMs: encodeAge(at, now)};
}

/**
 * Whether a state is one of this build's: the decoder passes on any number, and a later
 * build may send others.
 */
export function isKnownReadState(state: number): boolean {
  return (Object.values(ReadState) as number[]).includes(state);
}

/** The inverse of `encodeReaderStatus`. */
export function decodeReaderStatus(
  message: ReadMarkMessage,
  now: number,
): ReaderStatus {
  const {reader, failureDomain, capacity, state, ageMs} = message;
  return {reader, failureDomain, capacity, state, at: now - ageMs};
}

/** The versions held by an unnamed daemon without a catalog. */
const NO_VERSIONS: HeldVersions = {
  asker: 0,
  routeVersion: 0,
  serverRevision: 0,
  serverDigest: 0,
};

/** Builds the update that brings a daemon with the held versions up to date. */
export function createUpdate(
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
        ? encodeRouteList(catalog, held, now)
        : undefined,
    servers: lacksServers
      ? encodeServerList(catalog, held.serverRevision, now)
      : undefined,
    other: 0,
    waitMs: 0,
    sent: undefined,
  };
}

/** Applies an update that a peer sent at a time, which the ages in it refer to. */
export function applyUpdate(
  catalog: Catalog,
  update: CatalogUpdate,
  sentAt: number,
): void {
  if (update.routes !== undefined) {
    applyRouteList(catalog, update.routes, sentAt);
  }
  if (update.servers !== undefined) {
    applyServerList(catalog, update.servers, sentAt);
  }
}

/** Encodes a whole catalog for daemons that start. */
export function encodeSnapshot(catalog: Catalog, now: number): Uint8Array {
  const {routes, servers} = createUpdate(catalog, NO_VERSIONS, now);
  const format = SNAPSHOT_FORMAT;
  return StoredSnapshot.encode({routes, servers, format}).finish();
}

/** The inverse of `encodeSnapshot`; the error is the cause as text. */
export function decodeSnapshot(
  bytes: Uint8Array,
  now: number,
): Result<CatalogReading, string> {
  return Result.fromThrowable(
    () => StoredSnapshot.decode(bytes),
    String,
  )().andThen(snapshot => readSnapshot(snapshot, now));
}

function readSnapshot(
  {routes, servers, format}: StoredSnapshot,
  now: number,
): Result<CatalogReading, string> {
  if (format !== SNAPSHOT_FORMAT) {
    return err(
      `snapshot of format ${format}; this build reads ${SNAPSHOT_FORMAT}`,
    );
  }
  return routes === undefined || servers?.whole !== true
    ? err('snapshot lacks routes or a complete server list')
    : ok({
        routes: decodeRouteList(routes),
        servers: decodeServerList(servers, now),
      });
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
    catalog.applyServers(listing, confirmedAt);
  } else {
    const {servers: written, unreadable} = listing;
    const changes = {written, unreadable, removed};
    catalog.applyServerChanges(changes, {revision, evacuated}, confirmedAt);
  }
}

function applyRouteList(catalog: Catalog, list: RouteList, now: number): void {
  const {baseVersion, removed} = list;
  const {routes, ...version} = decodeRouteList(list);
  const confirmedAt = now - list.ageMs;
  if (baseVersion === 0) {
    catalog.applyRoutes({...version, routes}, confirmedAt);
  } else {
    const changes = {written: routes, removed};
    catalog.applyRouteUpdate({...version, baseVersion, changes}, confirmedAt);
  }
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
  // A configuration names at least one service: an empty list means unknown.
  const services = list.services.length === 0 ? undefined : list.services;
  return {version, routes, coldServices, services};
}

/** Encodes the changes since the held version if they are known and taken, else all routes. */
function encodeRouteList(
  catalog: Catalog,
  held: HeldVersions,
  now: number,
): RouteList {
  const {routeVersion, routesConfirmedAt} = catalog.stamp;
  const changes =
    held.takesRouteChanges === true
      ? catalog.routeChangesSince(held.routeVersion)
      : undefined;
  const routes = changes?.written ?? catalog.allRoutes();
  return {
    version: routeVersion,
    ageMs: encodeAge(routesConfirmedAt, now),
    routes: routes.map(encodeRoute),
    coldServices: [...catalog.coldServices()],
    services: [...(catalog.serviceNames() ?? [])],
    baseVersion: changes === undefined ? 0 : held.routeVersion,
    removed: [...(changes?.removed ?? [])],
  };
}

function encodeRoute(route: CatalogRoute): RouteEntry {
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

/** Encodes a duration that may be Infinity, which is sent as 0. */
function encodeOptionalDuration(durationMs: number): number {
  return durationMs === Infinity ? 0 : Math.round(durationMs);
}

function decodeOptionalDuration(durationMs: number): number {
  return durationMs === 0 ? Infinity : durationMs;
}

/** Encodes the changes since a revision, or the whole list if they are not known. */
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

/** Encodes a server, with the end of its cold phase as the time remaining. */
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
 * The inverse of `encodeServer`. Fields are in the order in which the store's entries
 * are decoded, so that all servers share one hidden class in the router.
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
