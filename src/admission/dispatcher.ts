/**
 * Admission of one pool's requests: a request waits here, not at a server,
 * until a slot is believed free.
 */
import {match} from 'ts-pattern';
import type {RunReply} from '../generated/request.js';
import type {BackendFailure, BackendServers} from '../ports/backend-servers.js';
import type {Clock, Timer} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Hasher} from '../ports/hasher.js';
import {OutcomeReason, ended, type Outcome} from './outcome.js';
import {RequestQueue} from './request-queue.js';
import {RetryBudget} from './retry-budget.js';
import {SlotEstimates} from './slot-estimates.js';

/** Weight of the newest sample in the mean service time. */
const MEAN_GAIN = 0.1;
const FIRST_MEAN_MS = 50;
/** Mean service times after which a second try is made. */
const HEDGE_AFTER_MEANS = 4;
/** Mean service times after which a full own slot is tried again. */
const OWN_PAUSE_MEANS = 0.7;
const SHORTEST_RETRY_AFTER_MS = 100;

/** A request as the dispatcher gets it. */
export interface AdmittedRequest {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
  readonly body: Uint8Array;
  readonly repeatable: boolean;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  /**
   * Latest time at which a server may start it, asked for right before each
   * dispatch; undefined when it may not be started any more.
   */
  startDeadline(): number | undefined;
}

/** What a dispatcher is made from. */
export interface DispatcherOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly counters: Counters;
  readonly backends: BackendServers;
  /** Requests that may wait, a workspace. */
  readonly queueBound: number;
  /** Repeats as a share of first tries. */
  readonly retryShare: number;
}

/** A request that waits for a slot. */
interface WaitingRequest {
  readonly workspace: string;
  readonly deadline: number;
  readonly excluded: ReadonlySet<string>;
  grant(server: string | undefined): void;
}

/** How one try ended. */
type Try =
  | {readonly kind: 'answered'; readonly body: Uint8Array}
  | {readonly kind: 'not-started'; readonly server: string}
  | {readonly kind: 'unknown'; readonly reason: OutcomeReason};

/** Runs the requests of one pool. */
export class Dispatcher {
  readonly slotEstimates: SlotEstimates;
  private readonly queue: RequestQueue<WaitingRequest>;
  private readonly budget: RetryBudget;
  private meanMs = FIRST_MEAN_MS;
  private timer: Timer | undefined;
  private attempts = 0;
  private running = 0;

  private constructor(private readonly options: DispatcherOptions) {
    this.slotEstimates = SlotEstimates.create(options);
    this.queue = RequestQueue.create(options.queueBound);
    this.budget = RetryBudget.create(options.retryShare);
  }

  /** Creates a dispatcher without servers. */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Requests waiting or at a server. */
  get inFlight(): number {
    return this.running;
  }

  /** Takes the servers in use and the daemons that share them. */
  useServers(
    servers: readonly {id: string; slots: number}[],
    daemons: readonly string[],
  ): void {
    this.slotEstimates.use(servers, daemons);
    this.pump();
  }

  /** Runs a request to its end. */
  async run(request: AdmittedRequest): Promise<Outcome> {
    const refusal = this.refuseEarly(request);
    if (refusal !== undefined) {
      return refusal;
    }
    this.running += 1;
    this.budget.earn();
    const outcome = await this.tryUntilEnd(request, new Set());
    this.running -= 1;
    return outcome;
  }

  private refuseEarly(request: AdmittedRequest): Outcome | undefined {
    if (this.slotEstimates.totalSlots === 0) {
      return ended(OutcomeReason.NO_SERVER, SHORTEST_RETRY_AFTER_MS);
    }
    const waitMs = this.expectedWaitMs(request.workspace);
    const timeLeft = request.deadline - this.options.clock.now();
    return waitMs + this.meanMs > timeLeft
      ? ended(OutcomeReason.DEADLINE_CANNOT_BE_MET, this.retryAfterMs(waitMs))
      : undefined;
  }

  /** Time until a request of the workspace gets a slot, by its turn. */
  private expectedWaitMs(workspace: string): number {
    const others = Math.max(0, this.queue.workspaces - 1);
    const ahead = this.queue.sizeOf(workspace) * (others + 1);
    const before = Math.min(this.queue.size, ahead);
    const slots = Math.max(1, this.slotEstimates.ownSlots);
    return (before * this.meanMs) / slots;
  }

  private retryAfterMs(waitMs: number): number {
    return Math.max(SHORTEST_RETRY_AFTER_MS, waitMs);
  }

  /** Tries servers one after the other until one answers or none may. */
  private async tryUntilEnd(
    request: AdmittedRequest,
    excluded: ReadonlySet<string>,
  ): Promise<Outcome> {
    const server = await this.slotFor(request, excluded);
    if (typeof server !== 'string') {
      return server;
    }
    const startDeadline = request.startDeadline();
    if (startDeadline === undefined) {
      this.slotEstimates.release(server);
      return ended(OutcomeReason.KEY_RANGE_NOT_HELD, SHORTEST_RETRY_AFTER_MS);
    }
    const tried = await this.tryHedged(request, server, startDeadline);
    return match(tried)
      .with({kind: 'answered'}, ({body}) => ({
        ...ended(OutcomeReason.ANSWERED),
        body,
      }))
      .with({kind: 'not-started'}, refused =>
        this.repeat(request, excluded, refused.server),
      )
      .with({kind: 'unknown'}, ({reason}) =>
        this.repeatUnknown(request, excluded, server, reason),
      )
      .exhaustive();
  }

  /**
   * The server surely did not start the request, so any may be tried. With an
   * empty budget nothing is borrowed any more, and refusals cease.
   */
  private repeat(
    request: AdmittedRequest,
    excluded: ReadonlySet<string>,
    server: string,
  ): Promise<Outcome> {
    this.budget.charge();
    this.options.counters.add(Metric.REQUESTS_RETRIED);
    return this.tryUntilEnd(request, new Set([...excluded, server]));
  }

  /** The server may have started it: only a repeatable one is tried again. */
  private repeatUnknown(
    request: AdmittedRequest,
    excluded: ReadonlySet<string>,
    server: string,
    reason: OutcomeReason,
  ): Promise<Outcome> {
    const late = request.deadline <= this.options.clock.now();
    return !request.repeatable || late || !this.budget.spend()
      ? Promise.resolve(ended(reason))
      : this.tryUntilEnd(request, new Set([...excluded, server]));
  }

  /** Waits for a slot; the outcome instead when there is none in time. */
  private async slotFor(
    request: AdmittedRequest,
    excluded: ReadonlySet<string>,
  ): Promise<string | Outcome> {
    const usable = this.slotEstimates.hasOther(excluded)
      ? excluded
      : new Set<string>();
    if (this.queue.size === 0) {
      const server = this.slotEstimates.take(usable, this.budget.isOpen);
      if (server !== undefined) {
        return server;
      }
    }
    const {workspace, deadline} = request;
    const {clock} = this.options;
    const server = await new Promise<string | undefined | 'full'>(resolve => {
      const waiting: WaitingRequest = {
        workspace,
        // A slot in the last moment would be of no use.
        deadline: deadline - this.meanMs,
        excluded: usable,
        grant: resolve,
      };
      if (!this.queue.add(waiting)) {
        resolve('full');
        return;
      }
      clock.callAt(waiting.deadline, () => {
        if (this.queue.remove(waiting)) {
          resolve(undefined);
        }
      });
      this.pump();
    });
    return match(server)
      .with('full', () =>
        ended(OutcomeReason.QUEUE_FULL, this.retryAfterMs(this.meanMs)),
      )
      .with(undefined, () =>
        ended(
          OutcomeReason.NO_SLOT_BEFORE_DEADLINE,
          this.retryAfterMs(this.expectedWaitMs(workspace)),
        ),
      )
      .otherwise(granted => granted);
  }

  /** Gives free slots to waiting requests. */
  private pump(): void {
    this.timer?.cancel();
    this.timer = undefined;
    while (this.queue.size > 0) {
      const server = this.slotEstimates.take(new Set(), this.budget.isOpen);
      if (server === undefined) {
        this.pumpLater();
        return;
      }
      const next = this.queue.take();
      next?.grant(server);
    }
  }

  private pumpLater(): void {
    this.timer = this.options.clock.callAt(
      this.slotEstimates.nextChance(),
      () => this.pump(),
    );
  }

  /** One try, with a second one beside it when a repeatable one is slow. */
  private tryHedged(
    request: AdmittedRequest,
    server: string,
    startDeadline: number,
  ): Promise<Try> {
    const cancels: (() => void)[] = [];
    const first = this.tryOnce(request, server, startDeadline, cancels);
    if (!request.repeatable) {
      return first;
    }
    const {clock} = this.options;
    const hedge = new Promise<Try>(resolve => {
      const timer = clock.callAt(
        clock.now() + this.meanMs * HEDGE_AFTER_MEANS,
        () => {
          const other = this.hedgeServer(server);
          if (other !== undefined) {
            void this.tryOnce(request, other, startDeadline, cancels).then(
              tried => {
                if (tried.kind === 'answered') {
                  resolve(tried);
                }
              },
            );
          }
        },
      );
      void first.then(() => timer.cancel());
    });
    return Promise.race([first, hedge]).then(tried => {
      cancels.forEach(cancel => cancel());
      return tried;
    });
  }

  private hedgeServer(first: string): string | undefined {
    if (this.queue.size > 0 || !this.budget.spend()) {
      return undefined;
    }
    return this.slotEstimates.take(new Set([first]), true);
  }

  private async tryOnce(
    request: AdmittedRequest,
    server: string,
    startDeadline: number,
    cancels: (() => void)[],
  ): Promise<Try> {
    const {backends, clock} = this.options;
    const startedMs = clock.now();
    this.attempts += 1;
    const attempt = this.attempts;
    const result = await backends.run(
      server,
      {
        workspace: request.workspace,
        service: request.service,
        key: request.key,
        attempt,
        timeLeftMs: Math.max(
          1,
          Math.floor(Math.min(request.deadline, startDeadline) - startedMs),
        ),
        body: Buffer.from(request.body),
        startByMs: this.startBy(request, startDeadline),
      },
      request.deadline,
      cancel => cancels.push(cancel),
    );
    const tried = result.match(
      reply => this.judge(request, server, attempt, reply),
      failure => this.judgeFailure(server, failure),
    );
    if (tried.kind === 'answered') {
      const sample = clock.now() - startedMs;
      this.meanMs += (sample - this.meanMs) * MEAN_GAIN;
    }
    this.pump();
    return tried;
  }

  /** Wall time after which the server must refuse to start it. */
  private startBy(request: AdmittedRequest, startDeadline: number): number {
    const {clock} = this.options;
    const deadline = Math.min(request.deadline, startDeadline);
    return Math.floor(clock.wall() + deadline - clock.now());
  }

  private judge(
    request: AdmittedRequest,
    server: string,
    attempt: number,
    reply: RunReply,
  ): Try {
    if (!reply.started) {
      this.slotEstimates.refuse(server, this.meanMs * OWN_PAUSE_MEANS);
      return {kind: 'not-started', server};
    }
    this.slotEstimates.release(server, reply.busySlots);
    if (reply.attempt !== attempt || reply.key !== request.key) {
      return {kind: 'unknown', reason: OutcomeReason.WRONG_ANSWER};
    }
    return reply.body.length === reply.bodyLength
      ? {kind: 'answered', body: reply.body}
      : {kind: 'unknown', reason: OutcomeReason.PARTIAL_ANSWER};
  }

  private judgeFailure(server: string, failure: BackendFailure): Try {
    return match(failure)
      .with({type: 'BackendUnreachable'}, (): Try => {
        this.slotEstimates.avoid(server);
        return {kind: 'not-started', server};
      })
      .with({type: 'BackendSilent'}, (): Try => {
        this.slotEstimates.release(server);
        return {kind: 'unknown', reason: OutcomeReason.SERVER_SILENT};
      })
      .exhaustive();
  }
}
