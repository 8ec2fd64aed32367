/** The servers of an address that may take a new flow now. */
import type {GenerationTable} from './generation-table.js';
import type {OpenFlowCounts} from './open-flow-counts.js';
import type {Candidate} from './placement.js';
import type {RoutedAddress} from './routed-address.js';
import type {ServerMarks} from './server-marks.js';

/** Share of its weight that a server starts with when it is new. */
const COLD_SHARE = 0.1;

/** A server of the newest generation that no mark forbids. */
export interface EligibleServer {
  readonly id: string;
  /** Directory number. */
  readonly server: number;
  readonly weight: number;
  /** Wall milliseconds at which it came; undefined for earlier ones. */
  readonly newSinceMs: number | undefined;
}

/** What the choice of candidates depends on. */
export interface CandidateContext {
  readonly flowCounts: OpenFlowCounts;
  /** Members that open flows. */
  readonly members: number;
  readonly wallMs: number;
}

/** The eligible servers; made once for each change of tables or marks. */
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
      server: newest.numbers[index],
      weight,
      newSinceMs: earlier.has(id) ? undefined : before?.endedAtMs,
    }))
    .filter(({id}) => marks.isEligible(id));
}

/** Eligible servers below their connection limit, with their load. */
export function candidatesOf(
  servers: readonly EligibleServer[],
  routed: RoutedAddress,
  context: CandidateContext,
): Candidate[] {
  const {flowCounts: ledger, members, wallMs} = context;
  return servers
    .map(({id, server, weight, newSinceMs}) => ({
      server,
      weight: weight * warmShare(newSinceMs, routed.warmUpMs, wallMs),
      flows: ledger.estimate(id, members),
      ownFlows: ledger.ownCount(id),
    }))
    .filter(({flows}) => flows < routed.connectionLimit);
}

/** Grows from 0.1 to 1 while a server that an edit brought warms up. */
function warmShare(
  newSinceMs: number | undefined,
  warmUpMs: number,
  wallMs: number,
): number {
  return newSinceMs === undefined
    ? 1
    : Math.min(1, Math.max(COLD_SHARE, (wallMs - newSinceMs) / warmUpMs));
}
