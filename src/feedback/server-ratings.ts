/**
 * What callers' packets tell of a backend server, beside the others of its service at
 * the same time: how large a share of new flows it should get, and whether it should
 * get any.
 */

/** The rating of one server. */
export interface ServerRating {
  /**
   * Share of new flows beside a usual server of the service with as many slots: 1 is
   * usual, 0.2 a server that takes five times as long. Above 0.
   */
  readonly weight: number;
  /** Its answers fail more often than others': it gets no new flows but for trials. */
  readonly isEjected: boolean;
}

/** The rating of a server of which nothing is known, or nothing unusual. */
export const NEUTRAL_RATING: ServerRating = {weight: 1, isEjected: false};

/** Ratings of the servers of all services. */
export abstract class ServerRatings {
  /** The rating of a server now; `now` is monotonic milliseconds. */
  abstract ratingOf(server: string, now: number): ServerRating;
}

/** All servers alike: what a daemon uses that takes no feedback. */
export class EqualRatings extends ServerRatings {
  private constructor() {
    super();
  }

  /** Creates the ratings. */
  static create(): EqualRatings {
    return new EqualRatings();
  }

  ratingOf(): ServerRating {
    return NEUTRAL_RATING;
  }
}
