/** Client of the platform's key-value store over gRPC. */
import {credentials, type ServiceError} from '@grpc/grpc-js';
import {errAsync, type ResultAsync} from 'neverthrow';
import {
  KeyValueClient,
  type CompareAndSwapReply,
  type GetReply,
  type LeaseReply,
} from '../generated/platform.js';
import type {Clock} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import {
  MAXIMUM_VALUE_BYTES,
  Store,
  StoreUnavailable,
  ValueTooLarge,
  type LeaseGrant,
  type StoreFailure,
  type StoredValue,
  type SwapOutcome,
} from '../ports/store.js';
import {CHANNEL_OPTIONS, callUnary, type Invocation} from './grpc-call.js';

const CALL_TIMEOUT_MS = 2_000;
/** Extra time for the response to a watch whose own timeout has passed. */
const WATCH_GRACE_MS = 1_000;

/** Store client that counts calls and failures. */
export class GrpcStore extends Store {
  private readonly client: KeyValueClient;

  private constructor(
    address: string,
    private readonly clock: Clock,
    private readonly counters: Counters,
  ) {
    super();
    this.client = new KeyValueClient(
      address,
      credentials.createInsecure(),
      CHANNEL_OPTIONS,
    );
  }

  /** Creates a client; `address` is "ip:port". */
  static create(address: string, clock: Clock, counters: Counters): GrpcStore {
    return new GrpcStore(address, clock, counters);
  }

  get(key: string): ResultAsync<StoredValue, StoreFailure> {
    return this.call<GetReply>(
      'get',
      this.clock.now() + CALL_TIMEOUT_MS,
      (...rest) => this.client.get({key}, ...rest),
    );
  }

  compareAndSwap(
    key: string,
    value: Uint8Array,
    expectedVersion: number,
  ): ResultAsync<SwapOutcome, StoreFailure> {
    if (value.length > MAXIMUM_VALUE_BYTES) {
      return errAsync(ValueTooLarge.create(key, value.length));
    }
    const request = {key, value: Buffer.from(value), expectedVersion};
    return this.call<CompareAndSwapReply>(
      'compareAndSwap',
      this.clock.now() + CALL_TIMEOUT_MS,
      (...rest) => this.client.compareAndSwap(request, ...rest),
    ).map(reply => ({
      swapped: reply.swapped,
      current: {key, value: reply.value, version: reply.version},
    }));
  }

  watch(
    key: string,
    afterVersion: number,
    deadline: number,
  ): ResultAsync<StoredValue, StoreFailure> {
    const timeoutMs = Math.max(1, Math.floor(deadline - this.clock.now()));
    return this.call<GetReply>('watch', deadline + WATCH_GRACE_MS, (...rest) =>
      this.client.watch({key, afterVersion, timeoutMs}, ...rest),
    );
  }

  acquireLease(
    key: string,
    holder: string,
    deadline: number,
  ): ResultAsync<LeaseGrant, StoreFailure> {
    const sentMs = this.clock.now();
    const timeToLiveMs = Math.max(1, Math.floor(deadline - sentMs));
    return this.call<LeaseReply>(
      'acquireLease',
      sentMs + CALL_TIMEOUT_MS,
      (...rest) =>
        this.client.acquireLease({key, holder, timeToLiveMs}, ...rest),
    ).map(reply => toLeaseGrant(reply, sentMs));
  }

  releaseLease(
    key: string,
    holder: string,
  ): ResultAsync<LeaseGrant, StoreFailure> {
    const sentMs = this.clock.now();
    return this.call<LeaseReply>(
      'releaseLease',
      sentMs + CALL_TIMEOUT_MS,
      (...rest) =>
        this.client.releaseLease({key, holder, timeToLiveMs: 0}, ...rest),
    ).map(reply => toLeaseGrant(reply, sentMs));
  }

  /** Closes the connection. */
  close(): void {
    this.client.close();
  }

  private call<T>(
    name: string,
    deadline: number,
    invoke: Invocation<T>,
  ): ResultAsync<T, StoreFailure> {
    this.counters.add(Metric.STORE_CALLS);
    return callUnary(this.clock, deadline, invoke).mapErr(error => {
      this.counters.add(Metric.STORE_FAILURES);
      return StoreUnavailable.create(name, (error as ServiceError).details);
    });
  }
}

/**
 * Converts a grant. The deadline counts from before the call, so a holder never believes
 * in a lease that has expired.
 */
function toLeaseGrant(reply: LeaseReply, sentMs: number): LeaseGrant {
  return {
    held: reply.held,
    holder: reply.holder,
    deadline: sentMs + reply.remainingMs,
    token: reply.token,
  };
}
