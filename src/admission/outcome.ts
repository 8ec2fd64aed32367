/** How a request ends: answered, not run or unknown, each with its reason. */
import {P, match} from 'ts-pattern';
import {RequestStatus, type CallerReply} from '../generated/request.js';

/** Why a request ended as it did. */
export const OutcomeReason = {
  ANSWERED: 'answered',
  /** The caller's key was answered before; this is the same answer. */
  REMEMBERED: 'remembered',
  UNKNOWN_SERVICE: 'unknown-service',
  MALFORMED: 'malformed',
  WORKSPACE_LIMIT: 'workspace-limit',
  QUEUE_FULL: 'queue-full',
  DEADLINE_CANNOT_BE_MET: 'deadline-cannot-be-met',
  NO_SLOT_BEFORE_DEADLINE: 'no-slot-before-deadline',
  RETRY_BUDGET_SPENT: 'retry-budget-spent',
  NO_SERVER: 'no-server',
  STOPPING: 'stopping',
  /** The key's range is not held by any daemon that can be reached. */
  KEY_RANGE_NOT_HELD: 'key-range-not-held',
  STORE_DOWN: 'store-down',
  OWNER_SILENT: 'owner-silent',
  SERVER_SILENT: 'server-silent',
  PARTIAL_ANSWER: 'partial-answer',
  WRONG_ANSWER: 'wrong-answer',
  /** An earlier request with this key may have run. */
  EARLIER_OUTCOME_UNKNOWN: 'earlier-outcome-unknown',
  MEMORY_LOST: 'memory-lost',
  /** The key is older than keys are remembered. */
  KEY_TOO_OLD: 'key-too-old',
} as const;
/** One of the reasons in `OutcomeReason`. */
export type OutcomeReason = (typeof OutcomeReason)[keyof typeof OutcomeReason];

const REASONS = Object.values(OutcomeReason);

/** A final outcome. */
export interface Outcome {
  readonly reason: OutcomeReason;
  /** The whole answer; empty unless the request was answered. */
  readonly body: Uint8Array;
  /** Milliseconds after which another try makes sense; 0: none is advised. */
  readonly retryAfterMs: number;
}

const NOTHING = new Uint8Array(0);

/** An outcome without a body. */
export function ended(reason: OutcomeReason, retryAfterMs = 0): Outcome {
  return {reason, body: NOTHING, retryAfterMs};
}

/** The status that a reason stands for; every reason has exactly one. */
export function statusOf(reason: OutcomeReason): RequestStatus {
  return match(reason)
    .with('answered', 'remembered', () => RequestStatus.ANSWERED)
    .with(
      'unknown-service',
      'malformed',
      'workspace-limit',
      'queue-full',
      'deadline-cannot-be-met',
      'no-slot-before-deadline',
      'retry-budget-spent',
      'no-server',
      'stopping',
      'key-range-not-held',
      'store-down',
      () => RequestStatus.NOT_RUN,
    )
    .with(
      'owner-silent',
      'server-silent',
      'partial-answer',
      'wrong-answer',
      'earlier-outcome-unknown',
      'memory-lost',
      'key-too-old',
      () => RequestStatus.UNKNOWN,
    )
    .exhaustive();
}

/** The reply that tells a caller the outcome. */
export function replyOf(outcome: Outcome): CallerReply {
  return {
    status: statusOf(outcome.reason),
    reason: outcome.reason,
    body: Buffer.from(outcome.body),
    retryAfterMs: Math.ceil(outcome.retryAfterMs),
  };
}

/** The outcome that a reply tells; an unknown reason is taken as silence. */
export function outcomeOf(reply: CallerReply): Outcome {
  const reason = REASONS.find(known => known === reply.reason);
  return match(reason)
    .with(P.nullish, () => ended(OutcomeReason.OWNER_SILENT))
    .otherwise(known => ({
      reason: known,
      body: reply.body,
      retryAfterMs: reply.retryAfterMs,
    }));
}
