/** Runs the request handling of several daemons in one process over in-memory ports. */
import {ResultAsync, errAsync} from 'neverthrow';
import {Dispatcher} from '../src/admission/dispatcher.js';
import {KeyGuard, type GuardedRequest} from '../src/admission/key-guard.js';
import {KeyRanges, type RangeView} from '../src/admission/key-ranges.js';
import {LeasedKeyGuard, rangeOf} from '../src/admission/leased-key-guard.js';
import type {Outcome} from '../src/admission/outcome.js';
import {RequestEntry} from '../src/admission/request-entry.js';
import type {Service} from '../src/configuration/services.js';
import type {
  CallerReply,
  HealthReply,
  RunReply,
  RunRequest,
} from '../src/generated/request.js';
import {
  BackendServers,
  BackendSilent,
  BackendUnreachable,
  type BackendFailure,
} from '../src/ports/backend-servers.js';
import type {Hasher} from '../src/ports/hasher.js';
import {FakeClock, ProcessClock} from './fake-clock.js';
import {MemoryCounters} from '../src/adapters/memory-counters.js';
import {NoopTimeline} from './memory-fleet.js';
import {MemoryNetwork, MemoryPeers} from './memory-network.js';
import {MemoryStore} from './memory-store.js';
import {Random} from '../src/routing/random.js';

const DAEMON_COUNT = 4;
const SERVERS = ['10.1.0.1:80', '10.1.0.2:80', '10.1.0.3:80'];
const SERVER_SLOTS = 3;
const REQUEST_DURATION_MS = 20;
const CALLER_TIMEOUT_MS = 5_000;

const SERVICE: Service = {
  workspace: 'parkwise',
  name: 'meterpay',
  template: 'meterpay',
  address: '10.20.0.1:443',
  servers: SERVERS.map(id => ({id, weight: 1})),
  pool: 'meterpay',
  slots: SERVER_SLOTS,
  connections: 2_000,
  warmUpMs: 1,
  flexibleShare: 0.25,
  idleLimitMs: 1_000,
  lifetimeMs: 1_000,
  repeatable: false,
  deadlineMs: 10_000,
  queue: 200,
  requestsInFlight: 1_000,
};

/** Backend servers that count the runs of each idempotency key. */
export class MemoryRequestServers extends BackendServers {
  readonly runs = new Map<string, number>();
  /** Fraction of answers that are lost. */
  lostAnswerRate = 0;
  /** Fraction of answers that are truncated. */
  truncatedAnswerRate = 0;
  /** Busy slots by server. */
  private readonly busy = new Map<string, number>();

  private constructor(
    private readonly clock: FakeClock,
    private readonly random: Random,
  ) {
    super();
  }

  /** Creates idle servers. */
  static create(clock: FakeClock, random: Random): MemoryRequestServers {
    return new MemoryRequestServers(clock, random);
  }

  /** Returns the complete answer to the request with a key. */
  createAnswer(key: string): string {
    return `answer to ${key}`;
  }

  send(): void {}

  health(server: string): ResultAsync<HealthReply, BackendFailure> {
    return errAsync(BackendUnreachable.create(server, 'accepts requests only'));
  }

  run(
    server: string,
    request: RunRequest,
    deadline: number,
  ): ResultAsync<RunReply, BackendFailure> {
    const served = new Promise<RunReply>((resolve, reject) => {
      this.clock.callAt(deadline, () =>
        reject(BackendSilent.create(server, 'deadline exceeded')),
      );
      const delay = this.random.next() * 3;
      this.clock.callAt(this.clock.now() + delay, () =>
        this.startRequest(server, request, resolve),
      );
    });
    return ResultAsync.fromPromise(served, error => error as BackendFailure);
  }

  private startRequest(
    server: string,
    request: RunRequest,
    answer: (reply: RunReply) => void,
  ): void {
    const {key, attempt, startByMs} = request;
    const busy = this.busy.get(server) ?? 0;
    const late = startByMs > 0 && this.clock.wall() > startByMs;
    if (late || busy >= SERVER_SLOTS) {
      answer({
        started: false,
        refusal: late ? 'late' : 'shed',
        body: Buffer.alloc(0),
        attempt,
        key,
        bodyLength: 0,
        busySlots: busy,
      });
      return;
    }
    this.busy.set(server, busy + 1);
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    this.clock.callAt(this.clock.now() + REQUEST_DURATION_MS, () => {
      this.busy.set(server, (this.busy.get(server) ?? 1) - 1);
      this.finishRequest(request, answer);
    });
  }

  private finishRequest(
    {key, attempt}: RunRequest,
    answer: (reply: RunReply) => void,
  ): void {
    if (this.random.nextBool(this.lostAnswerRate)) {
      return;
    }
    const whole = Buffer.from(this.createAnswer(key));
    const isTruncated = this.random.nextBool(this.truncatedAnswerRate);
    answer({
      started: true,
      refusal: '',
      body: isTruncated ? whole.subarray(0, 4) : whole,
      attempt,
      key,
      bodyLength: whole.length,
      busySlots: 0,
    });
  }
}

/** Runs every request: ownership by membership view alone, without leases or records. */
class ViewKeyGuard extends KeyGuard {
  run(request: GuardedRequest): Promise<Outcome> {
    return request.execute(() => request.deadline);
  }
}

interface RequestDaemon {
  readonly id: string;
  readonly address: string;
  readonly clock: ProcessClock;
  readonly entry: RequestEntry;
  readonly ranges: KeyRanges;
  alive: boolean;
  frozen: boolean;
}

/** Options of a fleet. */
export interface MemoryRequestsOptions {
  readonly hasher: Hasher;
  readonly seed: number;
  /** Whether leases guard the keys; without them, split views run requests twice. */
  readonly guarded: boolean;
}

/** A reply to a caller, with the key of its request. */
export interface KeyedReply {
  readonly key: string;
  readonly reply: CallerReply;
}

/** Daemons, store, backend servers and callers of one test. */
export class MemoryRequests {
  readonly clock = FakeClock.create();
  readonly store: MemoryStore;
  readonly backends: MemoryRequestServers;
  readonly replies: KeyedReply[] = [];
  private readonly random: Random;
  private readonly network: MemoryNetwork;
  private readonly daemons: RequestDaemon[];
  private readonly issuedAt = new Map<string, number>();
  private readonly sendCounts = new Map<string, number>();
  /** Ids of the daemons that each daemon considers gone, by its id. */
  private readonly hiddenPeers = new Map<string, Set<string>>();

  private constructor(private readonly options: MemoryRequestsOptions) {
    this.random = Random.create(options.seed);
    this.network = MemoryNetwork.create(this.clock, this.random);
    this.store = MemoryStore.create(this.clock, this.random);
    this.backends = MemoryRequestServers.create(this.clock, this.random);
    this.daemons = Array.from({length: DAEMON_COUNT}, (_, index) =>
      this.createDaemon(`daemon-${index}`, `127.0.0.1:${7_000 + index}`),
    );
  }

  /** Creates a fleet whose daemons start to acquire their key ranges. */
  static create(options: MemoryRequestsOptions): MemoryRequests {
    return new MemoryRequests(options);
  }

  /** Sends a request with a new key to `copies` randomly chosen daemons. */
  send(copies: number): void {
    const key = `key-${this.issuedAt.size}`;
    this.issuedAt.set(key, this.clock.wall());
    Array.from({length: copies}).forEach(() => this.submit(key));
  }

  /** Resends an earlier request. */
  resend(index: number): void {
    const keys = [...this.issuedAt.keys()];
    if (keys.length > 0) {
      this.submit(keys[index % keys.length]);
    }
  }

  /** Whether a request was sent more than once, and so may get several replies. */
  wasResent(key: string): boolean {
    return (this.sendCounts.get(key) ?? 0) > 1;
  }

  /** Freezes a daemon, which the others consider gone; at most one at a time. */
  freeze(index: number): void {
    const daemon = this.daemons[index % DAEMON_COUNT];
    const others = this.daemons.filter(other => other !== daemon);
    if (others.every(({alive, frozen}) => alive && !frozen)) {
      daemon.frozen = true;
      daemon.clock.freeze();
      this.network.freeze(daemon.address);
    }
  }

  /** Resumes the frozen daemons. */
  thaw(): void {
    this.daemons
      .filter(({frozen}) => frozen)
      .forEach(daemon => {
        daemon.frozen = false;
        daemon.clock.thaw();
        this.network.thaw(daemon.address);
      });
  }

  /** Crashes a daemon unless another one is crashed or frozen. */
  crash(index: number): void {
    const daemon = this.daemons[index % DAEMON_COUNT];
    if (this.daemons.every(({alive, frozen}) => alive && !frozen)) {
      daemon.alive = false;
      daemon.clock.freeze();
      this.network.detach(daemon.address);
    }
  }

  /** Makes one daemon consider all others gone. */
  hideAllPeers(index: number): void {
    const daemon = this.daemons[index % DAEMON_COUNT];
    const others = this.daemons.filter(other => other !== daemon);
    this.hiddenPeers.set(daemon.id, new Set(others.map(({id}) => id)));
  }

  /** Makes the views of all daemons agree again. */
  restoreViews(): void {
    this.hiddenPeers.clear();
  }

  private submit(key: string): void {
    const running = this.daemons.filter(({alive, frozen}) => alive && !frozen);
    const daemon = this.random.pick(running);
    if (daemon === undefined) {
      return;
    }
    this.sendCounts.set(key, (this.sendCounts.get(key) ?? 0) + 1);
    void daemon.entry
      .handle({
        workspace: SERVICE.workspace,
        service: SERVICE.name,
        key,
        repeatable: false,
        timeLeftMs: CALLER_TIMEOUT_MS,
        body: Buffer.alloc(0),
        hops: 0,
        issuedMs: this.issuedAt.get(key) ?? 0,
      })
      .then(reply => this.replies.push({key, reply}));
  }

  private createDaemon(id: string, address: string): RequestDaemon {
    const {hasher, guarded} = this.options;
    const clock = ProcessClock.create(this.clock);
    const peers = MemoryPeers.create(this.network, id, address);
    const counters = MemoryCounters.create();
    const view = this.createView(id);
    const ranges = KeyRanges.create({store: this.store, peers, clock, view});
    const common = {self: id, clock, hasher, counters, backends: this.backends};
    const dispatcher = Dispatcher.create({
      ...common,
      queueCapacity: SERVICE.queue,
      retryShare: 0.1,
    });
    dispatcher.useServers(
      SERVERS.map(server => ({id: server, slots: SERVER_SLOTS})),
      Array.from({length: DAEMON_COUNT}, (_, index) => `daemon-${index}`),
    );
    const entry = RequestEntry.create({
      ...common,
      timeline: NoopTimeline.create(),
      peers,
      guard: guarded
        ? LeasedKeyGuard.create(ranges, hasher, clock)
        : new ViewKeyGuard(),
      findService: () => SERVICE,
      dispatcherOf: () => dispatcher,
      ownerOf: key => {
        const owner = view.ownerOf(rangeOf(key, hasher));
        return {
          address:
            owner === id || owner === undefined
              ? undefined
              : view.addressOf(owner),
        };
      },
    });
    this.network.attach(address, {
      onPassed: () => undefined,
      onHint: () => undefined,
      onProbe: () => undefined,
      onExceptions: () => 0,
      onPullState: () => [],
      onPullChanges: () => ({epoch: 0, top: 0, changes: []}),
      onPullMembers: () => ({members: [], loads: []}),
      onForward: request => entry.handle(request),
      onKeepKeys: (range, records) => ranges.get(range).keys.merge(records),
      onPullKeys: range => ranges.get(range).keys.records(),
    });
    ranges.start();
    return {id, address, clock, entry, ranges, alive: true, frozen: false};
  }

  /** Creates the membership view of one daemon. */
  private createView(self: string): RangeView {
    const sees = (id: string) => {
      const daemon = this.daemons?.find(other => other.id === id);
      const hidden = this.hiddenPeers.get(self)?.has(id) === true;
      const gone = daemon !== undefined && (!daemon.alive || daemon.frozen);
      return id === self || (!hidden && !gone);
    };
    const all = Array.from(
      {length: DAEMON_COUNT},
      (_, index) => `daemon-${index}`,
    );
    const ranked = (range: number) => {
      const score = (id: string) => this.options.hasher.hashText(id, range);
      return all.filter(sees).sort((a, b) => score(b) - score(a));
    };
    return {
      self,
      ownerOf: range => ranked(range)[0],
      backupsOf: range => ranked(range).filter(id => id !== self),
      addressOf: run =>
        sees(run) ? `127.0.0.1:${7_000 + all.indexOf(run)}` : undefined,
    };
  }
}
