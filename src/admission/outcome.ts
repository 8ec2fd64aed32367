/**
 * Outcomes of requests: the reasons, the status that each one maps to, and the
 * conversion from and to replies.
 */
import {P, match} from 'ts-pattern';
import {RequestStatus, type CallerReply} from '../generated/request.js';

/** Why a request ended as it did. */
export const OutcomeReason = {
  ANSWERED: 'answered',
  /** The recorded answer to an earlier request with the same key. */
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
  /** No reachable daemon holds the key's range. */
  KEY_RANGE_NOT_HELD: 'key-range-not-held',
  STORE_DOWN: 'store-down',
  /** The owner of the key was asked and gave no usable reply. */
  OWNER_SILENT: 'owner-silent',
  SERVER_SILENT: 'server-silent',
  /** The server's answer was truncated. */
  PARTIAL_ANSWER: 'partial-answer',
  /** The server's answer was for another request or attempt. */
  WRONG_ANSWER: 'wrong-answer',
  /** An earlier request with this key may have run. */
  EARLIER_OUTCOME_UNKNOWN: 'earlier-outcome-unknown',
  /** The key's record may have been lost with a former holder. */
  MEMORY_LOST: 'memory-lost',
  /** The key was issued before the retention period of keys. */
  KEY_TOO_OLD: 'key-too-old',
} as const;
/** One of the reasons in `OutcomeReason`. */
export type OutcomeReason = (typeof OutcomeReason)[keyof typeof OutcomeReason];

const ALL_REASONS = Object.values(OutcomeReason);

/** The final outcome of a request. */
export interface Outcome {
  readonly reason: OutcomeReason;
  /** The complete answer; empty unless the request was answered. */
  readonly body: Uint8Array;
  /** Suggested delay before a retry, in milliseconds; 0: no suggestion. */
  readonly retryAfterMs: number;
}

const EMPTY_BODY = new Uint8Array(0);

/** Creates an outcome without a body. */
export function createOutcome(
  reason: OutcomeReason,
  retryAfterMs = 0,
): Outcome {
  return {reason, body: EMPTY_BODY, retryAfterMs};
}

/** Returns the status of a reason. */
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

/** Converts an outcome to the reply for the caller. */
export function toCallerReply(outcome: Outcome): CallerReply {
  return {
    status: statusOf(outcome.reason),
    reason: outcome.reason,
    body: Buffer.from(outcome.body),
    retryAfterMs: Math.ceil(outcome.retryAfterMs),
  };
}

/** Converts a reply to its outcome; an unrecognized reason is OWNER_SILENT. */
export function fromCallerReply(reply: CallerReply): Outcome {
  const reason = ALL_REASONS.find(known => known === reply.reason);
  return match(reason)
    .with(P.nullish, () => createOutcome(OutcomeReason.OWNER_SILENT))
    .otherwise(known => ({
      reason: known,
      body: reply.body,
      retryAfterMs: reply.retryAfterMs,
    }));
}
