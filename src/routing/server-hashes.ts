/** Hashes server ids to 32 bits, which keeps messages between daemons small. */
import type {Hasher} from '../ports/hasher.js';

/** Has to be the same at every daemon, since hashes are sent between them. */
const SERVER_SEED = 17;

/** Computes and caches the hashes of server ids. */
export class ServerHashes {
  private readonly hashes = new Map<string, number>();

  private constructor(private readonly hasher: Hasher) {}

  /** Creates an empty cache. */
  static create(hasher: Hasher): ServerHashes {
    return new ServerHashes(hasher);
  }

  /** Returns the 32-bit hash of a server id. */
  of(server: string): number {
    const known = this.hashes.get(server);
    if (known !== undefined) {
      return known;
    }
    const hash = this.hasher.hashText(server, SERVER_SEED);
    this.hashes.set(server, hash);
    return hash;
  }

  /** Evicts all ids whose hashes are not among these. */
  retain(retained: ReadonlySet<number>): void {
    this.hashes.forEach((hash, id) => {
      if (!retained.has(hash)) {
        this.hashes.delete(id);
      }
    });
  }
}
