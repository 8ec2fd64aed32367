/** Fields and lines that several tasks of a daemon log alike. */
import type {Catalog, CatalogChange} from '../catalog/catalog.js';
import type {Clock} from '../ports/clock.js';
import type {CallerPosition} from '../ports/cookie-fabric.js';
import type {Log, LogFields} from '../ports/log.js';
import {formatIpv4} from '../routing/ipv4.js';

const MICROSECONDS_A_MILLISECOND = 1_000;

/** Versions and ages of what decisions are made from; `now` is monotonic milliseconds. */
export function versionsOf(catalog: Catalog, now: number): LogFields {
  const {stamp} = catalog;
  return {
    routeVersion: stamp.routeVersion,
    routesAgeMs: Math.round(now - stamp.routesConfirmedAt),
    serverRevision: stamp.serverRevision,
    serversAgeMs: Math.round(now - stamp.serversConfirmedAt),
  };
}

/** The flow of a packet, as it is logged. */
export function flowOf(packet: CallerPosition): LogFields {
  const source = `${formatIpv4(packet.sourceAddress)}:${packet.sourcePort}`;
  const destination = `${formatIpv4(packet.destinationAddress)}:${packet.destinationPort}`;
  return {source, destination};
}

/** Processor time and time since the process started; both in milliseconds. */
export function sinceStart(clock: Clock): LogFields {
  const {user, system} = process.cpuUsage();
  return {
    processorMs: Math.round((user + system) / MICROSECONDS_A_MILLISECOND),
    sinceStartMs: Math.round(clock.now()),
  };
}

/** One line for each part of a change of the catalog, with the versions it led to. */
export function logChange(
  log: Log,
  change: CatalogChange,
  versions: LogFields,
): void {
  if (change.routeVersion !== undefined) {
    log.warn('routes-taken', versions);
  }
  if (change.isFirstListing) {
    // One line in place of one a server: all daemons may start at once.
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
      cause: cause === '' ? 'a peer says so' : cause,
    }),
  );
  change.departed.forEach(({id, service}) =>
    log.info('server-departed', {server: id, service}),
  );
  change.domains.forEach(({failureDomain, isEvacuated}) =>
    log.warn(isEvacuated ? 'domain-evacuated' : 'domain-restored', {
      failureDomain,
      ...versions,
    }),
  );
}
