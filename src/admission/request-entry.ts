/** Entry of requests: finds the service, applies limits, picks the way. */
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
import {CLOCK_MARGIN_MS} from './leased-key-guard.js';
import {
  OutcomeReason,
  ended,
  outcomeOf,
  replyOf,
  statusOf,
  type Outcome,
} from './outcome.js';

const OWNER_RETRY_MS = 100;
const RETRY_AFTER_MS = 500;
/** Longest body that is taken, in bytes. */
const MAXIMUM_BODY = 1_000_000;
const MAXIMUM_KEY = 200;

/** Where requests with a key are decided. */
export interface KeyOwner {
  /** Undefined when it is this daemon. */
  readonly address: string | undefined;
}

/** What the entry is made from. */
export interface RequestEntryOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly timeline: Timeline;
  readonly peers: Peers;
  readonly guard: KeyGuard;
  /** The service of a workspace by names. */
  findService(workspace: string, service: string): Service | undefined;
  dispatcherOf(service: Service): Dispatcher;
  /** The daemon that decides a key, by this daemon's view. */
  ownerOf(key: string): KeyOwner;
}

/** Takes requests of callers and of peers. */
export class RequestEntry {
  private readonly inFlight = new Map<string, number>();
  private stopping = false;
  private running = 0;

  private constructor(private readonly options: RequestEntryOptions) {}

  /** Creates an entry. */
  static create(options: RequestEntryOptions): RequestEntry {
    return new RequestEntry(options);
  }

  /** Requests that have not ended yet. */
  get count(): number {
    return this.running;
  }

  /** Refuses new requests from now on. */
  stop(): void {
    this.stopping = true;
  }

  /** Handles a request; `deadline` is monotonic milliseconds. */
  async handle(request: CallerRequest): Promise<CallerReply> {
    const {clock} = this.options;
    const deadline = clock.now() + request.timeLeftMs;
    this.running += 1;
    const outcome = await this.admit(request, deadline);
    this.running -= 1;
    if (request.hops === 0) {
      this.record(request, outcome);
    }
    return replyOf(outcome);
  }

  private async admit(
    request: CallerRequest,
    deadline: number,
  ): Promise<Outcome> {
    const {workspace} = request;
    const service = this.options.findService(workspace, request.service);
    if (this.stopping && request.hops === 0) {
      return ended(OutcomeReason.STOPPING, RETRY_AFTER_MS);
    }
    if (service === undefined) {
      return ended(OutcomeReason.UNKNOWN_SERVICE);
    }
    if (!this.isWellFormed(request, service)) {
      return ended(OutcomeReason.MALFORMED);
    }
    const inFlight = this.inFlight.get(workspace) ?? 0;
    if (inFlight >= service.requestsInFlight) {
      return ended(OutcomeReason.WORKSPACE_LIMIT, RETRY_AFTER_MS);
    }
    this.inFlight.set(workspace, inFlight + 1);
    const longest = this.options.clock.now() + service.deadlineMs;
    const outcome = await this.carryOut(
      request,
      service,
      Math.min(deadline, longest),
    );
    this.inFlight.set(workspace, (this.inFlight.get(workspace) ?? 1) - 1);
    return outcome;
  }

  private isWellFormed(request: CallerRequest, service: Service): boolean {
    const latest = this.options.clock.wall() + CLOCK_MARGIN_MS;
    const keyFits = request.key.length > 0 && request.key.length <= MAXIMUM_KEY;
    const issueFits =
      isRepeatable(request, service) ||
      (request.issuedMs > 0 && request.issuedMs <= latest);
    return (
      keyFits &&
      issueFits &&
      request.timeLeftMs > 0 &&
      request.body.length <= MAXIMUM_BODY
    );
  }

  private carryOut(
    request: CallerRequest,
    service: Service,
    deadline: number,
  ): Promise<Outcome> {
    if (isRepeatable(request, service)) {
      return this.dispatch(request, service, deadline, () => deadline);
    }
    return request.hops > 0
      ? this.runGuarded(request, service, deadline)
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

  private runGuarded(
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
   * Hands the request to the daemon that decides its key. Asking twice is
   * harmless, because that daemon knows the key; `asked` is whether an earlier
   * try may have reached one.
   */
  private async runAtOwner(
    request: CallerRequest,
    service: Service,
    deadline: number,
    asked: boolean,
  ): Promise<Outcome> {
    const {address} = this.options.ownerOf(guardKey(request));
    const {clock, peers} = this.options;
    if (address === undefined) {
      const outcome = await this.runGuarded(request, service, deadline);
      return this.tellOfEarlierTry(outcome, asked);
    }
    const timeLeftMs = Math.max(1, Math.floor(deadline - clock.now()));
    const forwarded = {...request, hops: 1, timeLeftMs};
    const result = await peers.forward(address, forwarded, deadline);
    const outcome = result.match(outcomeOf, () => undefined);
    const settled =
      outcome !== undefined &&
      outcome.reason !== OutcomeReason.KEY_RANGE_NOT_HELD;
    if (settled || clock.now() + OWNER_RETRY_MS >= deadline) {
      const silent = ended(
        asked || result.isErr()
          ? OutcomeReason.OWNER_SILENT
          : OutcomeReason.KEY_RANGE_NOT_HELD,
        RETRY_AFTER_MS,
      );
      return this.tellOfEarlierTry(outcome ?? silent, asked);
    }
    await this.pause();
    const reached = result.isErr() && result.error.mayHaveRun;
    return this.runAtOwner(request, service, deadline, asked || reached);
  }

  /** "Not run" is not said when an earlier try may have run elsewhere. */
  private tellOfEarlierTry(outcome: Outcome, asked: boolean): Outcome {
    const notRun = statusOf(outcome.reason) === RequestStatus.NOT_RUN;
    return asked && notRun ? ended(OutcomeReason.OWNER_SILENT) : outcome;
  }

  private pause(): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      clock.callAt(clock.now() + OWNER_RETRY_MS, resolve);
    });
  }

  private record(request: CallerRequest, outcome: Outcome): void {
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

/** Both the caller and the template must allow repeats. */
function isRepeatable(request: CallerRequest, service: Service): boolean {
  return request.repeatable && service.repeatable;
}

/** The key as the guard knows it: a key belongs to one service. */
export function guardKey(
  request: Pick<CallerRequest, 'workspace' | 'service' | 'key'>,
): string {
  return `${request.workspace}/${request.service}/${request.key}`;
}
