/**
 * Which server came last to each address: the others that were there have ended. A
 * server that starts again may come to another address, and an address may be given to
 * a server of another service.
 *
 * An entry may also be written again after its server has ended: a write that was under
 * way then, done seconds later, when the next server at the address is listed already. It
 * lapses soon, since nobody renews it. Whoever knew the entry before goes by when its
 * server first came. A daemon that may not have known it takes neither of the two for
 * ended, and opens no flows at the one that seems earlier, until one of the entries goes.
 */
import {destinationKey} from '../routing/flow-key.js';
import type {CatalogServer} from './records.js';

/** A server at an address. */
interface AddressOwner {
  readonly id: string;
  /** Revision of the store by which it had come there. */
  readonly cameAt: number;
}

/** When a server had come to an address, in one of its lives. */
interface Arrival {
  readonly key: number;
  readonly cameAt: number;
  readonly startTime: number;
}

/** The listed servers by their addresses. */
export class AddressOwners {
  /** The server that came last to each address. */
  private readonly newest = new Map<number, AddressOwner>();
  /** Where each listed server is, and since when. */
  private readonly arrivals = new Map<string, Arrival>();
  /** The same of servers that left the list. */
  private readonly left = new Map<string, Arrival>();
  /** Servers whose address a later server has taken. */
  private readonly succeeded = new Set<string>();
  /** Those of them that have ended for certain. */
  private readonly ended = new Set<string>();
  /** Those of them that were not asked for yet. */
  private newlySucceeded: string[] = [];

  private constructor() {}

  /** Creates a record without servers. */
  static create(): AddressOwners {
    return new AddressOwners();
  }

  /** Whether a later server seems to have the address of a listed one. */
  isSucceeded(id: string): boolean {
    return this.succeeded.has(id);
  }

  /** Whether a later server has the address of a listed one for certain. */
  hasEnded(id: string): boolean {
    return this.ended.has(id);
  }

  /** Whether a listed server is at an address. */
  isTaken({address, port}: CatalogServer): boolean {
    return this.newest.has(destinationKey(address, port));
  }

  /** Ids of servers that have ended so since this was asked last. */
  takeSucceeded(): string[] {
    const ids = this.newlySucceeded;
    this.newlySucceeded = [];
    return ids;
  }

  /**
   * Takes a server's record in place of the one known before; returns the id of a server
   * that it succeeds, which may be the server itself. `isCertain` says that every entry
   * of late is known here.
   */
  put(server: CatalogServer, isCertain: boolean): string | undefined {
    const {id, startTime} = server;
    const key = destinationKey(server.address, server.port);
    const known = this.arrivals.get(id) ?? this.left.get(id);
    const hasCome = known?.startTime !== startTime || known.key !== key;
    const isBack = this.arrivals.has(id);
    const cameAt = hasCome ? arrivalOf(server, isBack) : known.cameAt;
    if (hasCome) {
      this.forget(id);
    }
    this.left.delete(id);
    this.arrivals.set(id, {key, cameAt, startTime});
    return this.settle(key, {id, cameAt}, isCertain);
  }

  /** Takes a server from its address that is not listed any more; it may be back. */
  remove(id: string): void {
    const arrival = this.arrivals.get(id);
    this.forget(id);
    if (arrival !== undefined) {
      this.left.set(id, arrival);
    }
  }

  /** Forgets a server that left the list long ago. */
  forgetLeft(id: string): void {
    this.left.delete(id);
  }

  /** Forgets where a server is; what seemed to be succeeded by it was not. */
  private forget(id: string): void {
    const key = this.arrivals.get(id)?.key;
    this.arrivals.delete(id);
    this.succeeded.delete(id);
    this.ended.delete(id);
    if (key !== undefined && this.newest.get(key)?.id === id) {
      this.newest.delete(key);
      this.arrivals.forEach((arrival, other) => {
        if (arrival.key === key && !this.ended.has(other)) {
          this.succeeded.delete(other);
          this.newest.set(key, {id: other, cameAt: arrival.cameAt});
        }
      });
    }
  }

  /** Of two servers at one address, the one that came earlier has ended. */
  private settle(
    key: number,
    owner: AddressOwner,
    isCertain: boolean,
  ): string | undefined {
    const other = this.newest.get(key);
    const isNewest = other === undefined || other.cameAt <= owner.cameAt;
    if (isNewest) {
      this.newest.set(key, owner);
    }
    if (other === undefined || other.id === owner.id) {
      return undefined;
    }
    const earlier = isNewest ? other.id : owner.id;
    this.succeeded.add(earlier);
    if (isCertain && !this.ended.has(earlier)) {
      this.ended.add(earlier);
      this.newlySucceeded.push(earlier);
    }
    return earlier;
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
