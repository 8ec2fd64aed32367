/**
 * Entry point for requests of callers and peers: finds the service, applies
 * limits, then dispatches the request here or forwards it to its key's owner.
 */
import {match} from 'ts-pattern';
import type {Service} from '../configuration/services.js';
import type {CallerReply, CallerRequest} from '../generated/request.js';
import {RequestStatus} from '../generated/request.js';
import type {Clock} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Peers} from '../ports/peers.js';
import {EventKind, type Timeline} from '../ports/timeline.js';
import type {Dispatcher} from './dispatcher.js';
import type {KeyGuard} from './key-guard.js';
import {MAX_CLOCK_SKEW_MS} from './leased-key-guard.js';
import {
  OutcomeReason,
  createOutcome,
  fromCallerReply,
  toCallerReply,
  statusOf,
  type Outcome,
} from './outcome.js';

const OWNER_RETRY_INTERVAL_MS = 100;
const RETRY_AFTER_MS = 500;
const MAX_BODY_BYTES = 1_000_000;
/** In UTF-16 code units. */
const MAX_KEY_LENGTH = 200;

/** The daemon that guards a key. */
export interface KeyOwner {
  /** Address of the daemon; undefined when it is this one. */
  readonly address: string | undefined;
}

/** Options of the request entry. */
export interface RequestEntryOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly timeline: Timeline;
  readonly peers: Peers;
  readonly guard: KeyGuard;
  /** Returns a service of a workspace; undefined when there is none. */
  findService(workspace: string, service: string): Service | undefined;
  /** Returns the dispatcher of the service's pool. */
  dispatcherOf(service: Service): Dispatcher;
  /** Returns the daemon that guards a key, as this daemon sees it. */
  ownerOf(key: string): KeyOwner;
}

/** Handles requests of callers and those that peers forward. */
export class RequestEntry {
  private readonly inFlightByWorkspace = new Map<string, number>();
  private stopping = false;
  private running = 0;

  private constructor(private readonly options: RequestEntryOptions) {}

  /** Creates an entry. */
  static create(options: RequestEntryOptions): RequestEntry {
    return new RequestEntry(options);
  }

  /** Number of requests that have not ended. */
  get inFlightCount(): number {
    return this.running;
  }

  /** Rejects new requests of callers from now on. */
  stop(): void {
    this.stopping = true;
  }

  /** Handles a request and returns the reply with its final outcome. */
  async handle(request: CallerRequest): Promise<CallerReply> {
    const {clock} = this.options;
    const deadline = clock.now() + request.timeLeftMs;
    this.running += 1;
    const outcome = await this.admit(request, deadline);
    this.running -= 1;
    if (request.hops === 0) {
      this.recordOutcome(request, outcome);
    }
    return toCallerReply(outcome);
  }

  private async admit(
    request: CallerRequest,
    deadline: number,
  ): Promise<Outcome> {
    const {workspace} = request;
    const service = this.options.findService(workspace, request.service);
    if (this.stopping && request.hops === 0) {
      return createOutcome(OutcomeReason.STOPPING, RETRY_AFTER_MS);
    }
    if (service === undefined) {
      return createOutcome(OutcomeReason.UNKNOWN_SERVICE);
    }
    if (!this.isWellFormed(request, service)) {
      return createOutcome(OutcomeReason.MALFORMED);
    }
    const inFlight = this.inFlightByWorkspace.get(workspace) ?? 0;
    if (inFlight >= service.requestsInFlight) {
      return createOutcome(OutcomeReason.WORKSPACE_LIMIT, RETRY_AFTER_MS);
    }
    this.inFlightByWorkspace.set(workspace, inFlight + 1);
    const latest = this.options.clock.now() + service.deadlineMs;
    const outcome = await this.runAdmitted(
      request,
      service,
      Math.min(deadline, latest),
    );
    this.inFlightByWorkspace.set(
      workspace,
      (this.inFlightByWorkspace.get(workspace) ?? 1) - 1,
    );
    return outcome;
  }

  private isWellFormed(request: CallerRequest, service: Service): boolean {
    const latestIssueMs = this.options.clock.wall() + MAX_CLOCK_SKEW_MS;
    const isKeyValid =
      request.key.length > 0 && request.key.length <= MAX_KEY_LENGTH;
    const isIssueTimeValid =
      isRepeatable(request, service) ||
      (request.issuedMs > 0 && request.issuedMs <= latestIssueMs);
    return (
      isKeyValid &&
      isIssueTimeValid &&
      request.timeLeftMs > 0 &&
      request.body.length <= MAX_BODY_BYTES
    );
  }

  private runAdmitted(
    request: CallerRequest,
    service: Service,
    deadline: number,
  ): Promise<Outcome> {
    if (isRepeatable(request, service)) {
      return this.dispatch(request, service, deadline, () => deadline);
    }
    return request.hops > 0
      ? this.runLocally(request, service, deadline)
      : this.runAtOwner(request, service, deadline, false);
  }

  private dispatch(
    request: CallerRequest,
    service: Service,
    deadline: number,
    startDeadline: () => number | undefined,
  ): Promise<Outcome> {
    return this.options.dispatcherOf(service).run({
      workspace: request.workspace,
      service: request.service,
      key: request.key,
      body: request.body,
      repeatable: isRepeatable(request, service),
      deadline,
      startDeadline,
    });
  }

  private runLocally(
    request: CallerRequest,
    service: Service,
    deadline: number,
  ): Promise<Outcome> {
    return this.options.guard.run({
      key: guardKey(request),
      issuedMs: request.issuedMs,
      deadline,
      execute: startDeadline =>
        this.dispatch(request, service, deadline, startDeadline),
    });
  }

  /**
   * Runs a request at the owner of its key: here, or by calls to a peer until it
   * gives a final outcome or the deadline is near. Repeated calls are safe,
   * because the owner records keys. `mayHaveReached` tells whether an earlier
   * call may have reached an owner.
   */
  private async runAtOwner(
    request: CallerRequest,
    service: Service,
    deadline: number,
    mayHaveReached: boolean,
  ): Promise<Outcome> {
    const {address} = this.options.ownerOf(guardKey(request));
    const {clock, peers} = this.options;
    if (address === undefined) {
      const outcome = await this.runLocally(request, service, deadline);
      return this.replaceNotRunIfReached(outcome, mayHaveReached);
    }
    const timeLeftMs = Math.max(1, Math.floor(deadline - clock.now()));
    const forwarded = {...request, hops: 1, timeLeftMs};
    const result = await peers.forward(address, forwarded, deadline);
    const outcome = result.match(fromCallerReply, () => undefined);
    const isSettled =
      outcome !== undefined &&
      outcome.reason !== OutcomeReason.KEY_RANGE_NOT_HELD;
    if (isSettled || clock.now() + OWNER_RETRY_INTERVAL_MS >= deadline) {
      const fallback = createOutcome(
        mayHaveReached || result.isErr()
          ? OutcomeReason.OWNER_SILENT
          : OutcomeReason.KEY_RANGE_NOT_HELD,
        RETRY_AFTER_MS,
      );
      return this.replaceNotRunIfReached(outcome ?? fallback, mayHaveReached);
    }
    await this.pause();
    const reached = result.isErr() && result.error.mayHaveRun;
    return this.runAtOwner(
      request,
      service,
      deadline,
      mayHaveReached || reached,
    );
  }

  /** Replaces NOT_RUN by UNKNOWN when an earlier call may have run it. */
  private replaceNotRunIfReached(
    outcome: Outcome,
    mayHaveReached: boolean,
  ): Outcome {
    const notRun = statusOf(outcome.reason) === RequestStatus.NOT_RUN;
    return mayHaveReached && notRun
      ? createOutcome(OutcomeReason.OWNER_SILENT)
      : outcome;
  }

  private pause(): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      clock.callAt(clock.now() + OWNER_RETRY_INTERVAL_MS, resolve);
    });
  }

  private recordOutcome(request: CallerRequest, outcome: Outcome): void {
    const {counters, timeline} = this.options;
    const status = statusOf(outcome.reason);
    counters.add(
      match(status)
        .with(RequestStatus.ANSWERED, () => Metric.REQUESTS_ANSWERED)
        .with(RequestStatus.NOT_RUN, () => Metric.REQUESTS_NOT_RUN)
        .otherwise(() => Metric.REQUESTS_UNKNOWN),
    );
    if (status !== RequestStatus.ANSWERED) {
      timeline.record(EventKind.REQUEST_ENDED, {
        request: request.key,
        service: request.service,
        reason: outcome.reason,
      });
    }
  }
}

/** Whether both the caller and the template allow retries. */
function isRepeatable(request: CallerRequest, service: Service): boolean {
  return request.repeatable && service.repeatable;
}

/** Returns the key for the guard, which is unique across services. */
export function guardKey(
  request: Pick<CallerRequest, 'workspace' | 'service' | 'key'>,
): string {
  return `${request.workspace}/${request.service}/${request.key}`;
}
