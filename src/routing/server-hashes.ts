/** Servers' ids as 32-bit numbers: ids are long, and daemons send each other many. */
import type {Hasher} from '../ports/hasher.js';

/** The same at every daemon, since numbers travel between them. */
const SERVER_SEED = 17;

/** Hashes of the ids that one daemon uses, each computed once. */
export class ServerHashes {
  private readonly hashes = new Map<string, number>();

  private constructor(private readonly hasher: Hasher) {}

  /** Creates an empty memory. */
  static create(hasher: Hasher): ServerHashes {
    return new ServerHashes(hasher);
  }

  /** The number of a server. */
  of(server: string): number {
    const known = this.hashes.get(server);
    if (known !== undefined) {
      return known;
    }
    const hash = this.hasher.hashText(server, SERVER_SEED);
    this.hashes.set(server, hash);
    return hash;
  }

  /** Forgets all ids whose numbers are not among these. */
  retain(kept: ReadonlySet<number>): void {
    this.hashes.forEach((hash, id) => {
      if (!kept.has(hash)) {
        this.hashes.delete(id);
      }
    });
  }
}
