/**
 * Bounded table of flow state: open addressing over typed arrays.
 *
 * An entry takes 21 bytes; arrays are at most 70% full and double when they
 * pass that, so an entry costs 30 to 60 bytes.
 */
import type {FlowKey} from './flow-key.js';

/** What an entry is. */
export const EntryKind = {
  EMPTY: 0,
  /** Kept for others: this daemon is owner or backup of the flow. */
  HELD: 1,
  /** A peer's answer, remembered for a while. */
  CACHED: 2,
  /** A closed flow, kept shortly for packets that arrive late. */
  CLOSED: 3,
  /** A flow placed at its base server, kept for repeated opens. */
  RECENT: 4,
} as const;
/** One of the kinds in `EntryKind`. */
export type EntryKind = (typeof EntryKind)[keyof typeof EntryKind];

/** State of one flow. */
export interface FlowEntry {
  readonly kind: EntryKind;
  /** Server number (see `ServerDirectory`). */
  readonly server: number;
  /** Destination address and port of the flow. */
  readonly address: number;
  readonly port: number;
  /** Monotonic seconds after which the entry is removed. */
  readonly deadline: number;
}

const INITIAL_CAPACITY = 1_024;
const MAXIMUM_FILL = 0.7;
const SECONDS_A_SWEEP = 8;

/** Bytes that one place of the table takes. */
export const BYTES_PER_PLACE = 21;

/** Map from flow key to flow entry with a bound on its size. */
export class FlowTable {
  private capacity = INITIAL_CAPACITY;
  private high = new Uint32Array(INITIAL_CAPACITY);
  private low = new Uint32Array(INITIAL_CAPACITY);
  private servers = new Uint16Array(INITIAL_CAPACITY);
  private addresses = new Uint32Array(INITIAL_CAPACITY);
  private ports = new Uint16Array(INITIAL_CAPACITY);
  private deadlines = new Uint32Array(INITIAL_CAPACITY);
  private kinds = new Uint8Array(INITIAL_CAPACITY);
  private readonly sizes = [0, 0, 0, 0, 0];
  private sweepPosition = 0;

  private constructor(private readonly bound: number) {}

  /** Creates a table that holds at most `bound` entries. */
  static create(bound: number): FlowTable {
    return new FlowTable(bound);
  }

  /** Entries of all kinds. */
  get size(): number {
    return this.sizes.reduce((sum, size) => sum + size, 0);
  }

  /** Entries of one kind. */
  sizeOf(kind: EntryKind): number {
    return this.sizes[kind];
  }

  /** Bytes of the arrays. */
  get bytes(): number {
    return this.capacity * BYTES_PER_PLACE;
  }

  /** Places to sweep in one second, so that all are seen every 8 seconds. */
  get capacityToSweep(): number {
    return Math.ceil(this.capacity / SECONDS_A_SWEEP);
  }

  /** Whether another entry fits. */
  get full(): boolean {
    return this.size >= this.bound;
  }

  /** The place of a key, or -1. */
  find(key: FlowKey): number {
    const mask = this.capacity - 1;
    let place = startOf(key, mask);
    while (this.kinds[place] !== EntryKind.EMPTY) {
      if (this.high[place] === key.high && this.low[place] === key.low) {
        return place;
      }
      place = (place + 1) & mask;
    }
    return -1;
  }

  /** The server number at a place. */
  serverAt(place: number): number {
    return this.servers[place];
  }

  /** The kind at a place. */
  kindAt(place: number): EntryKind {
    return this.kinds[place] as EntryKind;
  }

  /** The whole entry of a key, if there is one. */
  get(key: FlowKey): FlowEntry | undefined {
    const place = this.find(key);
    return place < 0 ? undefined : this.entryAt(place);
  }

  /** The deadline at a place, in monotonic seconds. */
  deadlineAt(place: number): number {
    return this.deadlines[place];
  }

  /** Moves an entry's deadline. */
  touch(place: number, deadline: number): void {
    this.deadlines[place] = deadline;
  }

  /** Sets an entry; false when the table is full and the key is new. */
  set(key: FlowKey, entry: FlowEntry): boolean {
    const known = this.find(key);
    if (known >= 0) {
      this.write(known, key, entry);
      return true;
    }
    if (this.full) {
      return false;
    }
    this.growIfNeeded();
    this.write(this.freePlace(key), key, entry);
    return true;
  }

  /** Removes a key. */
  delete(key: FlowKey): void {
    const place = this.find(key);
    if (place >= 0) {
      this.clear(place);
    }
  }

  /** Removes expired entries among the next `places` places. */
  sweep(nowSeconds: number, places: number): void {
    let left = Math.min(places, this.capacity);
    while (left > 0) {
      left -= 1;
      const place = this.sweepPosition;
      if (this.expired(place, nowSeconds)) {
        // Another entry may move here, so the place is looked at again.
        this.clear(place);
      } else {
        this.sweepPosition = (place + 1) & (this.capacity - 1);
      }
    }
  }

  /** Calls `visit` for each entry. */
  forEach(visit: (key: FlowKey, entry: FlowEntry) => void): void {
    this.kinds.forEach((kind, place) => {
      if (kind !== EntryKind.EMPTY) {
        visit(
          {high: this.high[place], low: this.low[place]},
          this.entryAt(place),
        );
      }
    });
  }

  private entryAt(place: number): FlowEntry {
    return {
      kind: this.kinds[place] as EntryKind,
      server: this.servers[place],
      address: this.addresses[place],
      port: this.ports[place],
      deadline: this.deadlines[place],
    };
  }

  private expired(place: number, nowSeconds: number): boolean {
    return (
      this.kinds[place] !== EntryKind.EMPTY &&
      this.deadlines[place] <= nowSeconds
    );
  }

  private freePlace(key: FlowKey): number {
    const mask = this.capacity - 1;
    let place = startOf(key, mask);
    while (this.kinds[place] !== EntryKind.EMPTY) {
      place = (place + 1) & mask;
    }
    return place;
  }

  private write(place: number, key: FlowKey, entry: FlowEntry): void {
    const before = this.kinds[place];
    if (before !== EntryKind.EMPTY) {
      this.sizes[before] -= 1;
    }
    this.sizes[entry.kind] += 1;
    this.high[place] = key.high;
    this.low[place] = key.low;
    this.servers[place] = entry.server;
    this.addresses[place] = entry.address;
    this.ports[place] = entry.port;
    this.deadlines[place] = entry.deadline;
    this.kinds[place] = entry.kind;
  }

  /** Empties a place and moves later entries of its run back. */
  private clear(place: number): void {
    const mask = this.capacity - 1;
    this.sizes[this.kinds[place]] -= 1;
    this.kinds[place] = EntryKind.EMPTY;
    let hole = place;
    let next = (place + 1) & mask;
    while (this.kinds[next] !== EntryKind.EMPTY) {
      const start = this.high[next] & mask;
      const distanceToHole = (hole - start) & mask;
      const distanceToNext = (next - start) & mask;
      if (distanceToHole < distanceToNext) {
        this.move(next, hole);
        hole = next;
      }
      next = (next + 1) & mask;
    }
  }

  private move(from: number, to: number): void {
    this.high[to] = this.high[from];
    this.low[to] = this.low[from];
    this.servers[to] = this.servers[from];
    this.addresses[to] = this.addresses[from];
    this.ports[to] = this.ports[from];
    this.deadlines[to] = this.deadlines[from];
    this.kinds[to] = this.kinds[from];
    this.kinds[from] = EntryKind.EMPTY;
  }

  private growIfNeeded(): void {
    if (this.size + 1 <= this.capacity * MAXIMUM_FILL) {
      return;
    }
    const larger = new FlowTable(this.bound);
    larger.allocate(this.capacity * 2);
    this.forEach((key, entry) => {
      larger.write(larger.freePlace(key), key, entry);
    });
    this.takeOver(larger);
  }

  private allocate(capacity: number): void {
    this.capacity = capacity;
    this.high = new Uint32Array(capacity);
    this.low = new Uint32Array(capacity);
    this.servers = new Uint16Array(capacity);
    this.addresses = new Uint32Array(capacity);
    this.ports = new Uint16Array(capacity);
    this.deadlines = new Uint32Array(capacity);
    this.kinds = new Uint8Array(capacity);
  }

  private takeOver(other: FlowTable): void {
    this.capacity = other.capacity;
    this.high = other.high;
    this.low = other.low;
    this.servers = other.servers;
    this.addresses = other.addresses;
    this.ports = other.ports;
    this.deadlines = other.deadlines;
    this.kinds = other.kinds;
    this.sweepPosition = 0;
  }
}

/**
 * Where the search for a key starts. The low half also chooses the partition,
 * so a daemon's own entries would crowd together by it.
 */
function startOf(key: FlowKey, mask: number): number {
  return key.high & mask;
}
