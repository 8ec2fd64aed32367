/**
 * Which server came last to each address: the others that were there have ended. A
 * server that starts again may come to another address, and an address may be given to
 * a server of another service.
 */
import {destinationKey} from '../routing/flow-key.js';
import type {CatalogServer} from './records.js';

/** A server at an address. */
interface AddressOwner {
  readonly id: string;
  /** Revision of the store by which it had come there. */
  readonly cameAt: number;
}

/** The listed servers by their addresses. */
export class AddressOwners {
  /** The server that came last to each address. */
  private readonly newest = new Map<number, AddressOwner>();
  /** When each listed server had come to its address, and which that is. */
  private readonly arrivals = new Map<string, {key: number; cameAt: number}>();
  /** Servers whose address a later server has taken: they have ended. */
  private readonly succeeded = new Set<string>();
  /** Those of them that were not asked for yet. */
  private newlySucceeded: string[] = [];

  private constructor() {}

  /** Creates a record without servers. */
  static create(): AddressOwners {
    return new AddressOwners();
  }

  /** Whether a later server has the address of a listed one. */
  isSucceeded(id: string): boolean {
    return this.succeeded.has(id);
  }

  /** Ids of servers that were succeeded since this was asked last. */
  takeSucceeded(): string[] {
    const ids = this.newlySucceeded;
    this.newlySucceeded = [];
    return ids;
  }

  /**
   * Takes a server's record in place of the one known before; returns the id of a server
   * that has ended by it, which may be the server itself.
   */
  put(
    server: CatalogServer,
    known: CatalogServer | undefined,
  ): string | undefined {
    const key = destinationKey(server.address, server.port);
    const hasCome =
      known?.startTime !== server.startTime ||
      this.arrivals.get(server.id)?.key !== key;
    if (hasCome) {
      const isBack = this.arrivals.has(server.id);
      this.forget(server.id);
      this.arrivals.set(server.id, {key, cameAt: arrivalOf(server, isBack)});
    }
    const cameAt = this.arrivals.get(server.id)?.cameAt ?? server.revision;
    return this.settle(key, {id: server.id, cameAt});
  }

  /** Forgets a server that is not listed any more, or has come elsewhere. */
  forget(id: string): void {
    const key = this.arrivals.get(id)?.key;
    this.arrivals.delete(id);
    this.succeeded.delete(id);
    if (key !== undefined && this.newest.get(key)?.id === id) {
      this.newest.delete(key);
    }
  }

  /** Of two servers at one address, the one that came earlier has ended. */
  private settle(key: number, owner: AddressOwner): string | undefined {
    const other = this.newest.get(key);
    if (other === undefined || other.cameAt <= owner.cameAt) {
      this.newest.set(key, owner);
    }
    if (other === undefined || other.id === owner.id) {
      return undefined;
    }
    const ended = other.cameAt <= owner.cameAt ? other.id : owner.id;
    if (!this.succeeded.has(ended)) {
      this.succeeded.add(ended);
      this.newlySucceeded.push(ended);
    }
    return ended;
  }
}

/**
 * Revision by which a server had come to its address. The entry of one that started again
 * is older than this life, which came with the record at the latest.
 */
function arrivalOf(
  {startTime, createdRevision, revision}: CatalogServer,
  isBack: boolean,
): number {
  return startTime === 0 && !isBack ? createdRevision : revision;
}
