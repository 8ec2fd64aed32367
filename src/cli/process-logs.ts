/**
 * Log lines of daemons as events of a time line. Lines of several processes may
 * stand in one file, and text may stand before the JSON of a line.
 */
import {readFileSync} from 'node:fs';
import {Result, err, ok} from 'neverthrow';
import type {TimelineEvent} from '../generated/peer.js';

const STANDARD_INPUT = 0;
/** What every line of a daemon's log begins with. */
const LINE_START = '{"timestamp"';

/** The fields of a line or of its event; what stands in them is not known. */
export type Details = Readonly<Record<string, unknown>>;

/** Fields that every line has; the others are the event's details. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'timestamp',
  'level',
  'message',
  'process',
]);

/** A file of log lines cannot be used. */
export class LogFileFault extends Error {
  readonly type = 'LogFileFault';
  /** Creates the fault of one file. */
  static create(file: string, cause: string): LogFileFault {
    return new LogFileFault(`${file}: ${cause}`);
  }
}

/** Reads files of log lines ("-": standard input), in the order of time. */
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
    return ok(readFileSync(file === '-' ? STANDARD_INPUT : file, 'utf8'));
  } catch (error) {
    return err(LogFileFault.create(file, `cannot be read; ${String(error)}`));
  }
}

/**
 * The event of a line; nothing for a line that is none. The last line of a process
 * that was killed may be cut off, and that of another process follow it at once.
 */
function parseLine(line: string): TimelineEvent[] {
  const starts = [line.indexOf('{'), line.lastIndexOf(LINE_START)];
  const parsed = starts
    .filter(start => start >= 0)
    .map(start => parseObject(line.slice(start)))
    .find(fields => fields !== undefined);
  return parsed === undefined ? [] : eventOf(parsed);
}

/** An event's own fields, without those that every line has. */
export function detailsOf(event: TimelineEvent): Details {
  return JSON.parse(event.detailJson) as Details;
}

function parseObject(text: string): Details | undefined {
  try {
    return JSON.parse(text) as Details;
  } catch {
    return undefined;
  }
}

function eventOf(fields: Details): TimelineEvent[] {
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
