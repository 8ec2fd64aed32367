/**
 * Judges the requests that pass one daemon: which of them ended badly. The standard is
 * what is usual on the same route, over all of its servers; a route whose usual answers
 * look like errors, or that has had too few, gives no verdict.
 */
import type {KnownRoute} from '../catalog/route-table.js';
import {destinationKey} from '../routing/flow-key.js';
import {
  RequestEnd,
  RequestObserver,
  type RequestOutcome,
} from '../routing/request-outcome.js';
import type {ServerHashes} from '../routing/server-hashes.js';
import {CallerLimit} from './caller-limit.js';
import {LateVerdicts, type FaultVerdict} from './late-verdicts.js';
import {RecentSamples} from './recent-samples.js';
import {FaultKind} from './server-evidence.js';

/** Answers of a route below which its requests are not judged. */
const MIN_SAMPLES = 16;
/** Share of the median length from which no answer is an error. */
const MAX_FAILED_LENGTH_SHARE = 0.5;
/**
 * Standard deviations of the logarithm of the lengths by which an error is shorter than
 * the median: rare among good answers of any spread.
 */
const FAILED_LENGTH_DEVIATIONS = 3;
/**
 * Share of short answers from which they are no errors: either most servers fail, or the
 * route has short and long answers.
 */
const MAX_SHORT_SHARE = 0.35;
/** Distance of the upper quartile from the median of a normal distribution. */
const QUARTILE_DEVIATIONS = 0.674;
/** An answer that was cut off has at least one full packet, of 1,200 bytes or more. */
const MAX_FAILED_BYTES = 1_000;
/** Multiple of the route's median time to answer at which an answer is slow. */
const SLOW_FACTOR = 3;
/** Share of the route's target time below which an answer is never slow. */
const SLOW_TARGET_SHARE = 0.25;
/** Length up to which a request is sent at once, without waiting for the server. */
const MAX_BURST_BYTES = 16_384;
/** Pause in a longer request from which the caller waits for the server. */
const UPLOAD_PAUSE_MS = 250;
/** Limit of routes with samples; the least recently added is dropped first. */
const MAX_ROUTES = 256;

/** Answers of one route, of all servers together. */
interface RouteSamples {
  /** Lengths of complete answers, in bytes. */
  readonly lengths: RecentSamples;
  /** Milliseconds from the last data of a request to its answer. */
  readonly times: RecentSamples;
}

/** Dependencies and callbacks of an `OutcomeClassifier`. */
export interface OutcomeClassifierOptions {
  readonly hashes: ServerHashes;
  /** Called with each verdict that stands; `now` is monotonic milliseconds. */
  onFault(verdict: FaultVerdict, now: number): void;
  /** Called with the number of verdicts that were dropped. */
  onDropped(count: number): void;
}

/** Classifies request outcomes by comparison with the usual ones of their route. */
export class OutcomeClassifier extends RequestObserver {
  private readonly routes = new Map<number, RouteSamples>();
  private readonly callerLimit = CallerLimit.create();
  private readonly lateVerdicts = LateVerdicts.create();

  private constructor(private readonly options: OutcomeClassifierOptions) {
    super();
  }

  /** Creates a classifier without samples. */
  static create(options: OutcomeClassifierOptions): OutcomeClassifier {
    return new OutcomeClassifier(options);
  }

  onEnd(outcome: RequestOutcome, now: number): void {
    const samples = this.samplesOf(outcome.route);
    const kind = classify(outcome, samples, now);
    addSample(samples, outcome);
    const hash = this.options.hashes.of(outcome.server.id);
    const isLate = kind === FaultKind.OVERDUE || kind === FaultKind.SLOW;
    if (isLate || outcome.end === RequestEnd.ANSWERED) {
      this.lateVerdicts.recordAnswer(hash, isLate, now);
    }
    if (kind === undefined) {
      return;
    }
    const {server, caller, startedAt} = outcome;
    const verdict = {server, kind, startedAt};
    if (!this.callerLimit.admit(hash, caller, now)) {
      this.options.onDropped(1);
    } else if (!isLate) {
      this.options.onFault(verdict, now);
    } else if (!this.lateVerdicts.hold(verdict, now)) {
      this.options.onDropped(1);
    }
  }

  /** Reports the held verdicts that stand; call it several times a second. */
  releaseVerdicts(now: number): void {
    const {standing, dropped} = this.lateVerdicts.release(now);
    standing.forEach(verdict => this.options.onFault(verdict, now));
    if (dropped > 0) {
      this.options.onDropped(dropped);
    }
  }

  private samplesOf({address, port}: KnownRoute): RouteSamples {
    const key = destinationKey(address, port);
    const known = this.routes.get(key);
    if (known !== undefined) {
      return known;
    }
    const created = {
      lengths: RecentSamples.create(),
      times: RecentSamples.create(),
    };
    this.routes.set(key, created);
    if (this.routes.size > MAX_ROUTES) {
      const [oldest] = this.routes.keys();
      this.routes.delete(oldest);
    }
    return created;
  }
}

function addSample({lengths, times}: RouteSamples, outcome: RequestOutcome) {
  if (outcome.end === RequestEnd.ANSWERED) {
    lengths.add(outcome.answerBytes);
    times.add(outcome.answeredAt - outcome.lastDataAt);
  }
}

/** Returns how a request ended badly; undefined: well, or there is no telling. */
function classify(
  outcome: RequestOutcome,
  samples: RouteSamples,
  now: number,
): FaultKind | undefined {
  if (samples.lengths.total < MIN_SAMPLES) {
    return undefined;
  }
  if (outcome.end !== RequestEnd.ANSWERED) {
    return isOverdue(outcome, now) ? FaultKind.OVERDUE : undefined;
  }
  if (isFailed(outcome, samples)) {
    return FaultKind.FAILED;
  }
  return isSlow(outcome, samples) ? FaultKind.SLOW : undefined;
}

function isFailed({answerBytes}: RequestOutcome, {lengths}: RouteSamples) {
  const limit = errorLimit(lengths);
  const areShortOnesRare = lengths.quantile(MAX_SHORT_SHARE) >= limit;
  return (
    areShortOnesRare && answerBytes <= MAX_FAILED_BYTES && answerBytes < limit
  );
}

/**
 * Returns the length in bytes below which an answer is an error. The spread of good
 * answers is taken from the upper half of the lengths, where there are no errors.
 */
function errorLimit(lengths: RecentSamples): number {
  const median = lengths.quantile(0.5);
  const deviation =
    Math.log(lengths.quantile(0.75) / median) / QUARTILE_DEVIATIONS;
  const share = Math.exp(-FAILED_LENGTH_DEVIATIONS * deviation);
  return median * Math.min(MAX_FAILED_LENGTH_SHARE, share);
}

function isSlow(
  {answeredAt, lastDataAt, route}: RequestOutcome,
  {times}: RouteSamples,
): boolean {
  const elapsedMs = answeredAt - lastDataAt;
  return (
    elapsedMs >= times.quantile(0.5) * SLOW_FACTOR &&
    elapsedMs >= route.targetMs * SLOW_TARGET_SHARE
  );
}

/**
 * Whether an unanswered request is the server's fault: its target time has passed, and
 * the caller is not in the middle of a long upload.
 */
function isOverdue(
  {startedAt, lastDataAt, requestBytes, route}: RequestOutcome,
  now: number,
): boolean {
  const isUploading =
    requestBytes > MAX_BURST_BYTES && now - lastDataAt < UPLOAD_PAUSE_MS;
  return now - startedAt >= route.targetMs && !isUploading;
}
