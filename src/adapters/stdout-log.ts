/**
 * JSON log lines on standard output, by winston's formats. Lines are kept in
 * a bounded buffer and written by one write at a time, off the main thread: a
 * reader that stops reading costs lines, which are counted, and no service.
 */
import {write} from 'node:fs';
import printf from 'logform/printf.js';
import {MESSAGE} from 'triple-beam';
import type {Clock, Timer} from '../ports/clock.js';
import {Log, type LogFields} from '../ports/log.js';

const STANDARD_OUTPUT = 1;
/** Text kept while the reader is slow, in characters. */
const LONGEST_BACKLOG = 512 * 1_024;
/** Time in which lines are gathered for one write, in milliseconds. */
const GATHER_MS = 200;
/**
 * Lines of one event a second; what is more is counted and told. Set so that
 * logging stays under a hundredth of the smallest instance's processor share.
 */
const BUDGET_A_SECOND = 60;
const SECOND_MS = 1_000;

const LEVELS: readonly string[] = ['error', 'warn', 'info', 'debug'];

interface Budget {
  left: number;
  leftOut: number;
  /** Monotonic milliseconds at which the budget is filled again. */
  renewAt: number;
}

/** Log of one process on standard output. */
export class StdoutLog extends Log {
  private backlog = '';
  private lost = 0;
  private isWriting = false;
  private timer: Timer | undefined;
  private readonly budgets = new Map<string, Budget>();
  private readonly format = printf(info => JSON.stringify(info));

  private constructor(
    private readonly process: string,
    private readonly clock: Clock,
    private readonly level: string,
  ) {
    super();
  }

  /** Creates a log whose lines carry the process's name. */
  static create(process: string, clock: Clock, level = 'info'): StdoutLog {
    return new StdoutLog(process, clock, level);
  }

  error(event: string, fields?: LogFields): void {
    this.put('error', event, fields);
  }

  warn(event: string, fields?: LogFields): void {
    this.put('warn', event, fields);
  }

  /** Lines of this level keep to a budget for each event. */
  info(event: string, fields?: LogFields): void {
    if (this.isWithinBudget(event)) {
      this.put('info', event, fields);
    }
  }

  debug(event: string, fields?: LogFields): void {
    this.put('debug', event, fields);
  }

  /** Writes what is left; resolves when it is written. */
  async flush(): Promise<void> {
    await this.writeAll();
  }

  private isWithinBudget(event: string): boolean {
    const now = this.clock.now();
    const budget = this.budgets.get(event);
    if (budget === undefined || budget.renewAt <= now) {
      this.tellLeftOut(event, budget?.leftOut ?? 0);
      this.budgets.set(event, {
        left: BUDGET_A_SECOND - 1,
        leftOut: 0,
        renewAt: now + SECOND_MS,
      });
      return true;
    }
    if (budget.left > 0) {
      budget.left -= 1;
      return true;
    }
    budget.leftOut += 1;
    return false;
  }

  private tellLeftOut(event: string, count: number): void {
    if (count > 0) {
      this.put('warn', 'lines-left-out', {of: event, count});
    }
  }

  private put(level: string, event: string, fields?: LogFields): void {
    if (LEVELS.indexOf(level) > LEVELS.indexOf(this.level)) {
      return;
    }
    if (this.backlog.length > LONGEST_BACKLOG) {
      this.lost += 1;
      return;
    }
    this.backlog += this.lineOf(level, event, fields);
    this.timer ??= this.clock.callAt(this.clock.now() + GATHER_MS, () => {
      this.timer = undefined;
      void this.writeAll();
    });
  }

  private lineOf(level: string, event: string, fields?: LogFields): string {
    const told = this.lost > 0 ? {linesLost: this.lost} : {};
    this.lost = 0;
    const line = this.format.transform({
      timestamp: new Date(this.clock.wall()).toISOString(),
      level,
      message: event,
      process: this.process,
      ...fields,
      ...told,
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
      await writeWhole(text);
    }
    this.isWriting = false;
  }
}

/** Writes a text; a reader that is gone costs the text. */
async function writeWhole(text: string): Promise<void> {
  let left = Buffer.from(text, 'utf8');
  while (left.length > 0) {
    const written = await writeOnce(left);
    left = left.subarray(written === 0 ? left.length : written);
  }
}

function writeOnce(bytes: Buffer): Promise<number> {
  return new Promise(resolve => {
    write(STANDARD_OUTPUT, bytes, (error, written) =>
      resolve(error === null ? written : 0),
    );
  });
}
