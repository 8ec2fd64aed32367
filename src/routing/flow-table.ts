/**
 * Bounded hash table of flow state: open addressing with linear probing over
 * typed arrays, which double in size when they are 70% full.
 */
import type {FlowKey} from './flow-key.js';

/** Origin and state of an entry. */
export const EntryKind = {
  EMPTY: 0,
  /** A placement that this daemon stores as a holder of the flow's partition. */
  HELD: 1,
  /** A peer's answer, which expires after a short time. */
  CACHED: 2,
  /** A closed flow; serves packets that arrive late. */
  CLOSED: 3,
  /** A flow just placed at its base server; serves repeated opens. */
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

/** Slots of a new table; a power of two, as is every capacity. */
const INITIAL_CAPACITY = 1_024;
const MAXIMUM_LOAD_FACTOR = 0.7;
/** Time in which the sweep visits every slot once. */
const FULL_SWEEP_SECONDS = 8;

/** Memory per slot, over all arrays. */
export const BYTES_PER_SLOT = 21;

/** Map from flow key to flow entry with a maximum number of entries. */
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
  private nextSlotToSweep = 0;

  private constructor(private readonly maximumEntries: number) {}

  /** Creates an empty table. */
  static create(maximumEntries: number): FlowTable {
    return new FlowTable(maximumEntries);
  }

  /** Number of entries of all kinds. */
  get size(): number {
    return this.sizes.reduce((sum, size) => sum + size, 0);
  }

  /** Number of entries of one kind. */
  sizeOf(kind: EntryKind): number {
    return this.sizes[kind];
  }

  /** Size of the arrays in bytes. */
  get bytes(): number {
    return this.capacity * BYTES_PER_SLOT;
  }

  /** Slots to sweep per second to visit all in `FULL_SWEEP_SECONDS`. */
  get slotsPerSweep(): number {
    return Math.ceil(this.capacity / FULL_SWEEP_SECONDS);
  }

  /** Whether the table is at its maximum number of entries. */
  get isFull(): boolean {
    return this.size >= this.maximumEntries;
  }

  /** Returns the slot of a key, or -1. */
  findSlot(key: FlowKey): number {
    const mask = this.capacity - 1;
    let slot = homeSlot(key, mask);
    while (this.kinds[slot] !== EntryKind.EMPTY) {
      if (this.high[slot] === key.high && this.low[slot] === key.low) {
        return slot;
      }
      slot = (slot + 1) & mask;
    }
    return -1;
  }

  /** Returns the server number in a slot. */
  serverAt(slot: number): number {
    return this.servers[slot];
  }

  /** Returns the kind of the entry in a slot. */
  kindAt(slot: number): EntryKind {
    return this.kinds[slot] as EntryKind;
  }

  /** Returns the entry of a key; undefined if there is none. */
  get(key: FlowKey): FlowEntry | undefined {
    const slot = this.findSlot(key);
    return slot < 0 ? undefined : this.entryAt(slot);
  }

  /** Returns the deadline of the entry in a slot, in monotonic seconds. */
  deadlineAt(slot: number): number {
    return this.deadlines[slot];
  }

  /** Sets the deadline of the entry in a slot, in monotonic seconds. */
  setDeadline(slot: number, deadline: number): void {
    this.deadlines[slot] = deadline;
  }

  /** Adds or replaces an entry; false when the key is new and the table is full. */
  set(key: FlowKey, entry: FlowEntry): boolean {
    const slot = this.findSlot(key);
    if (slot >= 0) {
      this.write(slot, key, entry);
      return true;
    }
    if (this.isFull) {
      return false;
    }
    this.growIfNeeded();
    this.write(this.findFreeSlot(key), key, entry);
    return true;
  }

  /** Removes the entry of a key, if there is one. */
  delete(key: FlowKey): void {
    const slot = this.findSlot(key);
    if (slot >= 0) {
      this.clear(slot);
    }
  }

  /** Removes expired entries from the next `slots` slots, going around the table. */
  sweep(nowSeconds: number, slots: number): void {
    let remaining = Math.min(slots, this.capacity);
    while (remaining > 0) {
      remaining -= 1;
      const slot = this.nextSlotToSweep;
      if (this.isExpired(slot, nowSeconds)) {
        // A later entry may move into the slot, so it is checked again.
        this.clear(slot);
      } else {
        this.nextSlotToSweep = (slot + 1) & (this.capacity - 1);
      }
    }
  }

  /** Calls `visit` for each entry, in the order of slots. */
  forEach(visit: (key: FlowKey, entry: FlowEntry) => void): void {
    this.kinds.forEach((kind, slot) => {
      if (kind !== EntryKind.EMPTY) {
        visit({high: this.high[slot], low: this.low[slot]}, this.entryAt(slot));
      }
    });
  }

  private entryAt(slot: number): FlowEntry {
    return {
      kind: this.kinds[slot] as EntryKind,
      server: this.servers[slot],
      address: this.addresses[slot],
      port: this.ports[slot],
      deadline: this.deadlines[slot],
    };
  }

  private isExpired(slot: number, nowSeconds: number): boolean {
    return (
      this.kinds[slot] !== EntryKind.EMPTY && this.deadlines[slot] <= nowSeconds
    );
  }

  private findFreeSlot(key: FlowKey): number {
    const mask = this.capacity - 1;
    let slot = homeSlot(key, mask);
    while (this.kinds[slot] !== EntryKind.EMPTY) {
      slot = (slot + 1) & mask;
    }
    return slot;
  }

  private write(slot: number, key: FlowKey, entry: FlowEntry): void {
    const previousKind = this.kinds[slot];
    if (previousKind !== EntryKind.EMPTY) {
      this.sizes[previousKind] -= 1;
    }
    this.sizes[entry.kind] += 1;
    this.high[slot] = key.high;
    this.low[slot] = key.low;
    this.servers[slot] = entry.server;
    this.addresses[slot] = entry.address;
    this.ports[slot] = entry.port;
    this.deadlines[slot] = entry.deadline;
    this.kinds[slot] = entry.kind;
  }

  /** Empties a slot and moves back entries whose probe sequence crosses it. */
  private clear(slot: number): void {
    const mask = this.capacity - 1;
    this.sizes[this.kinds[slot]] -= 1;
    this.kinds[slot] = EntryKind.EMPTY;
    let hole = slot;
    let next = (slot + 1) & mask;
    while (this.kinds[next] !== EntryKind.EMPTY) {
      const home = this.high[next] & mask;
      const distanceToHole = (hole - home) & mask;
      const distanceToNext = (next - home) & mask;
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
    if (this.size + 1 <= this.capacity * MAXIMUM_LOAD_FACTOR) {
      return;
    }
    const larger = new FlowTable(this.maximumEntries);
    larger.allocate(this.capacity * 2);
    this.forEach((key, entry) => {
      larger.write(larger.findFreeSlot(key), key, entry);
    });
    this.replaceArrays(larger);
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

  private replaceArrays(other: FlowTable): void {
    this.capacity = other.capacity;
    this.high = other.high;
    this.low = other.low;
    this.servers = other.servers;
    this.addresses = other.addresses;
    this.ports = other.ports;
    this.deadlines = other.deadlines;
    this.kinds = other.kinds;
    this.nextSlotToSweep = 0;
  }
}

/**
 * Returns the slot where the probe for a key starts. The high half is used since
 * the low half also selects the partition: a daemon's entries would cluster.
 */
function homeSlot(key: FlowKey, mask: number): number {
  return key.high & mask;
}
