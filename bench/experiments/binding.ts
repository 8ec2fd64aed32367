/**
 * Late binding beside three ways to bind a request to a server at once, in
 * virtual time: eight daemons before ten servers of three slots. The servers
 * shed what they cannot run, as the users' do; the three ways then try another
 * server, three in all. For comparison they also run before servers that queue.
 */
import {Dispatcher} from '../../src/admission/dispatcher.js';
import {XxhashHasher} from '../../src/adapters/xxhash-hasher.js';
import type {RunReply, RunRequest} from '../../src/generated/request.js';
import {
  BackendServers,
  BackendUnreachable,
  type BackendFailure,
} from '../../src/ports/backend-servers.js';
import type {Hasher} from '../../src/ports/hasher.js';
import {build} from 'hdr-histogram-js';
import {ResultAsync, errAsync} from 'neverthrow';
import {FakeClock} from '../../standins/fake-clock.js';
import {MemoryCounters} from '../../src/adapters/memory-counters.js';
import {Random} from '../../src/routing/random.js';
import {imbalanceOf, round} from '../measures.js';
import type {Experiment} from './experiment.js';

const DAEMONS = 8;
const SERVERS = 10;
const SLOTS = 3;
const SERVICE_MS = 100;
const LOAD = 0.7;
const REQUESTS = 6_000;
const DEADLINE_MS = 60_000;
const NETWORK_MS = 1;
const LAGS_MS = [0, 1_000, 5_000];
const STEP_MS = 5;
const TRIES = 3;
const MICROSECONDS = 1_000;

type Binding = 'late' | 'random' | 'two-choices' | 'least-outstanding';

/** Servers in virtual time; with a queue they never refuse. */
class QueueingServers extends BackendServers {
  readonly served = new Array<number>(SERVERS).fill(0);
  readonly load = new Array<number>(SERVERS).fill(0);
  private readonly waiting: (() => void)[][] = Array.from(
    {length: SERVERS},
    () => [],
  );

  constructor(
    private readonly clock: FakeClock,
    private readonly random: Random,
    private readonly queues: boolean,
  ) {
    super();
  }

  send(): void {}

  health(server: string) {
    return errAsync(BackendUnreachable.create(server, 'requests only'));
  }

  run(
    server: string,
    request: RunRequest,
  ): ResultAsync<RunReply, BackendFailure> {
    const index = Number(server);
    const served = new Promise<RunReply>(resolve => {
      this.clock.callAt(this.clock.now() + NETWORK_MS, () =>
        this.arrive(index, request, resolve),
      );
    });
    return ResultAsync.fromSafePromise(served);
  }

  private arrive(
    index: number,
    request: RunRequest,
    answer: (reply: RunReply) => void,
  ): void {
    const full = this.load[index] >= SLOTS;
    if (full && !this.queues) {
      answer(this.reply(index, request, false));
      return;
    }
    this.load[index] += 1;
    if (full) {
      this.waiting[index].push(() => this.serve(index, request, answer));
    } else {
      this.serve(index, request, answer);
    }
  }

  private serve(
    index: number,
    request: RunRequest,
    answer: (reply: RunReply) => void,
  ): void {
    const time = SERVICE_MS / 2 + this.random.exponential(SERVICE_MS / 2);
    this.clock.callAt(this.clock.now() + time, () => {
      this.load[index] -= 1;
      this.served[index] += 1;
      answer(this.reply(index, request, true));
      this.waiting[index].shift()?.();
    });
  }

  private reply(
    index: number,
    {attempt, key}: RunRequest,
    started: boolean,
  ): RunReply {
    const busySlots = Math.min(SLOTS, this.load[index]);
    const refusal = started ? '' : 'shed';
    const body = Buffer.alloc(0);
    return {started, refusal, body, attempt, key, bodyLength: 0, busySlots};
  }
}

/** p50, p99 and imbalance of each way and lag of the load reports. */
export const binding: Experiment = {
  name: 'binding',
  summary: 'late binding beside random, two choices and least outstanding',
  run: async context => {
    const hasher = await XxhashHasher.create();
    const cases: object[] = [];
    const ways: (readonly [Binding, number])[] = [
      ['random', 0],
      ['least-outstanding', 0],
      ...LAGS_MS.map(lag => ['two-choices', lag] as const),
    ];
    const settings: (readonly [Binding, number, boolean])[] = [
      ['late', 0, false],
      ...ways.map(([way, lag]) => [way, lag, false] as const),
      ...ways.map(([way, lag]) => [way, lag, true] as const),
    ];
    await settings.reduce(async (earlier, [way, lagMs, queues]) => {
      await earlier;
      const result = await runCase(hasher, context.seed, way, lagMs, queues);
      const row = {binding: way, lagMs, serversQueue: queues, ...result};
      context.say(JSON.stringify(row));
      cases.push(row);
    }, Promise.resolve());
    return {figures: {cases}, broken: []};
  },
};

async function runCase(
  hasher: Hasher,
  seed: number,
  way: Binding,
  lagMs: number,
  queues: boolean,
) {
  const clock = FakeClock.create();
  const random = Random.create(seed);
  const servers = new QueueingServers(clock, random, queues);
  const histogram = build({numberOfSignificantValueDigits: 3});
  const daemons = Array.from({length: DAEMONS}, (_, daemon) =>
    way === 'late'
      ? createLate(hasher, clock, servers, daemon)
      : createEarly(clock, random, servers, way, lagMs),
  );
  const rate = (SERVERS * SLOTS * 1_000 * LOAD) / SERVICE_MS;
  let sent = 0;
  const startMs = clock.now();
  while (sent < REQUESTS) {
    await clock.advance(STEP_MS);
    const due = Math.floor(((clock.now() - startMs) / 1_000) * rate) - sent;
    Array.from({length: due}).forEach(() => {
      sent += 1;
      const began = clock.now();
      void daemons[random.below(DAEMONS)](`key-${sent}`).then(answered => {
        if (answered) {
          histogram.recordValue((clock.now() - began) * MICROSECONDS);
        }
      });
    });
  }
  await clock.advance(20_000);
  return {
    answeredShare: round(histogram.totalCount / REQUESTS),
    p50: round(histogram.getValueAtPercentile(50) / MICROSECONDS),
    p99: round(histogram.getValueAtPercentile(99) / MICROSECONDS),
    imbalance: imbalanceOf(servers.served),
  };
}

/** Sends one request; whether it was answered. */
type Send = (key: string) => Promise<boolean>;

function createLate(
  hasher: Hasher,
  clock: FakeClock,
  backends: QueueingServers,
  daemon: number,
): Send {
  const dispatcher = Dispatcher.create({
    self: `daemon-${daemon}`,
    clock,
    hasher,
    counters: MemoryCounters.create(),
    backends,
    queueBound: 10_000,
    retryShare: 0.05,
  });
  dispatcher.useServers(
    Array.from({length: SERVERS}, (_, id) => ({id: String(id), slots: SLOTS})),
    Array.from({length: DAEMONS}, (_, id) => `daemon-${id}`),
  );
  return key => {
    const deadline = clock.now() + DEADLINE_MS;
    const outcome = dispatcher.run({
      workspace: 'w',
      service: 's',
      key,
      body: Buffer.alloc(0),
      repeatable: false,
      deadline,
      startDeadline: () => deadline,
    });
    return outcome.then(({reason}) => reason === 'answered');
  };
}

/** Binds at arrival; the server queues. */
function createEarly(
  clock: FakeClock,
  random: Random,
  backends: QueueingServers,
  way: Binding,
  lagMs: number,
): Send {
  const outstanding = new Array<number>(SERVERS).fill(0);
  let reported = [...backends.load];
  let reportedAt = -Infinity;
  const report = () => {
    if (clock.now() - reportedAt >= lagMs) {
      reported = [...backends.load];
      reportedAt = clock.now();
    }
    return reported;
  };
  const least = (loads: readonly number[], candidates: readonly number[]) =>
    candidates.reduce((best, next) =>
      loads[next] < loads[best] ? next : best,
    );
  const choose = (): number => {
    const first = random.below(SERVERS);
    if (way === 'random') {
      return first;
    }
    return way === 'two-choices'
      ? least(report(), [first, random.below(SERVERS)])
      : least(
          outstanding,
          Array.from({length: SERVERS}, (_, i) => (first + i) % SERVERS),
        );
  };
  const send = async (key: string, tries: number): Promise<boolean> => {
    const server = choose();
    outstanding[server] += 1;
    const result = await backends.run(String(server), {
      workspace: 'w',
      service: 's',
      key,
      attempt: 1,
      timeLeftMs: DEADLINE_MS,
      body: Buffer.alloc(0),
      startByMs: 0,
    });
    outstanding[server] -= 1;
    const started = result.isOk() && result.value.started;
    return started || (tries > 1 && send(key, tries - 1));
  };
  return key => send(key, TRIES);
}
