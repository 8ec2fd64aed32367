/** The servers of an address that may take a new flow now. */
import type {AddressTable, GenerationTable} from './address-table.js';
import type {LoadLedger} from './load-ledger.js';
import type {Candidate} from './placement.js';
import type {ServerMarks} from './server-marks.js';

/** Share of its weight that a server starts with when it is new. */
const COLD_SHARE = 0.1;

/** What the choice of candidates depends on. */
export interface CandidateContext {
  readonly marks: ServerMarks;
  readonly ledger: LoadLedger;
  /** Members that open flows. */
  readonly members: number;
  readonly wallMs: number;
}

/** Eligible servers below their connection limit. */
export function candidatesOf(
  table: AddressTable,
  active: GenerationTable,
  context: CandidateContext,
): Candidate[] {
  const {connectionLimit} = table.routed;
  return active.generation.servers
    .map((server, index) => ({
      id: server.id,
      server: active.numbers[index],
      weight: server.weight * warmShare(table, active, server.id, context),
      flows: context.ledger.estimate(server.id, context.members),
      ownFlows: context.ledger.ownCount(server.id),
    }))
    .filter(({id}) => context.marks.isEligible(id))
    .filter(({flows}) => flows < connectionLimit);
}

/** Grows from 0.1 to 1 while a server that an edit brought warms up. */
function warmShare(
  table: AddressTable,
  active: GenerationTable,
  server: string,
  context: CandidateContext,
): number {
  const position = table.generations.indexOf(active);
  const before = table.generations[position - 1];
  const startMs = before?.generation.endedAtMs;
  const isNew = before?.generation.servers.every(({id}) => id !== server);
  if (startMs === undefined || isNew !== true) {
    return 1;
  }
  const share = (context.wallMs - startMs) / table.routed.warmUpMs;
  return Math.min(1, Math.max(COLD_SHARE, share));
}
