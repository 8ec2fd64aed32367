/**
 * Compares late binding of requests with three policies that bind on arrival, in
 * virtual time. The latter run with servers that shed requests when all slots are
 * busy, with up to three attempts, and with servers that queue them.
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
import {computeImbalance, round} from '../measures.js';
import type {Experiment} from './experiment.js';

const DAEMONS = 8;
const SERVERS = 10;
const SLOTS = 3;
const SERVICE_MS = 100;
const LOAD_FACTOR = 0.7;
const REQUESTS = 6_000;
const DEADLINE_MS = 60_000;
const NETWORK_DELAY_MS = 1;
const REPORT_LAGS_MS = [0, 1_000, 5_000];
const STEP_MS = 5;
const MAX_ATTEMPTS = 3;
const MICROSECONDS_PER_MS = 1_000;

type BindingPolicy = 'late' | 'random' | 'two-choices' | 'least-outstanding';

/** Servers in virtual time that either queue or shed requests when full. */
class SimulatedServers extends BackendServers {
  readonly served = new Array<number>(SERVERS).fill(0);
  readonly load = new Array<number>(SERVERS).fill(0);
  private readonly queued: (() => void)[][] = Array.from(
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
      this.clock.callAt(this.clock.now() + NETWORK_DELAY_MS, () =>
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
      this.queued[index].push(() => this.serve(index, request, answer));
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
      this.queued[index].shift()?.();
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

/** Reports latency and imbalance by policy and age of the load reports. */
export const binding: Experiment = {
  name: 'binding',
  summary: 'late binding compared with random, two choices, least outstanding',
  run: async context => {
    const hasher = await XxhashHasher.create();
    const cases: object[] = [];
    const immediatePolicies: (readonly [BindingPolicy, number])[] = [
      ['random', 0],
      ['least-outstanding', 0],
      ...REPORT_LAGS_MS.map(lag => ['two-choices', lag] as const),
    ];
    const settings: (readonly [BindingPolicy, number, boolean])[] = [
      ['late', 0, false],
      ...immediatePolicies.map(
        ([policy, lag]) => [policy, lag, false] as const,
      ),
      ...immediatePolicies.map(([policy, lag]) => [policy, lag, true] as const),
    ];
    await settings.reduce(async (earlier, [policy, lagMs, queues]) => {
      await earlier;
      const result = await runCase(hasher, context.seed, policy, lagMs, queues);
      const row = {binding: policy, lagMs, serversQueue: queues, ...result};
      context.log(JSON.stringify(row));
      cases.push(row);
    }, Promise.resolve());
    return {figures: {cases}, failures: []};
  },
};

async function runCase(
  hasher: Hasher,
  seed: number,
  policy: BindingPolicy,
  lagMs: number,
  queues: boolean,
) {
  const clock = FakeClock.create();
  const random = Random.create(seed);
  const servers = new SimulatedServers(clock, random, queues);
  const histogram = build({numberOfSignificantValueDigits: 3});
  const daemons = Array.from({length: DAEMONS}, (_, daemon) =>
    policy === 'late'
      ? createLateBinding(hasher, clock, servers, daemon)
      : createEarlyBinding(clock, random, servers, policy, lagMs),
  );
  const rate = (SERVERS * SLOTS * 1_000 * LOAD_FACTOR) / SERVICE_MS;
  let sent = 0;
  const startMs = clock.now();
  while (sent < REQUESTS) {
    await clock.advance(STEP_MS);
    const due = Math.floor(((clock.now() - startMs) / 1_000) * rate) - sent;
    Array.from({length: due}).forEach(() => {
      sent += 1;
      const began = clock.now();
      void daemons[random.nextInt(DAEMONS)](`key-${sent}`).then(answered => {
        if (answered) {
          histogram.recordValue((clock.now() - began) * MICROSECONDS_PER_MS);
        }
      });
    });
  }
  await clock.advance(20_000);
  return {
    answeredShare: round(histogram.totalCount / REQUESTS),
    p50: round(histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS),
    p99: round(histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS),
    imbalance: computeImbalance(servers.served),
  };
}

/** Sends one request; resolves with whether it was answered. */
type Send = (key: string) => Promise<boolean>;

function createLateBinding(
  hasher: Hasher,
  clock: FakeClock,
  servers: SimulatedServers,
  daemon: number,
): Send {
  const dispatcher = Dispatcher.create({
    self: `daemon-${daemon}`,
    clock,
    hasher,
    counters: MemoryCounters.create(),
    backends: servers,
    queueCapacity: 10_000,
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

/** Selects a server on arrival; retries on another choice when it sheds. */
function createEarlyBinding(
  clock: FakeClock,
  random: Random,
  servers: SimulatedServers,
  policy: BindingPolicy,
  lagMs: number,
): Send {
  const outstanding = new Array<number>(SERVERS).fill(0);
  let reported = [...servers.load];
  let reportedAt = -Infinity;
  const report = () => {
    if (clock.now() - reportedAt >= lagMs) {
      reported = [...servers.load];
      reportedAt = clock.now();
    }
    return reported;
  };
  const least = (loads: readonly number[], candidates: readonly number[]) =>
    candidates.reduce((best, next) =>
      loads[next] < loads[best] ? next : best,
    );
  const choose = (): number => {
    const first = random.nextInt(SERVERS);
    if (policy === 'random') {
      return first;
    }
    return policy === 'two-choices'
      ? least(report(), [first, random.nextInt(SERVERS)])
      : least(
          outstanding,
          Array.from({length: SERVERS}, (_, i) => (first + i) % SERVERS),
        );
  };
  const send = async (key: string, attemptsLeft: number): Promise<boolean> => {
    const server = choose();
    outstanding[server] += 1;
    const result = await servers.run(String(server), {
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
    return started || (attemptsLeft > 1 && send(key, attemptsLeft - 1));
  };
  return key => send(key, MAX_ATTEMPTS);
}
