/**
 * JSON log lines on standard output. Lines go through a bounded buffer and asynchronous
 * writes, so a stalled reader blocks nothing; lines that do not fit are dropped and counted.
 */
import {write} from 'node:fs';
import printf from 'logform/printf.js';
import {MESSAGE} from 'triple-beam';
import type {Clock, Timer} from '../ports/clock.js';
import {Log, type LogFields} from '../ports/log.js';

const STDOUT_FD = 1;
const MAX_BACKLOG_CHARS = 512 * 1_024;
/** Delay in which lines are batched into one write. */
const WRITE_DELAY_MS = 200;
/** Limit of `info` lines for each event; lines beyond it are suppressed and counted. */
const MAX_INFO_LINES_PER_SECOND = 60;
const SECOND_MS = 1_000;

const LEVELS: readonly string[] = ['error', 'warn', 'info', 'debug'];

/** State of the rate limit for one event. */
interface RateLimit {
  remaining: number;
  suppressed: number;
  /** Monotonic milliseconds at which the next second of the limit begins. */
  resetAtMs: number;
}

/** Log of one process on standard output. */
export class StdoutLog extends Log {
  private backlog = '';
  private droppedLines = 0;
  private isWriting = false;
  private timer: Timer | undefined;
  private readonly rateLimits = new Map<string, RateLimit>();
  private readonly format = printf(info => JSON.stringify(info));

  private constructor(
    private readonly process: string,
    private readonly clock: Clock,
    private readonly level: string,
  ) {
    super();
  }

  /** Creates a log; every line carries the process name. */
  static create(process: string, clock: Clock, level = 'info'): StdoutLog {
    return new StdoutLog(process, clock, level);
  }

  error(event: string, fields?: LogFields): void {
    this.enqueue('error', event, fields);
  }

  warn(event: string, fields?: LogFields): void {
    this.enqueue('warn', event, fields);
  }

  /** Logs a line, unless the rate limit of its event is exceeded. */
  info(event: string, fields?: LogFields): void {
    if (this.isWithinRateLimit(event)) {
      this.enqueue('info', event, fields);
    }
  }

  debug(event: string, fields?: LogFields): void {
    this.enqueue('debug', event, fields);
  }

  /** Writes the buffered lines; resolves at once when another write is in progress. */
  async flush(): Promise<void> {
    await this.writeAll();
  }

  private isWithinRateLimit(event: string): boolean {
    const now = this.clock.now();
    const rateLimit = this.rateLimits.get(event);
    if (rateLimit === undefined || rateLimit.resetAtMs <= now) {
      this.logSuppressed(event, rateLimit?.suppressed ?? 0);
      this.rateLimits.set(event, {
        remaining: MAX_INFO_LINES_PER_SECOND - 1,
        suppressed: 0,
        resetAtMs: now + SECOND_MS,
      });
      return true;
    }
    if (rateLimit.remaining > 0) {
      rateLimit.remaining -= 1;
      return true;
    }
    rateLimit.suppressed += 1;
    return false;
  }

  private logSuppressed(event: string, count: number): void {
    if (count > 0) {
      this.enqueue('warn', 'lines-left-out', {of: event, count});
    }
  }

  private enqueue(level: string, event: string, fields?: LogFields): void {
    if (LEVELS.indexOf(level) > LEVELS.indexOf(this.level)) {
      return;
    }
    if (this.backlog.length > MAX_BACKLOG_CHARS) {
      this.droppedLines += 1;
      return;
    }
    this.backlog += this.formatLine(level, event, fields);
    this.timer ??= this.clock.callAt(this.clock.now() + WRITE_DELAY_MS, () => {
      this.timer = undefined;
      void this.writeAll();
    });
  }

  private formatLine(level: string, event: string, fields?: LogFields): string {
    const lossFields =
      this.droppedLines > 0 ? {linesLost: this.droppedLines} : {};
    this.droppedLines = 0;
    const line = this.format.transform({
      timestamp: new Date(this.clock.wall()).toISOString(),
      level,
      message: event,
      process: this.process,
      ...fields,
      ...lossFields,
    });
    return typeof line === 'object' ? `${String(line[MESSAGE])}\n` : '';
  }

  private async writeAll(): Promise<void> {
    if (this.isWriting) {
      return;
    }
    this.isWriting = true;
    while (this.backlog !== '') {
      const text = this.backlog;
      this.backlog = '';
      await writeFully(text);
    }
    this.isWriting = false;
  }
}

/** Writes a text completely; discards the rest when a write fails. */
async function writeFully(text: string): Promise<void> {
  let left = Buffer.from(text, 'utf8');
  while (left.length > 0) {
    const written = await writeChunk(left);
    left = left.subarray(written === 0 ? left.length : written);
  }
}

function writeChunk(bytes: Buffer): Promise<number> {
  return new Promise(resolve => {
    write(STDOUT_FD, bytes, (error, written) =>
      resolve(error === null ? written : 0),
    );
  });
}
