/** At most once by leased key ranges with copies at a second daemon. */
import {match} from 'ts-pattern';
import {RequestStatus, type CallerReply} from '../generated/request.js';
import type {Clock} from '../ports/clock.js';
import type {Hasher} from '../ports/hasher.js';
import {KeyGuard, type GuardedRequest} from './key-guard.js';
import {KEY_RETENTION_MS} from './idempotency-keys.js';
import {RANGE_COUNT, type HeldRange, type KeyRanges} from './key-ranges.js';
import {
  OutcomeReason,
  ended,
  outcomeOf,
  replyOf,
  type Outcome,
} from './outcome.js';

const RANGE_SEED = 29;
const POLL_MS = 50;
/** Longest time that a request waits for its range, in milliseconds. */
const RANGE_WAIT_MS = 3_000;
const RETRY_AFTER_MS = 1_000;
/** Difference of callers' and daemons' clocks that is allowed for. */
export const CLOCK_MARGIN_MS = 2_000;

/** The range of a key. */
export function rangeOf(key: string, hasher: Hasher): number {
  return hasher.hashText(key, RANGE_SEED) % RANGE_COUNT;
}

/** Guard over the key ranges that this daemon holds. */
export class LeasedKeyGuard extends KeyGuard {
  /** Requests that run now; a resend waits for the same outcome. */
  private readonly running = new Map<string, Promise<Outcome>>();

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
    const known = this.running.get(request.key);
    if (known !== undefined) {
      return this.shareOutcome(known, request.deadline);
    }
    const range = this.ranges.get(rangeOf(request.key, this.hasher));
    const outcome = this.runNew(request, range);
    this.running.set(request.key, outcome);
    const result = await outcome;
    this.running.delete(request.key);
    return result;
  }

  /** A resend gets the first one's outcome, if it comes in time. */
  private shareOutcome(
    first: Promise<Outcome>,
    deadline: number,
  ): Promise<Outcome> {
    const late = new Promise<Outcome>(resolve => {
      this.clock.callAt(deadline, () =>
        resolve(ended(OutcomeReason.EARLIER_OUTCOME_UNKNOWN)),
      );
    });
    return Promise.race([first, late]);
  }

  private async runNew(
    request: GuardedRequest,
    range: HeldRange,
  ): Promise<Outcome> {
    const usable = await this.waitForRange(range, request.deadline);
    if (!usable) {
      return ended(OutcomeReason.KEY_RANGE_NOT_HELD, RETRY_AFTER_MS);
    }
    const remembered = range.memory.get(request.key);
    if (remembered !== undefined) {
      return repeatOutcome(remembered.reply);
    }
    const refusal = this.refuseByAge(request, range);
    if (refusal !== undefined) {
      return refusal;
    }
    if (!range.memory.hasRoom()) {
      return ended(OutcomeReason.QUEUE_FULL, RETRY_AFTER_MS);
    }
    range.running += 1;
    const outcome = await this.runRemembered(request, range);
    range.running -= 1;
    return outcome;
  }

  /** Notes the key in both memories, runs it, and notes the outcome. */
  private async runRemembered(
    request: GuardedRequest,
    range: HeldRange,
  ): Promise<Outcome> {
    range.memory.set(request.key, undefined);
    const copied = await this.ranges.keepCopy(range, record(request.key));
    if (!copied) {
      range.memory.free(request.key);
      return ended(OutcomeReason.KEY_RANGE_NOT_HELD, RETRY_AFTER_MS);
    }
    const outcome = await request.execute(() =>
      this.ranges.startDeadline(range),
    );
    const reply = replyOf(outcome);
    const ran = reply.status !== RequestStatus.NOT_RUN;
    const known = reply.status === RequestStatus.ANSWERED ? reply : undefined;
    if (ran) {
      range.memory.set(request.key, known);
    } else {
      range.memory.free(request.key);
    }
    void this.ranges.keepCopy(range, {
      ...record(request.key),
      reply: known,
      freed: !ran,
    });
    return outcome;
  }

  /** An old key may have been forgotten, or known to a lost holder alone. */
  private refuseByAge(
    request: GuardedRequest,
    range: HeldRange,
  ): Outcome | undefined {
    const {issuedMs} = request;
    if (issuedMs < this.clock.wall() - KEY_RETENTION_MS + CLOCK_MARGIN_MS) {
      return ended(OutcomeReason.KEY_TOO_OLD);
    }
    return issuedMs < range.memoryStartMs + CLOCK_MARGIN_MS
      ? ended(OutcomeReason.MEMORY_LOST)
      : undefined;
  }

  private async waitForRange(
    range: HeldRange,
    deadline: number,
  ): Promise<boolean> {
    const until = Math.min(deadline, this.clock.now() + RANGE_WAIT_MS);
    while (!this.ranges.isUsable(range) && this.clock.now() < until) {
      await new Promise<void>(resolve => {
        this.clock.callAt(this.clock.now() + POLL_MS, resolve);
      });
    }
    return this.ranges.isUsable(range);
  }
}

/** What a resend is told. */
function repeatOutcome(reply: CallerReply | undefined): Outcome {
  return match(reply)
    .with(undefined, () => ended(OutcomeReason.EARLIER_OUTCOME_UNKNOWN))
    .otherwise(known => ({
      ...outcomeOf(known),
      reason: OutcomeReason.REMEMBERED,
    }));
}

function record(key: string) {
  return {
    key,
    reply: undefined,
    secondsLeft: KEY_RETENTION_MS / 1_000,
    freed: false,
  };
}
