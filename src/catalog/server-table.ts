/**
 * The listed backend servers of one daemon and the evacuated failure domains, with
 * what is worked out from them: who takes new flows, a digest, and what changed since
 * a revision. Each change costs the same however many servers there are.
 */
import type {Hasher} from '../ports/hasher.js';
import {AddressOwners} from './address-owners.js';
import {
  ServerState,
  type CatalogServer,
  type DomainChange,
  type RemovedServer,
  type UnreadableEntry,
} from './records.js';
import {Removals} from './removals.js';

/** Sets the digest's hashes apart from those of other uses. */
const DIGEST_SEED = 23;

/** Servers that changed since a revision. */
export interface ServerChanges {
  readonly written: readonly CatalogServer[];
  /** Entries that cannot be read; undefined: none. */
  readonly unreadable?: readonly UnreadableEntry[];
  readonly removed: readonly RemovedServer[];
}

/**
 * The listed servers. Of each id the newest entry that can be read, the newest that
 * cannot, and the newest removal are held, each by its revision; so the order in which
 * they come does not matter.
 */
export class ServerTable {
  private readonly servers = new Map<string, CatalogServer>();
  /** Newest entries that cannot be read, where none that can be came later. */
  private readonly unreadable = new Map<string, UnreadableEntry>();
  private readonly addresses = AddressOwners.create();
  /** Listed servers that take new flows, for the services that were asked for. */
  private readonly open = new Map<string, readonly CatalogServer[]>();
  private readonly evacuated = new Set<string>();
  private readonly removals = Removals.create();
  /**
   * Exclusive or over the hashes of all listed servers and evacuated domains, as an
   * unsigned number.
   */
  private combinedHash = 0;

  private constructor(private readonly hasher: Hasher) {}

  /** Creates an empty table. */
  static create(hasher: Hasher): ServerTable {
    return new ServerTable(hasher);
  }

  /** The same for equal sets of servers and domains, in whatever order they came. */
  get digest(): number {
    return this.combinedHash;
  }

  /** All listed servers of which an entry was read, in the order of their coming. */
  all(): CatalogServer[] {
    return [...this.servers.values()];
  }

  /** Ids of all entries, whether they can be read or not. */
  ids(): string[] {
    return [...new Set([...this.servers.keys(), ...this.unreadable.keys()])];
  }

  /** A listed server, by its newest entry that can be read. */
  get(id: string): CatalogServer | undefined {
    return this.servers.get(id);
  }

  /** Newest entries that cannot be read. */
  unreadableEntries(): UnreadableEntry[] {
    return [...this.unreadable.values()];
  }

  /** Whether the newest entry of an id cannot be read. */
  isUnreadable(id: string): boolean {
    return this.unreadable.has(id);
  }

  /** Whether a later server has the address of a listed one for certain. */
  hasEnded(id: string): boolean {
    return this.addresses.hasEnded(id);
  }

  /** Whether a later server seems to have the address of a listed one. */
  isSucceeded(id: string): boolean {
    return this.addresses.isSucceeded(id);
  }

  /** Whether a listed server has the address of one that is not listed. */
  isAddressTaken(server: CatalogServer): boolean {
    return this.addresses.isTaken(server);
  }

  /** Servers that have ended so since this was asked last. */
  takeSucceeded(): CatalogServer[] {
    return this.addresses
      .takeSucceeded()
      .flatMap(id => this.servers.get(id) ?? []);
  }

  /** Whether a record is of a server that is new, in another state or another life. */
  isNews(server: CatalogServer): boolean {
    const known = this.servers.get(server.id);
    return (
      known === undefined ||
      known.state !== server.state ||
      known.startTime !== server.startTime ||
      this.isUnreadable(server.id)
    );
  }

  /** Whether an entry that can be read is later than what is held of its id. */
  isLater({id, revision}: CatalogServer): boolean {
    const known = this.servers.get(id)?.revision ?? -Infinity;
    return revision > Math.max(known, this.removals.revisionOf(id));
  }

  /** Whether an entry that cannot be read is later than what is held of its id. */
  isLaterUnreadable({id, revision}: UnreadableEntry): boolean {
    return (
      revision > Math.max(this.revisionOf(id), this.removals.revisionOf(id))
    );
  }

  /**
   * Takes a later entry of a server. One that may be anybody's (`isNamed` is false: no
   * version names its service) has ended nobody at its address; nor has any, for certain,
   * while entries of late may not all be known (`isCertain` is false).
   */
  put(server: CatalogServer, isNamed: boolean, isCertain: boolean): void {
    const known = this.servers.get(server.id);
    const unreadable = this.unreadable.get(server.id);
    this.change(server.id, () => {
      this.servers.set(server.id, server);
      if (unreadable !== undefined && unreadable.revision < server.revision) {
        this.unreadable.delete(server.id);
      }
    });
    if (isNamed) {
      this.noteAddress(server, isCertain);
    }
    [server, known].forEach(each => this.open.delete(each?.service ?? ''));
  }

  /** Forgets a server that left the list long ago. */
  forgetLeft(id: string): void {
    this.addresses.forgetLeft(id);
  }

  /** Takes a later entry that cannot be read: the server is held as it was. */
  putUnreadable(entry: UnreadableEntry): void {
    this.change(entry.id, () => this.unreadable.set(entry.id, entry));
    this.open.delete(this.servers.get(entry.id)?.service ?? '');
  }

  /**
   * Removes an id that the list of a revision does not hold, unless what is held is
   * later; false then, and if nothing is.
   */
  remove({id, revision}: RemovedServer): boolean {
    if (this.revisionOf(id) > revision) {
      return false;
    }
    const isKnown = this.servers.has(id) || this.unreadable.has(id);
    this.change(id, () => {
      this.servers.delete(id);
      this.unreadable.delete(id);
    });
    this.addresses.remove(id);
    // Another one that seemed to be succeeded may take new flows again.
    this.open.clear();
    this.removals.note({id, revision});
    return isKnown;
  }

  /** The failure domains whose servers take no new flows. */
  evacuatedDomains(): string[] {
    return [...this.evacuated];
  }

  /** Whether a server's failure domain is evacuated. */
  isEvacuated({failureDomain}: CatalogServer): boolean {
    return this.evacuated.has(failureDomain);
  }

  /** Takes a change of a failure domain; false if it is none. */
  changeDomain({failureDomain, isEvacuated}: DomainChange): boolean {
    if (this.evacuated.has(failureDomain) === isEvacuated) {
      return false;
    }
    if (isEvacuated) {
      this.evacuated.add(failureDomain);
    } else {
      this.evacuated.delete(failureDomain);
    }
    this.toggle(`evacuated/${failureDomain}`);
    this.open.clear();
    return true;
  }

  /** Notes that the table is complete as of a revision, and not before. */
  startAt(revision: number): void {
    this.removals.startAt(revision);
  }

  /** Listed servers of a service that take new flows. */
  openServers(service: string): readonly CatalogServer[] {
    const known = this.open.get(service);
    if (known !== undefined) {
      return known;
    }
    const open = this.all().filter(
      server =>
        server.service === service &&
        server.state === ServerState.READY &&
        !this.isUnreadable(server.id) &&
        !this.isEvacuated(server) &&
        !this.isSucceeded(server.id),
    );
    this.open.set(service, open);
    return open;
  }

  /** Changes after a revision; undefined when only the whole list tells them. */
  changesSince(revision: number): ServerChanges | undefined {
    const removed = this.removals.after(revision);
    return removed === undefined
      ? undefined
      : {
          written: this.all().filter(({id}) => this.revisionOf(id) > revision),
          unreadable: this.unreadableEntries().filter(
            entry => entry.revision > revision,
          ),
          removed,
        };
  }

  /**
   * Hash over the records held of servers whose entries cannot be read; 0 if there is
   * none. Daemons with the same entries may hold other records of them.
   */
  get unreadableDigest(): number {
    return (
      [...this.unreadable.keys()].reduce((combined, id) => {
        const server = this.servers.get(id);
        const record = `${id}/${server?.startTime}/${server?.revision}`;
        return server === undefined ? combined : combined ^ this.hashOf(record);
      }, 0) >>> 0
    );
  }

  /** Of two servers at one address, the one that came earlier has ended. */
  private noteAddress(server: CatalogServer, isCertain: boolean): void {
    const earlier = this.addresses.put(server, isCertain);
    const service = this.servers.get(earlier ?? '')?.service;
    this.open.delete(service ?? '');
  }

  /** Revision of the newest entry of an id, whether it can be read or not. */
  private revisionOf(id: string): number {
    return Math.max(
      this.servers.get(id)?.revision ?? -Infinity,
      this.unreadable.get(id)?.revision ?? -Infinity,
    );
  }

  /** Changes what is held of an id, and the digest with it. */
  private change(id: string, change: () => void): void {
    this.toggleInDigest(id);
    change();
    this.toggleInDigest(id);
  }

  /** Adds an id's entry to the digest, or takes it out again. */
  private toggleInDigest(id: string): void {
    const server = this.servers.get(id);
    if (this.isUnreadable(id)) {
      this.toggle(`${id}/unreadable`);
    } else if (server !== undefined) {
      const {state, startTime} = server;
      this.toggle(
        startTime === 0 ? `${id}/${state}` : `${id}/${state}/${startTime}`,
      );
    }
  }

  private toggle(record: string): void {
    this.combinedHash = (this.combinedHash ^ this.hashOf(record)) >>> 0;
  }

  private hashOf(record: string): number {
    return this.hasher.hashText(record, DIGEST_SEED);
  }
}
