/** Differences between lists of servers and evacuated domains. */
import type {
  CatalogServer,
  DomainChange,
  ServerListing,
  UnreadableEntry,
} from './records.js';
import type {ServerChanges} from './server-table.js';

/** Changes that lead from the current servers and domains to a newer list. */
export interface ListingChange extends ServerChanges {
  /** Domain changes; of several for one domain, the newest comes last. */
  readonly domains: readonly DomainChange[];
}

/** Servers whose status at a daemon was altered by a change. */
export interface AffectedServers {
  /** Servers that are new, have another state or incarnation, or are readable again. */
  readonly changed: readonly CatalogServer[];
  /** Servers that restarted under the same id, with their new records. */
  readonly restarted: readonly CatalogServer[];
  /** Entries newly written that cannot be read. */
  readonly unreadable: readonly UnreadableEntry[];
  /** Servers that left the list. */
  readonly departed: readonly CatalogServer[];
}

/** Returns the changes from the known ids and evacuated domains to a list. */
export function diffListing(
  {servers, unreadable = [], evacuated, revision}: ServerListing,
  knownIds: readonly string[],
  knownDomains: readonly string[],
): ListingChange {
  const listedIds = new Set([...servers, ...unreadable].map(({id}) => id));
  return {
    written: servers,
    unreadable,
    removed: knownIds
      .filter(id => !listedIds.has(id))
      .map(id => ({id, revision})),
    domains: diffDomains(knownDomains, evacuated),
  };
}

/** Returns the changes from some evacuated domains to others. */
export function diffDomains(
  from: readonly string[],
  to: readonly string[],
): DomainChange[] {
  const listed = new Set(to);
  const restored = from.filter(name => !listed.has(name));
  return [
    ...to.map(name => ({failureDomain: name, isEvacuated: true})),
    ...restored.map(name => ({failureDomain: name, isEvacuated: false})),
  ];
}
