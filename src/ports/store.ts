/** The port to the platform's key-value store. */
import type {ResultAsync} from 'neverthrow';

/** A value read from the store. */
export interface StoredValue {
  readonly key: string;
  readonly value: Uint8Array;
  /** Grows with each write of the key; 0 when the key is absent. */
  readonly version: number;
}

/** The answer to a compare-and-swap. */
export interface SwapOutcome {
  readonly swapped: boolean;
  /** The version and value now in the store. */
  readonly current: StoredValue;
}

/** A lease as its holder sees it. */
export interface LeaseGrant {
  readonly held: boolean;
  readonly holder: string;
  /** Monotonic milliseconds, counted from before the call: never too late. */
  readonly deadline: number;
  /** Grows with each new holder of the key. */
  readonly token: number;
}

/** The store did not answer; a write may or may not have taken effect. */
export class StoreUnavailable extends Error {
  readonly type = 'StoreUnavailable';
  /** Creates the failure of one call. */
  static create(call: string, cause: string): StoreUnavailable {
    return new StoreUnavailable(`store call ${call} failed: ${cause}`);
  }
}

/** The value is larger than the store takes. */
export class ValueTooLarge extends Error {
  readonly type = 'ValueTooLarge';
  /** Creates the refusal of a value of `bytes` bytes. */
  static create(key: string, bytes: number): ValueTooLarge {
    return new ValueTooLarge(
      `value of ${key} has ${bytes} bytes; the store takes ${MAXIMUM_VALUE_BYTES}`,
    );
  }
}

/** Why a store call gave no result. */
export type StoreFailure = StoreUnavailable | ValueTooLarge;

/** Largest value the store takes, in bytes. */
export const MAXIMUM_VALUE_BYTES = 1_000_000;

/** Key-value store with compare-and-swap, leases and waiting watches. */
export abstract class Store {
  /** Reads a key. */
  abstract get(key: string): ResultAsync<StoredValue, StoreFailure>;
  /** Writes `value` if the key is still at `expectedVersion` (0: absent). */
  abstract compareAndSwap(
    key: string,
    value: Uint8Array,
    expectedVersion: number,
  ): ResultAsync<SwapOutcome, StoreFailure>;
  /** Waits until the key passes `afterVersion` or `deadline` comes, then reads it. */
  abstract watch(
    key: string,
    afterVersion: number,
    deadline: number,
  ): ResultAsync<StoredValue, StoreFailure>;
  /** Takes or renews a lease that ends at `deadline`. */
  abstract acquireLease(
    key: string,
    holder: string,
    deadline: number,
  ): ResultAsync<LeaseGrant, StoreFailure>;
  /** Gives a lease back. */
  abstract releaseLease(
    key: string,
    holder: string,
  ): ResultAsync<LeaseGrant, StoreFailure>;
}
