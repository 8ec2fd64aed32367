/**
 * Tracks which listed server registered last at each address; earlier ones there have
 * ended. A restarted server may have another address, and an address may be reused by a
 * server of another service.
 */
import {destinationKey} from '../routing/flow-key.js';
import type {CatalogServer} from './records.js';

/** The server that registered last at an address. */
interface AddressOwner {
  readonly id: string;
  /** Store revision by which the server had registered at the address. */
  readonly claimedAtRevision: number;
}

/** Owners of the addresses of listed servers. */
export class AddressOwners {
  /** Owners by `destinationKey` of the address. */
  private readonly owners = new Map<number, AddressOwner>();
  /** Address and claim revision of each listed server, by id. */
  private readonly claims = new Map<
    string,
    {key: number; claimedAtRevision: number}
  >();
  /** Ids of servers whose address a newer server has taken. */
  private readonly superseded = new Set<string>();
  /** Superseded ids that `takeSuperseded` has not returned yet. */
  private newlySuperseded: string[] = [];

  private constructor() {}

  static create(): AddressOwners {
    return new AddressOwners();
  }

  /** Whether a newer server has taken the address of a listed one. */
  isSuperseded(id: string): boolean {
    return this.superseded.has(id);
  }

  /** Returns the ids of servers superseded since the last call. */
  takeSuperseded(): string[] {
    const ids = this.newlySuperseded;
    this.newlySuperseded = [];
    return ids;
  }

  /**
   * Replaces a server's known record by a newer one. Returns the id of the server that is
   * superseded at the address, which may be this server itself; undefined: none.
   */
  put(
    server: CatalogServer,
    known: CatalogServer | undefined,
  ): string | undefined {
    const key = destinationKey(server.address, server.port);
    const isNewClaim =
      known?.startTime !== server.startTime ||
      this.claims.get(server.id)?.key !== key;
    if (isNewClaim) {
      const isReturning = this.claims.has(server.id);
      this.release(server.id);
      this.claims.set(server.id, {
        key,
        claimedAtRevision: claimRevisionOf(server, isReturning),
      });
    }
    const claimedAtRevision =
      this.claims.get(server.id)?.claimedAtRevision ?? server.revision;
    return this.resolveConflict(key, {
      id: server.id,
      claimedAtRevision,
    });
  }

  /** Releases the claim of a server that left the list or has another address. */
  release(id: string): void {
    const key = this.claims.get(id)?.key;
    this.claims.delete(id);
    this.superseded.delete(id);
    if (key !== undefined && this.owners.get(key)?.id === id) {
      this.owners.delete(key);
    }
  }

  /** Marks the server with the older claim on an address as superseded. */
  private resolveConflict(
    key: number,
    owner: AddressOwner,
  ): string | undefined {
    const other = this.owners.get(key);
    if (
      other === undefined ||
      other.claimedAtRevision <= owner.claimedAtRevision
    ) {
      this.owners.set(key, owner);
    }
    if (other === undefined || other.id === owner.id) {
      return undefined;
    }
    const ended =
      other.claimedAtRevision <= owner.claimedAtRevision ? other.id : owner.id;
    if (!this.superseded.has(ended)) {
      this.superseded.add(ended);
      this.newlySuperseded.push(ended);
    }
    return ended;
  }
}

/**
 * Returns the store revision by which a server had registered at its address. The entry
 * of a restarted server was created by an earlier incarnation, so the revision of its
 * newest record counts instead.
 */
function claimRevisionOf(
  {startTime, createdRevision, revision}: CatalogServer,
  isReturning: boolean,
): number {
  return startTime === 0 && !isReturning ? createdRevision : revision;
}
