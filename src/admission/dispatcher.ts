/**
 * Dispatches the requests of one server pool. A request is queued in the
 * daemon, not at a server, until a slot is estimated to be free. Requests that
 * no server started are retried; repeatable ones are also retried after a
 * failure and hedged when slow, within a retry budget.
 */
import {match} from 'ts-pattern';
import type {RunReply} from '../generated/request.js';
import type {BackendFailure, BackendServers} from '../ports/backend-servers.js';
import type {Clock, Timer} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Hasher} from '../ports/hasher.js';
import {OutcomeReason, createOutcome, type Outcome} from './outcome.js';
import {RequestQueue} from './request-queue.js';
import {RetryBudget} from './retry-budget.js';
import {SlotEstimates} from './slot-estimates.js';

/** Weight of the newest sample in the moving average of the service time. */
const SERVICE_TIME_EWMA_WEIGHT = 0.1;
const INITIAL_SERVICE_TIME_MS = 50;
/** Delay before a hedged attempt, in mean service times. */
const HEDGE_DELAY_FACTOR = 4;
/** Backoff of an assigned slot after a refusal, in mean service times. */
const REFUSAL_BACKOFF_FACTOR = 0.7;
const MIN_RETRY_AFTER_MS = 100;

/** A request to be run on one server of the pool. */
export interface AdmittedRequest {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
  readonly body: Uint8Array;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  /**
   * Returns the latest time at which a server may start the request, in
   * monotonic milliseconds, or undefined when it may no longer be started.
   * Called each time a slot was acquired for the request, before it is sent.
   */
  startDeadline(): number | undefined;
}

/** Options of a dispatcher. */
export interface DispatcherOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly counters: Counters;
  readonly backends: BackendServers;
  /** Maximum number of queued requests per workspace. */
  readonly queueCapacity: number;
  /** Tokens that each request adds to the retry budget, 0 to 1. */
  readonly retryShare: number;
}

/** A queued request that waits for a slot. */
interface WaitingRequest {
  readonly workspace: string;
  readonly deadline: number;
  readonly excluded: ReadonlySet<string>;
  /** Completes the wait; undefined when the deadline passed without a slot. */
  grant(server: string | undefined): void;
}

/** Result of one attempt at one server. */
type AttemptResult =
  | {readonly kind: 'answered'; readonly body: Uint8Array}
  | {readonly kind: 'not-started'; readonly server: string}
  | {readonly kind: 'unknown'; readonly reason: OutcomeReason};

/** Queues the requests of one pool and runs them on its servers. */
export class Dispatcher {
  readonly slotEstimates: SlotEstimates;
  private readonly queue: RequestQueue<WaitingRequest>;
  private readonly retryBudget: RetryBudget;
  /** Exponentially weighted moving average. */
  private serviceTimeMs = INITIAL_SERVICE_TIME_MS;
  private assignmentTimer: Timer | undefined;
  private attemptCount = 0;
  private running = 0;

  private constructor(private readonly options: DispatcherOptions) {
    this.slotEstimates = SlotEstimates.create(options);
    this.queue = RequestQueue.create(options.queueCapacity);
    this.retryBudget = RetryBudget.create(options.retryShare);
  }

  /** Creates a dispatcher without servers. */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Number of requests that are queued or at a server. */
  get inFlight(): number {
    return this.running;
  }

  /** Sets the eligible servers and the daemons that share their slots. */
  useServers(
    servers: readonly {id: string; slots: number}[],
    daemons: readonly string[],
  ): void {
    this.slotEstimates.setServers(servers, daemons);
    this.assignFreeSlots();
  }

  /** Runs a request and returns its final outcome. */
  async run(request: AdmittedRequest): Promise<Outcome> {
    const rejection = this.rejectEarly(request);
    if (rejection !== undefined) {
      return rejection;
    }
    this.running += 1;
    this.retryBudget.earn();
    const outcome = await this.runWithRetries(request, new Set());
    this.running -= 1;
    return outcome;
  }

  /** Rejects a request that has no server or cannot meet its deadline. */
  private rejectEarly(request: AdmittedRequest): Outcome | undefined {
    if (this.slotEstimates.totalSlots === 0) {
      return createOutcome(OutcomeReason.NO_SERVER, MIN_RETRY_AFTER_MS);
    }
    const waitMs = this.estimateWaitMs(request.workspace);
    const timeLeft = request.deadline - this.options.clock.now();
    return waitMs + this.serviceTimeMs > timeLeft
      ? createOutcome(
          OutcomeReason.DEADLINE_CANNOT_BE_MET,
          this.computeRetryAfterMs(waitMs),
        )
      : undefined;
  }

  /**
   * Estimates how long a new request of the workspace waits for a slot, given
   * that workspaces are served round-robin.
   */
  private estimateWaitMs(workspace: string): number {
    const otherWorkspaces = Math.max(0, this.queue.workspaceCount - 1);
    const aheadAtMost = this.queue.sizeOf(workspace) * (otherWorkspaces + 1);
    const ahead = Math.min(this.queue.size, aheadAtMost);
    const slots = Math.max(1, this.slotEstimates.assignedSlots);
    return (ahead * this.serviceTimeMs) / slots;
  }

  private computeRetryAfterMs(waitMs: number): number {
    return Math.max(MIN_RETRY_AFTER_MS, waitMs);
  }

  /** Makes one attempt after another until the outcome is final. */
  private async runWithRetries(
    request: AdmittedRequest,
    excluded: ReadonlySet<string>,
  ): Promise<Outcome> {
    const server = await this.acquireSlot(request, excluded);
    if (typeof server !== 'string') {
      return server;
    }
    const startDeadline = request.startDeadline();
    if (startDeadline === undefined) {
      this.slotEstimates.release(server);
      return createOutcome(
        OutcomeReason.KEY_RANGE_NOT_HELD,
        MIN_RETRY_AFTER_MS,
      );
    }
    const result = await this.sendWithHedge(request, server, startDeadline);
    return match(result)
      .with({kind: 'answered'}, ({body}) => ({
        ...createOutcome(OutcomeReason.ANSWERED),
        body,
      }))
      .with({kind: 'not-started'}, rejected =>
        this.retryNotStarted(request, excluded, rejected.server),
      )
      .with({kind: 'unknown'}, ({reason}) =>
        this.retryUnknown(request, excluded, server, reason),
      )
      .exhaustive();
  }

  /**
   * Retries a request that the server did not start, which is always safe. The
   * retry is charged even to an empty budget: an empty budget stops borrowing,
   * which is what causes refusals.
   */
  private retryNotStarted(
    request: AdmittedRequest,
    excluded: ReadonlySet<string>,
    server: string,
  ): Promise<Outcome> {
    this.retryBudget.charge();
    this.options.counters.add(Metric.REQUESTS_RETRIED);
    return this.runWithRetries(request, new Set([...excluded, server]));
  }

  /** Retries a request that the server may have run, if it is repeatable. */
  private retryUnknown(
    request: AdmittedRequest,
    excluded: ReadonlySet<string>,
    server: string,
    reason: OutcomeReason,
  ): Promise<Outcome> {
    const isExpired = request.deadline <= this.options.clock.now();
    return !request.repeatable || isExpired || !this.retryBudget.spend()
      ? Promise.resolve(createOutcome(reason))
      : this.runWithRetries(request, new Set([...excluded, server]));
  }

  /**
   * Returns the server whose slot was acquired, or the outcome when the queue
   * is full or no slot is free in time.
   */
  private async acquireSlot(
    request: AdmittedRequest,
    excluded: ReadonlySet<string>,
  ): Promise<string | Outcome> {
    const usable = this.slotEstimates.hasServerOutside(excluded)
      ? excluded
      : new Set<string>();
    if (this.queue.size === 0) {
      const server = this.slotEstimates.acquire(
        usable,
        this.retryBudget.isOpen,
      );
      if (server !== undefined) {
        return server;
      }
    }
    const {workspace, deadline} = request;
    const {clock} = this.options;
    const server = await new Promise<string | undefined | 'full'>(resolve => {
      const waiter: WaitingRequest = {
        workspace,
        // Leaves time to run the request once it has a slot.
        deadline: deadline - this.serviceTimeMs,
        excluded: usable,
        grant: resolve,
      };
      if (!this.queue.add(waiter)) {
        resolve('full');
        return;
      }
      clock.callAt(waiter.deadline, () => {
        if (this.queue.remove(waiter)) {
          resolve(undefined);
        }
      });
      this.assignFreeSlots();
    });
    return match(server)
      .with('full', () =>
        createOutcome(
          OutcomeReason.QUEUE_FULL,
          this.computeRetryAfterMs(this.serviceTimeMs),
        ),
      )
      .with(undefined, () =>
        createOutcome(
          OutcomeReason.NO_SLOT_BEFORE_DEADLINE,
          this.computeRetryAfterMs(this.estimateWaitMs(workspace)),
        ),
      )
      .otherwise(granted => granted);
  }

  /** Grants free slots to queued requests until one of the two runs out. */
  private assignFreeSlots(): void {
    this.assignmentTimer?.cancel();
    this.assignmentTimer = undefined;
    while (this.queue.size > 0) {
      const server = this.slotEstimates.acquire(
        new Set(),
        this.retryBudget.isOpen,
      );
      if (server === undefined) {
        this.scheduleAssignment();
        return;
      }
      const next = this.queue.take();
      next?.grant(server);
    }
  }

  private scheduleAssignment(): void {
    this.assignmentTimer = this.options.clock.callAt(
      this.slotEstimates.nextRetryTime(),
      () => this.assignFreeSlots(),
    );
  }

  /** Makes an attempt, and a hedged one if a repeatable request is slow. */
  private sendWithHedge(
    request: AdmittedRequest,
    server: string,
    startDeadline: number,
  ): Promise<AttemptResult> {
    const cancels: (() => void)[] = [];
    const first = this.sendAttempt(request, server, startDeadline, cancels);
    if (!request.repeatable) {
      return first;
    }
    const {clock} = this.options;
    const hedge = new Promise<AttemptResult>(resolve => {
      const timer = clock.callAt(
        clock.now() + this.serviceTimeMs * HEDGE_DELAY_FACTOR,
        () => {
          const other = this.acquireHedgeSlot(server);
          if (other !== undefined) {
            void this.sendAttempt(request, other, startDeadline, cancels).then(
              result => {
                if (result.kind === 'answered') {
                  resolve(result);
                }
              },
            );
          }
        },
      );
      void first.then(() => timer.cancel());
    });
    return Promise.race([first, hedge]).then(result => {
      cancels.forEach(cancel => cancel());
      return result;
    });
  }

  /** Returns undefined when requests are queued or the budget is spent. */
  private acquireHedgeSlot(first: string): string | undefined {
    if (this.queue.size > 0 || !this.retryBudget.spend()) {
      return undefined;
    }
    return this.slotEstimates.acquire(new Set([first]), true);
  }

  private async sendAttempt(
    request: AdmittedRequest,
    server: string,
    startDeadline: number,
    cancels: (() => void)[],
  ): Promise<AttemptResult> {
    const {backends, clock} = this.options;
    const startedMs = clock.now();
    this.attemptCount += 1;
    const attempt = this.attemptCount;
    const response = await backends.run(
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
        startByMs: this.computeStartByMs(request, startDeadline),
      },
      request.deadline,
      cancel => cancels.push(cancel),
    );
    const result = response.match(
      reply => this.classifyReply(request, server, attempt, reply),
      failure => this.classifyFailure(server, failure),
    );
    if (result.kind === 'answered') {
      const sample = clock.now() - startedMs;
      this.serviceTimeMs +=
        (sample - this.serviceTimeMs) * SERVICE_TIME_EWMA_WEIGHT;
    }
    this.assignFreeSlots();
    return result;
  }

  /** Returns the wall time after which the server must refuse to start. */
  private computeStartByMs(
    request: AdmittedRequest,
    startDeadline: number,
  ): number {
    const {clock} = this.options;
    const deadline = Math.min(request.deadline, startDeadline);
    return Math.floor(clock.wall() + deadline - clock.now());
  }

  private classifyReply(
    request: AdmittedRequest,
    server: string,
    attempt: number,
    reply: RunReply,
  ): AttemptResult {
    if (!reply.started) {
      this.slotEstimates.recordRefusal(
        server,
        this.serviceTimeMs * REFUSAL_BACKOFF_FACTOR,
      );
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

  private classifyFailure(
    server: string,
    failure: BackendFailure,
  ): AttemptResult {
    return match(failure)
      .with({type: 'BackendUnreachable'}, (): AttemptResult => {
        this.slotEstimates.recordUnreachable(server);
        return {kind: 'not-started', server};
      })
      .with({type: 'BackendSilent'}, (): AttemptResult => {
        this.slotEstimates.release(server);
        return {kind: 'unknown', reason: OutcomeReason.SERVER_SILENT};
      })
      .exhaustive();
  }
}
