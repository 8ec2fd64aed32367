/** Several daemons' request parts in one process over fakes of every port. */
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
import {SilentTimeline} from './memory-fleet.js';
import {MemoryNetwork, MemoryPeers} from './memory-network.js';
import {MemoryStore} from './memory-store.js';
import {Random} from '../src/routing/random.js';

const DAEMONS = 4;
const SERVERS = ['10.1.0.1:80', '10.1.0.2:80', '10.1.0.3:80'];
const SLOTS = 3;
const SERVICE_MS = 20;
const DEADLINE_MS = 5_000;

const SERVICE: Service = {
  workspace: 'parkwise',
  name: 'meterpay',
  template: 'meterpay',
  address: '10.20.0.1:443',
  servers: SERVERS.map(id => ({id, weight: 1})),
  pool: 'meterpay',
  slots: SLOTS,
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

/** Servers that count the runs of each key. */
export class MemoryRequestServers extends BackendServers {
  readonly runs = new Map<string, number>();
  lostAnswers = 0;
  truncatedAnswers = 0;
  private readonly busy = new Map<string, number>();

  private constructor(
    private readonly clock: FakeClock,
    private readonly random: Random,
  ) {
    super();
  }

  /** Creates the servers. */
  static create(clock: FakeClock, random: Random): MemoryRequestServers {
    return new MemoryRequestServers(clock, random);
  }

  /** The whole answer to a key. */
  answerTo(key: string): string {
    return `answer to ${key}`;
  }

  send(): void {}

  health(server: string): ResultAsync<HealthReply, BackendFailure> {
    return errAsync(BackendUnreachable.create(server, 'takes requests only'));
  }

  run(
    server: string,
    request: RunRequest,
    deadline: number,
  ): ResultAsync<RunReply, BackendFailure> {
    const served = new Promise<RunReply>((resolve, reject) => {
      this.clock.callAt(deadline, () =>
        reject(BackendSilent.create(server, 'deadline')),
      );
      const delay = this.random.next() * 3;
      this.clock.callAt(this.clock.now() + delay, () =>
        this.arrive(server, request, resolve),
      );
    });
    return ResultAsync.fromPromise(served, error => error as BackendFailure);
  }

  private arrive(
    server: string,
    request: RunRequest,
    answer: (reply: RunReply) => void,
  ): void {
    const {key, attempt, startByMs} = request;
    const busy = this.busy.get(server) ?? 0;
    const late = startByMs > 0 && this.clock.wall() > startByMs;
    if (late || busy >= SLOTS) {
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
    this.clock.callAt(this.clock.now() + SERVICE_MS, () => {
      this.busy.set(server, (this.busy.get(server) ?? 1) - 1);
      this.finish(request, answer);
    });
  }

  private finish(
    {key, attempt}: RunRequest,
    answer: (reply: RunReply) => void,
  ): void {
    if (this.random.happens(this.lostAnswers)) {
      return;
    }
    const whole = Buffer.from(this.answerTo(key));
    const cut = this.random.happens(this.truncatedAnswers);
    answer({
      started: true,
      refusal: '',
      body: cut ? whole.subarray(0, 4) : whole,
      attempt,
      key,
      bodyLength: whole.length,
      busySlots: 0,
    });
  }
}

/** Ownership by view alone: no lease, no copies, no memory. */
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

/** What a fleet is made from. */
export interface MemoryRequestsOptions {
  readonly hasher: Hasher;
  readonly seed: number;
  /** False: ownership by view alone, to show what it breaks. */
  readonly guarded: boolean;
}

/** A reply that a caller got. */
export interface KeyedReply {
  readonly key: string;
  readonly reply: CallerReply;
}

/** Daemons, store, servers and callers of one test. */
export class MemoryRequests {
  readonly clock = FakeClock.create();
  readonly store: MemoryStore;
  readonly backends: MemoryRequestServers;
  readonly replies: KeyedReply[] = [];
  private readonly random: Random;
  private readonly network: MemoryNetwork;
  private readonly daemons: RequestDaemon[];
  private readonly issued = new Map<string, number>();
  private readonly sends = new Map<string, number>();
  /** Daemons that one daemon takes for gone, by its id. */
  private readonly unseen = new Map<string, Set<string>>();

  private constructor(private readonly options: MemoryRequestsOptions) {
    this.random = Random.create(options.seed);
    this.network = MemoryNetwork.create(this.clock, this.random);
    this.store = MemoryStore.create(this.clock, this.random);
    this.backends = MemoryRequestServers.create(this.clock, this.random);
    this.daemons = Array.from({length: DAEMONS}, (_, index) =>
      this.createDaemon(`daemon-${index}`, `127.0.0.1:${7_000 + index}`),
    );
  }

  /** Creates a fleet whose daemons begin to take their ranges. */
  static create(options: MemoryRequestsOptions): MemoryRequests {
    return new MemoryRequests(options);
  }

  /** Sends a new payment to one or more daemons at once. */
  send(copies: number): void {
    const key = `key-${this.issued.size}`;
    this.issued.set(key, this.clock.wall());
    Array.from({length: copies}).forEach(() => this.call(key));
  }

  /** A caller sends an earlier payment again. */
  resend(pick: number): void {
    const keys = [...this.issued.keys()];
    if (keys.length > 0) {
      this.call(keys[pick % keys.length]);
    }
  }

  /** Whether a key was sent more than once, so that one reply is not all. */
  wasSentAgain(key: string): boolean {
    return (this.sends.get(key) ?? 0) > 1;
  }

  /** Pauses a daemon; the others take it for gone. */
  freeze(pick: number): void {
    const daemon = this.daemons[pick % DAEMONS];
    const others = this.daemons.filter(other => other !== daemon);
    if (others.every(({alive, frozen}) => alive && !frozen)) {
      daemon.frozen = true;
      daemon.clock.freeze();
      this.network.freeze(daemon.address);
    }
  }

  /** Wakes the paused daemons. */
  thaw(): void {
    this.daemons
      .filter(({frozen}) => frozen)
      .forEach(daemon => {
        daemon.frozen = false;
        daemon.clock.thaw();
        this.network.thaw(daemon.address);
      });
  }

  /** Ends a daemon for good; at most one. */
  crash(pick: number): void {
    const daemon = this.daemons[pick % DAEMONS];
    if (this.daemons.every(({alive, frozen}) => alive && !frozen)) {
      daemon.alive = false;
      daemon.clock.freeze();
      this.network.detach(daemon.address);
    }
  }

  /** Makes one daemon take all others for gone. */
  split(pick: number): void {
    const daemon = this.daemons[pick % DAEMONS];
    const others = this.daemons.filter(other => other !== daemon);
    this.unseen.set(daemon.id, new Set(others.map(({id}) => id)));
  }

  /** Views agree again. */
  agree(): void {
    this.unseen.clear();
  }

  private call(key: string): void {
    const running = this.daemons.filter(({alive, frozen}) => alive && !frozen);
    const daemon = this.random.pick(running);
    if (daemon === undefined) {
      return;
    }
    this.sends.set(key, (this.sends.get(key) ?? 0) + 1);
    void daemon.entry
      .handle({
        workspace: SERVICE.workspace,
        service: SERVICE.name,
        key,
        repeatable: false,
        timeLeftMs: DEADLINE_MS,
        body: Buffer.alloc(0),
        hops: 0,
        issuedMs: this.issued.get(key) ?? 0,
      })
      .then(reply => this.replies.push({key, reply}));
  }

  private createDaemon(id: string, address: string): RequestDaemon {
    const {hasher, guarded} = this.options;
    const clock = ProcessClock.create(this.clock);
    const peers = MemoryPeers.create(this.network, id, address);
    const counters = MemoryCounters.create();
    const view = this.viewOf(id);
    const ranges = KeyRanges.create({store: this.store, peers, clock, view});
    const common = {self: id, clock, hasher, counters, backends: this.backends};
    const dispatcher = Dispatcher.create({
      ...common,
      queueBound: SERVICE.queue,
      retryShare: 0.1,
    });
    dispatcher.useServers(
      SERVERS.map(server => ({id: server, slots: SLOTS})),
      Array.from({length: DAEMONS}, (_, index) => `daemon-${index}`),
    );
    const entry = RequestEntry.create({
      ...common,
      timeline: SilentTimeline.create(),
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
      onKeepKeys: (range, records) => ranges.get(range).memory.merge(records),
      onPullKeys: range => ranges.get(range).memory.records(),
    });
    ranges.start();
    return {id, address, clock, entry, ranges, alive: true, frozen: false};
  }

  /** What one daemon takes the others for. */
  private viewOf(self: string): RangeView {
    const sees = (id: string) => {
      const daemon = this.daemons?.find(other => other.id === id);
      const hidden = this.unseen.get(self)?.has(id) === true;
      const gone = daemon !== undefined && (!daemon.alive || daemon.frozen);
      return id === self || (!hidden && !gone);
    };
    const all = Array.from({length: DAEMONS}, (_, index) => `daemon-${index}`);
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
