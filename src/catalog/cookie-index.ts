/**
 * Cookies: 32-bit numbers that name backend servers in packets. Every daemon computes
 * them from a server's id and the flow's destination. Of servers with equal cookies the
 * oldest one owns the cookie, and the others get no new flows.
 *
 * A cookie is valid for one destination only. It proves that some daemon placed a flow
 * of that destination on that server, so flows survive the loss of all daemons' state.
 */
import type {Hasher} from '../ports/hasher.js';
import type {CatalogServer} from './records.js';

const SERVER_SEED = 0x636b6965;
const DESTINATION_SEED = 0x64657374;
/** The cookie of a packet that names no server; never assigned to a server. */
export const NO_COOKIE = 0;

/** A server named by a cookie. */
export interface CookieOwner {
  readonly id: string;
  readonly createdRevision: number;
  /** Where flows with the cookie go; undefined while the id had no readable entry. */
  readonly server: CatalogServer | undefined;
}

/** Cookies of all servers known to a daemon, departed ones included. */
export class CookieIndex {
  /** Servers by the hash of their id, the oldest first. */
  private readonly byHash = new Map<number, CookieOwner[]>();
  private readonly hashes = new Map<string, number>();

  private constructor(private readonly hasher: Hasher) {}

  static create(hasher: Hasher): CookieIndex {
    return new CookieIndex(hasher);
  }

  /** Returns the mask of a destination's cookies; `destination` is a `destinationKey`. */
  computeMask(destination: number): number {
    return this.hasher.hashText(String(destination), DESTINATION_SEED);
  }

  /** Stores a server's record; a known id keeps its rank among servers of equal hash. */
  put(server: CatalogServer): void {
    const {id} = server;
    const known = this.ownerOf(id);
    const createdRevision =
      known?.server === undefined
        ? server.createdRevision
        : known.createdRevision;
    this.insert({id, createdRevision, server});
  }

  /** Adds an id without a record, ranked last; does nothing if the id is known. */
  addWithoutRecord(id: string): void {
    if (!this.hashes.has(id)) {
      this.insert({id, createdRevision: Infinity, server: undefined});
    }
  }

  remove(id: string): void {
    const hash = this.hashes.get(id);
    if (hash !== undefined) {
      this.removeFromBucket(id, hash);
    }
  }

  /** Returns the record by which a server's flows are routed. */
  serverById(id: string): CatalogServer | undefined {
    return this.ownerOf(id)?.server;
  }

  /**
   * Returns a server's cookie under a destination's mask; undefined while an older server
   * owns it, or if it would be `NO_COOKIE`.
   */
  cookieOf(server: CatalogServer, mask: number): number | undefined {
    const hash = this.hashes.get(server.id);
    if (hash === undefined || this.byHash.get(hash)?.[0]?.id !== server.id) {
      return undefined;
    }
    const cookie = applyMask(hash, mask);
    return cookie === NO_COOKIE ? undefined : cookie;
  }

  /** Returns the servers of a cookie under a destination's mask, the owner first. */
  find(cookie: number, mask: number): readonly CookieOwner[] {
    return this.byHash.get(applyMask(cookie, mask)) ?? [];
  }

  private ownerOf(id: string): CookieOwner | undefined {
    const hash = this.hashes.get(id);
    return hash === undefined
      ? undefined
      : this.byHash.get(hash)?.find(owner => owner.id === id);
  }

  private insert(owner: CookieOwner): void {
    const {id} = owner;
    const hash = this.hashes.get(id) ?? this.hasher.hashText(id, SERVER_SEED);
    this.hashes.set(id, hash);
    const others = this.byHash.get(hash)?.filter(other => other.id !== id);
    const owners = [...(others ?? []), owner];
    owners.sort((a, b) => a.createdRevision - b.createdRevision);
    this.byHash.set(hash, owners);
  }

  private removeFromBucket(id: string, hash: number): void {
    this.hashes.delete(id);
    const remaining = this.byHash.get(hash)?.filter(owner => owner.id !== id);
    if (remaining === undefined || remaining.length === 0) {
      this.byHash.delete(hash);
    } else {
      this.byHash.set(hash, remaining);
    }
  }
}

/** Converts a hash to a cookie, or a cookie back to its hash. */
function applyMask(hash: number, mask: number): number {
  return (hash ^ mask) >>> 0;
}
