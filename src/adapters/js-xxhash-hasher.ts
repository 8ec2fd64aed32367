/**
 * xxHash (32 bits) in plain JavaScript, with the same values as the WebAssembly hasher.
 * Hashing is slower, but the module can be part of a start-up snapshot, which cannot hold
 * WebAssembly.
 */
import {xxHash32} from 'js-xxhash';
import {Hasher} from '../ports/hasher.js';

/** Hasher that uses the js-xxhash library. */
export class JsXxhashHasher extends Hasher {
  private constructor() {
    super();
  }

  /** Creates a hasher. */
  static create(): JsXxhashHasher {
    return new JsXxhashHasher();
  }

  hashBytes(bytes: Uint8Array, seed: number): number {
    return xxHash32(bytes, seed) >>> 0;
  }

  hashText(text: string, seed: number): number {
    return xxHash32(text, seed) >>> 0;
  }
}
