/**
 * Ranges of request keys, each held by one daemon through a lease in the store.
 *
 * Before a key's request is dispatched, a second daemon keeps a copy of the
 * key. The store holds, for each range, who held it last and who has the
 * copies; a new holder fetches them from there, or answers "unknown" for as
 * long as a key may be remembered.
 */
import type {KeyRecord} from '../generated/peer.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peers.js';
import type {LeaseGrant, Store} from '../ports/store.js';
import {IdempotencyKeys} from './idempotency-keys.js';

/** Number of ranges; one lease each. */
export const RANGE_COUNT = 64;

/** Time that a lease is taken for, in milliseconds. */
export const LEASE_MS = 30_000;
/** A lease is renewed when less than this is left, in milliseconds. */
const RENEW_BELOW_MS = 22_000;
/** No dispatch is made in the last part of a lease; bounds clock differences. */
const LEASE_MARGIN_MS = 1_000;
const TICK_MS = 250;
const CALL_MS = 1_000;
const KEYS_A_RANGE = 20_000;

/** Who is responsible for ranges by this daemon's view. */
export interface RangeView {
  /** This run of the daemon, unique. */
  readonly self: string;
  /** The daemon that is to hold the range, as a run; undefined: none. */
  ownerOf(range: number): string | undefined;
  /** Other daemons that may keep copies, the best first. */
  backupsOf(range: number): string[];
  /** Address of a run that is alive. */
  addressOf(run: string): string | undefined;
}

/** Who held a range and who has its copies, as the store keeps it. */
interface RangeRecord {
  readonly holder: string;
  readonly backup: string;
}

const NO_RECORD: RangeRecord = {holder: '', backup: ''};

/** One range as this daemon sees it. */
export interface HeldRange {
  readonly range: number;
  readonly memory: IdempotencyKeys;
  /** End of the lease, monotonic milliseconds; 0: not held. */
  leaseDeadline: number;
  /** Whether the earlier holder's keys are here and copies are arranged. */
  prepared: boolean;
  /** Run that keeps the copies; empty when there is no other daemon. */
  backup: string;
  /** Number in the name that the lease is taken under; grows with each release. */
  tenure: number;
  /** Token of the lease; another one means that it was not held throughout. */
  token: number;
  /** Whether a release may not have reached the store. */
  releasing: boolean;
  /**
   * Wall milliseconds; keys made before may have been known to an earlier
   * holder alone.
   */
  memoryStartMs: number;
  /** Requests being run. */
  running: number;
  busy: boolean;
}

/** What the ranges are made from. */
export interface KeyRangesOptions {
  readonly store: Store;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly view: RangeView;
}

/** All ranges of one daemon. */
export class KeyRanges {
  private readonly ranges: HeldRange[];

  private constructor(private readonly options: KeyRangesOptions) {
    this.ranges = Array.from({length: RANGE_COUNT}, (_, range) => ({
      range,
      memory: IdempotencyKeys.create(options.clock, KEYS_A_RANGE),
      leaseDeadline: 0,
      prepared: false,
      backup: '',
      tenure: 0,
      token: 0,
      releasing: false,
      memoryStartMs: 0,
      running: 0,
      busy: false,
    }));
  }

  /** Creates ranges of which none is held. */
  static create(options: KeyRangesOptions): KeyRanges {
    return new KeyRanges(options);
  }

  /** Ranges held and prepared. */
  get heldCount(): number {
    return this.ranges.filter(range => this.isUsable(range)).length;
  }

  /** A range by number. */
  get(range: number): HeldRange {
    return this.ranges[range];
  }

  /** Starts to take and renew leases; the returned function stops that. */
  start(): () => void {
    const {clock} = this.options;
    let timer = clock.callAt(clock.now(), () => undefined);
    const tick = () => {
      timer = clock.callAt(clock.now() + TICK_MS, tick);
      this.ranges.forEach(range => void this.maintain(range));
    };
    tick();
    return () => timer.cancel();
  }

  /** Whether requests of the range may be run here now. */
  isUsable(range: HeldRange): boolean {
    return (
      range.prepared &&
      this.startDeadline(range) !== undefined &&
      this.options.view.ownerOf(range.range) === this.options.view.self
    );
  }

  /** Latest time at which a server may start a request of the range. */
  startDeadline(range: HeldRange): number | undefined {
    const deadline = range.leaseDeadline - LEASE_MARGIN_MS;
    return deadline > this.options.clock.now() ? deadline : undefined;
  }

  /** Has the copies include a record; false when they do not. */
  async keepCopy(range: HeldRange, record: KeyRecord): Promise<boolean> {
    if (range.backup === '') {
      return range.prepared;
    }
    const kept = await this.push(range.backup, range.range, [record]);
    if (!kept) {
      range.prepared = false;
    }
    return kept;
  }

  /** Gives up every range once its requests have ended. */
  async releaseAll(deadline: number): Promise<void> {
    const {clock} = this.options;
    const held = () =>
      this.ranges.filter(
        ({leaseDeadline, releasing}) => leaseDeadline > 0 || releasing,
      );
    while (held().length > 0 && clock.now() < deadline) {
      await Promise.all(held().map(range => this.release(range)));
      await this.pause();
    }
  }

  /** One look at one range: take, renew, prepare or give up. */
  private async maintain(range: HeldRange): Promise<void> {
    if (range.busy) {
      return;
    }
    range.busy = true;
    const {clock, view} = this.options;
    const mine = view.ownerOf(range.range) === view.self;
    if (range.leaseDeadline > 0 && range.leaseDeadline <= clock.now()) {
      range.leaseDeadline = 0;
      range.prepared = false;
    }
    if (!mine && (range.leaseDeadline > 0 || range.releasing)) {
      await this.release(range);
    } else if (mine) {
      await this.takeOrRenew(range);
      await this.prepare(range);
    }
    range.busy = false;
  }

  private async takeOrRenew(range: HeldRange): Promise<void> {
    const {clock, store, view} = this.options;
    const left = range.leaseDeadline - clock.now();
    if (left > RENEW_BELOW_MS) {
      return;
    }
    if (range.releasing) {
      range.tenure += 1;
      range.releasing = false;
    }
    const granted = await store.acquireLease(
      leaseKey(range.range),
      holderName(view.self, range.tenure),
      clock.now() + LEASE_MS,
    );
    granted.map(grant => {
      if (grant.held) {
        this.noteGrant(range, grant);
      }
      return grant;
    });
  }

  private noteGrant(range: HeldRange, grant: LeaseGrant): void {
    range.releasing = false;
    range.leaseDeadline = Math.max(grant.deadline, range.leaseDeadline);
    if (grant.token !== range.token) {
      // Somebody else may have held the range in between.
      range.token = grant.token;
      range.prepared = false;
    }
  }

  /** Fetches the keys of the holder before, and arranges for copies. */
  private async prepare(range: HeldRange): Promise<void> {
    const {view} = this.options;
    const backupLost =
      range.backup !== '' && view.addressOf(range.backup) === undefined;
    const alone = range.backup === '' && view.backupsOf(range.range).length > 0;
    const done = range.prepared && !backupLost && !alone;
    if (range.leaseDeadline === 0 || done) {
      return;
    }
    // No key is let through while the copies change hands.
    range.prepared = false;
    const {store} = this.options;
    const stored = await store.get(recordKey(range.range));
    if (stored.isErr()) {
      return;
    }
    const before = readRecord(stored.value.value);
    await this.fetchKeys(range, before);
    const backup = await this.findBackup(range);
    if (backup === undefined) {
      return;
    }
    const record = writeRecord({holder: view.self, backup});
    const swapped = await store.compareAndSwap(
      recordKey(range.range),
      record,
      stored.value.version,
    );
    if (swapped.isOk() && swapped.value.swapped) {
      range.backup = backup;
      range.prepared = true;
    }
  }

  /** Fetches the keys from the holder before or from its copies. */
  private async fetchKeys(
    range: HeldRange,
    before: RangeRecord,
  ): Promise<void> {
    const {clock, view} = this.options;
    const known = before.holder === '' || before.holder === view.self;
    if (known || before.backup === view.self) {
      return;
    }
    const fetched =
      (await this.pull(before.holder, range)) ||
      (await this.pull(before.backup, range));
    if (!fetched) {
      range.memoryStartMs = clock.wall();
    }
  }

  private async pull(run: string, range: HeldRange): Promise<boolean> {
    const {clock, peers, view} = this.options;
    const address = view.addressOf(run);
    if (address === undefined) {
      return false;
    }
    const deadline = clock.now() + CALL_MS;
    const pulled = await peers.pullKeys(address, range.range, deadline);
    pulled.map(records => range.memory.merge(records));
    return pulled.isOk();
  }

  /** The first daemon that takes copies of all keys; "" when there is none. */
  private async findBackup(range: HeldRange): Promise<string | undefined> {
    const candidates = this.options.view.backupsOf(range.range);
    const records = range.memory.records();
    const found = await candidates.reduce<Promise<string | undefined>>(
      async (earlier, run) =>
        (await earlier) ??
        ((await this.push(run, range.range, records)) ? run : undefined),
      Promise.resolve(undefined),
    );
    return candidates.length === 0 ? '' : found;
  }

  private async push(
    run: string,
    range: number,
    records: KeyRecord[],
  ): Promise<boolean> {
    const {clock, peers, view} = this.options;
    const address = view.addressOf(run);
    if (address === undefined) {
      return false;
    }
    const deadline = clock.now() + CALL_MS;
    const pushed = await peers.keepKeys(address, range, records, deadline);
    return pushed.isOk();
  }

  /** Gives a range up; its keys stay here for the next holder to fetch. */
  private async release(range: HeldRange): Promise<void> {
    if (range.running > 0) {
      return;
    }
    range.prepared = false;
    range.leaseDeadline = 0;
    range.releasing = true;
    const {store, view} = this.options;
    const holder = holderName(view.self, range.tenure);
    const released = await store.releaseLease(leaseKey(range.range), holder);
    if (released.isOk()) {
      // A release that is delayed must not end a later tenure.
      range.tenure += 1;
      range.releasing = false;
    }
  }

  private pause(): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      clock.callAt(clock.now() + TICK_MS, resolve);
    });
  }
}

/** The name that a lease is taken under. */
function holderName(run: string, tenure: number): string {
  return `${run}#${tenure}`;
}

function leaseKey(range: number): string {
  return `weldyard/range-lease/${range}`;
}

function recordKey(range: number): string {
  return `weldyard/range/${range}`;
}

function writeRecord(record: RangeRecord): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(record));
}

/** Reads a record; no bytes mean that the range was never held. */
function readRecord(bytes: Uint8Array): RangeRecord {
  return bytes.length === 0
    ? NO_RECORD
    : (JSON.parse(new TextDecoder().decode(bytes)) as RangeRecord);
}
