/**
 * Parses log files of daemons into timeline events. A file may hold lines of several
 * processes, and text before the JSON of a line.
 */
import {readFileSync} from 'node:fs';
import {Result, err, ok} from 'neverthrow';
import type {TimelineEvent} from '../generated/peer.js';

const STDIN_FD = 0;
/** How the JSON of every log line begins. */
const LINE_START = '{"timestamp"';

/** Fields of a log line or an event, not validated. */
export type EventDetails = Readonly<Record<string, unknown>>;

/** Fields of every line; all others are details of the event. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'timestamp',
  'level',
  'message',
  'process',
]);

/** A log file is unreadable or holds no log line. */
export class LogFileFault extends Error {
  readonly type = 'LogFileFault';
  /** Creates the fault; its message names the file. */
  static create(file: string, cause: string): LogFileFault {
    return new LogFileFault(`${file}: ${cause}`);
  }
}

/** Reads log files ("-" is standard input); returns their events in order of time. */
export function readProcessLogs(
  files: readonly string[],
): Result<TimelineEvent[], LogFileFault> {
  return Result.combine(files.map(readLogFile)).map(read =>
    read.flat().sort((a, b) => a.physicalMs - b.physicalMs),
  );
}

function readLogFile(file: string): Result<TimelineEvent[], LogFileFault> {
  return readFile(file).andThen(text => {
    const events = text.split('\n').flatMap(parseLine);
    return events.length === 0
      ? err(
          LogFileFault.create(
            file,
            'holds no log line; name a log of a daemon',
          ),
        )
      : ok(events);
  });
}

function readFile(file: string): Result<string, LogFileFault> {
  try {
    return ok(readFileSync(file === '-' ? STDIN_FD : file, 'utf8'));
  } catch (error) {
    return err(LogFileFault.create(file, `cannot be read; ${String(error)}`));
  }
}

/**
 * Parses a line; returns no event when it is not a log line. A line that a killed process
 * left truncated may be followed directly by a line of another process.
 */
function parseLine(line: string): TimelineEvent[] {
  const starts = [line.indexOf('{'), line.lastIndexOf(LINE_START)];
  const parsed = starts
    .filter(start => start >= 0)
    .map(start => parseObject(line.slice(start)))
    .find(fields => fields !== undefined);
  return parsed === undefined ? [] : toEvent(parsed);
}

/** Returns the fields of an event, without those that every line has. */
export function parseDetails(event: TimelineEvent): EventDetails {
  return JSON.parse(event.detailJson) as EventDetails;
}

function parseObject(text: string): EventDetails | undefined {
  try {
    return JSON.parse(text) as EventDetails;
  } catch {
    return undefined;
  }
}

function toEvent(fields: EventDetails): TimelineEvent[] {
  const physicalMs = Date.parse(String(fields['timestamp']));
  const {process, message} = fields;
  if (
    Number.isNaN(physicalMs) ||
    typeof process !== 'string' ||
    typeof message !== 'string'
  ) {
    return [];
  }
  const details = Object.entries(fields).filter(
    ([name]) => !COMMON_FIELDS.has(name),
  );
  const detailJson = JSON.stringify(Object.fromEntries(details));
  return [{process, physicalMs, logical: 0, kind: message, detailJson}];
}
