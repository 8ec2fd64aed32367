/**
 * New flows at servers that are cold, that is slow for some time after their start or
 * after their failure domain was restored, where the operators state how many requests
 * a second such a server takes from all daemons together.
 *
 * The pattern answered: a third of the servers comes back empty and cold, and callers
 * open hundreds of flows a second through daemons of which each sees a few. A warm
 * server takes them then. Only while a service has none may a daemon open a flow at a
 * cold one, by a chance so small that the sum over all daemons stays within the rate.
 *
 * By a model of that load (cold-openings.spec.ts) a cold server that takes 20 requests in
 * a second gets at most 10 openings in any second, from 8 to 5,606 daemons that count each
 * other right or by half. Weighed besides: least own work, which holds no sum, since each
 * daemon sees a cold server idle; shares of the rate for each daemon, which need exact
 * counts; a server dealt to one daemon, which needs views that agree. Warm servers first
 * costs the cold servers' capacity while they are cold, which they had not while away.
 */
import type {Random} from './random.js';

/**
 * Chance, in any second, that the openings of a fleet pass what a cold server takes:
 * 5,600 servers that are cold for 2 s each day pass it once in 250 years.
 */
const OVERLOAD_PROBABILITY = 1e-9;
/**
 * Requests that a new flow brings within a second: one, and one more by half of the
 * flows that go on.
 */
const REQUESTS_PER_FLOW = 1.5;
/** By how much the daemons may be more than this one knows of. */
const DAEMON_COUNT_FACTOR = 2;
/**
 * Time for which a chance to open a flow lasts, in milliseconds: that of a few openings
 * at a daemon that sees some ten a second. Chances are not saved up: those of many
 * daemons would be used together when callers come at once.
 */
const PERMIT_LIFETIME_MS = 100;
/** Time after which a chance that nobody used is forgotten, in milliseconds. */
const PERMIT_RETENTION_MS = 10_000;
const MS_PER_SECOND = 1_000;
/** Steps of the search for a rate; each halves its error. */
const BISECTION_STEPS = 30;
/** Terms of a tail that are added up; they fall by half each or faster. */
const POISSON_TAIL_TERMS = 40;

/** What a cold server takes beyond the rate that its service states. */
export interface ColdLimits {
  /** Times the stated rate that may arrive within a second. */
  readonly excess: number;
  /** Requests on top of that. */
  readonly slack: number;
}

/** The flows that one daemon opens at cold servers. */
export class ColdStartLimiter {
  /** When the next chance begins at each server; monotonic milliseconds. */
  private readonly permitsAt = new Map<string, number>();
  /** Openings a second that a fleet may make at a cold server, by the stated rate. */
  private readonly fleetRates = new Map<number, number>();

  private constructor(
    private readonly limits: ColdLimits,
    private readonly random: Random,
  ) {}

  /** Creates a record without chances. */
  static create(limits: ColdLimits, random: Random): ColdStartLimiter {
    return new ColdStartLimiter(limits, random);
  }

  /**
   * Whether this daemon may open a flow at a cold server now; `rate` is what its service
   * states, in requests a second, and `daemons` how many open flows.
   */
  admits(server: string, rate: number, daemons: number, now: number): boolean {
    const beginsAt = this.permitsAt.get(server);
    if (beginsAt === undefined || beginsAt + PERMIT_LIFETIME_MS <= now) {
      this.removeExpired(now);
      this.schedulePermit(server, rate, daemons, now);
    }
    return (this.permitsAt.get(server) ?? Infinity) <= now;
  }

  /** Notes that a flow was opened at a cold server: its chance is used. */
  recordOpening(
    server: string,
    rate: number,
    daemons: number,
    now: number,
  ): void {
    this.schedulePermit(server, rate, daemons, now);
  }

  /** Chances of one daemon come at exponential gaps, so those of all add up alike. */
  private schedulePermit(
    server: string,
    rate: number,
    daemons: number,
    now: number,
  ): void {
    const ownRate = this.fleetRateFor(rate) / (daemons * DAEMON_COUNT_FACTOR);
    const gapMs = (-Math.log(1 - this.random.next()) * MS_PER_SECOND) / ownRate;
    this.permitsAt.set(server, now + gapMs);
  }

  /** Servers that were not asked for lately are warm, or gone. */
  private removeExpired(now: number): void {
    this.permitsAt.forEach((beginsAt, server) => {
      if (beginsAt + PERMIT_RETENTION_MS <= now) {
        this.permitsAt.delete(server);
      }
    });
  }

  private fleetRateFor(rate: number): number {
    const known = this.fleetRates.get(rate);
    if (known !== undefined) {
      return known;
    }
    const {excess, slack} = this.limits;
    const found = computeFleetRate(Math.floor(rate * excess + slack));
    this.fleetRates.set(rate, found);
    return found;
  }
}

/**
 * Openings a second, at chance times, that stay within a bound on the requests of any
 * second but for `EXCESS_CHANCE`.
 */
function computeFleetRate(bound: number): number {
  const openings = Math.floor(bound / REQUESTS_PER_FLOW);
  const span = 1 + PERMIT_LIFETIME_MS / MS_PER_SECOND;
  const search = Array.from({length: BISECTION_STEPS}).reduce<[number, number]>(
    ([low, high]) => {
      const middle = (low + high) / 2;
      return poissonTail(openings, middle * span) <= OVERLOAD_PROBABILITY
        ? [middle, high]
        : [low, middle];
    },
    [0, openings],
  );
  return search[0];
}

/** Chance that more than `count` events come where `mean` are expected (Poisson). */
function poissonTail(count: number, mean: number): number {
  // The first term, and each next one by its ratio to the one before.
  const first = Array.from({length: count + 1}).reduce<number>(
    (term, _factor, index) => (term * mean) / (index + 1),
    Math.exp(-mean),
  );
  const [chance] = Array.from({length: POISSON_TAIL_TERMS}).reduce<
    [number, number]
  >(
    ([sum, term], _next, index) => [
      sum + term,
      (term * mean) / (count + 2 + index),
    ],
    [0, first],
  );
  return chance;
}
