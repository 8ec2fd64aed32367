/**
 * A simulated service whose requests go to servers by their ratings, without packets: bad
 * outcomes become evidence after the time that gossip takes, and every daemon rates by it.
 */
import {EjectionPhase, type Ejection} from '../src/feedback/ejection.js';
import {OutlierRatings} from '../src/feedback/outlier-ratings.js';
import type {FaultKind} from '../src/feedback/server-evidence.js';
import type {CatalogServer} from '../src/catalog/records.js';
import {Random} from '../src/routing/random.js';
import {createServer} from './catalog-records.js';
import {MemoryEvidencePool} from './memory-evidence-pool.js';

const PAY = 'pay';
const STEP_MS = 50;
const HALF_LIFE_MS = 10_000;
/** Time until evidence of one daemon has reached the others. */
const GOSSIP_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** How a request ends badly, and how long after its start that is known. */
export interface BadOutcome {
  readonly kind: FaultKind;
  readonly afterMs: number;
}

/** Layout and behaviour of the simulated service. */
export interface RatedServicePlan {
  readonly seed?: number;
  readonly servers: number;
  /** Daemons that rate on their own; undefined: one stands for all. */
  readonly daemons?: number;
  readonly requestsPerSecond: number;
  /** Share of the requests sent by daemons that neither rate nor report; undefined: 0. */
  readonly unratedShare?: number;
  /** Returns how a request to a server ends; undefined: well. */
  outcomeOf(
    server: CatalogServer,
    now: number,
    random: Random,
  ): BadOutcome | undefined;
}

/** A request that was sent to a server. */
export interface SentRequest {
  readonly server: CatalogServer;
  readonly at: number;
  /** Whether the sending daemon had the server in trial. */
  readonly isTrial: boolean;
}

/** The service, its evidence and its raters. */
export class RatedService {
  readonly sent: SentRequest[] = [];
  /** Ejections in order, over all daemons. */
  readonly ejected: {id: string; at: number; until: number}[] = [];
  readonly returned: {id: string; at: number}[] = [];
  readonly pool = MemoryEvidencePool.create(HALF_LIFE_MS);
  readonly raters: readonly OutlierRatings[];
  servers: readonly CatalogServer[];
  now = 0;
  private readonly random: Random;
  /** Evidence that has not spread yet, by the step at which it has. */
  private readonly pending = new Map<number, (() => void)[]>();
  private unsent = 0;

  private constructor(private readonly plan: RatedServicePlan) {
    this.random = Random.create(plan.seed ?? 5);
    this.servers = Array.from({length: plan.servers}, (_server, index) =>
      createServer(`i-${index + 1}`, PAY),
    );
    this.raters = Array.from({length: plan.daemons ?? 1}, () =>
      OutlierRatings.create({
        pool: this.pool,
        halfLifeMs: HALF_LIFE_MS,
        openServers: () => this.servers,
        listener: {
          onEjected: (ejection, now) => this.recordEjection(ejection, now),
          onReturned: ({server}, now) =>
            this.returned.push({id: server.id, at: now}),
        },
      }),
    );
  }

  /** Creates a service without evidence, at time 0. */
  static create(plan: RatedServicePlan): RatedService {
    return new RatedService(plan);
  }

  /** Lets `milliseconds` pass; calls `onStep` after each step. */
  advance(milliseconds: number, onStep: () => void = () => undefined): void {
    const steps = Math.round(milliseconds / STEP_MS);
    Array.from({length: steps}, () => {
      this.step();
      onStep();
    });
  }

  /** Lists the ids that the first daemon has in a phase. */
  listIn(phase: EjectionPhase): string[] {
    return this.raters[0]
      .list(this.now)
      .filter(({ejection}) => ejection?.phase === phase)
      .map(({server}) => server.id);
  }

  /** Returns the requests since a time to servers of the given ids, as a share of all. */
  shareSince(since: number, ids: readonly string[]): number {
    const sent = this.sent.filter(({at}) => at >= since);
    const there = sent.filter(({server}) => ids.includes(server.id));
    return there.length / sent.length;
  }

  /** Records evidence that all daemons have at once. */
  recordNow(server: CatalogServer, kind: FaultKind, by: number): void {
    this.pool.record(server, kind, this.now, by);
  }

  private step(): void {
    this.now += STEP_MS;
    this.pending.get(this.now)?.forEach(record => record());
    this.pending.delete(this.now);
    this.unsent += (this.plan.requestsPerSecond * STEP_MS) / MS_PER_SECOND;
    const count = Math.floor(this.unsent);
    this.unsent -= count;
    Array.from({length: count}, () => this.send());
  }

  /** Sends a request of a random daemon to a server by that daemon's ratings. */
  private send(): void {
    const {now, random, plan} = this;
    if (random.nextBool(plan.unratedShare ?? 0)) {
      const server = this.servers[random.nextInt(this.servers.length)];
      this.sent.push({server, at: now, isTrial: false});
      return;
    }
    const rater = this.raters[random.nextInt(this.raters.length)];
    const kept = rater.isNeutral(PAY, now)
      ? this.servers
      : this.servers.filter(each => this.isKept(each, rater));
    const server = random.pick(kept) ?? random.pick(this.servers);
    if (server === undefined) {
      return;
    }
    this.sent.push({server, at: now, isTrial: isInTrial(rater, server, now)});
    const outcome = plan.outcomeOf(server, now, random);
    if (outcome !== undefined) {
      this.recordLater(server, outcome);
    }
  }

  /** Whether a daemon's ratings admit a server to one choice. */
  private isKept(server: CatalogServer, rater: OutlierRatings): boolean {
    const {weight, isEjected} = rater.ratingOf(server, this.now);
    return !isEjected && (weight >= 1 || this.random.nextBool(weight));
  }

  private recordLater(server: CatalogServer, outcome: BadOutcome): void {
    const dueAt = this.now + outcome.afterMs + GOSSIP_MS;
    const step = Math.ceil(dueAt / STEP_MS) * STEP_MS;
    const others = this.pending.get(step) ?? [];
    const record = () => this.pool.record(server, outcome.kind, step);
    this.pending.set(step, [...others, record]);
  }

  private recordEjection({server, until}: Ejection, now: number): void {
    this.ejected.push({id: server.id, at: now, until});
  }
}

function isInTrial(
  rater: OutlierRatings,
  server: CatalogServer,
  now: number,
): boolean {
  const {weight} = rater.ratingOf(server, now);
  return (
    weight < 1 &&
    rater
      .list(now)
      .some(
        ({server: {id}, ejection}) =>
          id === server.id && ejection?.phase === EjectionPhase.TRIAL,
      )
  );
}
