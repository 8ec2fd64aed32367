/** Policies that choose a server for a new flow by the load of the candidates. */

/** A server that may take a new flow. */
export interface Candidate {
  /** Directory number. */
  readonly server: number;
  /** Relative share of flows at this moment; grows during slow start. */
  readonly weight: number;
  /** Estimated open flows, over all daemons. */
  readonly flows: number;
  /** Open flows by this daemon's counts alone. */
  readonly localFlows: number;
}

/** Flows by which the preferred server may exceed the least loaded one. */
const SLACK_FLOWS = 1;
/** Share of the least loaded server's flows by which it may also exceed them. */
const SLACK_SHARE = 0.002;

/** A policy that chooses among servers. */
export abstract class Placement {
  /** Whether `flows` of candidates has to include the load that peers gossip. */
  readonly usesPeerLoad: boolean = true;

  /**
   * Returns the directory number of a server. `preferred` is the server where
   * the flow needs no exception, and may be missing from the candidates. There
   * has to be at least one candidate.
   */
  abstract choose(candidates: readonly Candidate[], preferred: number): number;
}

/** Chooses the least loaded server, or the preferred one if it is within the slack. */
export class LeastLoadedPlacement extends Placement {
  private constructor() {
    super();
  }

  /** Creates the placement. */
  static create(): LeastLoadedPlacement {
    return new LeastLoadedPlacement();
  }

  choose(candidates: readonly Candidate[], preferred: number): number {
    const leastLoaded = candidates.reduce((best, candidate) =>
      loadAfter(candidate) < loadAfter(best) ? candidate : best,
    );
    const preferredCandidate = candidates.find(
      candidate => candidate.server === preferred,
    );
    return preferredCandidate !== undefined &&
      isWithinSlack(preferredCandidate, leastLoaded)
      ? preferred
      : leastLoaded.server;
  }
}

/**
 * Chooses the server with the least load from this daemon, by weight; ties go to
 * the first candidate from `preferred` on. Peers' counts are not used: in a burst
 * they are outdated, and daemons that see the same ones choose the same server.
 */
export class LocalLoadPlacement extends Placement {
  override readonly usesPeerLoad = false;

  private constructor() {
    super();
  }

  /** Creates the placement. */
  static create(): LocalLoadPlacement {
    return new LocalLoadPlacement();
  }

  choose(candidates: readonly Candidate[], preferred: number): number {
    const index = candidates.findIndex(({server}) => server === preferred);
    const start = Math.max(0, index);
    const rotated = [...candidates.slice(start), ...candidates.slice(0, start)];
    return rotated.reduce((best, next) =>
      localLoadAfter(next) < localLoadAfter(best) ? next : best,
    ).server;
  }
}

/** Returns this daemon's flows per unit of weight with one more flow placed. */
function localLoadAfter(candidate: Candidate): number {
  return (candidate.localFlows + 1) / candidate.weight;
}

/** Returns the flows per unit of weight with one more flow placed. */
function loadAfter(candidate: Candidate): number {
  return (candidate.flows + 1) / candidate.weight;
}

function isWithinSlack(choice: Candidate, leastLoaded: Candidate): boolean {
  const slack = SLACK_FLOWS + leastLoaded.flows * SLACK_SHARE;
  return loadAfter(choice) <= loadAfter(leastLoaded) + slack / choice.weight;
}
