/**
 * Hash ranges of idempotency keys, each held by one daemon through a lease in
 * the store and replicated to a backup daemon. The store names the holder and
 * the backup of each range; a new holder fetches the records from either. When
 * both are lost, keys issued before it took over get the status UNKNOWN.
 */
import type {KeyRecord} from '../generated/peer.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peers.js';
import type {LeaseGrant, Store} from '../ports/store.js';
import {IdempotencyKeys} from './idempotency-keys.js';

/** Number of ranges; all daemons of a cluster must agree on it. */
export const RANGE_COUNT = 64;

export const LEASE_MS = 30_000;
/** A lease is renewed once its remaining time is at most this. */
const RENEWAL_THRESHOLD_MS = 22_000;
/** End of a lease in which no request may start; covers clock skew. */
const LEASE_SAFETY_MARGIN_MS = 1_000;
const MAINTENANCE_INTERVAL_MS = 250;
const PEER_CALL_TIMEOUT_MS = 1_000;
const MAX_KEYS_PER_RANGE = 20_000;

/**
 * The daemons responsible for ranges, as this daemon sees the membership. A run
 * is the unique id of one daemon process; a restart gets a new one.
 */
export interface RangeView {
  /** The run of this daemon. */
  readonly self: string;
  /** Returns the run that should hold the range; undefined when there is none. */
  ownerOf(range: number): string | undefined;
  /** Returns the runs that may be the range's backup, in order of preference. */
  backupsOf(range: number): string[];
  /** Returns the address of a run; undefined when it is not alive. */
  addressOf(run: string): string | undefined;
}

/** Last holder of a range and its backup, as runs; stored as JSON. */
interface RangeRecord {
  readonly holder: string;
  readonly backup: string;
}

const NO_RECORD: RangeRecord = {holder: '', backup: ''};

/** The state of one range at this daemon. */
export interface KeyRange {
  readonly range: number;
  readonly keys: IdempotencyKeys;
  /** End of the lease in monotonic milliseconds; 0 when it is not held. */
  leaseDeadline: number;
  /** Whether the records of the last holder are merged and the backup is set. */
  isReady: boolean;
  /** Run of the backup; empty when there is no other daemon. */
  backup: string;
  /** Part of the lease holder's name; incremented with each release. */
  leaseEpoch: number;
  /** Token of the last grant; changes when another daemon held the lease. */
  leaseToken: number;
  /** Whether a release was sent but not confirmed by the store. */
  releasePending: boolean;
  /**
   * Time since which the records are complete, in wall milliseconds; those of
   * keys issued earlier may have been lost with a former holder.
   */
  completeSinceMs: number;
  /** Number of requests that are running. */
  runningRequests: number;
  /** Guards against overlapping maintenance of the range. */
  isInMaintenance: boolean;
}

/** Options of the key ranges. */
export interface KeyRangesOptions {
  readonly store: Store;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly view: RangeView;
}

/** Acquires, replicates and releases the key ranges of one daemon. */
export class KeyRanges {
  private readonly ranges: KeyRange[];

  private constructor(private readonly options: KeyRangesOptions) {
    this.ranges = Array.from({length: RANGE_COUNT}, (_, range) => ({
      range,
      keys: IdempotencyKeys.create(options.clock, MAX_KEYS_PER_RANGE),
      leaseDeadline: 0,
      isReady: false,
      backup: '',
      leaseEpoch: 0,
      leaseToken: 0,
      releasePending: false,
      completeSinceMs: 0,
      runningRequests: 0,
      isInMaintenance: false,
    }));
  }

  /** Creates ranges of which none is held. */
  static create(options: KeyRangesOptions): KeyRanges {
    return new KeyRanges(options);
  }

  /** Number of ranges that are usable. */
  get heldCount(): number {
    return this.ranges.filter(range => this.isUsable(range)).length;
  }

  /** Returns a range by number, 0 to `RANGE_COUNT - 1`. */
  get(range: number): KeyRange {
    return this.ranges[range];
  }

  /** Starts to acquire and renew leases; returns a function that stops it. */
  start(): () => void {
    const {clock} = this.options;
    let timer = clock.callAt(clock.now(), () => undefined);
    const tick = () => {
      timer = clock.callAt(clock.now() + MAINTENANCE_INTERVAL_MS, tick);
      this.ranges.forEach(range => void this.maintain(range));
    };
    tick();
    return () => timer.cancel();
  }

  /** Whether this daemon may run requests of the range now. */
  isUsable(range: KeyRange): boolean {
    return (
      range.isReady &&
      this.startDeadline(range) !== undefined &&
      this.options.view.ownerOf(range.range) === this.options.view.self
    );
  }

  /**
   * Returns the latest time at which a server may start a request of the range,
   * in monotonic milliseconds, or undefined when the lease is about to end.
   */
  startDeadline(range: KeyRange): number | undefined {
    const deadline = range.leaseDeadline - LEASE_SAFETY_MARGIN_MS;
    return deadline > this.options.clock.now() ? deadline : undefined;
  }

  /**
   * Sends a record to the backup and waits for its confirmation; false when that
   * failed, or when there is no backup and the range is not ready.
   */
  async replicateRecord(range: KeyRange, record: KeyRecord): Promise<boolean> {
    if (range.backup === '') {
      return range.isReady;
    }
    const confirmed = await this.sendKeysTo(range.backup, range.range, [
      record,
    ]);
    if (!confirmed) {
      range.isReady = false;
    }
    return confirmed;
  }

  /**
   * Releases all ranges, each once its requests have ended. Returns when none
   * is held or at `deadline`, in monotonic milliseconds.
   */
  async releaseAll(deadline: number): Promise<void> {
    const {clock} = this.options;
    const held = () =>
      this.ranges.filter(
        ({leaseDeadline, releasePending}) =>
          leaseDeadline > 0 || releasePending,
      );
    while (held().length > 0 && clock.now() < deadline) {
      await Promise.all(held().map(range => this.release(range)));
      await this.pause();
    }
  }

  /** Acquires, renews, prepares or releases a range according to its owner. */
  private async maintain(range: KeyRange): Promise<void> {
    if (range.isInMaintenance) {
      return;
    }
    range.isInMaintenance = true;
    const {clock, view} = this.options;
    const isOwner = view.ownerOf(range.range) === view.self;
    if (range.leaseDeadline > 0 && range.leaseDeadline <= clock.now()) {
      range.leaseDeadline = 0;
      range.isReady = false;
    }
    if (!isOwner && (range.leaseDeadline > 0 || range.releasePending)) {
      await this.release(range);
    } else if (isOwner) {
      await this.acquireOrRenewLease(range);
      await this.prepare(range);
    }
    range.isInMaintenance = false;
  }

  private async acquireOrRenewLease(range: KeyRange): Promise<void> {
    const {clock, store, view} = this.options;
    const remainingMs = range.leaseDeadline - clock.now();
    if (remainingMs > RENEWAL_THRESHOLD_MS) {
      return;
    }
    if (range.releasePending) {
      range.leaseEpoch += 1;
      range.releasePending = false;
    }
    const granted = await store.acquireLease(
      leaseKey(range.range),
      leaseHolderName(view.self, range.leaseEpoch),
      clock.now() + LEASE_MS,
    );
    granted.map(grant => {
      if (grant.held) {
        this.recordGrant(range, grant);
      }
      return grant;
    });
  }

  private recordGrant(range: KeyRange, grant: LeaseGrant): void {
    range.releasePending = false;
    range.leaseDeadline = Math.max(grant.deadline, range.leaseDeadline);
    if (grant.token !== range.leaseToken) {
      // Another daemon may have held the range in between.
      range.leaseToken = grant.token;
      range.isReady = false;
    }
  }

  /**
   * Fetches the records of the last holder, chooses a backup and writes both to
   * the store. Does nothing when the range is ready and its backup is alive.
   */
  private async prepare(range: KeyRange): Promise<void> {
    const {view} = this.options;
    const backupLost =
      range.backup !== '' && view.addressOf(range.backup) === undefined;
    const canAddBackup =
      range.backup === '' && view.backupsOf(range.range).length > 0;
    const isDone = range.isReady && !backupLost && !canAddBackup;
    if (range.leaseDeadline === 0 || isDone) {
      return;
    }
    // No request may run until the new backup has all records.
    range.isReady = false;
    const {store} = this.options;
    const stored = await store.get(recordKey(range.range));
    if (stored.isErr()) {
      return;
    }
    const previous = decodeRecord(stored.value.value);
    await this.fetchKeys(range, previous);
    const backup = await this.chooseBackup(range);
    if (backup === undefined) {
      return;
    }
    const record = encodeRecord({holder: view.self, backup});
    const swapped = await store.compareAndSwap(
      recordKey(range.range),
      record,
      stored.value.version,
    );
    if (swapped.isOk() && swapped.value.swapped) {
      range.backup = backup;
      range.isReady = true;
    }
  }

  /** Fetches the records of the last holder from it or from its backup. */
  private async fetchKeys(
    range: KeyRange,
    previous: RangeRecord,
  ): Promise<void> {
    const {clock, view} = this.options;
    const isOwnRecord = previous.holder === '' || previous.holder === view.self;
    if (isOwnRecord || previous.backup === view.self) {
      return;
    }
    const fetched =
      (await this.fetchKeysFrom(previous.holder, range)) ||
      (await this.fetchKeysFrom(previous.backup, range));
    if (!fetched) {
      range.completeSinceMs = clock.wall();
    }
  }

  private async fetchKeysFrom(run: string, range: KeyRange): Promise<boolean> {
    const {clock, peers, view} = this.options;
    const address = view.addressOf(run);
    if (address === undefined) {
      return false;
    }
    const deadline = clock.now() + PEER_CALL_TIMEOUT_MS;
    const response = await peers.pullKeys(address, range.range, deadline);
    response.map(records => range.keys.merge(records));
    return response.isOk();
  }

  /**
   * Returns the first candidate that confirms all records, "" when there are no
   * candidates, and undefined when all of them failed.
   */
  private async chooseBackup(range: KeyRange): Promise<string | undefined> {
    const candidates = this.options.view.backupsOf(range.range);
    const records = range.keys.records();
    const chosen = await candidates.reduce<Promise<string | undefined>>(
      async (earlier, run) =>
        (await earlier) ??
        ((await this.sendKeysTo(run, range.range, records)) ? run : undefined),
      Promise.resolve(undefined),
    );
    return candidates.length === 0 ? '' : chosen;
  }

  private async sendKeysTo(
    run: string,
    range: number,
    records: KeyRecord[],
  ): Promise<boolean> {
    const {clock, peers, view} = this.options;
    const address = view.addressOf(run);
    if (address === undefined) {
      return false;
    }
    const deadline = clock.now() + PEER_CALL_TIMEOUT_MS;
    const confirmation = await peers.keepKeys(
      address,
      range,
      records,
      deadline,
    );
    return confirmation.isOk();
  }

  /**
   * Releases a range that has no running requests. Its records are kept for the
   * next holder to fetch.
   */
  private async release(range: KeyRange): Promise<void> {
    if (range.runningRequests > 0) {
      return;
    }
    range.isReady = false;
    range.leaseDeadline = 0;
    range.releasePending = true;
    const {store, view} = this.options;
    const holder = leaseHolderName(view.self, range.leaseEpoch);
    const released = await store.releaseLease(leaseKey(range.range), holder);
    if (released.isOk()) {
      // A delayed duplicate of this release must not end a later lease.
      range.leaseEpoch += 1;
      range.releasePending = false;
    }
  }

  private pause(): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      clock.callAt(clock.now() + MAINTENANCE_INTERVAL_MS, resolve);
    });
  }
}

/** Returns the holder name under which a lease is acquired. */
function leaseHolderName(run: string, epoch: number): string {
  return `${run}#${epoch}`;
}

function leaseKey(range: number): string {
  return `weldyard/range-lease/${range}`;
}

function recordKey(range: number): string {
  return `weldyard/range/${range}`;
}

function encodeRecord(record: RangeRecord): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(record));
}

/** Decodes a record; no bytes mean that the range was never held. */
function decodeRecord(bytes: Uint8Array): RangeRecord {
  return bytes.length === 0
    ? NO_RECORD
    : (JSON.parse(new TextDecoder().decode(bytes)) as RangeRecord);
}
