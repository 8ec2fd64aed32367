/** The platform's store in one process, with faults to order. */
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

const DELAY_MS = 2;
const POLL_MS = 100;
const EMPTY = new Uint8Array(0);

interface Lease {
  readonly holder: string;
  readonly token: number;
  readonly deadline: number;
}

/** Store over virtual time. */
export class MemoryStore extends Store {
  down = false;
  /** Share of writes that take effect while their answer is lost. */
  loseAnswers = 0;
  calls = 0;
  private readonly values = new Map<string, StoredValue>();
  private readonly leases = new Map<string, Lease>();
  private tokens = 0;

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
      await this.pause(POLL_MS);
      if (this.down) {
        throw StoreUnavailable.create('watch', 'down');
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
      this.tokens += taken ? 0 : 1;
      const token = taken ? known.token : this.tokens;
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
      await this.pause(DELAY_MS);
      if (this.down) {
        throw StoreUnavailable.create(call, 'down');
      }
      const result = run();
      await this.pause(DELAY_MS);
      if (writes && this.random.happens(this.loseAnswers)) {
        throw StoreUnavailable.create(call, 'the answer was lost');
      }
      return result;
    };
    return ResultAsync.fromPromise(
      served(),
      error => error as StoreUnavailable,
    );
  }

  private pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.callAt(this.clock.now() + milliseconds, resolve);
    });
  }
}
