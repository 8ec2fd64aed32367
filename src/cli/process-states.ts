/** What log files say of each daemon: its state, its versions, its starts and ends. */
import type {TimelineEvent} from '../generated/peer.js';
import {detailsOf, type Details} from './process-logs.js';

/** What the last line about its life says of a process. */
export const ProcessPhase = {
  STARTING: 'starting',
  READY: 'ready',
  NOT_READY: 'not ready',
  STOPPING: 'stopping',
  STOPPED: 'stopped',
} as const;
/** One of the phases in `ProcessPhase`. */
export type ProcessPhase = (typeof ProcessPhase)[keyof typeof ProcessPhase];

/** One process as its log lines show it. */
export interface ProcessState {
  readonly process: string;
  readonly phase: ProcessPhase;
  /** Wall milliseconds of its last line. */
  readonly lastLineMs: number;
  readonly starts: number;
  /** Starts after which the next one came without a planned stop between them. */
  readonly unplannedEnds: number;
  /** Newest version of the routes that it names; 0 when it names none. */
  readonly routeVersion: number;
  /** Whether its last word on the store is that it does not answer. */
  readonly lacksStore: boolean;
  /** Failure domains that it holds to be evacuated. */
  readonly evacuated: readonly string[];
  /** Errors, and lines that were left out or lost. */
  readonly errors: number;
  readonly linesMissing: number;
}

const PHASES: Readonly<Record<string, ProcessPhase>> = {
  started: ProcessPhase.STARTING,
  ready: ProcessPhase.READY,
  'not-ready': ProcessPhase.NOT_READY,
  stopping: ProcessPhase.STOPPING,
  leaving: ProcessPhase.STOPPING,
  stopped: ProcessPhase.STOPPED,
};

const ERRORS: ReadonlySet<string> = new Set([
  'unexpected-error',
  'reload-failed',
]);

/** Events after which the store is known to answer, or not to. */
const STORE_ANSWERS: Readonly<Record<string, boolean>> = {
  'source-lost': false,
  'source-read-failed': false,
  'source-regained': true,
  started: true,
};

/** Events after which a failure domain is evacuated, or is not. */
const DOMAIN_CHANGES: Readonly<Record<string, boolean>> = {
  'domain-evacuated': true,
  'domain-restored': false,
};

/** The state of each process, by name; `events` are in the order of time. */
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

/** Whether every process is ready, in touch, and on the newest version of all. */
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
  const details = events.map(detailsOf);
  const lastOf = (known: object) =>
    kinds.filter(kind => Object.hasOwn(known, kind)).pop() ?? '';
  return {
    process,
    phase: PHASES[lastOf(PHASES)] ?? ProcessPhase.NOT_READY,
    lastLineMs: events[events.length - 1].physicalMs,
    starts: kinds.filter(kind => kind === 'started').length,
    unplannedEnds: countUnplannedEnds(kinds),
    // Not Math.max over all: it takes no more arguments than the stack holds.
    routeVersion: details.reduce(
      (newest, fields) => Math.max(newest, versionIn(fields)),
      0,
    ),
    lacksStore: STORE_ANSWERS[lastOf(STORE_ANSWERS)] === false,
    evacuated: evacuatedIn(events),
    errors: kinds.filter(kind => ERRORS.has(kind)).length,
    linesMissing: details.reduce(
      (sum, fields, index) => sum + missingIn(kinds[index], fields),
      0,
    ),
  };
}

/** A start that follows another one with no stop between them ended unplanned. */
function countUnplannedEnds(kinds: readonly string[]): number {
  const life = kinds.filter(kind => kind === 'started' || kind === 'stopped');
  return life.filter(
    (kind, index) => kind === 'started' && life[index - 1] === 'started',
  ).length;
}

/** Domains whose last change since the last start is that they were evacuated. */
function evacuatedIn(events: readonly TimelineEvent[]): string[] {
  const kinds = events.map(({kind}) => kind);
  const changes = events
    .slice(kinds.lastIndexOf('started') + 1)
    .filter(({kind}) => Object.hasOwn(DOMAIN_CHANGES, kind))
    .map(
      event =>
        [
          String(detailsOf(event)['failureDomain']),
          DOMAIN_CHANGES[event.kind],
        ] as const,
    );
  const last = new Map(changes);
  return [...last.keys()].filter(domain => last.get(domain) === true).sort();
}

function versionIn({routeVersion}: Details): number {
  return typeof routeVersion === 'number' ? routeVersion : 0;
}

/** Lines that this one says were left out by the budget or lost by a slow reader. */
function missingIn(kind: string, {count, linesLost}: Details): number {
  const leftOut = kind === 'lines-left-out' ? Number(count) : 0;
  return leftOut + Number(linesLost ?? 0);
}
