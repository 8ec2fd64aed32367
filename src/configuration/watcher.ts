/** The task that waits at the store for new revisions. */
import type {Clock} from '../ports/clock.js';
import type {Store} from '../ports/store.js';
import {DOCUMENT_KEY} from './document.js';

/** One waiting call lasts this long at the most, in milliseconds. */
const WATCH_MS = 30_000;
/** Time between two looks at whether this daemon is to watch. */
const IDLE_MS = 500;
const FIRST_BACKOFF_MS = 200;
const LONGEST_BACKOFF_MS = 5_000;

/** What a watcher is made from. */
export interface WatcherOptions {
  readonly store: Store;
  readonly clock: Clock;
  /** Whether this daemon is one of those that watch. */
  isWatching(): boolean;
  /** Called with each value read; an empty value is no configuration yet. */
  onValue(value: Uint8Array): void;
  onLost(cause: string): void;
  onBack(): void;
}

/** Watches the configuration document while it is this daemon's turn. */
export class Watcher {
  private stopped = false;
  private version = 0;
  private failures = 0;

  private constructor(private readonly options: WatcherOptions) {}

  /** Creates a watcher that does nothing until started. */
  static create(options: WatcherOptions): Watcher {
    return new Watcher(options);
  }

  /** Starts the task; the returned function stops it. */
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
        await this.pause(IDLE_MS);
      }
    }
  }

  private async watchOnce(): Promise<void> {
    const {store, clock, onValue, onBack, onLost} = this.options;
    const deadline = clock.now() + WATCH_MS;
    const result = await store.watch(DOCUMENT_KEY, this.version, deadline);
    if (this.stopped) {
      return;
    }
    if (result.isErr()) {
      this.failures += 1;
      if (this.failures === 1) {
        onLost(result.error.message);
      }
      await this.pause(this.backoff());
      return;
    }
    if (this.failures > 0) {
      this.failures = 0;
      onBack();
    }
    this.version = result.value.version;
    onValue(result.value.value);
  }

  private backoff(): number {
    const longest = FIRST_BACKOFF_MS * 2 ** Math.min(this.failures, 10);
    return Math.min(LONGEST_BACKOFF_MS, longest);
  }

  private pause(milliseconds: number): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      clock.callAt(clock.now() + milliseconds, resolve);
    });
  }
}
