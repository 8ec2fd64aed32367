/**
 * Ratings of backend servers by their performance relative to others of their service:
 * a weight for new flows, and outlier ejection. Used by `ServerSelector`.
 */
import type {CatalogServer} from '../catalog/records.js';

/** The rating of one server. */
export interface ServerRating {
  /**
   * Share of new flows relative to a typical server of the service with as many slots,
   * above 0: 1 is typical, 0.2 that of a server that takes five times as long.
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
}
