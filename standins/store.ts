/** Stand-in for the platform's key-value store, as a gRPC server with fault injection. */
import {status, type sendUnaryData} from '@grpc/grpc-js';
import {
  KeyValueService,
  type CompareAndSwapReply,
  type CompareAndSwapRequest,
  type GetReply,
  type KeyValueServer,
  type LeaseReply,
  type LeaseRequest,
  type WatchRequest,
} from '../src/generated/platform.js';
import {MAXIMUM_VALUE_BYTES} from '../src/ports/store.js';
import {startStandinServer, applyKnobs} from './standin-control.js';
import {Random} from '../src/routing/random.js';

interface StoredEntry {
  value: Buffer;
  version: number;
}

interface Lease {
  holder: string;
  token: number;
  deadline: number;
}

/** A watch that has not been answered. */
interface PendingWatch {
  readonly request: WatchRequest;
  /** Answers the call with the current value. */
  readonly answer: () => void;
}

const EMPTY: StoredEntry = {value: Buffer.alloc(0), version: 0};

/** Key-value store in memory whose faults are set through its control service. */
export class StoreStandin {
  private readonly entries = new Map<string, StoredEntry>();
  private readonly leases = new Map<string, Lease>();
  private pendingWatches: PendingWatch[] = [];
  private lastToken = 0;
  private readonly random: Random;
  private readonly knobs = {
    /** Whether every call fails. */
    down: false,
    /** Delay before a call takes effect, in milliseconds. */
    slowMs: 0,
    /** Fraction of writes that take effect although their response is lost. */
    loseAnswers: 0,
  };
  private readonly counts = {calls: 0, writes: 0, reads: 0, watches: 0};

  private constructor(seed: number) {
    this.random = Random.create(seed);
  }

  /** Starts the store at "ip:port". */
  static async create(address: string, seed: number): Promise<StoreStandin> {
    const store = new StoreStandin(seed);
    await startStandinServer(
      address,
      settings => store.applySettings(settings),
      [{definition: KeyValueService, implementation: {...store.service()}}],
    );
    return store;
  }

  private applySettings(settings: Record<string, unknown>): unknown {
    applyKnobs(this.knobs, settings);
    if (this.knobs.down) {
      this.pendingWatches.forEach(watch => watch.answer());
      this.pendingWatches = [];
    }
    return {...this.counts, waiting: this.pendingWatches.length};
  }

  private service(): KeyValueServer {
    return {
      get: (call, callback) =>
        this.serve('reads', callback, () => this.read(call.request.key)),
      compareAndSwap: (call, callback) =>
        this.serve('writes', callback, () => this.swap(call.request)),
      watch: (call, callback) => this.watch(call.request, callback),
      acquireLease: (call, callback) =>
        this.serve('writes', callback, () => this.acquire(call.request)),
      releaseLease: (call, callback) =>
        this.serve('writes', callback, () => this.release(call.request)),
    };
  }

  /** Serves a call, subject to the current faults. */
  private serve<T>(
    kind: 'reads' | 'writes',
    callback: sendUnaryData<T>,
    run: () => T,
  ): void {
    this.counts.calls += 1;
    this.counts[kind] += 1;
    const finish = () => {
      if (this.knobs.down) {
        fail(callback, 'store is down');
        return;
      }
      const reply = run();
      const lost =
        kind === 'writes' && this.random.nextBool(this.knobs.loseAnswers);
      if (lost) {
        fail(callback, 'response lost');
      } else {
        callback(null, reply);
      }
    };
    if (this.knobs.slowMs > 0) {
      setTimeout(finish, this.knobs.slowMs);
    } else {
      finish();
    }
  }

  private read(key: string): GetReply {
    const {value, version} = this.entries.get(key) ?? EMPTY;
    return {key, value, version};
  }

  private swap(request: CompareAndSwapRequest): CompareAndSwapReply {
    const {key, value, expectedVersion} = request;
    const known = this.entries.get(key) ?? EMPTY;
    if (known.version !== expectedVersion) {
      return {swapped: false, version: known.version, value: known.value};
    }
    if (value.length > MAXIMUM_VALUE_BYTES) {
      return {swapped: false, version: known.version, value: known.value};
    }
    const version = known.version + 1;
    this.entries.set(key, {value, version});
    this.notifyWatches(key);
    return {swapped: true, version, value: Buffer.alloc(0)};
  }

  private watch(
    request: WatchRequest,
    callback: sendUnaryData<GetReply>,
  ): void {
    this.counts.calls += 1;
    this.counts.watches += 1;
    if (this.knobs.down) {
      fail(callback, 'store is down');
      return;
    }
    if (this.read(request.key).version > request.afterVersion) {
      this.answerWatch(request, callback);
      return;
    }
    const timer = setTimeout(() => answer(), request.timeoutMs);
    const pending: PendingWatch = {
      request,
      answer: () => {
        clearTimeout(timer);
        this.answerWatch(request, callback);
      },
    };
    const answer = () => {
      this.pendingWatches = this.pendingWatches.filter(
        other => other !== pending,
      );
      pending.answer();
    };
    this.pendingWatches.push(pending);
  }

  private answerWatch(
    request: WatchRequest,
    callback: sendUnaryData<GetReply>,
  ): void {
    setTimeout(() => {
      if (this.knobs.down) {
        fail(callback, 'store is down');
      } else {
        callback(null, this.read(request.key));
      }
    }, this.knobs.slowMs);
  }

  private notifyWatches(key: string): void {
    const matching = this.pendingWatches.filter(
      ({request}) => request.key === key,
    );
    this.pendingWatches = this.pendingWatches.filter(
      ({request}) => request.key !== key,
    );
    matching.forEach(watch => watch.answer());
  }

  private acquire(request: LeaseRequest): LeaseReply {
    const now = Date.now();
    const known = this.leases.get(request.key);
    const taken = known !== undefined && known.deadline > now;
    if (taken && known.holder !== request.holder) {
      return leaseReply(known, false, now);
    }
    const renewed = taken && known.holder === request.holder;
    this.lastToken += renewed ? 0 : 1;
    const lease: Lease = {
      holder: request.holder,
      token: renewed ? known.token : this.lastToken,
      deadline: now + request.timeToLiveMs,
    };
    this.leases.set(request.key, lease);
    return leaseReply(lease, true, now);
  }

  private release(request: LeaseRequest): LeaseReply {
    const known = this.leases.get(request.key);
    if (known?.holder === request.holder) {
      this.leases.delete(request.key);
    }
    return {held: false, holder: '', remainingMs: 0, token: 0};
  }
}

function leaseReply(lease: Lease, held: boolean, now: number): LeaseReply {
  return {
    held,
    holder: lease.holder,
    remainingMs: Math.max(0, lease.deadline - now),
    token: lease.token,
  };
}

function fail<T>(callback: sendUnaryData<T>, details: string): void {
  callback({code: status.UNAVAILABLE, details});
}
