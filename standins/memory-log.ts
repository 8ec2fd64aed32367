/** A log that keeps its lines, for tests. */
import {Log, type LogFields} from '../src/ports/log.js';

/** One line as it was logged. */
export interface LoggedLine {
  readonly process: string;
  readonly level: string;
  readonly event: string;
  readonly fields: LogFields;
}

/** Log of one process into a list that several share. */
export class MemoryLog extends Log {
  private constructor(
    private readonly process: string,
    readonly lines: LoggedLine[],
  ) {
    super();
  }

  /** Creates a log that appends to `lines`. */
  static create(process: string, lines: LoggedLine[] = []): MemoryLog {
    return new MemoryLog(process, lines);
  }

  error(event: string, fields: LogFields = {}): void {
    this.put('error', event, fields);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.put('warn', event, fields);
  }

  info(event: string, fields: LogFields = {}): void {
    this.put('info', event, fields);
  }

  debug(event: string, fields: LogFields = {}): void {
    this.put('debug', event, fields);
  }

  private put(level: string, event: string, fields: LogFields): void {
    this.lines.push({process: this.process, level, event, fields});
  }
}
