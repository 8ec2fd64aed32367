/**
 * Ratings by the fleet's pooled evidence: outlier ejection and weights of slow servers.
 * Each daemon decides alone. A service is evaluated when a rating is asked for, a few
 * times a second at most, so that a rating costs two look-ups otherwise.
 */
import type {CatalogServer} from '../catalog/records.js';
import type {ServerEvidencePool} from './server-evidence.js';
import {
  ServiceRater,
  type EjectionListener,
  type RatedServer,
} from './service-rater.js';
import {ServerRatings, type ServerRating} from './server-ratings.js';

/** Time between two evaluations of a service; news of peers comes twice a second. */
const EVALUATION_INTERVAL_MS = 250;

/** Dependencies of `OutlierRatings`. */
export interface OutlierRatingsOptions {
  readonly pool: ServerEvidencePool;
  /** Time in which the counts of the pool halve, in milliseconds. */
  readonly halfLifeMs: number;
  readonly listener: EjectionListener;
  /** Returns the servers of a service that accept new flows. */
  openServers(service: string, now: number): readonly CatalogServer[];
}

/** The rater of one service. */
interface RatedService {
  readonly rater: ServiceRater;
  /** When it is evaluated again, in monotonic milliseconds. */
  nextEvaluationAt: number;
}

/** Rates servers by comparison with others of their service. */
export class OutlierRatings extends ServerRatings {
  private readonly services = new Map<string, RatedService>();

  private constructor(private readonly options: OutlierRatingsOptions) {
    super();
  }

  /** Creates ratings to which all servers are typical. */
  static create(options: OutlierRatingsOptions): OutlierRatings {
    return new OutlierRatings(options);
  }

  ratingOf(server: CatalogServer, now: number): ServerRating {
    return this.evaluatedRater(server.service, now).ratingOf(server);
  }

  override isNeutral(service: string, now: number): boolean {
    return this.evaluatedRater(service, now).isNeutral;
  }

  /** Voids what was decided on a server that has restarted or departed. */
  forget(id: string): void {
    this.services.forEach(({rater}) => rater.forget(id));
  }

  /** Lists the servers that are ejected, in trial or have a weight below 1. */
  list(now: number): RatedServer[] {
    return [...this.services.keys()].flatMap(service =>
      this.evaluatedRater(service, now).list(),
    );
  }

  /** Counts the ejected servers, those in trial not included. */
  countEjected(now: number): number {
    return this.list(now).filter(({rating}) => rating.isEjected).length;
  }

  /** Returns the rater of a service, evaluated at most `EVALUATION_INTERVAL_MS` ago. */
  private evaluatedRater(service: string, now: number): ServiceRater {
    const rated = this.findService(service);
    if (now >= rated.nextEvaluationAt) {
      rated.nextEvaluationAt = now + EVALUATION_INTERVAL_MS;
      rated.rater.evaluate(this.options.openServers(service, now), now);
    }
    return rated.rater;
  }

  private findService(service: string): RatedService {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const created = {
      rater: ServiceRater.create(this.options),
      nextEvaluationAt: -Infinity,
    };
    this.services.set(service, created);
    return created;
  }
}
