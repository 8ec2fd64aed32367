/** What one list of servers says otherwise than another. */
import type {
  CatalogServer,
  DomainChange,
  ServerListing,
  UnreadableEntry,
} from './records.js';
import type {ServerChanges} from './server-table.js';

/** What a list says otherwise than what is known. */
export interface ListingChange extends ServerChanges {
  /** Changes of domains, the newest of each last. */
  readonly domains: readonly DomainChange[];
}

/** Servers whose state in the eyes of a daemon a change altered. */
export interface AffectedServers {
  /** Servers that are new, in another state or life, or can be read again. */
  readonly changed: readonly CatalogServer[];
  /** Servers that started again under their id, as they are now. */
  readonly restarted: readonly CatalogServer[];
  /** Entries that cannot be read from now on, or were written so again. */
  readonly unreadable: readonly UnreadableEntry[];
  /** Servers that left the list. */
  readonly departed: readonly CatalogServer[];
}

/** What leads to a list from the ids and the evacuated domains that are held. */
export function changesTo(
  {servers, unreadable = [], evacuated, revision}: ServerListing,
  heldIds: readonly string[],
  heldDomains: readonly string[],
): ListingChange {
  const present = new Set([...servers, ...unreadable].map(({id}) => id));
  return {
    written: servers,
    unreadable,
    removed: heldIds.filter(id => !present.has(id)).map(id => ({id, revision})),
    domains: changesOfDomains(heldDomains, evacuated),
  };
}

/** What leads from some evacuated domains to others. */
export function changesOfDomains(
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
