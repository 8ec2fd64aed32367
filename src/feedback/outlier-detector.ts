/**
 * Compares the fault counts of a service's servers: the level that is usual for the
 * service, the counts from which a server is an outlier, and the weight of a slow server.
 */

/**
 * Share of the servers whose counts make up the usual level. Beyond a quarter of faulty
 * servers the level rises with their counts, and from half on nobody is an outlier.
 */
const USUAL_SHARE = 0.75;
/** Faults below which no server is an outlier, however few the others have. */
const MIN_FAULTS = 5;
/** Multiple of the usual level that an outlier exceeds, besides the minimum. */
const OUTLIER_FACTOR = 3.5;
/**
 * Share of the outlier threshold that suffices in a trial: a server in trial gets few
 * requests, and was an outlier before.
 */
const TRIAL_THRESHOLD_SHARE = 0.25;
/** The lowest weight of a slow server: evidence on it must go on to come in. */
const MIN_SLOW_WEIGHT = 0.2;

/**
 * Returns the usual count of a service: the mean of its lowest counts, so that outliers
 * have no part in it; 0 if there are no counts.
 */
export function usualCount(counts: readonly number[]): number {
  const usual = Math.max(1, Math.floor(counts.length * USUAL_SHARE));
  const lowest = [...counts].sort((a, b) => a - b).slice(0, usual);
  return lowest.reduce((sum, count) => sum + count, 0) / usual;
}

/** Returns the count from which a server is an outlier; `usual` is that of its service. */
export function outlierThreshold(usual: number): number {
  return MIN_FAULTS + OUTLIER_FACTOR * usual;
}

/** Returns the count from which a server in trial is still an outlier. */
export function trialThreshold(usual: number): number {
  return outlierThreshold(usual) * TRIAL_THRESHOLD_SHARE;
}

/**
 * Returns the weight of a server with `slow` slow requests: 1 below the outlier threshold,
 * then in inverse proportion to the count.
 */
export function slowWeight(slow: number, usual: number): number {
  const tolerated = outlierThreshold(usual);
  return slow <= tolerated ? 1 : Math.max(MIN_SLOW_WEIGHT, tolerated / slow);
}
