/** xxHash (32 bits) in WebAssembly. */
import xxhash from 'xxhash-wasm';
import {Hasher} from '../ports/hasher.js';

type Library = Awaited<ReturnType<typeof xxhash>>;

/** Hasher that uses the xxhash-wasm library. */
export class XxhashHasher extends Hasher {
  private constructor(private readonly library: Library) {
    super();
  }

  /** Compiles the library and creates a hasher. */
  static async create(): Promise<XxhashHasher> {
    return new XxhashHasher(await xxhash());
  }

  hashBytes(bytes: Uint8Array, seed: number): number {
    return this.library.h32Raw(bytes, seed) >>> 0;
  }

  hashText(text: string, seed: number): number {
    return this.library.h32(text, seed) >>> 0;
  }
}
