/**
 * The listed and recently departed backend servers of one daemon. Applies written,
 * unreadable and removed entries to the server table, the departed servers and the
 * cookie index.
 */
import type {Hasher} from '../ports/hasher.js';
import {CookieIndex} from './cookie-index.js';
import {DepartedServers} from './departed-servers.js';
import {
  diffDomains,
  diffListing,
  type ListingChange,
  type AffectedServers,
} from './listing-change.js';
import type {
  CatalogServer,
  DomainChange,
  RemovedServer,
  ServerListing,
  UnreadableEntry,
} from './records.js';
import {ServerTable, type ServerChanges} from './server-table.js';

/** Options of the known servers. */
export interface KnownServersOptions {
  readonly hasher: Hasher;
  /** Maximum lifetime of a flow. */
  readonly flowLifetimeMs: number;
  /** Whether a known route version declares a service; other entries are not trusted. */
  isDeclared(service: string): boolean;
}

/** Known servers by id, and the cookies that name them. */
export class KnownServers {
  /** Cookies of all known servers, and the record by which each one's flows are routed. */
  readonly cookies: CookieIndex;
  private readonly table: ServerTable;
  private readonly departedServers: DepartedServers;
  /** Ids of listed servers whose service no known route version declares. */
  private readonly idsOfUndeclaredServices = new Set<string>();

  private constructor(private readonly options: KnownServersOptions) {
    this.table = ServerTable.create(options.hasher);
    this.departedServers = DepartedServers.create(options.flowLifetimeMs);
    this.cookies = CookieIndex.create(options.hasher);
  }

  static create(options: KnownServersOptions): KnownServers {
    return new KnownServers(options);
  }

  /** Order-independent hash of the listed servers and evacuated domains. */
  get digest(): number {
    return this.table.digest;
  }

  /** Hash of the last readable records of servers with unreadable entries; 0: none. */
  get unreadableDigest(): number {
    return this.table.unreadableDigest;
  }

  /** Whether a server that is missing from the list is certain to have ended. */
  get isAuthoritative(): boolean {
    return this.departedServers.isAuthoritative;
  }

  /** Returns all listed servers that have a readable entry. */
  listed(): CatalogServer[] {
    return this.table.all();
  }

  /** Returns the servers that left the list within a flow lifetime. */
  departed(): CatalogServer[] {
    return this.departedServers.all();
  }

  /** Whether a server is listed and has had a readable entry. */
  isListed(id: string): boolean {
    return this.table.get(id) !== undefined;
  }

  /** Returns the listed entries that cannot be read. */
  unreadableEntries(): UnreadableEntry[] {
    return this.table.unreadableEntries();
  }

  /** Returns the record by which a listed or departed server's flows are routed. */
  serverById(id: string): CatalogServer | undefined {
    return this.cookies.serverById(id);
  }

  /**
   * Returns the servers of a service that accept new flows at `now`, in monotonic
   * milliseconds. Those whose entries may have expired in a store outage are included
   * while they outnumber the listed ones: while few are missing, they may as well have
   * left, and the others suffice until those that are alive register again.
   */
  openServers(service: string, now: number): readonly CatalogServer[] {
    const listed = this.table.openServers(service);
    const expired = this.departedServers
      .listExpired(now)
      .filter(
        server => server.service === service && !this.table.isEvacuated(server),
      );
    return expired.length > listed.length ? [...listed, ...expired] : listed;
  }

  /** Whether a departed server's entry may have expired in a store outage. */
  mayHaveExpired(id: string): boolean {
    return this.departedServers.mayHaveExpired(id);
  }

  /** Returns the failure domains whose servers accept no new flows. */
  evacuatedDomains(): string[] {
    return this.table.evacuatedDomains();
  }

  /** Whether a server is known to have ended. */
  hasEnded(id: string): boolean {
    return this.table.isSuperseded(id) || this.departedServers.hasEnded(id);
  }

  /** Returns the servers that became known to have ended since the last call. */
  takeEnded(): CatalogServer[] {
    const ended = [
      ...this.table.takeSuperseded(),
      ...this.departedServers.takeEnded(),
    ];
    // A server may be listed again by the same change that ended its grace period.
    return ended.filter(({id}) => this.hasEnded(id));
  }

  /** Returns the changes after a revision; undefined if the history is too short. */
  changesSince(revision: number): ServerChanges | undefined {
    return this.table.changesSince(revision);
  }

  /** Declares the change history complete from a revision on. */
  startHistoryAt(revision: number): void {
    this.table.startHistoryAt(revision);
  }

  /** Returns the changes that lead from the current state to a whole list. */
  diffListing(listing: ServerListing): ListingChange {
    return diffListing(listing, this.table.ids(), this.evacuatedDomains());
  }

  /** Returns the changes that lead from the current evacuated domains to those given. */
  diffDomains(evacuated: readonly string[]): DomainChange[] {
    return diffDomains(this.evacuatedDomains(), evacuated);
  }

  /**
   * Applies the changes that are newer than the known entries and skips the others. An id
   * may occur as written, unreadable and removed. `at` is in monotonic milliseconds.
   */
  apply(changes: ServerChanges, at: number): AffectedServers {
    const applied = changes.written.map(server => this.applyServer(server));
    const unreadable = (changes.unreadable ?? []).filter(entry =>
      this.applyUnreadable(entry),
    );
    const departed = changes.removed.flatMap(entry =>
      this.applyRemoval(entry, at),
    );
    return {
      changed: applied.flatMap(({changed}) => changed),
      restarted: applied.flatMap(({restarted}) => restarted),
      unreadable,
      departed,
    };
  }

  /**
   * Applies records of servers whose newest entries cannot be read. Returns the servers
   * that turn out to have restarted.
   */
  applyMissingRecords(servers: readonly CatalogServer[]): CatalogServer[] {
    return servers
      .filter(({id}) => this.table.isUnreadable(id))
      .flatMap(server => this.applyServer(server).restarted);
  }

  /** Evacuates or restores a failure domain; returns whether that changed anything. */
  changeDomain(domain: DomainChange): boolean {
    return this.table.changeDomain(domain);
  }

  /** Stores servers again whose service a newer route version declares. */
  applyDeclaredServices(): void {
    [...this.idsOfUndeclaredServices]
      .flatMap(id => this.table.get(id) ?? [])
      .filter(({service}) => this.options.isDeclared(service))
      .forEach(server => this.storeRecord(server));
  }

  /** Records that a daemon failed to read the list at a time. */
  recordReadFailure(at: number): void {
    this.departedServers.recordReadFailure(at);
  }

  /** Records that the list was read at a time; drops cookies of servers long departed. */
  confirm(at: number): void {
    this.departedServers
      .confirm(at)
      .filter(id => !this.table.isUnreadable(id))
      .forEach(id => this.cookies.remove(id));
  }

  private applyServer(
    server: CatalogServer,
  ): Pick<AffectedServers, 'changed' | 'restarted'> {
    if (!this.table.isNewer(server)) {
      return {changed: [], restarted: []};
    }
    const former = this.serverById(server.id);
    const isNewOrChanged = this.table.isNewOrChanged(server);
    this.storeRecord(server);
    const current = this.serverById(server.id);
    const isRestart =
      former !== undefined && former.startTime !== current?.startTime;
    return {
      changed:
        isNewOrChanged && !this.table.isUnreadable(server.id) ? [server] : [],
      restarted: isRestart && current !== undefined ? [current] : [],
    };
  }

  /**
   * Stores a record as that of a listed server. A record of an undeclared service neither
   * supersedes servers at its address nor redirects the flows of a known server.
   */
  private storeRecord(server: CatalogServer): void {
    const {id, service, address, port} = server;
    const isDeclared = this.options.isDeclared(service);
    const former = this.serverById(id);
    const isNewAtAddress =
      !this.isListed(id) ||
      former?.address !== address ||
      former.port !== port ||
      former.startTime !== server.startTime;
    this.departedServers.remove(id);
    this.table.put(server, isDeclared);
    if (isDeclared) {
      this.idsOfUndeclaredServices.delete(id);
    } else {
      this.idsOfUndeclaredServices.add(id);
    }
    if (isDeclared && isNewAtAddress) {
      this.departedServers.supersedeAt(address, port);
    }
    if (isDeclared || former === undefined) {
      this.cookies.put(server);
    }
  }

  /** Applies an unreadable entry; a departed server that may be alive is listed again. */
  private applyUnreadable(entry: UnreadableEntry): boolean {
    const {id, revision} = entry;
    if (!this.table.isNewerUnreadable(entry)) {
      return false;
    }
    const departed = this.departedServers.serverById(id);
    if (departed !== undefined && !this.departedServers.hasEnded(id)) {
      this.storeRecord({...departed, revision});
    }
    this.table.putUnreadable(entry);
    this.cookies.addWithoutRecord(id);
    return true;
  }

  /** Applies a removal; returns the listed server that departed by it, if any. */
  private applyRemoval(entry: RemovedServer, at: number): CatalogServer[] {
    const {id} = entry;
    const isListed = this.isListed(id);
    const wasSuperseded = this.table.isSuperseded(id);
    const isRemoved = this.table.remove(entry);
    if (!isRemoved) {
      return [];
    }
    this.idsOfUndeclaredServices.delete(id);
    const server = this.serverById(id);
    if (server === undefined || !isListed) {
      this.departedServers.addWithoutRecord(id, at);
      return [];
    }
    this.departedServers.add(server, at);
    if (wasSuperseded) {
      this.departedServers.supersedeAt(server.address, server.port);
    }
    return [server];
  }
}
