/** Choice of a server for a new flow of a tracked key. */

/** A server that may take a new flow. */
export interface Candidate {
  /** Directory number. */
  readonly server: number;
  /** Relative share at this moment; a cold server's grows. */
  readonly weight: number;
  /** Estimated open flows, over all daemons. */
  readonly flows: number;
  /** Open flows by this daemon's own counts alone. */
  readonly ownFlows: number;
}

/** Flows above the lightest server at which the table's choice still stands. */
const SLACK_FLOWS = 1;
const SLACK_SHARE = 0.002;

/** A way to choose among servers. */
export abstract class Placement {
  /** Whether `flows` of candidates has to count the work that peers told of. */
  readonly usesPeerLoad: boolean = true;

  /**
   * Chooses a server. `preferred` is the table's choice, which costs no state
   * and no message; it may be missing from the candidates. There is at least
   * one candidate.
   */
  abstract choose(candidates: readonly Candidate[], preferred: number): number;
}

/** Takes the table's choice unless it is above the lightest by more than the slack. */
export class LeastLoadedPlacement extends Placement {
  private constructor() {
    super();
  }

  /** Creates the placement that daemons use. */
  static create(): LeastLoadedPlacement {
    return new LeastLoadedPlacement();
  }

  choose(candidates: readonly Candidate[], preferred: number): number {
    const lightest = candidates.reduce((best, candidate) =>
      fillAfter(candidate) < fillAfter(best) ? candidate : best,
    );
    const own = candidates.find(candidate => candidate.server === preferred);
    return own !== undefined && withinSlack(own, lightest)
      ? preferred
      : lightest.server;
  }
}

/**
 * Takes the server with the least work of this daemon's own, by weight; chance
 * decides among equals. Counts that peers told are not used: they are half a
 * second old, and daemons that all see the same old counts choose the same server
 * (experiment "placing": p99 112 ms by own counts, 384 ms by all, in a burst).
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
    const place = candidates.findIndex(({server}) => server === preferred);
    const start = Math.max(0, place);
    const turned = [...candidates.slice(start), ...candidates.slice(0, start)];
    return turned.reduce((best, next) =>
      ownFillAfter(next) < ownFillAfter(best) ? next : best,
    ).server;
  }
}

/** Own flows a unit of weight once one more flow is placed. */
function ownFillAfter(candidate: Candidate): number {
  return (candidate.ownFlows + 1) / candidate.weight;
}

/** Flows a unit of weight once one more flow is placed. */
function fillAfter(candidate: Candidate): number {
  return (candidate.flows + 1) / candidate.weight;
}

function withinSlack(own: Candidate, lightest: Candidate): boolean {
  const slack = SLACK_FLOWS + lightest.flows * SLACK_SHARE;
  return fillAfter(own) <= fillAfter(lightest) + slack / own.weight;
}
