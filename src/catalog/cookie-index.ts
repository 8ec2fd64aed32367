/**
 * Cookies: 32-bit numbers that name backend servers in packets. Each daemon works
 * them out alike from a server's id and the flow's destination. Two servers may meet
 * in one cookie; it then names the one that came first, and the other gets no new
 * flows.
 *
 * A cookie holds for one destination: it shows that a daemon placed a flow of that
 * destination at that server, when a version of the routes allowed it. So a fleet
 * that has lost all its instances, and with them the former versions, still keeps
 * the flows that these opened; a cookie brought to another destination names nobody.
 */
import type {Hasher} from '../ports/hasher.js';
import type {CatalogServer} from './records.js';

const SERVER_SEED = 0x636b6965;
const DESTINATION_SEED = 0x64657374;
/** Stands for "no server" in a packet, so no server is named by it. */
export const NO_COOKIE = 0;

/** Whom a cookie names. */
export interface CookieOwner {
  readonly id: string;
  readonly createdRevision: number;
  /** Where flows with the cookie go; undefined while no entry of the id was readable. */
  readonly server: CatalogServer | undefined;
}

/**
 * The cookies of the servers that one daemon knows, departed ones included, and where
 * the flows of each go.
 */
export class CookieIndex {
  private readonly byHash = new Map<number, CookieOwner[]>();
  private readonly hashes = new Map<string, number>();

  private constructor(private readonly hasher: Hasher) {}

  /** Creates an empty index. */
  static create(hasher: Hasher): CookieIndex {
    return new CookieIndex(hasher);
  }

  /** What tells the cookies of a destination, by `destinationKey`, from others'. */
  maskOf(destination: number): number {
    return this.hasher.hashText(String(destination), DESTINATION_SEED);
  }

  /** Takes a server's record; that of a known id keeps its place among others. */
  put(server: CatalogServer): void {
    const {id} = server;
    const known = this.ownerOf(id);
    const createdRevision =
      known?.server === undefined
        ? server.createdRevision
        : known.createdRevision;
    this.place({id, createdRevision, server});
  }

  /** Takes an id of which no record is known; a known one changes nothing. */
  addId(id: string): void {
    if (!this.hashes.has(id)) {
      this.place({id, createdRevision: Infinity, server: undefined});
    }
  }

  /** Drops a server. */
  remove(id: string): void {
    const hash = this.hashes.get(id);
    if (hash !== undefined) {
      this.drop(id, hash);
    }
  }

  /** The record of a server by which its flows go. */
  serverOf(id: string): CatalogServer | undefined {
    return this.ownerOf(id)?.server;
  }

  /**
   * The cookie of a server at destinations with a mask; undefined while an earlier
   * server has it, or when it would be the one that stands for none.
   */
  cookieOf(server: CatalogServer, mask: number): number | undefined {
    const hash = this.hashes.get(server.id);
    if (hash === undefined || this.byHash.get(hash)?.[0]?.id !== server.id) {
      return undefined;
    }
    const cookie = combine(hash, mask);
    return cookie === NO_COOKIE ? undefined : cookie;
  }

  /** The servers of a cookie at destinations with a mask, the first one first. */
  find(cookie: number, mask: number): readonly CookieOwner[] {
    return this.byHash.get(combine(cookie, mask)) ?? [];
  }

  private ownerOf(id: string): CookieOwner | undefined {
    const hash = this.hashes.get(id);
    return hash === undefined
      ? undefined
      : this.byHash.get(hash)?.find(owner => owner.id === id);
  }

  private place(owner: CookieOwner): void {
    const {id} = owner;
    const hash = this.hashes.get(id) ?? this.hasher.hashText(id, SERVER_SEED);
    this.hashes.set(id, hash);
    const others = this.byHash.get(hash)?.filter(other => other.id !== id);
    const named = [...(others ?? []), owner];
    named.sort((a, b) => a.createdRevision - b.createdRevision);
    this.byHash.set(hash, named);
  }

  private drop(id: string, hash: number): void {
    this.hashes.delete(id);
    const left = this.byHash.get(hash)?.filter(owner => owner.id !== id);
    if (left === undefined || left.length === 0) {
      this.byHash.delete(hash);
    } else {
      this.byHash.set(hash, left);
    }
  }
}

/** A hash under a mask, or the hash that a mask hides. */
function combine(hash: number, mask: number): number {
  return (hash ^ mask) >>> 0;
}
