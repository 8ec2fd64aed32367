/**
 * Routes the packets of one daemon. Keeps each flow at its server while servers,
 * configuration revisions and partition owners change.
 */
import {PacketKind, type Hint, type PacketHeader} from '../generated/packet.js';
import type {FlowException} from '../generated/peer.js';
import type {Clock} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Hasher} from '../ports/hasher.js';
import type {AddressTable} from './address-table.js';
import {selectCandidates} from './candidates.js';
import {
  DecisionKind,
  DropReason,
  type Arrival,
  type Decision,
  type Forward,
} from './decision.js';
import {FlowKeyHasher, partitionOf, type FlowKey} from './flow-key.js';
import {EntryKind, FlowTable} from './flow-table.js';
import {NO_SERVER, TableBuilder, lookUpServer} from './generation-table.js';
import {OpenFlowCounts} from './open-flow-counts.js';
import {Ownership} from './ownership.js';
import {LeastLoadedPlacement, type Placement} from './placement.js';
import {FormerHolders} from './former-holders.js';
import {RevisionTables} from './revision-tables.js';
import type {RoutingRevision} from './routed-address.js';
import {ServerDirectory} from './server-directory.js';
import type {ServerMarks} from './server-marks.js';

/** Limits the daemons that handle one packet, from the one that the fabric chose on. */
export const MAXIMUM_HOPS = 6;

/** Hops after which the backup decides, since no daemon so far reached the owner. */
const HOPS_BEFORE_BACKUP = 2;

/** Lifetime of a `CACHED` entry, after which the owner is asked again. */
const CACHED_TTL_SECONDS = 30;
/** Lifetime of a `CLOSED` entry, which serves packets that arrive late. */
const CLOSED_TTL_SECONDS = 5;
/** Lifetime of a `RECENT` entry, which sends a repeated open to the same server. */
const RECENT_TTL_SECONDS = 10;

/** Which flows get an entry in the flow table. */
export const StateScope = {
  /** Flows that are not at their base server. */
  EXCEPTIONS: 'exceptions',
  /** All flows; the baseline for comparisons. */
  ALL: 'all',
} as const;
/** One of the scopes in `StateScope`. */
export type StateScope = (typeof StateScope)[keyof typeof StateScope];

/** The membership view that the router decides by. */
export interface RouterView {
  readonly ownership: Ownership;
  /** Number of members that open flows. */
  readonly memberCount: number;
  /**
   * Whether the member is responsive and this daemon has staged every change
   * of revisions and marks that the member knows.
   */
  isCurrent(member: string): boolean;
  /**
   * Whether the member answered recently; for this daemon itself, whether any
   * peer did or there is none.
   */
  isResponsive(member: string): boolean;
  /** Other members, any of which may reach a member that this one does not. */
  readonly relays: readonly string[];
}

/** Dependencies and limits of a `Router`. */
export interface RouterOptions {
  readonly self: string;
  /** Differs between restarts of the daemon. */
  readonly runId: string;
  readonly hasher: Hasher;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Capacity of the flow table, in entries. */
  readonly maximumEntries: number;
  readonly placement?: Placement;
  readonly scope?: StateScope;
}

/** A changed entry to be replicated to the other holders of its partition. */
export interface EntryUpdate {
  readonly partition: number;
  readonly exception: FlowException;
}

/** Decides for each packet which server or daemon it goes to; one per daemon. */
export class Router {
  readonly flows: FlowTable;
  readonly flowCounts: OpenFlowCounts;
  readonly directory = ServerDirectory.create();
  private readonly keys: FlowKeyHasher;
  private readonly tables: RevisionTables;
  private readonly placement: Placement;
  /** Members that held this daemon's partitions before it took them over. */
  readonly formerHolders: FormerHolders;
  private updates: EntryUpdate[] = [];
  private view: RouterView;

  private constructor(private readonly options: RouterOptions) {
    this.flows = FlowTable.create(options.maximumEntries);
    this.flowCounts = OpenFlowCounts.create(options.runId, options.hasher);
    this.formerHolders = FormerHolders.create(options.clock);
    this.keys = FlowKeyHasher.create(options.hasher);
    const builder = TableBuilder.create(options.hasher, this.directory);
    this.tables = RevisionTables.create(builder, options.clock);
    this.placement = options.placement ?? LeastLoadedPlacement.create();
    const soleMember = [{id: options.self, failureDomain: ''}];
    this.view = {
      ownership: Ownership.create(soleMember, options.hasher),
      memberCount: 1,
      isCurrent: () => true,
      isResponsive: () => true,
      relays: [],
    };
  }

  /** Creates a router without addresses and with this daemon as its only member. */
  static create(options: RouterOptions): Router {
    return new Router(options);
  }

  /** Size of all lookup tables in bytes. */
  get tableBytes(): number {
    return this.tables.bytes;
  }

  /** Configuration revision that new flows are placed by. */
  get activeRevision(): number {
    return this.tables.activeRevision;
  }

  /** Newest configuration revision that this daemon has received. */
  get stagedRevision(): number {
    return this.tables.stagedRevision;
  }

  /**
   * Applies a revision and marks to flows that other daemons may already place
   * by them. This daemon keeps placing flows by the active ones.
   */
  stage(revision: RoutingRevision, marks: ServerMarks): void {
    this.tables.stage(revision, marks);
  }

  /** Starts to place flows by a revision and marks that every peer has staged. */
  activate(revision: number, marks: ServerMarks): void {
    this.tables.activate(revision, marks);
  }

  /** Rebuilds the tables without the generations whose flows have expired. */
  rebuild(): void {
    this.tables.rebuild();
  }

  /** Replaces the membership view. */
  setView(view: RouterView): void {
    this.view = view;
  }

  /** Returns the decision for a packet, and updates flow state and counts. */
  route(packet: PacketHeader, arrival: Arrival): Decision {
    const table = this.tables.stagedTable(
      packet.destinationAddress,
      packet.destinationPort,
    );
    if (table === undefined) {
      return {kind: DecisionKind.DROP, reason: DropReason.UNKNOWN_ADDRESS};
    }
    const key = this.keys.compute(packet);
    const owner =
      this.view.ownership.ownerOf(partitionOf(key)) ?? this.options.self;
    if (!this.isTracked(table, key) && this.view.isCurrent(owner)) {
      return this.forwardToBase(table, key, packet);
    }
    if (this.mayBeStaleOpen(packet)) {
      return {kind: DecisionKind.DROP, reason: DropReason.NO_RESPONSIVE_PEER};
    }
    return (
      this.forwardByEntry(table, key, packet, arrival) ??
      this.passToDecider(key, owner, arrival) ??
      this.decide(table, key, packet, arrival)
    );
  }

  /**
   * Caches the server that a peer chose for a flow; an empty server removes
   * the entry. Entries of any kind but `CACHED` are left as they are.
   */
  onHint(hint: Hint): void {
    const key = {high: hint.keyHigh, low: hint.keyLow};
    const slot = this.flows.findSlot(key);
    if (slot >= 0 && this.flows.kindAt(slot) !== EntryKind.CACHED) {
      return;
    }
    if (hint.server === '') {
      this.flows.delete(key);
      return;
    }
    this.flows.set(key, {
      kind: EntryKind.CACHED,
      server: this.directory.numberOf(hint.server),
      address: hint.address,
      port: hint.port,
      deadline: this.nowSeconds() + CACHED_TTL_SECONDS,
    });
  }

  /** Returns and clears the entries changed since the last call. */
  takeUpdates(): EntryUpdate[] {
    const updates = this.updates;
    this.updates = [];
    return updates;
  }

  /** Applies entries from another holder; returns the number applied. */
  applyExceptions(exceptions: readonly FlowException[]): number {
    return exceptions.filter(exception => this.applyException(exception))
      .length;
  }

  /** Returns the held entries of the partitions; with `cached`, cached ones too. */
  listExceptions(
    partitions: ReadonlySet<number>,
    cached = false,
  ): FlowException[] {
    const selected: FlowException[] = [];
    this.flows.forEach((key, entry) => {
      const isIncluded =
        entry.kind === EntryKind.HELD ||
        (cached && entry.kind === EntryKind.CACHED);
      if (isIncluded && partitions.has(partitionOf(key))) {
        selected.push(this.exceptionOf(key, entry, false));
      }
    });
    return selected;
  }

  /** Removes expired entries and updates gauges; called once per second. */
  sweep(): void {
    this.flows.sweep(this.nowSeconds(), this.flows.slotsPerSweep);
    this.options.counters.set(
      Metric.FLOWS_HELD,
      this.flows.sizeOf(EntryKind.HELD),
    );
    this.options.counters.set(
      Metric.FLOWS_CACHED,
      this.flows.sizeOf(EntryKind.CACHED),
    );
  }

  /**
   * Whether the packet is an open that may have waited while this daemon was
   * suspended. The flow may have been placed since by newer tables, so the open
   * is dropped; the client sends it again.
   */
  private mayBeStaleOpen(packet: PacketHeader): boolean {
    return (
      packet.kind === PacketKind.OPEN &&
      !this.view.isResponsive(this.options.self)
    );
  }

  private isTracked(table: AddressTable, key: FlowKey): boolean {
    return this.options.scope === StateScope.ALL || table.isTracked(key);
  }

  private forwardToBase(
    table: AddressTable,
    key: FlowKey,
    packet: PacketHeader,
  ): Decision {
    const server = table.baseServer(key);
    if (server === NO_SERVER) {
      return {kind: DecisionKind.DROP, reason: DropReason.NO_SERVER};
    }
    this.countFlow(server, packet.kind);
    return {kind: DecisionKind.FORWARD, server: this.directory.idOf(server)};
  }

  /** Decides by this daemon's entry of the flow; undefined without a usable one. */
  private forwardByEntry(
    table: AddressTable,
    key: FlowKey,
    packet: PacketHeader,
    arrival: Arrival,
  ): Forward | undefined {
    const slot = this.flows.findSlot(key);
    if (slot < 0) {
      return undefined;
    }
    const isUsable =
      packet.kind === PacketKind.DATA ||
      (packet.kind === PacketKind.OPEN && this.isRepeatedOpen(key, slot));
    if (!isUsable) {
      return undefined;
    }
    this.extendDeadline(slot, key, table.routed.idleLimitSeconds);
    return this.forward(key, this.flows.serverAt(slot), arrival);
  }

  /** Whether the entry shows that an open of this flow was placed before. */
  private isRepeatedOpen(key: FlowKey, slot: number): boolean {
    const kind = this.flows.kindAt(slot);
    const holders = this.view.ownership.holdersOf(partitionOf(key));
    return (
      kind === EntryKind.RECENT ||
      (kind === EntryKind.HELD && holders.includes(this.options.self))
    );
  }

  /**
   * Extends the deadline of a held entry, here and at the other holders, once
   * half of its idle limit has passed.
   */
  private extendDeadline(
    slot: number,
    key: FlowKey,
    idleLimitSeconds: number,
  ): void {
    const now = this.nowSeconds();
    const isFresh = this.flows.deadlineAt(slot) - now > idleLimitSeconds / 2;
    if (isFresh || this.flows.kindAt(slot) !== EntryKind.HELD) {
      return;
    }
    this.flows.setDeadline(slot, now + idleLimitSeconds);
    this.queueUpdate(key, false);
  }

  /** Returns a pass to the daemon that decides; undefined if this one does. */
  private passToDecider(
    key: FlowKey,
    owner: string,
    arrival: Arrival,
  ): Decision | undefined {
    if (arrival.hops + 1 >= MAXIMUM_HOPS) {
      return undefined;
    }
    if (arrival.decide) {
      return this.passToNext(key, arrival.chain);
    }
    const partition = partitionOf(key);
    if (owner === this.options.self && this.view.isResponsive(owner)) {
      const formerHolders = this.formerHolders.list(partition);
      // The owner ends the chain and decides when no former holder has an entry.
      return this.passToNext(
        key,
        formerHolders.length === 0 ? [] : [...formerHolders, owner],
      );
    }
    const receiver = this.selectDecider(partition, owner, arrival.hops);
    return receiver === undefined || receiver === this.options.self
      ? undefined
      : {kind: DecisionKind.PASS, member: receiver, decide: false, chain: []};
  }

  /**
   * Returns the member to pass the packet to. The backup decides only after
   * another member could not reach the owner either: a network fault between the
   * two alone must not make both decide. A daemon without a responsive peer may
   * have been isolated or suspended, so it leaves the decision to others.
   */
  private selectDecider(
    partition: number,
    owner: string,
    hops: number,
  ): string | undefined {
    const {self} = this.options;
    const {isResponsive, relays} = this.view;
    const backup = this.view.ownership.backupOf(partition);
    if (!isResponsive(self)) {
      return owner === self ? backup : owner;
    }
    if (isResponsive(owner)) {
      return owner;
    }
    const relay = relays.find(id => id !== owner && isResponsive(id));
    return backup === self && hops < HOPS_BEFORE_BACKUP ? relay : backup;
  }

  /**
   * Returns a pass to the first responsive member of the chain; undefined if
   * that is this daemon, none is left, or this daemon has the flow's placement.
   */
  private passToNext(
    key: FlowKey,
    chain: readonly string[],
  ): Decision | undefined {
    const [member, ...rest] = chain.filter(id => this.view.isResponsive(id));
    const isOwn = member === undefined || member === this.options.self;
    return isOwn || this.hasLocalPlacement(key)
      ? undefined
      : {kind: DecisionKind.PASS, member, decide: true, chain: rest};
  }

  /** Whether this daemon has a `HELD` or `RECENT` entry of the flow. */
  private hasLocalPlacement(key: FlowKey): boolean {
    const slot = this.flows.findSlot(key);
    const kind = slot < 0 ? EntryKind.EMPTY : this.flows.kindAt(slot);
    return kind === EntryKind.HELD || kind === EntryKind.RECENT;
  }

  /** Decides by this daemon's own entries, and places the flow if it is new. */
  private decide(
    table: AddressTable,
    key: FlowKey,
    packet: PacketHeader,
    arrival: Arrival,
  ): Decision {
    if (!this.isTracked(table, key)) {
      // Peers send packets of untracked keys to the base server without asking,
      // so an exception would never be looked up.
      return packet.kind === PacketKind.OPEN
        ? this.openAt(table, key, table.baseServer(key), arrival)
        : this.forwardToBase(table, key, packet);
    }
    const slot = this.flows.findSlot(key);
    const kind = slot < 0 ? EntryKind.EMPTY : this.flows.kindAt(slot);
    const isPlaced =
      kind === EntryKind.HELD ||
      kind === EntryKind.RECENT ||
      (kind === EntryKind.CLOSED && packet.kind !== PacketKind.OPEN);
    if (packet.kind === PacketKind.OPEN && !isPlaced) {
      return this.open(table, key, arrival);
    }
    const server = isPlaced ? this.flows.serverAt(slot) : table.baseServer(key);
    if (server === NO_SERVER) {
      return {kind: DecisionKind.DROP, reason: DropReason.NO_SERVER};
    }
    if (packet.kind === PacketKind.CLOSE && kind !== EntryKind.CLOSED) {
      this.close(table, key, server, kind === EntryKind.HELD);
    }
    return this.forward(key, server, arrival);
  }

  /** Places a new flow of a tracked key. */
  private open(table: AddressTable, key: FlowKey, arrival: Arrival): Decision {
    const {address, port} = table.routed;
    const active = this.tables.activeTable(address, port);
    if (active === undefined || active.generations.length === 0) {
      return {kind: DecisionKind.DROP, reason: DropReason.ADDRESS_NOT_ACTIVE};
    }
    if (!this.isTracked(active, key)) {
      // A peer that has staged no newer revision sends packets of this key to
      // the base server without asking the owner.
      return this.openAt(table, key, active.baseServer(key), arrival);
    }
    return this.openByLoad(table, active, key, arrival);
  }

  /** Places a new flow at one of the eligible servers by their load. */
  private openByLoad(
    table: AddressTable,
    active: AddressTable,
    key: FlowKey,
    arrival: Arrival,
  ): Decision {
    if (active.newest.serverNumbers.length === 0) {
      return {kind: DecisionKind.DROP, reason: DropReason.ADDRESS_NOT_ACTIVE};
    }
    const candidates = selectCandidates(active.eligible, active.routed, {
      flowCounts: this.flowCounts,
      memberCount: this.view.memberCount,
      wallMs: this.options.clock.wall(),
    });
    if (candidates.length === 0) {
      return {kind: DecisionKind.DROP, reason: DropReason.NO_SERVER};
    }
    const preferred = lookUpServer(active.newest, key);
    const chosen = this.placement.choose(candidates, preferred);
    return this.openAt(table, key, chosen, arrival);
  }

  /** Opens a flow at a server, or without an entry when the flow table is full. */
  private openAt(
    table: AddressTable,
    key: FlowKey,
    server: number,
    arrival: Arrival,
  ): Decision {
    if (server === NO_SERVER) {
      return {kind: DecisionKind.DROP, reason: DropReason.NO_SERVER};
    }
    return this.recordPlacement(table, key, server)
      ? this.forwardOpen(key, server, arrival)
      : this.openWithoutEntry(table, key, arrival);
  }

  private forwardOpen(
    key: FlowKey,
    server: number,
    arrival: Arrival,
  ): Decision {
    this.countFlow(server, PacketKind.OPEN);
    return this.forward(key, server, arrival);
  }

  /** Opens a flow at its base server when the flow table is full, or drops it. */
  private openWithoutEntry(
    table: AddressTable,
    key: FlowKey,
    arrival: Arrival,
  ): Decision {
    this.options.counters.add(Metric.FLOWS_TABLE_FULL);
    const base = table.baseServer(key);
    const isUsable =
      base !== NO_SERVER &&
      table.isSameInAllGenerations(key) &&
      this.tables.isEligible(this.directory.idOf(base));
    return isUsable
      ? this.forwardOpen(key, base, arrival)
      : {kind: DecisionKind.DROP, reason: DropReason.FLOW_TABLE_FULL};
  }

  /**
   * Stores where a flow was placed. Returns false when it needs an exception
   * and the flow table is full.
   */
  private recordPlacement(
    table: AddressTable,
    key: FlowKey,
    server: number,
  ): boolean {
    const needsNoException =
      this.options.scope !== StateScope.ALL &&
      server === table.baseServer(key) &&
      table.isSameInAllGenerations(key);
    const {address, port, idleLimitSeconds} = table.routed;
    const isStored = this.flows.set(key, {
      kind: needsNoException ? EntryKind.RECENT : EntryKind.HELD,
      server,
      address,
      port,
      deadline:
        this.nowSeconds() +
        (needsNoException ? RECENT_TTL_SECONDS : idleLimitSeconds),
    });
    if (isStored && !needsNoException) {
      this.options.counters.add(Metric.FLOWS_PLACED_EXCEPTION);
      this.queueUpdate(key, false);
    }
    return isStored || needsNoException;
  }

  private close(
    table: AddressTable,
    key: FlowKey,
    server: number,
    wasHeld: boolean,
  ): void {
    this.countFlow(server, PacketKind.CLOSE);
    const {address, port} = table.routed;
    const deadline = this.nowSeconds() + CLOSED_TTL_SECONDS;
    const kind = EntryKind.CLOSED;
    this.flows.set(key, {kind, server, address, port, deadline});
    if (wasHeld) {
      this.queueUpdate(key, true);
    }
  }

  private forward(key: FlowKey, server: number, arrival: Arrival): Forward {
    return {
      kind: DecisionKind.FORWARD,
      server: this.directory.idOf(server),
      hintKey: arrival.hops > 0 ? key : undefined,
    };
  }

  private countFlow(server: number, kind: PacketKind): void {
    if (kind === PacketKind.OPEN) {
      this.flowCounts.count(this.directory.idOf(server), 1);
    }
    if (kind === PacketKind.CLOSE) {
      this.flowCounts.count(this.directory.idOf(server), -1);
    }
  }

  /** Queues the flow's entry for replication to the other holders. */
  private queueUpdate(key: FlowKey, closed: boolean): void {
    const entry = this.flows.get(key);
    if (entry !== undefined) {
      this.updates.push({
        partition: partitionOf(key),
        exception: this.exceptionOf(key, entry, closed),
      });
    }
  }

  private exceptionOf(
    key: FlowKey,
    entry: {server: number; address: number; port: number; deadline: number},
    closed: boolean,
  ): FlowException {
    return {
      keyHigh: key.high,
      keyLow: key.low,
      address: entry.address,
      port: entry.port,
      server: this.directory.idOf(entry.server),
      closed,
      secondsLeft: Math.max(0, entry.deadline - this.nowSeconds()),
    };
  }

  private applyException(exception: FlowException): boolean {
    const key = {high: exception.keyHigh, low: exception.keyLow};
    const slot = this.flows.findSlot(key);
    const isHeld = slot >= 0 && this.flows.kindAt(slot) === EntryKind.HELD;
    const owner = this.view.ownership.ownerOf(partitionOf(key));
    if (isHeld && owner === this.options.self && !exception.closed) {
      // The owner's placement stands; the other holder may have seen later packets.
      const deadline = this.nowSeconds() + exception.secondsLeft;
      this.flows.setDeadline(
        slot,
        Math.max(deadline, this.flows.deadlineAt(slot)),
      );
      return true;
    }
    const lifetime = exception.closed
      ? CLOSED_TTL_SECONDS
      : exception.secondsLeft;
    return this.flows.set(key, {
      kind: exception.closed ? EntryKind.CLOSED : EntryKind.HELD,
      server: this.directory.numberOf(exception.server),
      address: exception.address,
      port: exception.port,
      deadline: this.nowSeconds() + lifetime,
    });
  }

  private nowSeconds(): number {
    return Math.floor(this.options.clock.now() / 1_000);
  }
}
