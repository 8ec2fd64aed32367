/** Log fields and lines shared by the modules of the daemon. */
import type {Catalog, CatalogChange} from '../catalog/catalog.js';
import type {Clock} from '../ports/clock.js';
import type {CallerPosition} from '../ports/cookie-fabric.js';
import type {Log, LogFields} from '../ports/log.js';
import {formatIpv4} from '../routing/ipv4.js';
import type {Leave} from './graceful-shutdown.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/**
 * Versions of the routes and servers, and milliseconds since each was confirmed; `now`
 * is monotonic milliseconds.
 */
export function catalogVersionFields(catalog: Catalog, now: number): LogFields {
  const {stamp} = catalog;
  return {
    routeVersion: stamp.routeVersion,
    routesAgeMs: Math.round(now - stamp.routesConfirmedAt),
    serverRevision: stamp.serverRevision,
    serversAgeMs: Math.round(now - stamp.serversConfirmedAt),
  };
}

/** Source and destination of a packet as "ip:port". */
export function flowFields(packet: CallerPosition): LogFields {
  const source = `${formatIpv4(packet.sourceAddress)}:${packet.sourcePort}`;
  const destination = `${formatIpv4(packet.destinationAddress)}:${packet.destinationPort}`;
  return {source, destination};
}

/** Processor time and uptime of this process in milliseconds. */
export function processTimeFields(clock: Clock): LogFields {
  const {user, system} = process.cpuUsage();
  return {
    processorMs: Math.round((user + system) / MICROSECONDS_PER_MILLISECOND),
    sinceStartMs: Math.round(clock.now()),
  };
}

/** Why a daemon that is stopping leaves now, and the peers that it knows of. */
export function leaveFields(leave: Leave): LogFields {
  return {
    reason: leave.reason,
    readyPeers: leave.ready,
    leavingPeers: leave.leaving,
    missingPeers: leave.missing,
    readyElsewhere: leave.readyElsewhere,
  };
}

/** Logs one line per changed item of the catalog; `versions` are those after it. */
export function logCatalogChange(
  log: Log,
  catalog: Catalog,
  change: CatalogChange,
  versions: LogFields,
): void {
  if (change.routeVersion !== undefined) {
    log.warn('routes-taken', versions);
  }
  if (change.isFirstListing) {
    // A single line limits the log volume when all daemons start at once.
    log.info('servers-taken', {servers: change.changed.length, ...versions});
  } else {
    change.changed.forEach(({id, service, state}) =>
      log.info('server-state', {server: id, service, state}),
    );
  }
  change.unreadable.forEach(({id, revision, cause}) =>
    log.info('server-entry-unreadable', {
      server: id,
      revision,
      cause: cause === '' ? 'reported by a peer' : cause,
    }),
  );
  change.departed.forEach(({id, service, state}) =>
    log.info('server-departed', {
      server: id,
      service,
      state,
      mayHaveExpired: catalog.mayHaveExpired(id),
    }),
  );
  change.domains.forEach(({failureDomain, isEvacuated}) =>
    log.warn(isEvacuated ? 'domain-evacuated' : 'domain-restored', {
      failureDomain,
      ...versions,
    }),
  );
}
