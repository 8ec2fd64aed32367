/** In-memory implementation of the key-value store port, with fault injection. */
import {ResultAsync} from 'neverthrow';
import {
  Store,
  StoreUnavailable,
  type LeaseGrant,
  type StoreFailure,
  type StoredValue,
  type SwapOutcome,
} from '../src/ports/store.js';
import type {FakeClock} from './fake-clock.js';
import type {Random} from '../src/routing/random.js';

const ONE_WAY_LATENCY_MS = 2;
const POLL_MS = 100;
const EMPTY = new Uint8Array(0);

interface Lease {
  readonly holder: string;
  readonly token: number;
  readonly deadline: number;
}

/** Key-value store on virtual time. */
export class MemoryStore extends Store {
  /** Whether every call fails. */
  isDown = false;
  /** Fraction of writes that take effect although their response is lost. */
  lostAnswerRate = 0;
  calls = 0;
  private readonly values = new Map<string, StoredValue>();
  private readonly leases = new Map<string, Lease>();
  private lastToken = 0;

  private constructor(
    private readonly clock: FakeClock,
    private readonly random: Random,
  ) {
    super();
  }

  /** Creates an empty store. */
  static create(clock: FakeClock, random: Random): MemoryStore {
    return new MemoryStore(clock, random);
  }

  get(key: string): ResultAsync<StoredValue, StoreFailure> {
    return this.serve('get', false, () => this.read(key));
  }

  compareAndSwap(
    key: string,
    value: Uint8Array,
    expectedVersion: number,
  ): ResultAsync<SwapOutcome, StoreFailure> {
    return this.serve('compareAndSwap', true, () => {
      const known = this.read(key);
      if (known.version !== expectedVersion) {
        return {swapped: false, current: known};
      }
      const current = {key, value, version: known.version + 1};
      this.values.set(key, current);
      return {swapped: true, current};
    });
  }

  watch(
    key: string,
    afterVersion: number,
    deadline: number,
  ): ResultAsync<StoredValue, StoreFailure> {
    const poll = async (): Promise<StoredValue> => {
      await this.sleep(POLL_MS);
      if (this.isDown) {
        throw StoreUnavailable.create('watch', 'store is down');
      }
      const value = this.read(key);
      const over = this.clock.now() >= deadline;
      return value.version > afterVersion || over ? value : poll();
    };
    this.calls += 1;
    return ResultAsync.fromPromise(poll(), error => error as StoreUnavailable);
  }

  acquireLease(
    key: string,
    holder: string,
    deadline: number,
  ): ResultAsync<LeaseGrant, StoreFailure> {
    return this.serve('acquireLease', true, () => {
      const now = this.clock.now();
      const known = this.leases.get(key);
      const taken = known !== undefined && known.deadline > now;
      if (taken && known.holder !== holder) {
        return {...known, held: false};
      }
      this.lastToken += taken ? 0 : 1;
      const token = taken ? known.token : this.lastToken;
      const lease = {holder, token, deadline};
      this.leases.set(key, lease);
      return {...lease, held: true};
    });
  }

  releaseLease(
    key: string,
    holder: string,
  ): ResultAsync<LeaseGrant, StoreFailure> {
    return this.serve('releaseLease', true, () => {
      if (this.leases.get(key)?.holder === holder) {
        this.leases.delete(key);
      }
      return {held: false, holder: '', token: 0, deadline: 0};
    });
  }

  private read(key: string): StoredValue {
    return this.values.get(key) ?? {key, value: EMPTY, version: 0};
  }

  private serve<T>(
    call: string,
    writes: boolean,
    run: () => T,
  ): ResultAsync<T, StoreFailure> {
    this.calls += 1;
    const served = async (): Promise<T> => {
      await this.sleep(ONE_WAY_LATENCY_MS);
      if (this.isDown) {
        throw StoreUnavailable.create(call, 'store is down');
      }
      const result = run();
      await this.sleep(ONE_WAY_LATENCY_MS);
      if (writes && this.random.nextBool(this.lostAnswerRate)) {
        throw StoreUnavailable.create(call, 'response lost');
      }
      return result;
    };
    return ResultAsync.fromPromise(
      served(),
      error => error as StoreUnavailable,
    );
  }

  private sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.callAt(this.clock.now() + milliseconds, resolve);
    });
  }
}
