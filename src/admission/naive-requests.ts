/**
 * Baseline for benchmarks: forwards a request to a random server and retries on
 * any error, without admission control or idempotency keys. Used by daemons
 * whose requests policy is "naive".
 */
import type {Service} from '../configuration/services.js';
import type {CallerReply, CallerRequest} from '../generated/request.js';
import type {BackendServers} from '../ports/backend-servers.js';
import type {Clock} from '../ports/clock.js';
import {
  OutcomeReason,
  createOutcome,
  toCallerReply,
  type Outcome,
} from './outcome.js';

const MAX_ATTEMPTS = 3;
const ATTEMPT_TIMEOUT_MS = 1_000;

/** Options of the naive request handler. */
export interface NaiveRequestsOptions {
  readonly clock: Clock;
  readonly backends: BackendServers;
  /** Returns a number from 0 to below 1. */
  random(): number;
  findService(workspace: string, service: string): Service | undefined;
}

/** Handles requests without any guarantee; may run one more than once. */
export class NaiveRequests {
  private constructor(private readonly options: NaiveRequestsOptions) {}

  /** Creates a handler. */
  static create(options: NaiveRequestsOptions): NaiveRequests {
    return new NaiveRequests(options);
  }

  /** Handles a request; reports NOT_RUN even if a server may have run it. */
  async handle(request: CallerRequest): Promise<CallerReply> {
    const service = this.options.findService(
      request.workspace,
      request.service,
    );
    return toCallerReply(
      service === undefined
        ? createOutcome(OutcomeReason.UNKNOWN_SERVICE)
        : await this.sendWithRetries(request, service, MAX_ATTEMPTS),
    );
  }

  private async sendWithRetries(
    request: CallerRequest,
    service: Service,
    attemptsLeft: number,
  ): Promise<Outcome> {
    const {backends, clock, random} = this.options;
    const {servers} = service;
    const server = servers[Math.floor(random() * servers.length)];
    const {workspace, key, body, timeLeftMs} = request;
    const result = await backends.run(
      server.id,
      {
        workspace,
        service: request.service,
        key,
        attempt: 1,
        timeLeftMs,
        body,
        startByMs: 0,
      },
      clock.now() + Math.min(timeLeftMs, ATTEMPT_TIMEOUT_MS),
    );
    const isAnswered = result.isOk() && result.value.started;
    if (isAnswered) {
      const reply = result.value;
      return {...createOutcome(OutcomeReason.ANSWERED), body: reply.body};
    }
    return attemptsLeft > 1
      ? this.sendWithRetries(request, service, attemptsLeft - 1)
      : createOutcome(OutcomeReason.NO_SERVER);
  }
}
