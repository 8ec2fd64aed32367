/**
 * The naive way, kept to be measured against: forward to a random server and
 * try another on any error, with no memory of keys.
 */
import type {Service} from '../configuration/services.js';
import type {CallerReply, CallerRequest} from '../generated/request.js';
import type {BackendServers} from '../ports/backend-servers.js';
import type {Clock} from '../ports/clock.js';
import {OutcomeReason, ended, replyOf, type Outcome} from './outcome.js';

const TRIES = 3;
const TRY_MS = 1_000;

/** What the naive way is made from. */
export interface NaiveRequestsOptions {
  readonly clock: Clock;
  readonly backends: BackendServers;
  /** A number from 0 to below 1. */
  random(): number;
  findService(workspace: string, service: string): Service | undefined;
}

/** Requests without any of the promises. */
export class NaiveRequests {
  private constructor(private readonly options: NaiveRequestsOptions) {}

  /** Creates the naive way. */
  static create(options: NaiveRequestsOptions): NaiveRequests {
    return new NaiveRequests(options);
  }

  /** Handles one request. */
  async handle(request: CallerRequest): Promise<CallerReply> {
    const service = this.options.findService(
      request.workspace,
      request.service,
    );
    return replyOf(
      service === undefined
        ? ended(OutcomeReason.UNKNOWN_SERVICE)
        : await this.tryServers(request, service, TRIES),
    );
  }

  private async tryServers(
    request: CallerRequest,
    service: Service,
    tries: number,
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
      clock.now() + Math.min(timeLeftMs, TRY_MS),
    );
    const answered = result.isOk() && result.value.started;
    if (answered) {
      const reply = result.value;
      return {...ended(OutcomeReason.ANSWERED), body: reply.body};
    }
    return tries > 1
      ? this.tryServers(request, service, tries - 1)
      : ended(OutcomeReason.NO_SERVER);
  }
}
