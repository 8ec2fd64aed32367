/** A clock that moves only when told, for tests and in-memory experiments. */
import {Clock, type Timer} from '../src/ports/clock.js';

const START_MS = 1_000_000;
const WALL_OFFSET_MS = 1_700_000_000_000;
/** Rounds of the microtask queue that let chains of promises finish. */
const TURNS = 12;

interface PendingCall {
  readonly deadline: number;
  readonly order: number;
  readonly task: () => void;
}

/** Virtual time; timers run in the order of their deadlines. */
export class FakeClock extends Clock {
  private nowMs = START_MS;
  private order = 0;
  private pending: PendingCall[] = [];

  private constructor() {
    super();
  }

  /** Creates a clock. */
  static create(): FakeClock {
    return new FakeClock();
  }

  now(): number {
    return this.nowMs;
  }

  wall(): number {
    return WALL_OFFSET_MS + this.nowMs;
  }

  callAt(deadline: number, task: () => void): Timer {
    this.order += 1;
    const call = {
      deadline: Math.max(deadline, this.nowMs),
      order: this.order,
      task,
    };
    this.insert(call);
    return {
      cancel: () => {
        const place = this.pending.indexOf(call);
        if (place >= 0) {
          this.pending.splice(place, 1);
        }
      },
    };
  }

  /** Moves time on; every timer due by then runs, and so do its promises. */
  async advance(milliseconds: number): Promise<void> {
    const end = this.nowMs + milliseconds;
    await this.settle();
    while (this.pending.length > 0 && this.pending[0].deadline <= end) {
      const next = this.pending.shift();
      this.nowMs = Math.max(this.nowMs, next?.deadline ?? end);
      next?.task();
      await this.settle();
    }
    this.nowMs = end;
  }

  /** Lets promises that are ready run their course. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < TURNS; turn += 1) {
      await Promise.resolve();
    }
  }

  private insert(call: PendingCall): void {
    let low = 0;
    let high = this.pending.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.pending[middle];
      const before =
        other.deadline < call.deadline ||
        (other.deadline === call.deadline && other.order < call.order);
      low = before ? middle + 1 : low;
      high = before ? high : middle;
    }
    this.pending.splice(low, 0, call);
  }
}

/** The clock of one process that can be frozen; its timers wait meanwhile. */
export class ProcessClock extends Clock {
  private held: (() => void)[] | undefined;

  private constructor(private readonly base: FakeClock) {
    super();
  }

  /** Creates a process's clock over the common one. */
  static create(base: FakeClock): ProcessClock {
    return new ProcessClock(base);
  }

  now(): number {
    return this.base.now();
  }

  wall(): number {
    return this.base.wall();
  }

  callAt(deadline: number, task: () => void): Timer {
    let cancelled = false;
    const run = () => {
      if (cancelled) {
        return;
      }
      if (this.held === undefined) {
        task();
      } else {
        this.held.push(run);
      }
    };
    const timer = this.base.callAt(deadline, run);
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  /** Holds all timers that come due. */
  freeze(): void {
    this.held = this.held ?? [];
  }

  /** Runs the timers that were held. */
  thaw(): void {
    const held = this.held ?? [];
    this.held = undefined;
    held.forEach(run => run());
  }
}
