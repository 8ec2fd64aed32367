/** Selects the servers of an address that may take a new flow now. */
import type {GenerationTable} from './generation-table.js';
import type {OpenFlowCounts} from './open-flow-counts.js';
import type {Candidate} from './placement.js';
import type {RoutedAddress} from './routed-address.js';
import type {ServerMarks} from './server-marks.js';

/** Share of its weight that a new server starts with. */
const SLOW_START_MINIMUM_SHARE = 0.1;

/** A server of the newest generation that the marks allow new flows at. */
export interface EligibleServer {
  readonly id: string;
  /** Directory number. */
  readonly server: number;
  readonly weight: number;
  /**
   * Wall milliseconds at which the newest generation added it; undefined if the
   * generation before had it or there was none.
   */
  readonly addedAtMs: number | undefined;
}

/** What the candidates and their loads are computed from. */
export interface CandidateContext {
  readonly flowCounts: OpenFlowCounts;
  /** Number of members that open flows. */
  readonly memberCount: number;
  readonly wallMs: number;
}

/**
 * Returns the eligible servers of the newest generation; computed once for each
 * change of tables or marks. Generations are ordered oldest first.
 */
export function eligibleServers(
  generations: readonly GenerationTable[],
  marks: ServerMarks,
): EligibleServer[] {
  const newest = generations[generations.length - 1];
  const before = generations[generations.length - 2]?.generation;
  const earlier = new Set(before?.servers.map(({id}) => id));
  return (newest?.generation.servers ?? [])
    .map(({id, weight}, index) => ({
      id,
      server: newest.serverNumbers[index],
      weight,
      addedAtMs: earlier.has(id) ? undefined : before?.endedAtMs,
    }))
    .filter(({id}) => marks.isEligible(id));
}

/** Returns the eligible servers below their connection limit, with their loads. */
export function selectCandidates(
  servers: readonly EligibleServer[],
  routed: RoutedAddress,
  context: CandidateContext,
): Candidate[] {
  const {flowCounts, memberCount, wallMs} = context;
  return servers
    .map(({id, server, weight, addedAtMs}) => ({
      server,
      weight: weight * slowStartShare(addedAtMs, routed.warmUpMs, wallMs),
      flows: flowCounts.estimate(id, memberCount),
      localFlows: flowCounts.localCount(id),
    }))
    .filter(({flows}) => flows < routed.connectionLimit);
}

/** Returns the share of its weight that a server gets, from 0.1 to 1 in slow start. */
function slowStartShare(
  addedAtMs: number | undefined,
  warmUpMs: number,
  wallMs: number,
): number {
  return addedAtMs === undefined
    ? 1
    : Math.min(
        1,
        Math.max(SLOW_START_MINIMUM_SHARE, (wallMs - addedAtMs) / warmUpMs),
      );
}
