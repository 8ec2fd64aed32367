/**
 * The backend servers that one daemon knows, those that left the list not long ago
 * included: what becomes of each when its entry is written, cannot be read or goes.
 */
import type {Hasher} from '../ports/hasher.js';
import {CookieIndex} from './cookie-index.js';
import {Departures} from './departures.js';
import {
  changesOfDomains,
  changesTo,
  type ListingChange,
  type ServerNews,
} from './listing-change.js';
import type {
  CatalogServer,
  DomainChange,
  RemovedServer,
  ServerListing,
  UnreadableEntry,
} from './records.js';
import {ServerTable, type ServerChanges} from './server-table.js';

/** What known servers are made from. */
export interface KnownServersOptions {
  readonly hasher: Hasher;
  /** Time for which a flow may live, in milliseconds. */
  readonly flowLifetimeMs: number;
  /** Whether a version names a service; what is of another may be anybody's. */
  isNamed(service: string): boolean;
}

/** Servers by id, and the cookies that name them. */
export class KnownServers {
  /** The cookies of all of them, and where the flows of each go. */
  readonly cookies: CookieIndex;
  private readonly table: ServerTable;
  private readonly departures: Departures;
  /** Ids of listed servers whose services no version names. */
  private readonly ofUnnamedServices = new Set<string>();

  private constructor(private readonly options: KnownServersOptions) {
    this.table = ServerTable.create(options.hasher);
    this.departures = Departures.create(options.flowLifetimeMs);
    this.cookies = CookieIndex.create(options.hasher);
  }

  /** Creates an empty record. */
  static create(options: KnownServersOptions): KnownServers {
    return new KnownServers(options);
  }

  /** The same for equal lists, in whatever order they came. */
  get digest(): number {
    return this.table.digest;
  }

  /** Hash over the records of servers whose entries cannot be read; 0: none. */
  get unreadableDigest(): number {
    return this.table.unreadableDigest;
  }

  /** Whether a server that lives would surely be in the list by now. */
  get isSteady(): boolean {
    return this.departures.isSteady;
  }

  /** All listed servers. */
  listed(): CatalogServer[] {
    return this.table.all();
  }

  /** Servers that left the list not long ago. */
  departed(): CatalogServer[] {
    return this.departures.all();
  }

  /** Whether an entry of a server was read that is listed. */
  isListed(id: string): boolean {
    return this.table.get(id) !== undefined;
  }

  /** Entries that cannot be read. */
  unreadableEntries(): UnreadableEntry[] {
    return this.table.unreadableEntries();
  }

  /** A server that is listed, or left the list not long ago, as flows go to it. */
  serverById(id: string): CatalogServer | undefined {
    return this.cookies.serverOf(id);
  }

  /** Servers of a service that take new flows, lapsed ones that may live included. */
  openServers(service: string): readonly CatalogServer[] {
    const listed = this.table.openServers(service);
    const lapsed = this.departures
      .lapsed()
      .filter(
        server =>
          server.service === service &&
          !this.table.isEvacuated(server) &&
          !this.table.isAddressTaken(server),
      );
    return lapsed.length === 0 ? listed : [...listed, ...lapsed];
  }

  /** Failure domains whose servers take no new flows. */
  evacuatedDomains(): string[] {
    return this.table.evacuatedDomains();
  }

  /** Whether a server has ended for certain. */
  isGone(id: string): boolean {
    return this.table.hasEnded(id) || this.departures.isGone(id);
  }

  /** Servers whose end became certain since this was asked last. */
  takeEnded(): CatalogServer[] {
    const ended = [
      ...this.table.takeSucceeded(),
      ...this.departures.takeGone(),
    ];
    // One may be back by the very change that made its end seem certain.
    return ended.filter(({id}) => this.isGone(id));
  }

  /** Changes of the list after a revision, if they are still known. */
  changesSince(revision: number): ServerChanges | undefined {
    return this.table.changesSince(revision);
  }

  /** Notes that the list is complete as of a revision, and not before. */
  startAt(revision: number): void {
    this.table.startAt(revision);
  }

  /** What leads to a whole list. */
  changesTo(listing: ServerListing): ListingChange {
    return changesTo(listing, this.table.ids(), this.evacuatedDomains());
  }

  /** What leads the evacuated domains to a list of all of them. */
  changesOfDomainsTo(evacuated: readonly string[]): DomainChange[] {
    return changesOfDomains(this.evacuatedDomains(), evacuated);
  }

  /**
   * Takes what is later than what is held, and leaves the rest; an id may be written,
   * unreadable and removed. `at` is monotonic milliseconds.
   */
  take(changes: ServerChanges, at: number): ServerNews {
    const taken = changes.written.map(server => this.takeServer(server));
    const unreadable = (changes.unreadable ?? []).filter(entry =>
      this.takeUnreadable(entry),
    );
    const departed = changes.removed.flatMap(entry => this.depart(entry, at));
    return {
      changed: taken.flatMap(({changed}) => changed),
      restarted: taken.flatMap(({restarted}) => restarted),
      unreadable,
      departed,
    };
  }

  /** Takes records of servers whose entries cannot be read, where they are lacking. */
  takeRecords(servers: readonly CatalogServer[]): CatalogServer[] {
    return servers
      .filter(({id}) => this.table.isUnreadable(id))
      .flatMap(server => this.takeServer(server).restarted);
  }

  /** Takes a change of a failure domain; false if it is none. */
  changeDomain(domain: DomainChange): boolean {
    return this.table.changeDomain(domain);
  }

  /** A newer version may name services of servers that are listed. */
  noteServices(): void {
    [...this.ofUnnamedServices]
      .flatMap(id => this.table.get(id) ?? [])
      .filter(({service}) => this.options.isNamed(service))
      .forEach(server => this.settle(server));
  }

  /** Notes that the list was read at a time; servers long departed lose their cookies. */
  confirm(at: number): void {
    const forgotten = this.departures.confirm(at);
    forgotten.forEach(id => this.table.forgetLeft(id));
    forgotten
      .filter(id => !this.table.isUnreadable(id))
      .forEach(id => this.cookies.remove(id));
  }

  private takeServer(
    server: CatalogServer,
  ): Pick<ServerNews, 'changed' | 'restarted'> {
    if (!this.table.isLater(server)) {
      return {changed: [], restarted: []};
    }
    const former = this.serverById(server.id);
    const isNews = this.table.isNews(server);
    this.settle(server);
    const taken = this.serverById(server.id);
    const isRestart =
      former !== undefined && former.startTime !== taken?.startTime;
    return {
      changed: isNews && !this.table.isUnreadable(server.id) ? [server] : [],
      restarted: isRestart && taken !== undefined ? [taken] : [],
    };
  }

  /**
   * Holds a record. Flows go by it unless it may be anybody's, and another one is known;
   * such a record has ended nobody at its address either.
   */
  private settle(server: CatalogServer): void {
    const {id, service, address, port} = server;
    const isNamed = this.options.isNamed(service);
    const former = this.serverById(id);
    const hasCome =
      former?.address !== address ||
      former.port !== port ||
      former.startTime !== server.startTime;
    this.departures.remove(id);
    this.table.put(server, isNamed, this.isSteady);
    if (isNamed) {
      this.ofUnnamedServices.delete(id);
    } else {
      this.ofUnnamedServices.add(id);
    }
    if (isNamed && hasCome && this.isSteady) {
      this.departures.supersede(address, port);
    }
    if (isNamed || former === undefined) {
      this.cookies.put(server);
    }
  }

  /** A server that may live although its entry went is listed again as it was. */
  private takeUnreadable(entry: UnreadableEntry): boolean {
    const {id, revision} = entry;
    if (!this.table.isLaterUnreadable(entry)) {
      return false;
    }
    const departed = this.departures.serverById(id);
    if (departed !== undefined && !this.departures.isGone(id)) {
      this.settle({...departed, revision});
    }
    this.table.putUnreadable(entry);
    this.cookies.addId(id);
    return true;
  }

  /** Removes a listed server, unless what is held of it is later than the removal. */
  private depart(entry: RemovedServer, at: number): CatalogServer[] {
    const {id} = entry;
    const isListed = this.isListed(id);
    const hadEnded = this.table.hasEnded(id);
    const wasSucceeded = this.table.isSucceeded(id);
    const isRemoved = this.table.remove(entry);
    if (!isRemoved) {
      return [];
    }
    this.ofUnnamedServices.delete(id);
    const server = this.serverById(id);
    if (server === undefined || !isListed) {
      this.departures.addId(id, at);
      return [];
    }
    this.departures.add(server, at);
    const hasGone = wasSucceeded && !this.departures.mayHaveLapsed(id);
    if (hadEnded || hasGone) {
      this.departures.supersede(server.address, server.port);
    }
    return [server];
  }
}
