/** Port to the platform's key-value store. */
import type {ResultAsync} from 'neverthrow';

/** A value read from the store. */
export interface StoredValue {
  readonly key: string;
  readonly value: Uint8Array;
  /** Increases with each write of the key; 0 if the key is absent. */
  readonly version: number;
}

/** The result of a compare-and-swap. */
export interface SwapOutcome {
  readonly swapped: boolean;
  /** The version and value in the store after the call. */
  readonly current: StoredValue;
}

/** The state of a lease after a call. */
export interface LeaseGrant {
  readonly held: boolean;
  readonly holder: string;
  /** Expiry in monotonic milliseconds, counted from before the call so it is never late. */
  readonly deadline: number;
  /** Fencing token: increases with each new holder of the key. */
  readonly token: number;
}

/** The store did not respond; a write may or may not have taken effect. */
export class StoreUnavailable extends Error {
  readonly type = 'StoreUnavailable';
  /** Creates the failure of one call. */
  static create(call: string, cause: string): StoreUnavailable {
    return new StoreUnavailable(`store call ${call} failed: ${cause}`);
  }
}

/** The value is larger than the store accepts. */
export class ValueTooLarge extends Error {
  readonly type = 'ValueTooLarge';
  /** Creates the failure for a value of `bytes` bytes. */
  static create(key: string, bytes: number): ValueTooLarge {
    return new ValueTooLarge(
      `value of ${key} has ${bytes} bytes; the store accepts at most ${MAXIMUM_VALUE_BYTES}`,
    );
  }
}

/** Why a store call failed. */
export type StoreFailure = StoreUnavailable | ValueTooLarge;

/** Largest value that the store accepts. */
export const MAXIMUM_VALUE_BYTES = 1_000_000;

/** Key-value store with compare-and-swap, leases and long-polling watches. */
export abstract class Store {
  /** Reads a key. */
  abstract get(key: string): ResultAsync<StoredValue, StoreFailure>;
  /** Writes `value` if the key is at `expectedVersion` (0: absent). */
  abstract compareAndSwap(
    key: string,
    value: Uint8Array,
    expectedVersion: number,
  ): ResultAsync<SwapOutcome, StoreFailure>;
  /** Reads the key once its version exceeds `afterVersion`, or at `deadline`. */
  abstract watch(
    key: string,
    afterVersion: number,
    deadline: number,
  ): ResultAsync<StoredValue, StoreFailure>;
  /** Acquires or renews a lease that expires at `deadline`. */
  abstract acquireLease(
    key: string,
    holder: string,
    deadline: number,
  ): ResultAsync<LeaseGrant, StoreFailure>;
  /** Releases a lease. */
  abstract releaseLease(
    key: string,
    holder: string,
  ): ResultAsync<LeaseGrant, StoreFailure>;
}
