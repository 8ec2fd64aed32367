/**
 * Ratings of backend servers by their performance relative to others of their service:
 * a weight for new flows, and outlier ejection. Used by `ServerSelector`.
 */
import type {CatalogServer} from '../catalog/records.js';

/** The rating of one server. */
export interface ServerRating {
  /**
   * Share of new flows relative to a typical server of the service with as many slots,
   * above 0 and at most 1: 1 is typical, 0.2 a fifth of that.
   */
  readonly weight: number;
  /** Whether its requests fail more often than others', so that it gets no new flows. */
  readonly isEjected: boolean;
}

/** The rating of a typical or unknown server. */
export const NEUTRAL_RATING: ServerRating = {weight: 1, isEjected: false};

/** Provides the ratings of all servers. */
export abstract class ServerRatings {
  /** Returns the rating of a server; `now` is monotonic milliseconds. */
  abstract ratingOf(server: CatalogServer, now: number): ServerRating;

  /**
   * Whether all servers of a service are known to be rated neutrally, which spares asking
   * for each; false if that would have to be found out.
   */
  isNeutral(service: string, now: number): boolean {
    void [service, now];
    return false;
  }
}

/** Rates all servers equally; used by daemons without performance feedback. */
export class UniformRatings extends ServerRatings {
  private constructor() {
    super();
  }

  /** Creates the ratings. */
  static create(): UniformRatings {
    return new UniformRatings();
  }

  ratingOf(): ServerRating {
    return NEUTRAL_RATING;
  }

  override isNeutral(): boolean {
    return true;
  }
}
