/** Stand-in for callers that send requests and retry unanswered ones. */
import {credentials} from '@grpc/grpc-js';
import {build, type Histogram} from 'hdr-histogram-js';
import {CHANNEL_OPTIONS, callUnary} from '../src/adapters/grpc-call.js';
import {GrpcInstanceList} from '../src/adapters/grpc-instance-list.js';
import {SystemClock} from '../src/adapters/system-clock.js';
import {
  RequestStatus,
  RequestsClient,
  type CallerReply,
  type CallerRequest,
} from '../src/generated/request.js';
import {createAnswer} from './backend-server.js';
import {startStandinServer} from './standin-control.js';
import {Random} from '../src/routing/random.js';

const TICK_MS = 5;
const LIST_POLL_INTERVAL_MS = 200;
const LATENCY_DIGITS = 3;
const MICROSECONDS_PER_MS = 1_000;
const RETRY_DELAY_MS = 200;

/** Command of the control service to send requests. */
export interface SendRequestsCommand {
  readonly workspace: string;
  readonly service: string;
  readonly repeatable: boolean;
  /** Requests per second. */
  readonly rate: number;
  /** Duration of the load, in seconds. */
  readonly seconds: number;
  /** Total time that a caller waits for an answer, in milliseconds. */
  readonly deadlineMs: number;
  /** Fraction of requests that are sent twice at once, each to a random daemon. */
  readonly duplicates: number;
}

/** Outcome of a request for its caller. */
export interface KeyOutcome {
  readonly key: string;
  readonly service: string;
  readonly status: RequestStatus;
  readonly reason: string;
  /** Whether the answer is not that of the key. */
  readonly wrong: boolean;
  /** Whether the answer is truncated. */
  readonly partial: boolean;
}

/** Report on the requests of one command. */
export interface RequestReport {
  readonly workspace: string;
  readonly service: string;
  readonly requests: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly wrongAnswers: number;
  readonly partialAnswers: number;
  readonly reasons: Readonly<Record<string, number>>;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Requests and outcomes of one command. */
interface CommandProgress {
  readonly command: SendRequestsCommand;
  readonly histogram: Histogram;
  readonly outcomes: KeyOutcome[];
  requests: number;
  startedAtMs: number;
}

/** Callers that send requests to random daemons. */
export class RequestCallers {
  private readonly random: Random;
  private readonly clock = SystemClock.create();
  private readonly clients = new Map<string, RequestsClient>();
  private readonly progressByName = new Map<string, CommandProgress>();
  private daemons: string[] = [];
  private nextKey = 0;

  private constructor(
    private readonly list: GrpcInstanceList,
    /** Request addresses by daemon id. */
    private entries: Readonly<Record<string, string>>,
    private readonly name: string,
    seed: number,
  ) {
    this.random = Random.create(seed);
  }

  /** Starts the callers; `entries` maps daemon ids to request addresses. */
  static async create(
    address: string,
    listAddress: string,
    entries: Readonly<Record<string, string>>,
    seed: number,
  ): Promise<RequestCallers> {
    const list = GrpcInstanceList.create(listAddress, SystemClock.create());
    const callers = new RequestCallers(list, entries, address, seed);
    await startStandinServer(address, settings =>
      callers.applySettings(settings),
    );
    void callers.pollInstances();
    setInterval(() => callers.tick(), TICK_MS);
    return callers;
  }

  private applySettings(settings: Record<string, unknown>): unknown {
    const command = settings['send'] as SendRequestsCommand | undefined;
    if (command !== undefined) {
      const name = `${command.workspace}/${command.service}/${this.progressByName.size}`;
      this.progressByName.set(name, createProgress(command));
    }
    const entries = settings['entries'] as Record<string, string> | undefined;
    this.entries = {...this.entries, ...entries};
    const reports = [...this.progressByName.values()].map(createReport);
    return {
      reports,
      pending: reports.reduce(
        (sum, report) =>
          sum +
          report.requests -
          report.answered -
          report.notRun -
          report.unknown,
        0,
      ),
      outcomes:
        settings['listOutcomes'] === true
          ? [...this.progressByName.values()].flatMap(({outcomes}) => outcomes)
          : [],
    };
  }

  private async pollInstances(): Promise<void> {
    const listing = await this.list.list();
    listing.map(({instances}) => {
      this.daemons = instances
        .filter(({role, state}) => role === 'daemon' && state === 'live')
        .map(({id}) => this.entries[id])
        .filter(address => address !== undefined);
      return instances;
    });
    setTimeout(() => void this.pollInstances(), LIST_POLL_INTERVAL_MS);
  }

  private tick(): void {
    const now = this.clock.now();
    this.progressByName.forEach(progress => {
      const {command, startedAtMs} = progress;
      const seconds = Math.min((now - startedAtMs) / 1_000, command.seconds);
      const due = Math.floor(seconds * command.rate) - progress.requests;
      Array.from({length: Math.max(0, due)}).forEach(() => {
        progress.requests += 1;
        void this.sendRequest(progress);
      });
    });
  }

  /** Sends one request, retrying with the same key, and records its outcome. */
  private async sendRequest(progress: CommandProgress): Promise<void> {
    const {command} = progress;
    this.nextKey += 1;
    const startedAtMs = this.clock.now();
    const deadline = startedAtMs + command.deadlineMs;
    const request: CallerRequest = {
      workspace: command.workspace,
      service: command.service,
      key: `${this.name}-${this.nextKey}`,
      repeatable: command.repeatable,
      timeLeftMs: command.deadlineMs,
      body: Buffer.from('body'),
      hops: 0,
      issuedMs: Date.now(),
    };
    const twice = this.random.nextBool(command.duplicates);
    const replies = await Promise.all(
      [0, ...(twice ? [1] : [])].map(() =>
        this.callWithRetries(request, deadline),
      ),
    );
    const reply = replies.reduce(preferAnswered);
    progress.outcomes.push(evaluateReply(request, reply));
    if (reply.status === RequestStatus.ANSWERED) {
      const microseconds =
        (this.clock.now() - startedAtMs) * MICROSECONDS_PER_MS;
      progress.histogram.recordValue(microseconds);
    }
  }

  private async callWithRetries(
    request: CallerRequest,
    deadline: number,
  ): Promise<CallerReply> {
    const client = this.pickClient();
    const timeLeftMs = Math.max(1, Math.floor(deadline - this.clock.now()));
    if (client !== undefined) {
      const result = await callUnary<CallerReply>(
        this.clock,
        deadline + RETRY_DELAY_MS,
        (...rest) => client.call({...request, timeLeftMs}, ...rest),
      );
      if (result.isOk()) {
        return result.value;
      }
    }
    if (this.clock.now() + RETRY_DELAY_MS >= deadline) {
      return createNoReply();
    }
    await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
    return this.callWithRetries(request, deadline);
  }

  private pickClient(): RequestsClient | undefined {
    const address = this.random.pick(this.daemons);
    if (address === undefined) {
      return undefined;
    }
    const known = this.clients.get(address);
    if (known !== undefined) {
      return known;
    }
    const created = new RequestsClient(
      address,
      credentials.createInsecure(),
      CHANNEL_OPTIONS,
    );
    this.clients.set(address, created);
    return created;
  }
}

function createProgress(command: SendRequestsCommand): CommandProgress {
  return {
    command,
    histogram: build({numberOfSignificantValueDigits: LATENCY_DIGITS}),
    outcomes: [],
    requests: 0,
    startedAtMs: performance.now(),
  };
}

/** Creates the reply for a request that no daemon answered: it may have run. */
function createNoReply(): CallerReply {
  return {
    status: RequestStatus.UNKNOWN,
    reason: 'no-reply',
    body: Buffer.alloc(0),
    retryAfterMs: 0,
  };
}

/** Selects the more conclusive reply: answered, then unknown, then not run. */
function preferAnswered(a: CallerReply, b: CallerReply): CallerReply {
  const rank = ({status}: CallerReply) =>
    [RequestStatus.ANSWERED, RequestStatus.UNKNOWN].indexOf(status as 0 | 2) >>>
    0;
  return rank(b) < rank(a) ? b : a;
}

function evaluateReply(request: CallerRequest, reply: CallerReply): KeyOutcome {
  const answered = reply.status === RequestStatus.ANSWERED;
  const body = reply.body.toString();
  const expected = createAnswer(request.key);
  return {
    key: request.key,
    service: request.service,
    status: reply.status,
    reason: reply.reason,
    partial: answered && body !== expected && expected.startsWith(body),
    wrong: answered && !expected.startsWith(body),
  };
}

function createReport(progress: CommandProgress): RequestReport {
  const {command, outcomes, histogram} = progress;
  const withStatus = (status: RequestStatus) =>
    outcomes.filter(outcome => outcome.status === status).length;
  const reasons: Record<string, number> = {};
  outcomes.forEach(({reason}) => {
    reasons[reason] = (reasons[reason] ?? 0) + 1;
  });
  return {
    workspace: command.workspace,
    service: command.service,
    requests: progress.requests,
    answered: withStatus(RequestStatus.ANSWERED),
    notRun: withStatus(RequestStatus.NOT_RUN),
    unknown: withStatus(RequestStatus.UNKNOWN),
    wrongAnswers: outcomes.filter(({wrong}) => wrong).length,
    partialAnswers: outcomes.filter(({partial}) => partial).length,
    reasons,
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
  };
}
