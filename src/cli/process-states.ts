/** Derives the state of each daemon from its log lines, for `weldyard status FILE...`. */
import type {TimelineEvent} from '../generated/peer.js';
import {parseDetails, type EventDetails} from './process-logs.js';

/** Phase in the life cycle of a process, by its last line about that. */
export const ProcessPhase = {
  STARTING: 'starting',
  READY: 'ready',
  NOT_READY: 'not ready',
  STOPPING: 'stopping',
  STOPPED: 'stopped',
} as const;
/** One of the phases in `ProcessPhase`. */
export type ProcessPhase = (typeof ProcessPhase)[keyof typeof ProcessPhase];

/** State of one process, as far as its log lines show it. */
export interface ProcessState {
  readonly process: string;
  readonly phase: ProcessPhase;
  /** Build as of its last start; empty when its lines name none. */
  readonly build: string;
  /** Time of its last line, in wall milliseconds. */
  readonly lastLineMs: number;
  readonly starts: number;
  /** Runs that ended without a planned stop before the next start. */
  readonly unplannedEnds: number;
  /** Newest route version in its lines; 0 when there is none. */
  readonly routeVersion: number;
  /** Whether the store was unreachable as of its last line about that. */
  readonly lacksStore: boolean;
  /** Failure domains that it treats as evacuated. */
  readonly evacuated: readonly string[];
  readonly errors: number;
  /** Lines that were suppressed by the rate limit or dropped. */
  readonly linesMissing: number;
}

const PHASE_AFTER_EVENT: Readonly<Record<string, ProcessPhase>> = {
  started: ProcessPhase.STARTING,
  ready: ProcessPhase.READY,
  'not-ready': ProcessPhase.NOT_READY,
  stopping: ProcessPhase.STOPPING,
  leaving: ProcessPhase.STOPPING,
  stopped: ProcessPhase.STOPPED,
};

const ERROR_EVENTS: ReadonlySet<string> = new Set([
  'unexpected-error',
  'reload-failed',
]);

/** Events after which the store is known to be reachable, or not. */
const STORE_AVAILABLE_AFTER_EVENT: Readonly<Record<string, boolean>> = {
  'source-lost': false,
  'source-read-failed': false,
  'source-regained': true,
  started: true,
};

/** Events that start (true) or end (false) the evacuation of a failure domain. */
const EVACUATED_AFTER_EVENT: Readonly<Record<string, boolean>> = {
  'domain-evacuated': true,
  'domain-restored': false,
};

/** Returns the state of each process, sorted by name; `events` must be in order of time. */
export function summarizeProcesses(
  events: readonly TimelineEvent[],
): ProcessState[] {
  const byProcess = new Map<string, TimelineEvent[]>();
  events.forEach(event => {
    const own = byProcess.get(event.process) ?? [];
    own.push(event);
    byProcess.set(event.process, own);
  });
  return [...byProcess.keys()]
    .sort()
    .map(name => summarizeProcess(name, byProcess.get(name) ?? []));
}

/** Whether every process is ready, reaches the store and has the newest route version. */
export function isHealthy(states: readonly ProcessState[]): boolean {
  const newest = Math.max(...states.map(({routeVersion}) => routeVersion));
  return states.every(
    ({phase, lacksStore, routeVersion}) =>
      phase === ProcessPhase.READY && !lacksStore && routeVersion === newest,
  );
}

function summarizeProcess(
  process: string,
  events: readonly TimelineEvent[],
): ProcessState {
  const kinds = events.map(({kind}) => kind);
  const details = events.map(parseDetails);
  const lastOf = (known: object) =>
    kinds.filter(kind => Object.hasOwn(known, kind)).pop() ?? '';
  return {
    process,
    phase:
      PHASE_AFTER_EVENT[lastOf(PHASE_AFTER_EVENT)] ?? ProcessPhase.NOT_READY,
    build: String(details[kinds.lastIndexOf('started')]?.['build'] ?? ''),
    lastLineMs: events[events.length - 1].physicalMs,
    starts: kinds.filter(kind => kind === 'started').length,
    unplannedEnds: countUnplannedEnds(kinds),
    // Spreading into Math.max would overflow the stack on large logs.
    routeVersion: details.reduce(
      (newest, fields) => Math.max(newest, getRouteVersion(fields)),
      0,
    ),
    lacksStore:
      STORE_AVAILABLE_AFTER_EVENT[lastOf(STORE_AVAILABLE_AFTER_EVENT)] ===
      false,
    evacuated: listEvacuatedDomains(events),
    errors: kinds.filter(kind => ERROR_EVENTS.has(kind)).length,
    linesMissing: details.reduce(
      (sum, fields, index) => sum + countMissingLines(kinds[index], fields),
      0,
    ),
  };
}

/** Counts starts that follow another start without a stop between them. */
function countUnplannedEnds(kinds: readonly string[]): number {
  const life = kinds.filter(kind => kind === 'started' || kind === 'stopped');
  return life.filter(
    (kind, index) => kind === 'started' && life[index - 1] === 'started',
  ).length;
}

/** Lists the domains that were evacuated since the last start and not restored after that. */
function listEvacuatedDomains(events: readonly TimelineEvent[]): string[] {
  const kinds = events.map(({kind}) => kind);
  const changes = events
    .slice(kinds.lastIndexOf('started') + 1)
    .filter(({kind}) => Object.hasOwn(EVACUATED_AFTER_EVENT, kind))
    .map(
      event =>
        [
          String(parseDetails(event)['failureDomain']),
          EVACUATED_AFTER_EVENT[event.kind],
        ] as const,
    );
  const last = new Map(changes);
  return [...last.keys()].filter(domain => last.get(domain) === true).sort();
}

function getRouteVersion({routeVersion}: EventDetails): number {
  return typeof routeVersion === 'number' ? routeVersion : 0;
}

/** Returns the missing lines that a line reports: suppressed by the rate limit, or dropped. */
function countMissingLines(
  kind: string,
  {count, linesLost}: EventDetails,
): number {
  const suppressed = kind === 'lines-left-out' ? Number(count) : 0;
  return suppressed + Number(linesLost ?? 0);
}
