/** In-memory log whose entries tests inspect. */
import {Log, type LogFields} from '../src/ports/log.js';

/** A log entry with its level and the process that wrote it. */
export interface LogEntry {
  readonly process: string;
  readonly level: string;
  readonly event: string;
  readonly fields: LogFields;
}

/** Log of one process; several processes may append to one list. */
export class MemoryLog extends Log {
  private constructor(
    private readonly process: string,
    readonly logEntries: LogEntry[],
  ) {
    super();
  }

  /** Creates a log that appends to `entries`. */
  static create(process: string, entries: LogEntry[] = []): MemoryLog {
    return new MemoryLog(process, entries);
  }

  error(event: string, fields: LogFields = {}): void {
    this.append('error', event, fields);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.append('warn', event, fields);
  }

  info(event: string, fields: LogFields = {}): void {
    this.append('info', event, fields);
  }

  debug(event: string, fields: LogFields = {}): void {
    this.append('debug', event, fields);
  }

  private append(level: string, event: string, fields: LogFields): void {
    this.logEntries.push({process: this.process, level, event, fields});
  }
}
