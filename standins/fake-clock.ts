/** Virtual clocks for tests and in-memory experiments. */
import {Clock, type Timer} from '../src/ports/clock.js';

const START_MS = 1_000_000;
const WALL_OFFSET_MS = 1_700_000_000_000;
/** Microtask rounds run after each timer; longer promise chains complete later. */
const MICROTASK_ROUNDS = 12;

interface PendingCall {
  readonly deadline: number;
  readonly order: number;
  readonly task: () => void;
}

/** A clock that only `advance` moves; timers run in the order of their deadlines. */
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
        const index = this.pending.indexOf(call);
        if (index >= 0) {
          this.pending.splice(index, 1);
        }
      },
    };
  }

  /** Advances the time; runs each timer that comes due, and its promise callbacks. */
  async advance(milliseconds: number): Promise<void> {
    const end = this.nowMs + milliseconds;
    await this.flushPromises();
    while (this.pending.length > 0 && this.pending[0].deadline <= end) {
      const next = this.pending.shift();
      this.nowMs = Math.max(this.nowMs, next?.deadline ?? end);
      next?.task();
      await this.flushPromises();
    }
    this.nowMs = end;
  }

  /** Runs pending promise callbacks. */
  async flushPromises(): Promise<void> {
    for (let round = 0; round < MICROTASK_ROUNDS; round += 1) {
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

/** Clock of one process; while it is frozen, timers that come due are held. */
export class ProcessClock extends Clock {
  private heldCalls: (() => void)[] | undefined;

  private constructor(private readonly base: FakeClock) {
    super();
  }

  /** Creates a process clock on the shared virtual clock. */
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
      if (this.heldCalls === undefined) {
        task();
      } else {
        this.heldCalls.push(run);
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
    this.heldCalls = this.heldCalls ?? [];
  }

  /** Ends the freeze and runs the held timers. */
  thaw(): void {
    const held = this.heldCalls ?? [];
    this.heldCalls = undefined;
    held.forEach(run => run());
  }
}
