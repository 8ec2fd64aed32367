/**
 * Hashes by xxHash (32 bits) in plain JavaScript: the same values as the
 * WebAssembly library gives, at ten times its cost for a hash. A start-up snapshot
 * cannot hold WebAssembly, and compiling it takes a fifth of a start.
 */
import {xxHash32} from 'js-xxhash';
import {Hasher} from '../ports/hasher.js';

/** Hasher over the js-xxhash library. */
export class ScriptXxhashHasher extends Hasher {
  private constructor() {
    super();
  }

  /** Creates the hasher. */
  static create(): ScriptXxhashHasher {
    return new ScriptXxhashHasher();
  }

  hashBytes(bytes: Uint8Array, seed: number): number {
    return xxHash32(bytes, seed) >>> 0;
  }

  hashText(text: string, seed: number): number {
    return xxHash32(text, seed) >>> 0;
  }
}
