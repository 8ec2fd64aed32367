/**
 * The listed backend servers of one daemon and the evacuated failure domains, with
 * what is worked out from them: who takes new flows, a digest, and what changed since
 * a revision. Each change costs the same however many servers there are.
 */
import type {Hasher} from '../ports/hasher.js';
import {destinationKey} from '../routing/flow-key.js';
import {
  ServerState,
  type CatalogServer,
  type DomainChange,
  type RemovedServer,
} from './records.js';

/** Sets the digest's hashes apart from those of other uses. */
const DIGEST_SEED = 23;
/** Removals remembered for peers that pull; older ones cost them the whole list. */
const MAXIMUM_REMOVALS = 2_000;

/** Servers that changed since a revision. */
export interface ServerChanges {
  readonly written: readonly CatalogServer[];
  readonly removed: readonly RemovedServer[];
}

/** The listed servers. */
export class ServerTable {
  private readonly servers = new Map<string, CatalogServer>();
  /** The server that came last to each address. */
  private readonly newestAt = new Map<number, CatalogServer>();
  /** Servers whose address a later server has taken: they have ended. */
  private readonly succeeded = new Set<string>();
  /** Listed servers that take new flows, for the services that were asked for. */
  private readonly open = new Map<string, readonly CatalogServer[]>();
  private readonly evacuated = new Set<string>();
  private removals: RemovedServer[] = [];
  /** All removals after this revision are remembered. */
  private removalsSince = 0;
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

  /** All listed servers. */
  all(): CatalogServer[] {
    return [...this.servers.values()];
  }

  /** A listed server. */
  get(id: string): CatalogServer | undefined {
    return this.servers.get(id);
  }

  /** Whether a later server has the address of a listed one. */
  isSucceeded(id: string): boolean {
    return this.succeeded.has(id);
  }

  /** Whether a record is of a server that is new or in another state than held. */
  isNews(server: CatalogServer): boolean {
    const known = this.servers.get(server.id);
    return known === undefined || known.state !== server.state;
  }

  /** Takes a server's newest record. */
  put(server: CatalogServer): void {
    const known = this.servers.get(server.id);
    if (known !== undefined) {
      this.toggleInDigest(known);
    }
    this.toggleInDigest(server);
    this.servers.set(server.id, server);
    this.open.delete(server.service);
    this.noteAddress(server);
  }

  /** Removes a server that the list of a revision does not hold. */
  remove(server: CatalogServer, revision: number): void {
    this.servers.delete(server.id);
    this.succeeded.delete(server.id);
    this.toggleInDigest(server);
    this.open.delete(server.service);
    const key = destinationKey(server.address, server.port);
    if (this.newestAt.get(key)?.id === server.id) {
      this.newestAt.delete(key);
    }
    this.rememberRemoval({id: server.id, revision});
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
    this.removalsSince = revision;
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
        !this.isEvacuated(server) &&
        !this.succeeded.has(server.id),
    );
    this.open.set(service, open);
    return open;
  }

  /** Changes after a revision; undefined when only the whole list tells them. */
  changesSince(revision: number): ServerChanges | undefined {
    return revision < this.removalsSince
      ? undefined
      : {
          written: this.all().filter(server => server.revision > revision),
          removed: this.removals.filter(removal => removal.revision > revision),
        };
  }

  /** Of two servers at one address, the one that was created earlier has ended. */
  private noteAddress(server: CatalogServer): void {
    const key = destinationKey(server.address, server.port);
    const other = this.newestAt.get(key);
    const isNewest =
      other === undefined || other.createdRevision <= server.createdRevision;
    if (isNewest) {
      this.newestAt.set(key, server);
    }
    const ended = isNewest ? other : server;
    if (ended !== undefined && ended.id !== this.newestAt.get(key)?.id) {
      this.succeeded.add(ended.id);
      this.open.delete(ended.service);
    }
  }

  /** Drops the older half of the removals when there are too many. */
  private rememberRemoval(removal: RemovedServer): void {
    this.removals.push(removal);
    if (this.removals.length > MAXIMUM_REMOVALS) {
      const [dropped] = this.removals.splice(0, MAXIMUM_REMOVALS / 2);
      const kept = this.removals[0];
      this.removalsSince = Math.max(
        this.removalsSince,
        dropped.revision,
        kept.revision,
      );
    }
  }

  /** Adds a server's record to the digest, or takes it out again. */
  private toggleInDigest({id, state}: CatalogServer): void {
    this.toggle(`${id}/${state}`);
  }

  private toggle(record: string): void {
    const hash = this.hasher.hashText(record, DIGEST_SEED);
    this.combinedHash = (this.combinedHash ^ hash) >>> 0;
  }
}
