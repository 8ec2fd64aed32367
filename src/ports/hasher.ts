/** Port to a hash function that gives the same results on every daemon. */

/** A seeded 32-bit hash. */
export abstract class Hasher {
  /** Hashes bytes to an unsigned 32-bit number. */
  abstract hashBytes(bytes: Uint8Array, seed: number): number;
  /** Hashes a string's UTF-8 bytes to an unsigned 32-bit number. */
  abstract hashText(text: string, seed: number): number;
}
