/**
 * Limits the rate of new flows at cold servers, those that have just started or whose
 * failure domain was just restored, to what their service states. Daemons don't
 * coordinate: each draws the times at which it may open a flow, so that their sum stays
 * within the rate even while each knows the number of daemons only roughly. Used by
 * `ServerSelector` while a service has no warm server.
 */
import type {Random} from './random.js';

/**
 * Accepted probability, for any second, that a cold server gets more than its limit: 5,600
 * servers that are cold for 2 s each day exceed it once in 250 years.
 */
const OVERLOAD_PROBABILITY = 1e-9;
/**
 * Average requests of a new flow within its first second: one, and a second one by half of
 * the flows that go on.
 */
const REQUESTS_PER_FLOW = 1.5;
/** How many times more daemons there may be than this one knows of. */
const DAEMON_COUNT_FACTOR = 2;
/**
 * Time for which a permit to open a flow is valid. Permits do not accumulate, since all
 * daemons would use theirs at once in a burst of new flows.
 */
const PERMIT_LIFETIME_MS = 100;
/** Time after which an unused permit is removed. */
const PERMIT_RETENTION_MS = 10_000;
const MS_PER_SECOND = 1_000;
/** Steps of the search for a rate; each halves the error. */
const BISECTION_STEPS = 30;
/** Terms of the Poisson tail that are summed; each is about half of the one before or less. */
const POISSON_TAIL_TERMS = 40;

/** Limit on the requests of a cold server in one second, from its stated rate. */
export interface ColdStartLimits {
  /** Multiple of the stated rate. */
  readonly excess: number;
  /** Requests in addition to that multiple. */
  readonly slack: number;
}

/** Limits the flows that one daemon opens at cold servers. */
export class ColdStartLimiter {
  /** When the next permit of each server becomes valid; monotonic milliseconds. */
  private readonly permits = new Map<string, number>();
  /** New flows per second from all daemons at one server, by stated rate. */
  private readonly fleetRates = new Map<number, number>();

  private constructor(
    private readonly limits: ColdStartLimits,
    private readonly random: Random,
  ) {}

  /** Creates a limiter without permits. */
  static create(limits: ColdStartLimits, random: Random): ColdStartLimiter {
    return new ColdStartLimiter(limits, random);
  }

  /**
   * Whether this daemon may open a flow at a cold server now. `rate` is what the service
   * states for a cold server, in requests per second from all `daemons` together.
   */
  admits(server: string, rate: number, daemons: number, now: number): boolean {
    const validFrom = this.permits.get(server);
    if (validFrom === undefined || validFrom + PERMIT_LIFETIME_MS <= now) {
      this.removeExpired(now);
      this.schedulePermit(server, rate, daemons, now);
    }
    return (this.permits.get(server) ?? Infinity) <= now;
  }

  /** Records that a flow was opened at a cold server, which uses up the permit. */
  recordOpening(
    server: string,
    rate: number,
    daemons: number,
    now: number,
  ): void {
    this.schedulePermit(server, rate, daemons, now);
  }

  /**
   * Draws the time of the next permit. Exponential intervals make the permits of each
   * daemon, and so those of all daemons together, a Poisson process.
   */
  private schedulePermit(
    server: string,
    rate: number,
    daemons: number,
    now: number,
  ): void {
    const ownRate = this.fleetRateFor(rate) / (daemons * DAEMON_COUNT_FACTOR);
    const gapMs = (-Math.log(1 - this.random.next()) * MS_PER_SECOND) / ownRate;
    this.permits.set(server, now + gapMs);
  }

  /** Removes permits of servers that were not selected recently: warm or ended ones. */
  private removeExpired(now: number): void {
    this.permits.forEach((validFrom, server) => {
      if (validFrom + PERMIT_RETENTION_MS <= now) {
        this.permits.delete(server);
      }
    });
  }

  private fleetRateFor(rate: number): number {
    const known = this.fleetRates.get(rate);
    if (known !== undefined) {
      return known;
    }
    const {excess, slack} = this.limits;
    const computed = computeFleetRate(Math.floor(rate * excess + slack));
    this.fleetRates.set(rate, computed);
    return computed;
  }
}

/**
 * Returns the rate of new flows per second, as a Poisson process, whose requests exceed
 * `requestLimit` in any second with at most `OVERLOAD_PROBABILITY`.
 */
function computeFleetRate(requestLimit: number): number {
  const flowLimit = Math.floor(requestLimit / REQUESTS_PER_FLOW);
  const windowSeconds = 1 + PERMIT_LIFETIME_MS / MS_PER_SECOND;
  const search = Array.from({length: BISECTION_STEPS}).reduce<[number, number]>(
    ([low, high]) => {
      const middle = (low + high) / 2;
      return poissonTail(flowLimit, middle * windowSeconds) <=
        OVERLOAD_PROBABILITY
        ? [middle, high]
        : [low, middle];
    },
    [0, flowLimit],
  );
  return search[0];
}

/** Returns the probability of more than `count` events of a Poisson distribution. */
function poissonTail(count: number, mean: number): number {
  // The probability of `count + 1` events; each further term follows by its ratio.
  const first = Array.from({length: count + 1}).reduce<number>(
    (term, _factor, index) => (term * mean) / (index + 1),
    Math.exp(-mean),
  );
  const [probability] = Array.from({length: POISSON_TAIL_TERMS}).reduce<
    [number, number]
  >(
    ([sum, term], _next, index) => [
      sum + term,
      (term * mean) / (count + 2 + index),
    ],
    [0, first],
  );
  return probability;
}
