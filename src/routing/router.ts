/** The router that keeps flows at their servers through change. */
import {PacketKind, type Hint, type PacketHeader} from '../generated/packet.js';
import type {FlowException} from '../generated/peer.js';
import type {Clock} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Hasher} from '../ports/hasher.js';
import type {AddressTable} from './address-table.js';
import {candidatesOf} from './candidates.js';
import {
  DecisionKind,
  DropReason,
  type Arrival,
  type Decision,
  type Forward,
} from './decision.js';
import {FlowKeys, partitionOf, type FlowKey} from './flow-key.js';
import {EntryKind, FlowTable} from './flow-table.js';
import {NO_SERVER, TableBuilder, serverIn} from './generation-table.js';
import {OpenFlowCounts} from './open-flow-counts.js';
import {Ownership} from './ownership.js';
import {LeastLoadedPlacement, type Placement} from './placement.js';
import {FormerHolders} from './former-holders.js';
import {RevisionTables} from './revision-tables.js';
import type {RoutingRevision} from './routed-address.js';
import {ServerDirectory} from './server-directory.js';
import type {ServerMarks} from './server-marks.js';

/** Daemons that may handle one packet, the one from the fabric included. */
export const MAXIMUM_HOPS = 6;

/** Hops after which a backup takes its owner to be unreachable for all. */
const HOPS_BEFORE_BACKUP = 2;

/** Seconds that a peer's answer is used before the owner is asked again. */
const CACHE_SECONDS = 30;
/** Seconds that a closed flow's server is kept for late packets. */
const CLOSED_SECONDS = 5;
/** Seconds in which a repeated open goes to the first one's server. */
const REPEATED_OPEN_SECONDS = 10;

/** Which flows get an entry. */
export const StateScope = {
  /** Flows that are not at their base server. */
  EXCEPTIONS: 'exceptions',
  /** All flows; kept to be measured against. */
  ALL: 'all',
} as const;
/** One of the scopes in `StateScope`. */
export type StateScope = (typeof StateScope)[keyof typeof StateScope];

/** What the router needs to know of the members. */
export interface RouterView {
  readonly ownership: Ownership;
  /** Members that open flows. */
  readonly members: number;
  /** Whether this daemon surely knows all that the member places flows by. */
  isCurrent(member: string): boolean;
  /**
   * Whether the member answered of late; for the daemon itself, whether any
   * peer did.
   */
  isResponsive(member: string): boolean;
  /** Other members, which may reach a member that this one does not. */
  readonly relays: readonly string[];
}

/** What a router is made from. */
export interface RouterOptions {
  readonly self: string;
  /** Unique to this run of the daemon. */
  readonly run: string;
  readonly hasher: Hasher;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Most entries of flow state. */
  readonly maximumEntries: number;
  readonly placement?: Placement;
  readonly scope?: StateScope;
}

/** An entry that is to reach the other holders of its partition. */
export interface EntryUpdate {
  readonly partition: number;
  readonly exception: FlowException;
}

/** Routes packets; one instance a daemon. */
export class Router {
  readonly flows: FlowTable;
  readonly flowCounts: OpenFlowCounts;
  readonly directory = ServerDirectory.create();
  private readonly keys: FlowKeys;
  private readonly tables: RevisionTables;
  private readonly placement: Placement;
  /** Earlier holders of partitions that this daemon took over. */
  readonly formerHolders: FormerHolders;
  private updates: EntryUpdate[] = [];
  private view: RouterView;

  private constructor(private readonly options: RouterOptions) {
    this.flows = FlowTable.create(options.maximumEntries);
    this.flowCounts = OpenFlowCounts.create(options.run, options.hasher);
    this.formerHolders = FormerHolders.create(options.clock);
    this.keys = FlowKeys.create(options.hasher);
    const builder = TableBuilder.create(options.hasher, this.directory);
    this.tables = RevisionTables.create(builder, options.clock);
    this.placement = options.placement ?? LeastLoadedPlacement.create();
    const alone = [{id: options.self, failureDomain: ''}];
    this.view = {
      ownership: Ownership.create(alone, options.hasher),
      members: 1,
      isCurrent: () => true,
      isResponsive: () => true,
      relays: [],
    };
  }

  /** Creates a router that knows no address and no other member. */
  static create(options: RouterOptions): Router {
    return new Router(options);
  }

  /** Bytes of lookup tables. */
  get tableBytes(): number {
    return this.tables.bytes;
  }

  /** Revision by which flows are opened. */
  get active(): number {
    return this.tables.active;
  }

  /** Newest revision known. */
  get staged(): number {
    return this.tables.staged;
  }

  /**
   * Takes a revision and marks into account for flows opened elsewhere. Flows
   * are still opened by what is active.
   */
  stage(revision: RoutingRevision, marks: ServerMarks): void {
    this.tables.stage(revision, marks);
  }

  /** Opens flows by a revision and marks that every peer has staged. */
  activate(revision: number, marks: ServerMarks): void {
    this.tables.activate(revision, marks);
  }

  /** Rebuilds the tables, so that generations past their lifetime go. */
  rebuild(): void {
    this.tables.rebuild();
  }

  /** Takes a new view of the members. */
  useView(view: RouterView): void {
    this.view = view;
  }

  /** Decides what is done with a packet. */
  route(packet: PacketHeader, arrival: Arrival): Decision {
    const table = this.tables.stagedTable(
      packet.destinationAddress,
      packet.destinationPort,
    );
    if (table === undefined) {
      return {kind: DecisionKind.DROP, reason: DropReason.UNKNOWN_ADDRESS};
    }
    const key = this.keys.of(packet);
    const owner =
      this.view.ownership.ownerOf(partitionOf(key)) ?? this.options.self;
    if (!this.isTracked(table, key) && this.view.isCurrent(owner)) {
      return this.forwardToBase(table, key, packet);
    }
    if (this.mayHaveWaited(packet)) {
      return {kind: DecisionKind.DROP, reason: DropReason.OUT_OF_TOUCH};
    }
    return (
      this.forwardKnown(table, key, packet, arrival) ??
      this.passOn(key, owner, arrival) ??
      this.decide(table, key, packet, arrival)
    );
  }

  /** Remembers a peer's answer. */
  onHint(hint: Hint): void {
    const key = {high: hint.keyHigh, low: hint.keyLow};
    const place = this.flows.find(key);
    if (place >= 0 && this.flows.kindAt(place) !== EntryKind.CACHED) {
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
      deadline: this.seconds() + CACHE_SECONDS,
    });
  }

  /** Entries changed since the last call, for the other holders. */
  takeUpdates(): EntryUpdate[] {
    const updates = this.updates;
    this.updates = [];
    return updates;
  }

  /** Takes entries from another holder; returns how many were taken. */
  applyExceptions(exceptions: readonly FlowException[]): number {
    return exceptions.filter(exception => this.applyException(exception))
      .length;
  }

  /** Entries of the partitions; with `cached`, answers of peers as well. */
  exceptionsOf(
    partitions: ReadonlySet<number>,
    cached = false,
  ): FlowException[] {
    const found: FlowException[] = [];
    this.flows.forEach((key, entry) => {
      const wanted =
        entry.kind === EntryKind.HELD ||
        (cached && entry.kind === EntryKind.CACHED);
      if (wanted && partitions.has(partitionOf(key))) {
        found.push(this.exceptionOf(key, entry, false));
      }
    });
    return found;
  }

  /** Removes expired entries; called every second. */
  sweep(): void {
    this.flows.sweep(this.seconds(), this.flows.capacityToSweep);
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
   * An open that waited while this daemon was paused may repeat one that was
   * placed long ago by other tables. Its caller sends it again.
   */
  private mayHaveWaited(packet: PacketHeader): boolean {
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
    this.count(server, packet.kind);
    return {kind: DecisionKind.FORWARD, server: this.directory.idOf(server)};
  }

  /** Forwards a packet of a flow that this daemon has an entry for. */
  private forwardKnown(
    table: AddressTable,
    key: FlowKey,
    packet: PacketHeader,
    arrival: Arrival,
  ): Forward | undefined {
    const place = this.flows.find(key);
    if (place < 0) {
      return undefined;
    }
    const usable =
      packet.kind === PacketKind.DATA ||
      (packet.kind === PacketKind.OPEN && this.isRepeatedOpen(key, place));
    if (!usable) {
      return undefined;
    }
    this.refresh(place, key, table.routed.idleLimitSeconds);
    return this.forward(key, this.flows.serverAt(place), arrival);
  }

  /** Whether an open is one that a holder of the partition has placed. */
  private isRepeatedOpen(key: FlowKey, place: number): boolean {
    const kind = this.flows.kindAt(place);
    const holders = this.view.ownership.holdersOf(partitionOf(key));
    return (
      kind === EntryKind.RECENT ||
      (kind === EntryKind.HELD && holders.includes(this.options.self))
    );
  }

  /**
   * Moves the deadline of an entry that is past half its idle limit, here and
   * at the other holders.
   */
  private refresh(place: number, key: FlowKey, idleLimit: number): void {
    const now = this.seconds();
    const fresh = this.flows.deadlineAt(place) - now > idleLimit / 2;
    if (fresh || this.flows.kindAt(place) !== EntryKind.HELD) {
      return;
    }
    this.flows.touch(place, now + idleLimit);
    this.publish(key, false);
  }

  /** Passes the packet to the daemon that knows, unless this one decides. */
  private passOn(
    key: FlowKey,
    owner: string,
    arrival: Arrival,
  ): Decision | undefined {
    if (arrival.hops + 1 >= MAXIMUM_HOPS) {
      return undefined;
    }
    if (arrival.decide) {
      return this.passAlong(key, arrival.chain);
    }
    const partition = partitionOf(key);
    if (owner === this.options.self && this.view.isResponsive(owner)) {
      const earlier = this.formerHolders.of(partition);
      // The question comes back: what nobody knows is decided here.
      return this.passAlong(
        key,
        earlier.length === 0 ? [] : [...earlier, owner],
      );
    }
    const receiver = this.deciderOf(partition, owner, arrival.hops);
    return receiver === undefined || receiver === this.options.self
      ? undefined
      : {kind: DecisionKind.PASS, member: receiver, decide: false, chain: []};
  }

  /**
   * Whom to ask for the owner's answer. The backup decides for an owner that
   * neither it nor another member reaches; a cut between the two alone must
   * not have both decide. A daemon that nobody answers was cut off or paused;
   * what it knows may be old.
   */
  private deciderOf(
    partition: number,
    owner: string,
    hops: number,
  ): string | undefined {
    const {self} = this.options;
    const {isResponsive: isInTouch, relays} = this.view;
    const backup = this.view.ownership.backupOf(partition);
    if (!isInTouch(self)) {
      return owner === self ? backup : owner;
    }
    if (isInTouch(owner)) {
      return owner;
    }
    const relay = relays.find(id => id !== owner && isInTouch(id));
    return backup === self && hops < HOPS_BEFORE_BACKUP ? relay : backup;
  }

  /** Asks the next of several members, unless this daemon has the answer. */
  private passAlong(
    key: FlowKey,
    chain: readonly string[],
  ): Decision | undefined {
    const [member, ...rest] = chain.filter(id => this.view.isResponsive(id));
    const isOwn = member === undefined || member === this.options.self;
    return isOwn || this.isPlacedHere(key)
      ? undefined
      : {kind: DecisionKind.PASS, member, decide: true, chain: rest};
  }

  /** Whether this daemon's own entry says where the flow is. */
  private isPlacedHere(key: FlowKey): boolean {
    const place = this.flows.find(key);
    const kind = place < 0 ? EntryKind.EMPTY : this.flows.kindAt(place);
    return kind === EntryKind.HELD || kind === EntryKind.RECENT;
  }

  /** Decides by this daemon's own entries. */
  private decide(
    table: AddressTable,
    key: FlowKey,
    packet: PacketHeader,
    arrival: Arrival,
  ): Decision {
    if (!this.isTracked(table, key)) {
      // An exception would be found by nobody: the others ask no one for it.
      return packet.kind === PacketKind.OPEN
        ? this.openAt(table, key, table.baseServer(key), arrival)
        : this.forwardToBase(table, key, packet);
    }
    const place = this.flows.find(key);
    const kind = place < 0 ? EntryKind.EMPTY : this.flows.kindAt(place);
    const known =
      kind === EntryKind.HELD ||
      kind === EntryKind.RECENT ||
      (kind === EntryKind.CLOSED && packet.kind !== PacketKind.OPEN);
    if (packet.kind === PacketKind.OPEN && !known) {
      return this.open(table, key, arrival);
    }
    const server = known ? this.flows.serverAt(place) : table.baseServer(key);
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
      return {kind: DecisionKind.DROP, reason: DropReason.ADDRESS_NOT_IN_FORCE};
    }
    if (!this.isTracked(active, key)) {
      // A peer may not know yet that the key is tracked and ask nobody.
      return this.openAt(table, key, active.baseServer(key), arrival);
    }
    return this.openByLoad(table, active, key, arrival);
  }

  private openByLoad(
    table: AddressTable,
    active: AddressTable,
    key: FlowKey,
    arrival: Arrival,
  ): Decision {
    if (active.newest.numbers.length === 0) {
      return {kind: DecisionKind.DROP, reason: DropReason.ADDRESS_NOT_IN_FORCE};
    }
    const candidates = candidatesOf(active.eligible, active.routed, {
      flowCounts: this.flowCounts,
      members: this.view.members,
      wallMs: this.options.clock.wall(),
    });
    if (candidates.length === 0) {
      return {kind: DecisionKind.DROP, reason: DropReason.NO_SERVER};
    }
    const preferred = serverIn(active.newest, key);
    const chosen = this.placement.choose(candidates, preferred);
    return this.openAt(table, key, chosen, arrival);
  }

  private openAt(
    table: AddressTable,
    key: FlowKey,
    server: number,
    arrival: Arrival,
  ): Decision {
    if (server === NO_SERVER) {
      return {kind: DecisionKind.DROP, reason: DropReason.NO_SERVER};
    }
    return this.remember(table, key, server)
      ? this.forwardOpen(key, server, arrival)
      : this.openWithoutEntry(table, key, arrival);
  }

  private forwardOpen(
    key: FlowKey,
    server: number,
    arrival: Arrival,
  ): Decision {
    this.count(server, PacketKind.OPEN);
    return this.forward(key, server, arrival);
  }

  /** At the bound of the flow table new flows follow the base table. */
  private openWithoutEntry(
    table: AddressTable,
    key: FlowKey,
    arrival: Arrival,
  ): Decision {
    this.options.counters.add(Metric.FLOWS_TABLE_FULL);
    const base = table.baseServer(key);
    const usable =
      base !== NO_SERVER &&
      table.isUnchanged(key) &&
      this.tables.isEligible(this.directory.idOf(base));
    return usable
      ? this.forwardOpen(key, base, arrival)
      : {kind: DecisionKind.DROP, reason: DropReason.FLOW_TABLE_FULL};
  }

  /** Keeps where a flow was placed; false when the table is full. */
  private remember(table: AddressTable, key: FlowKey, server: number): boolean {
    const needsNone =
      this.options.scope !== StateScope.ALL &&
      server === table.baseServer(key) &&
      table.isUnchanged(key);
    const {address, port, idleLimitSeconds} = table.routed;
    const kept = this.flows.set(key, {
      kind: needsNone ? EntryKind.RECENT : EntryKind.HELD,
      server,
      address,
      port,
      deadline:
        this.seconds() + (needsNone ? REPEATED_OPEN_SECONDS : idleLimitSeconds),
    });
    if (kept && !needsNone) {
      this.options.counters.add(Metric.FLOWS_PLACED_EXCEPTION);
      this.publish(key, false);
    }
    return kept || needsNone;
  }

  private close(
    table: AddressTable,
    key: FlowKey,
    server: number,
    held: boolean,
  ): void {
    this.count(server, PacketKind.CLOSE);
    const {address, port} = table.routed;
    const deadline = this.seconds() + CLOSED_SECONDS;
    const kind = EntryKind.CLOSED;
    this.flows.set(key, {kind, server, address, port, deadline});
    if (held) {
      this.publish(key, true);
    }
  }

  private forward(key: FlowKey, server: number, arrival: Arrival): Forward {
    return {
      kind: DecisionKind.FORWARD,
      server: this.directory.idOf(server),
      remember: arrival.hops > 0 ? key : undefined,
    };
  }

  private count(server: number, kind: PacketKind): void {
    if (kind === PacketKind.OPEN) {
      this.flowCounts.count(this.directory.idOf(server), 1);
    }
    if (kind === PacketKind.CLOSE) {
      this.flowCounts.count(this.directory.idOf(server), -1);
    }
  }

  private publish(key: FlowKey, closed: boolean): void {
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
      secondsLeft: Math.max(0, entry.deadline - this.seconds()),
    };
  }

  private applyException(exception: FlowException): boolean {
    const key = {high: exception.keyHigh, low: exception.keyLow};
    const place = this.flows.find(key);
    const held = place >= 0 && this.flows.kindAt(place) === EntryKind.HELD;
    const owner = this.view.ownership.ownerOf(partitionOf(key));
    if (held && owner === this.options.self && !exception.closed) {
      // What the owner holds stands; the other holder may know of later use.
      const deadline = this.seconds() + exception.secondsLeft;
      this.flows.touch(place, Math.max(deadline, this.flows.deadlineAt(place)));
      return true;
    }
    const lifetime = exception.closed ? CLOSED_SECONDS : exception.secondsLeft;
    return this.flows.set(key, {
      kind: exception.closed ? EntryKind.CLOSED : EntryKind.HELD,
      server: this.directory.numberOf(exception.server),
      address: exception.address,
      port: exception.port,
      deadline: this.seconds() + lifetime,
    });
  }

  private seconds(): number {
    return Math.floor(this.options.clock.now() / 1_000);
  }
}
