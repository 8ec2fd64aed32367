/**
 * Cookies: 32-bit numbers that name backend servers in packets. Each daemon
 * works them out alike from a server's id. Two servers may meet in one cookie;
 * it then names the one that came first, and the other gets no new flows.
 */
import type {Hasher} from '../ports/hasher.js';
import type {CatalogServer} from './records.js';

const COOKIE_SEED = 0x636b6965;
/** Stands for "no server" in a packet, so no server is named by it. */
export const NO_COOKIE = 0;
const INSTEAD_OF_ZERO = 1;

/** The cookies of the servers that one daemon knows, departed ones included. */
export class CookieIndex {
  private readonly byCookie = new Map<number, CatalogServer[]>();
  private readonly cookies = new Map<string, number>();

  private constructor(private readonly hasher: Hasher) {}

  /** Creates an empty index. */
  static create(hasher: Hasher): CookieIndex {
    return new CookieIndex(hasher);
  }

  /** Adds a server; a known id changes nothing. */
  add(server: CatalogServer): void {
    if (this.cookies.has(server.id)) {
      return;
    }
    const cookie = this.compute(server.id);
    this.cookies.set(server.id, cookie);
    const named = [...(this.byCookie.get(cookie) ?? []), server];
    named.sort((a, b) => a.createdRevision - b.createdRevision);
    this.byCookie.set(cookie, named);
  }

  /** Drops a server. */
  remove(id: string): void {
    const cookie = this.cookies.get(id);
    if (cookie !== undefined) {
      this.drop(id, cookie);
    }
  }

  /** The cookie of a server; undefined while an earlier server has it. */
  cookieOf(server: CatalogServer): number | undefined {
    const cookie = this.cookies.get(server.id);
    const first = this.byCookie.get(cookie ?? NO_COOKIE)?.[0];
    return first?.id === server.id ? cookie : undefined;
  }

  /** The first server of a cookie whose service is among the given ones. */
  find(
    cookie: number,
    services: ReadonlySet<string>,
  ): CatalogServer | undefined {
    return this.byCookie
      .get(cookie)
      ?.find(({service}) => services.has(service));
  }

  /** Whether a cookie names any server. */
  has(cookie: number): boolean {
    return this.byCookie.has(cookie);
  }

  private drop(id: string, cookie: number): void {
    this.cookies.delete(id);
    const left = this.byCookie.get(cookie)?.filter(server => server.id !== id);
    if (left === undefined || left.length === 0) {
      this.byCookie.delete(cookie);
    } else {
      this.byCookie.set(cookie, left);
    }
  }

  private compute(id: string): number {
    const hash = this.hasher.hashText(id, COOKIE_SEED);
    return hash === NO_COOKIE ? INSTEAD_OF_ZERO : hash;
  }
}
