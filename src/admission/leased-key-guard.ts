/**
 * At-most-once execution of requests by idempotency key, based on leased and
 * replicated key ranges. Used by the request entry of the key's owner.
 */
import {match} from 'ts-pattern';
import {RequestStatus, type CallerReply} from '../generated/request.js';
import type {Clock} from '../ports/clock.js';
import type {Hasher} from '../ports/hasher.js';
import {KeyGuard, type GuardedRequest} from './key-guard.js';
import {KEY_RETENTION_MS} from './idempotency-keys.js';
import {RANGE_COUNT, type KeyRange, type KeyRanges} from './key-ranges.js';
import {
  OutcomeReason,
  createOutcome,
  fromCallerReply,
  toCallerReply,
  type Outcome,
} from './outcome.js';

const RANGE_HASH_SEED = 29;
const RANGE_POLL_INTERVAL_MS = 50;
/** Maximum time that a request waits until its range is usable. */
const MAX_RANGE_WAIT_MS = 3_000;
const RETRY_AFTER_MS = 1_000;
/** Tolerated difference between the clocks of callers and daemons. */
export const MAX_CLOCK_SKEW_MS = 2_000;

/** Returns the number of the range that a key belongs to. */
export function rangeOf(key: string, hasher: Hasher): number {
  return hasher.hashText(key, RANGE_HASH_SEED) % RANGE_COUNT;
}

/** Runs requests whose keys are in ranges that this daemon holds. */
export class LeasedKeyGuard extends KeyGuard {
  /** Outcomes of running requests by key; a resend waits for the same one. */
  private readonly inFlight = new Map<string, Promise<Outcome>>();

  private constructor(
    private readonly ranges: KeyRanges,
    private readonly hasher: Hasher,
    private readonly clock: Clock,
  ) {
    super();
  }

  /** Creates a guard. */
  static create(
    ranges: KeyRanges,
    hasher: Hasher,
    clock: Clock,
  ): LeasedKeyGuard {
    return new LeasedKeyGuard(ranges, hasher, clock);
  }

  async run(request: GuardedRequest): Promise<Outcome> {
    const earlier = this.inFlight.get(request.key);
    if (earlier !== undefined) {
      return this.shareOutcome(earlier, request.deadline);
    }
    const range = this.ranges.get(rangeOf(request.key, this.hasher));
    const outcome = this.runFirst(request, range);
    this.inFlight.set(request.key, outcome);
    const result = await outcome;
    this.inFlight.delete(request.key);
    return result;
  }

  /** Returns the outcome of the first request, or UNKNOWN at the deadline. */
  private shareOutcome(
    first: Promise<Outcome>,
    deadline: number,
  ): Promise<Outcome> {
    const timeout = new Promise<Outcome>(resolve => {
      this.clock.callAt(deadline, () =>
        resolve(createOutcome(OutcomeReason.EARLIER_OUTCOME_UNKNOWN)),
      );
    });
    return Promise.race([first, timeout]);
  }

  private async runFirst(
    request: GuardedRequest,
    range: KeyRange,
  ): Promise<Outcome> {
    const usable = await this.waitForRange(range, request.deadline);
    if (!usable) {
      return createOutcome(OutcomeReason.KEY_RANGE_NOT_HELD, RETRY_AFTER_MS);
    }
    const recorded = range.keys.get(request.key);
    if (recorded !== undefined) {
      return outcomeForResend(recorded.reply);
    }
    const rejection = this.rejectByAge(request, range);
    if (rejection !== undefined) {
      return rejection;
    }
    if (!range.keys.hasRoom()) {
      return createOutcome(OutcomeReason.QUEUE_FULL, RETRY_AFTER_MS);
    }
    range.runningRequests += 1;
    const outcome = await this.runRecorded(request, range);
    range.runningRequests -= 1;
    return outcome;
  }

  /** Replicates the key's record, runs the request, then records its outcome. */
  private async runRecorded(
    request: GuardedRequest,
    range: KeyRange,
  ): Promise<Outcome> {
    range.keys.set(request.key, undefined);
    const replicated = await this.ranges.replicateRecord(
      range,
      createPendingRecord(request.key),
    );
    if (!replicated) {
      range.keys.remove(request.key);
      return createOutcome(OutcomeReason.KEY_RANGE_NOT_HELD, RETRY_AFTER_MS);
    }
    const outcome = await request.execute(() =>
      this.ranges.startDeadline(range),
    );
    const reply = toCallerReply(outcome);
    const mayHaveRun = reply.status !== RequestStatus.NOT_RUN;
    const answer = reply.status === RequestStatus.ANSWERED ? reply : undefined;
    if (mayHaveRun) {
      range.keys.set(request.key, answer);
    } else {
      range.keys.remove(request.key);
    }
    void this.ranges.replicateRecord(range, {
      ...createPendingRecord(request.key),
      reply: answer,
      freed: !mayHaveRun,
    });
    return outcome;
  }

  /** Rejects keys whose record may have expired or been lost with a holder. */
  private rejectByAge(
    request: GuardedRequest,
    range: KeyRange,
  ): Outcome | undefined {
    const {issuedMs} = request;
    if (issuedMs < this.clock.wall() - KEY_RETENTION_MS + MAX_CLOCK_SKEW_MS) {
      return createOutcome(OutcomeReason.KEY_TOO_OLD);
    }
    return issuedMs < range.completeSinceMs + MAX_CLOCK_SKEW_MS
      ? createOutcome(OutcomeReason.MEMORY_LOST)
      : undefined;
  }

  private async waitForRange(
    range: KeyRange,
    deadline: number,
  ): Promise<boolean> {
    const until = Math.min(deadline, this.clock.now() + MAX_RANGE_WAIT_MS);
    while (!this.ranges.isUsable(range) && this.clock.now() < until) {
      await new Promise<void>(resolve => {
        this.clock.callAt(this.clock.now() + RANGE_POLL_INTERVAL_MS, resolve);
      });
    }
    return this.ranges.isUsable(range);
  }
}

/** Returns the outcome of a resend from the recorded reply. */
function outcomeForResend(reply: CallerReply | undefined): Outcome {
  return match(reply)
    .with(undefined, () => createOutcome(OutcomeReason.EARLIER_OUTCOME_UNKNOWN))
    .otherwise(recorded => ({
      ...fromCallerReply(recorded),
      reason: OutcomeReason.REMEMBERED,
    }));
}

/** Creates the record of a key whose outcome is not known yet. */
function createPendingRecord(key: string) {
  return {
    key,
    reply: undefined,
    secondsLeft: KEY_RETENTION_MS / 1_000,
    freed: false,
  };
}
