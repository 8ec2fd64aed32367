/**
 * The listed backend servers and evacuated failure domains of one daemon, with the open
 * servers per service, a digest for anti-entropy and the changes since a revision.
 * The cost of applying a change does not depend on the number of servers.
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
import {Tombstones} from './tombstones.js';

/** Hash seed, distinct from those of other uses of the hasher. */
const DIGEST_SEED = 23;

/** Server entries written or removed since a revision. */
export interface ServerChanges {
  readonly written: readonly CatalogServer[];
  /** Entries that cannot be read; undefined: none. */
  readonly unreadable?: readonly UnreadableEntry[];
  readonly removed: readonly RemovedServer[];
}

/**
 * The listed servers. For each id the table keeps the newest readable entry, the newest
 * unreadable entry and the newest removal with their revisions, so that updates commute.
 */
export class ServerTable {
  private readonly servers = new Map<string, CatalogServer>();
  /** Unreadable entries newer than any readable one, by server id. */
  private readonly unreadable = new Map<string, UnreadableEntry>();
  private readonly addressOwners = AddressOwners.create();
  /** Cached results of `openServers`, by service. */
  private readonly openByService = new Map<string, readonly CatalogServer[]>();
  private readonly evacuated = new Set<string>();
  private readonly tombstones = Tombstones.create();
  /** XOR of the hashes of all listed servers and evacuated domains, unsigned. */
  private combinedHash = 0;

  private constructor(private readonly hasher: Hasher) {}

  static create(hasher: Hasher): ServerTable {
    return new ServerTable(hasher);
  }

  /** Order-independent hash of the listed servers and evacuated domains. */
  get digest(): number {
    return this.combinedHash;
  }

  /** Returns all listed servers that have a readable entry, in order of arrival. */
  all(): CatalogServer[] {
    return [...this.servers.values()];
  }

  /** Returns the ids of all entries, readable or not. */
  ids(): string[] {
    return [...new Set([...this.servers.keys(), ...this.unreadable.keys()])];
  }

  /** Returns the newest readable entry of a listed server. */
  get(id: string): CatalogServer | undefined {
    return this.servers.get(id);
  }

  /** Returns all unreadable entries. */
  unreadableEntries(): UnreadableEntry[] {
    return [...this.unreadable.values()];
  }

  /** Whether the newest entry of an id cannot be read. */
  isUnreadable(id: string): boolean {
    return this.unreadable.has(id);
  }

  /** Whether a newer server has taken the address of a listed one. */
  isSuperseded(id: string): boolean {
    return this.addressOwners.isSuperseded(id);
  }

  /** Returns the servers superseded since the last call. */
  takeSuperseded(): CatalogServer[] {
    return this.addressOwners
      .takeSuperseded()
      .flatMap(id => this.servers.get(id) ?? []);
  }

  /** Whether a record shows a new server, state or incarnation, or is readable again. */
  isNewOrChanged(server: CatalogServer): boolean {
    const known = this.servers.get(server.id);
    return (
      known === undefined ||
      known.state !== server.state ||
      known.startTime !== server.startTime ||
      this.isUnreadable(server.id)
    );
  }

  /** Whether a readable entry is newer than the known one and any removal of its id. */
  isNewer({id, revision}: CatalogServer): boolean {
    const known = this.servers.get(id)?.revision ?? -Infinity;
    return revision > Math.max(known, this.tombstones.revisionOf(id));
  }

  /** Whether an unreadable entry is newer than any known entry or removal of its id. */
  isNewerUnreadable({id, revision}: UnreadableEntry): boolean {
    return (
      revision > Math.max(this.revisionOf(id), this.tombstones.revisionOf(id))
    );
  }

  /**
   * Stores a newer entry of a server. If its service is not declared, the entry may be
   * bogus and does not supersede other servers at its address.
   */
  put(server: CatalogServer, isDeclared: boolean): void {
    const known = this.servers.get(server.id);
    const unreadable = this.unreadable.get(server.id);
    this.updateWithDigest(server.id, () => {
      this.servers.set(server.id, server);
      if (unreadable !== undefined && unreadable.revision < server.revision) {
        this.unreadable.delete(server.id);
      }
    });
    this.updateAddressOwner(server, known, isDeclared);
    [server, known].forEach(each =>
      this.openByService.delete(each?.service ?? ''),
    );
  }

  /** Stores a newer unreadable entry; the server's last readable record is kept. */
  putUnreadable(entry: UnreadableEntry): void {
    this.updateWithDigest(entry.id, () => this.unreadable.set(entry.id, entry));
    this.openByService.delete(this.servers.get(entry.id)?.service ?? '');
  }

  /**
   * Removes a server id that is missing from the list at a revision. Returns false if the
   * known entry is newer or the id is unknown.
   */
  remove({id, revision}: RemovedServer): boolean {
    if (this.revisionOf(id) > revision) {
      return false;
    }
    const isKnown = this.servers.has(id) || this.unreadable.has(id);
    this.openByService.delete(this.servers.get(id)?.service ?? '');
    this.updateWithDigest(id, () => {
      this.servers.delete(id);
      this.unreadable.delete(id);
    });
    this.addressOwners.release(id);
    this.tombstones.recordRemoval({id, revision});
    return isKnown;
  }

  /** Returns the failure domains whose servers accept no new flows. */
  evacuatedDomains(): string[] {
    return [...this.evacuated];
  }

  isEvacuated({failureDomain}: CatalogServer): boolean {
    return this.evacuated.has(failureDomain);
  }

  /** Evacuates or restores a failure domain; returns whether that changed anything. */
  changeDomain({failureDomain, isEvacuated}: DomainChange): boolean {
    if (this.evacuated.has(failureDomain) === isEvacuated) {
      return false;
    }
    if (isEvacuated) {
      this.evacuated.add(failureDomain);
    } else {
      this.evacuated.delete(failureDomain);
    }
    this.toggleHash(`evacuated/${failureDomain}`);
    this.openByService.clear();
    return true;
  }

  /** Declares the change history complete from a revision on. */
  startHistoryAt(revision: number): void {
    this.tombstones.startHistoryAt(revision);
  }

  /** Returns the listed servers of a service that accept new flows. */
  openServers(service: string): readonly CatalogServer[] {
    const known = this.openByService.get(service);
    if (known !== undefined) {
      return known;
    }
    const open = this.all().filter(
      server =>
        server.service === service &&
        server.state === ServerState.READY &&
        !this.isUnreadable(server.id) &&
        !this.isEvacuated(server) &&
        !this.isSuperseded(server.id),
    );
    this.openByService.set(service, open);
    return open;
  }

  /** Returns the changes after a revision; undefined if the history is too short. */
  changesSince(revision: number): ServerChanges | undefined {
    const removed = this.tombstones.listAfter(revision);
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
   * Hash of the last readable records of servers with unreadable entries; 0 if there are
   * none. `digest` leaves these out, since daemons with equal lists may differ in them.
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

  private updateAddressOwner(
    server: CatalogServer,
    known: CatalogServer | undefined,
    isDeclared: boolean,
  ): void {
    if (isDeclared) {
      const ended = this.addressOwners.put(server, known);
      const service = this.servers.get(ended ?? '')?.service;
      this.openByService.delete(service ?? '');
    }
  }

  /** Returns the revision of the newest entry of an id, readable or not. */
  private revisionOf(id: string): number {
    return Math.max(
      this.servers.get(id)?.revision ?? -Infinity,
      this.unreadable.get(id)?.revision ?? -Infinity,
    );
  }

  /** Runs an update of an id's entries and adjusts the digest. */
  private updateWithDigest(id: string, update: () => void): void {
    this.toggleInDigest(id);
    update();
    this.toggleInDigest(id);
  }

  /** Adds an id's entry to the digest or removes it, since XOR is its own inverse. */
  private toggleInDigest(id: string): void {
    const server = this.servers.get(id);
    if (this.isUnreadable(id)) {
      this.toggleHash(`${id}/unreadable`);
    } else if (server !== undefined) {
      const {state, startTime} = server;
      this.toggleHash(
        startTime === 0 ? `${id}/${state}` : `${id}/${state}/${startTime}`,
      );
    }
  }

  private toggleHash(record: string): void {
    this.combinedHash = (this.combinedHash ^ this.hashOf(record)) >>> 0;
  }

  private hashOf(record: string): number {
    return this.hasher.hashText(record, DIGEST_SEED);
  }
}
