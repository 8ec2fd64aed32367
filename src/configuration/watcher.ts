/**
 * Watches the configuration document in the store for new revisions. Runs in
 * each daemon, which watches only while it is selected to.
 */
import type {Clock} from '../ports/clock.js';
import type {Store} from '../ports/store.js';
import {DOCUMENT_KEY} from './document.js';

const WATCH_TIMEOUT_MS = 30_000;
/** Interval at which a daemon that is not selected checks again. */
const IDLE_POLL_INTERVAL_MS = 500;
const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;

/** Options of a watcher. */
export interface WatcherOptions {
  readonly store: Store;
  readonly clock: Clock;
  /** Whether this daemon is one of those selected to watch. */
  isWatching(): boolean;
  /** Called with each document read; empty before the first edit. */
  onValue(value: Uint8Array): void;
  /** Called with the cause when calls to the store start to fail. */
  onStoreLost(cause: string): void;
  /** Called when a call succeeds again. */
  onStoreRestored(): void;
}

/** Watches the configuration document while `isWatching` returns true. */
export class Watcher {
  private stopped = false;
  private version = 0;
  private consecutiveFailures = 0;

  private constructor(private readonly options: WatcherOptions) {}

  /** Creates a watcher that does nothing until started. */
  static create(options: WatcherOptions): Watcher {
    return new Watcher(options);
  }

  /** Starts watching; returns a function that stops it. */
  start(): () => void {
    void this.run();
    return () => {
      this.stopped = true;
    };
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      if (this.options.isWatching()) {
        await this.watchOnce();
      } else {
        await this.pause(IDLE_POLL_INTERVAL_MS);
      }
    }
  }

  private async watchOnce(): Promise<void> {
    const {store, clock, onValue, onStoreRestored, onStoreLost} = this.options;
    const deadline = clock.now() + WATCH_TIMEOUT_MS;
    const result = await store.watch(DOCUMENT_KEY, this.version, deadline);
    if (this.stopped) {
      return;
    }
    if (result.isErr()) {
      this.consecutiveFailures += 1;
      if (this.consecutiveFailures === 1) {
        onStoreLost(result.error.message);
      }
      await this.pause(this.backoff());
      return;
    }
    if (this.consecutiveFailures > 0) {
      this.consecutiveFailures = 0;
      onStoreRestored();
    }
    this.version = result.value.version;
    onValue(result.value.value);
  }

  /** Returns the next delay in milliseconds; it doubles with each failure. */
  private backoff(): number {
    const delayMs =
      MIN_BACKOFF_MS * 2 ** Math.min(this.consecutiveFailures, 10);
    return Math.min(MAX_BACKOFF_MS, delayMs);
  }

  private pause(milliseconds: number): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      clock.callAt(clock.now() + milliseconds, resolve);
    });
  }
}
