/** Stand-in of callers that send requests and resend unanswered ones. */
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
import {answerTo} from './backend-server.js';
import {startStandinServer} from './knobs.js';
import {Random} from '../src/routing/random.js';

const STEP_MS = 5;
const POLL_MS = 200;
const LATENCY_DIGITS = 3;
const MICROSECONDS = 1_000;
const RESEND_MS = 200;

/** An order to send requests, as the knobs take it. */
export interface RequestOrder {
  readonly workspace: string;
  readonly service: string;
  readonly repeatable: boolean;
  /** Requests a second. */
  readonly rate: number;
  readonly seconds: number;
  /** Milliseconds that a caller waits in all. */
  readonly deadlineMs: number;
  /** Share of requests that are sent twice at once, to two daemons. */
  readonly duplicates: number;
}

/** How a key's request ended for its caller. */
export interface KeyOutcome {
  readonly key: string;
  readonly service: string;
  readonly status: RequestStatus;
  readonly reason: string;
  readonly wrong: boolean;
  readonly partial: boolean;
}

/** What the callers report of one workspace's service. */
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

interface Tally {
  readonly order: RequestOrder;
  readonly histogram: Histogram;
  readonly outcomes: KeyOutcome[];
  requests: number;
  startMs: number;
}

/** Callers of requests. */
export class RequestCallers {
  private readonly random: Random;
  private readonly clock = SystemClock.create();
  private readonly clients = new Map<string, RequestsClient>();
  private readonly tallies = new Map<string, Tally>();
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
    await startStandinServer(address, settings => callers.turn(settings));
    void callers.follow();
    setInterval(() => callers.step(), STEP_MS);
    return callers;
  }

  private turn(settings: Record<string, unknown>): unknown {
    const order = settings['send'] as RequestOrder | undefined;
    if (order !== undefined) {
      const name = `${order.workspace}/${order.service}/${this.tallies.size}`;
      this.tallies.set(name, createTally(order));
    }
    const entries = settings['entries'] as Record<string, string> | undefined;
    this.entries = {...this.entries, ...entries};
    const reports = [...this.tallies.values()].map(reportOf);
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
          ? [...this.tallies.values()].flatMap(({outcomes}) => outcomes)
          : [],
    };
  }

  private async follow(): Promise<void> {
    const listing = await this.list.list();
    listing.map(({instances}) => {
      this.daemons = instances
        .filter(({role, state}) => role === 'daemon' && state === 'live')
        .map(({id}) => this.entries[id])
        .filter(address => address !== undefined);
      return instances;
    });
    setTimeout(() => void this.follow(), POLL_MS);
  }

  private step(): void {
    const now = this.clock.now();
    this.tallies.forEach(tally => {
      const {order, startMs} = tally;
      const seconds = Math.min((now - startMs) / 1_000, order.seconds);
      const due = Math.floor(seconds * order.rate) - tally.requests;
      Array.from({length: Math.max(0, due)}).forEach(() => {
        tally.requests += 1;
        void this.send(tally);
      });
    });
  }

  /** One caller: sends, and resends with the same key until it has an end. */
  private async send(tally: Tally): Promise<void> {
    const {order} = tally;
    this.nextKey += 1;
    const startMs = this.clock.now();
    const deadline = startMs + order.deadlineMs;
    const request: CallerRequest = {
      workspace: order.workspace,
      service: order.service,
      key: `${this.name}-${this.nextKey}`,
      repeatable: order.repeatable,
      timeLeftMs: order.deadlineMs,
      body: Buffer.from('body'),
      hops: 0,
      issuedMs: Date.now(),
    };
    const twice = this.random.happens(order.duplicates);
    const replies = await Promise.all(
      [0, ...(twice ? [1] : [])].map(() => this.callUntil(request, deadline)),
    );
    const best = replies.reduce(firstAnswered);
    tally.outcomes.push(judge(request, best));
    if (best.status === RequestStatus.ANSWERED) {
      const microseconds = (this.clock.now() - startMs) * MICROSECONDS;
      tally.histogram.recordValue(microseconds);
    }
  }

  private async callUntil(
    request: CallerRequest,
    deadline: number,
  ): Promise<CallerReply> {
    const client = this.randomClient();
    const timeLeftMs = Math.max(1, Math.floor(deadline - this.clock.now()));
    if (client !== undefined) {
      const result = await callUnary<CallerReply>(
        this.clock,
        deadline + RESEND_MS,
        (...rest) => client.call({...request, timeLeftMs}, ...rest),
      );
      if (result.isOk()) {
        return result.value;
      }
    }
    if (this.clock.now() + RESEND_MS >= deadline) {
      return noReply();
    }
    await new Promise(resolve => setTimeout(resolve, RESEND_MS));
    return this.callUntil(request, deadline);
  }

  private randomClient(): RequestsClient | undefined {
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

function createTally(order: RequestOrder): Tally {
  return {
    order,
    histogram: build({numberOfSignificantValueDigits: LATENCY_DIGITS}),
    outcomes: [],
    requests: 0,
    startMs: performance.now(),
  };
}

/** The caller itself does not know whether it ran. */
function noReply(): CallerReply {
  return {
    status: RequestStatus.UNKNOWN,
    reason: 'no-reply',
    body: Buffer.alloc(0),
    retryAfterMs: 0,
  };
}

/**
 * Of two replies to one key an answer counts; "not run" counts only when both
 * say so.
 */
function firstAnswered(a: CallerReply, b: CallerReply): CallerReply {
  const rank = ({status}: CallerReply) =>
    [RequestStatus.ANSWERED, RequestStatus.UNKNOWN].indexOf(status as 0 | 2) >>>
    0;
  return rank(b) < rank(a) ? b : a;
}

function judge(request: CallerRequest, reply: CallerReply): KeyOutcome {
  const answered = reply.status === RequestStatus.ANSWERED;
  const body = reply.body.toString();
  const expected = answerTo(request.key);
  return {
    key: request.key,
    service: request.service,
    status: reply.status,
    reason: reply.reason,
    partial: answered && body !== expected && expected.startsWith(body),
    wrong: answered && !expected.startsWith(body),
  };
}

function reportOf(tally: Tally): RequestReport {
  const {order, outcomes, histogram} = tally;
  const withStatus = (status: RequestStatus) =>
    outcomes.filter(outcome => outcome.status === status).length;
  const reasons: Record<string, number> = {};
  outcomes.forEach(({reason}) => {
    reasons[reason] = (reasons[reason] ?? 0) + 1;
  });
  return {
    workspace: order.workspace,
    service: order.service,
    requests: tally.requests,
    answered: withStatus(RequestStatus.ANSWERED),
    notRun: withStatus(RequestStatus.NOT_RUN),
    unknown: withStatus(RequestStatus.UNKNOWN),
    wrongAnswers: outcomes.filter(({wrong}) => wrong).length,
    partialAnswers: outcomes.filter(({partial}) => partial).length,
    reasons,
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS,
  };
}
