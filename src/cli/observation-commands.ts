/**
 * The commands that show the state and events of daemons, live or from log files; each
 * returns its exit code.
 */
import {writeFileSync} from 'node:fs';
import type {TimelineEvent} from '../generated/peer.js';
import {parseSocketAddress} from '../routing/ipv4.js';
import {formatCauseRows, countCauses} from './cause-table.js';
import {
  ExitCode,
  print,
  printError,
  type CommonOptions,
} from './command-output.js';
import {explainFlow} from './flow-explanation.js';
import type {Platform} from './platform.js';
import {readProcessLogs, type LogFileFault} from './process-logs.js';
import {
  isHealthy,
  summarizeProcesses,
  type ProcessState,
} from './process-states.js';
import {formatTable} from './text-table.js';
import {
  drawEvents,
  drawPage,
  mergeEvents,
  printEvents,
} from './timeline-view.js';

const SECOND_MS = 1_000;

/** Options of `timeline`. */
export interface TimelineOptions extends CommonOptions {
  readonly since?: string;
  readonly flow?: string;
  readonly request?: string;
  readonly server?: string;
  readonly revision?: string;
  readonly out?: string;
}

/** Options of `causes`. */
export interface CauseOptions extends CommonOptions {
  /** Length of a time span, in seconds. */
  readonly every: number;
}

/** `status`: shows the live status of each daemon; fails unless all answer. */
export async function status(
  platform: Platform,
  options: CommonOptions,
): Promise<ExitCode> {
  const statuses = await platform.readStatuses();
  if (options.json === true) {
    print(JSON.stringify({daemons: statuses}));
  } else {
    print(formatTable([STATUS_HEADING, ...statuses.map(statusRow)]));
  }
  const silent = statuses.filter(({answer}) => answer === undefined);
  return statuses.length > 0 && silent.length === 0
    ? ExitCode.DONE
    : ExitCode.FAILED;
}

const STATUS_HEADING = [
  'daemon',
  'failure domain',
  'state',
  'active',
  'staged',
  'members',
  'entries',
  'cached',
];

function statusRow({
  id,
  answer,
}: Awaited<ReturnType<Platform['readStatuses']>>[number]): string[] {
  return answer === undefined
    ? [id, '', 'no answer']
    : [
        id,
        answer.failureDomain,
        answer.state,
        String(answer.revision),
        String(answer.stagedRevision),
        String(answer.members),
        String(answer.exceptions),
        String(answer.cached),
      ];
}

/** `status FILE...`: shows the state of each daemon in logs; fails unless all are healthy. */
export function statusFromLogs(
  files: readonly string[],
  options: CommonOptions,
): ExitCode {
  return readProcessLogs(files).match(events => {
    const states = summarizeProcesses(events);
    print(
      options.json === true
        ? JSON.stringify({daemons: states})
        : formatTable([LOG_STATUS_HEADING, ...states.map(logStatusRow)]),
    );
    return isHealthy(states) ? ExitCode.DONE : ExitCode.FAILED;
  }, reportFault);
}

const LOG_STATUS_HEADING = [
  'daemon',
  'state',
  'routes',
  'store',
  'evacuated',
  'starts',
  'unplanned ends',
  'errors',
  'lines missing',
  'last line',
];

function logStatusRow(state: ProcessState): string[] {
  return [
    state.process,
    state.phase,
    String(state.routeVersion),
    state.lacksStore ? 'no answer' : 'answers',
    state.evacuated.join(' ') || '-',
    String(state.starts),
    String(state.unplannedEnds),
    String(state.errors),
    String(state.linesMissing),
    new Date(state.lastLineMs).toISOString(),
  ];
}

/** `timeline`: shows the events of all daemons in causal order. */
export async function timeline(
  platform: Platform,
  options: TimelineOptions,
): Promise<ExitCode> {
  const answers = await platform.readTimelines();
  return showEvents(
    answers.flatMap(({answer}) => answer?.events ?? []),
    options,
  );
}

/** `logs FILE...`: shows the events in log files of daemons, merged and filtered. */
export function logs(
  files: readonly string[],
  options: TimelineOptions,
): ExitCode {
  return readProcessLogs(files).match(
    events => showEvents(events, options),
    reportFault,
  );
}

/** `explain FLOW FILE...`: explains the outcome of a flow. */
export function explain(
  source: string,
  files: readonly string[],
  options: CommonOptions,
): ExitCode {
  if (parseSocketAddress(source) === undefined) {
    printError(`${source}: expected the caller's address as "a.b.c.d:port"`);
    return ExitCode.USAGE_ERROR;
  }
  return readProcessLogs(files).match(events => {
    const explanation = explainFlow(events, source);
    const text = [printEvents(explanation.events), '', ...explanation.findings];
    print(
      options.json === true ? JSON.stringify(explanation) : text.join('\n'),
    );
    return explanation.events.length > 0 ? ExitCode.DONE : ExitCode.FAILED;
  }, reportFault);
}

/** `causes FILE...`: counts openings, refusals and losses in each time span. */
export function causes(
  files: readonly string[],
  options: CauseOptions,
): ExitCode {
  const spanMs = Number(options.every) * SECOND_MS;
  if (!(spanMs > 0)) {
    printError('--every: expected a number of seconds above 0, such as 2');
    return ExitCode.USAGE_ERROR;
  }
  return readProcessLogs(files).match(events => {
    const spans = countCauses(events, spanMs);
    print(
      options.json === true
        ? JSON.stringify({spans})
        : formatTable(formatCauseRows(spans)),
    );
    return ExitCode.DONE;
  }, reportFault);
}

function showEvents(
  unsorted: readonly TimelineEvent[],
  options: TimelineOptions,
): ExitCode {
  const sinceMs =
    options.since === undefined ? undefined : Date.parse(options.since);
  if (Number.isNaN(sinceMs)) {
    printError(`--since: "${options.since}" is not an ISO time`);
    return ExitCode.USAGE_ERROR;
  }
  const events = mergeEvents(unsorted, {
    sinceMs,
    contains: [
      options.flow ?? [],
      options.request ?? [],
      options.server ?? [],
      options.revision === undefined ? [] : `"revision":${options.revision}`,
    ].flat(),
  });
  if (options.out !== undefined) {
    const draw = options.out.endsWith('.html') ? drawPage : drawEvents;
    writeFileSync(options.out, draw(events));
    print(`${events.length} events drawn in ${options.out}`);
  } else {
    print(
      options.json === true ? JSON.stringify({events}) : printEvents(events),
    );
  }
  return ExitCode.DONE;
}

function reportFault(fault: LogFileFault): ExitCode {
  printError(fault.message);
  return ExitCode.FAILED;
}
