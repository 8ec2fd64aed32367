/**
 * One daemon's part in keeping flows: it joins routing, membership, the log of
 * changes and the moves of state, and knows the outside through ports alone.
 */
import type {Hint, PassedPacket} from '../generated/packet.js';
import {PacketHeader} from '../generated/packet.js';
import type {
  Change,
  FlowException,
  MemberList as MemberListMessage,
} from '../generated/peer.js';
import {ChangeLog} from '../membership/change-log.js';
import {FailureDetector} from '../membership/failure-detector.js';
import {Knowledge, type RevisionReader} from '../membership/knowledge.js';
import {MemberList} from '../membership/member-list.js';
import {
  MEMBER_STATE_NAMES,
  MemberState,
  handlesPackets,
  memberOf,
  ownsPartitions,
  type Member,
} from '../membership/member.js';
import {PREDECESSOR_MS} from '../membership/timing.js';
import type {BackendServers} from '../ports/backend-servers.js';
import type {Clock, Timer} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {FabricPacket} from '../ports/fabric.js';
import type {Hasher} from '../ports/hasher.js';
import type {PeerHandlers, Peers} from '../ports/peers.js';
import {EventKind, type Timeline} from '../ports/timeline.js';
import {
  DecisionKind,
  DropReason,
  FROM_FABRIC,
  type Arrival,
  type Decision,
  type Drop,
  type Forward,
  type Pass,
} from '../routing/decision.js';
import {partitionOf, type FlowKey} from '../routing/flow-key.js';
import {Ownership} from '../routing/ownership.js';
import {
  Router,
  type EntryUpdate,
  type RouterOptions,
  type StateScope,
} from '../routing/router.js';
import {planHandover, type Transfer} from './handover.js';
import {Replicator} from './replicator.js';

const PULL_MS = 3_000;
/** Longest time to wait for the owners' answers, in milliseconds. */
const TOUCH_MS = 2_000;
const SWEEP_INTERVAL_MS = 1_000;
const REBUILD_INTERVAL_MS = 30_000;
const FLUSH_INTERVAL_MS = 50;
/** Entries in one message of a pulled state. */
const PULL_BATCH = 2_000;

/** What a coordinator is made from. */
export interface FlowCoordinatorOptions {
  readonly self: Member;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly counters: Counters;
  readonly timeline: Timeline;
  readonly peers: Peers;
  readonly backends: BackendServers;
  /** Reads the document of a revision. */
  readonly read: RevisionReader;
  readonly maximumEntries: number;
  readonly scope?: StateScope;
  readonly placement?: RouterOptions['placement'];
}

/** An entry made here and the monotonic time until which it may be sent again. */
interface RecentUpdate {
  readonly update: EntryUpdate;
  readonly deadline: number;
}

/** The part of the peers' handlers that is about flows and members. */
export type FlowHandlers = Omit<
  PeerHandlers,
  'onForward' | 'onKeepKeys' | 'onPullKeys'
>;

/** Keeps flows at their servers, together with the peers. */
export class FlowCoordinator {
  readonly members: MemberList;
  readonly router: Router;
  readonly log: ChangeLog;
  readonly knowledge: Knowledge;
  readonly detector: FailureDetector;
  readonly replicator: Replicator;
  private ownership: Ownership;
  private readonly pulling = new Set<string>();
  private readonly cleanups: (() => void)[] = [];
  private rejoining = false;
  /** Entries made here of late, in the order of their deadlines. */
  private recent: RecentUpdate[] = [];

  private constructor(private readonly options: FlowCoordinatorOptions) {
    const {self, clock, hasher, peers} = options;
    this.members = MemberList.create(self);
    this.router = Router.create({
      ...options,
      self: self.id,
      run: `${self.id}/${self.incarnation}`,
    });
    this.log = ChangeLog.create(
      hasher.hashText(`${self.id}/${self.incarnation}`, 0),
      hasher,
    );
    this.knowledge = Knowledge.create(this.log, options.read, {
      onStaged: (revision, marks) => this.router.stage(revision, marks),
      onActive: (revision, marks) => {
        this.router.activate(revision, marks);
        options.timeline.record(EventKind.REVISION_ACTIVE, {revision});
        options.counters.set(Metric.REVISION_ACTIVE, revision);
      },
      onMark: ({server, state, kind}) =>
        options.timeline.record(EventKind.SERVER_MARK, {server, state, kind}),
    });
    this.detector = FailureDetector.create({
      members: this.members,
      log: this.log,
      peers,
      clock,
      hooks: {
        onBehind: (peer, epoch, top) => void this.pullChanges(peer, epoch, top),
        onConfirmed: () => this.activate(),
        onStranger: (id, address) => void this.meet(id, address),
        onDeclaredDead: () => void this.rejoin(),
        onBackInTouch: () => this.askBackups(),
        loadToPublish: () => this.router.ledger.publish(),
        onLoad: load => this.router.ledger.receive(load),
      },
    });
    this.replicator = Replicator.create({
      peers,
      clock,
      addressOf: id => this.addressOf(id),
      relayFor: id => this.relayFor(id),
    });
    this.ownership = Ownership.create([], hasher);
    this.members.onChange((member, before) => this.onMember(member, before));
    this.useOwnership();
  }

  /** Creates a coordinator that has not joined yet. */
  static create(options: FlowCoordinatorOptions): FlowCoordinator {
    return new FlowCoordinator(options);
  }

  /** Owners and backups by this daemon's view. */
  get currentOwnership(): Ownership {
    return this.ownership;
  }

  /** Whether this daemon owns partitions. */
  get isReady(): boolean {
    return ownsPartitions(this.members.self);
  }

  /** What peers may ask of this daemon about flows and members. */
  handlers(): FlowHandlers {
    return {
      onPassed: (sender, passed) => this.onPassed(sender, passed),
      onHint: (_sender, hint) => this.router.onHint(hint),
      onProbe: (sender, probe, address) =>
        this.detector.onProbe(sender, probe, address),
      onExceptions: (sender, exceptions, target) =>
        target === '' || target === this.members.self.id
          ? this.takeExceptions(sender, exceptions)
          : this.handOn(target, exceptions),
      onPullState: (_sender, partitions) =>
        inBatches(this.router.exceptionsOf(new Set(partitions))),
      onPullChanges: (_sender, epoch, after) => this.log.since(epoch, after),
      onPullMembers: () => this.memberMessage(),
    };
  }

  /** Starts probing and the regular tasks. */
  start(): void {
    const {clock} = this.options;
    this.cleanups.push(
      this.detector.start(),
      repeat(clock, SWEEP_INTERVAL_MS, () => this.sweep()),
      repeat(clock, REBUILD_INTERVAL_MS, () => this.router.rebuild()),
      repeat(clock, FLUSH_INTERVAL_MS, () => {
        this.flush();
        this.activate();
      }),
    );
  }

  /**
   * Joins the fleet: learns members and changes from the peers at the given
   * addresses, fetches the state of the partitions to come, then owns them.
   * Waits for a configuration; the owner of the daemon supplies one when no
   * peer has it.
   */
  async join(addresses: readonly string[]): Promise<void> {
    await Promise.all(addresses.map(address => this.learnFrom(address)));
    await this.waitUntil(() => this.knowledge.staged.revision > 0);
    await this.becomeReady();
    this.options.timeline.record(EventKind.READY, {
      revision: this.knowledge.staged.revision,
    });
  }

  /** Takes changes from the store or the platform and tells the peers. */
  learn(changes: readonly Omit<Change, 'index'>[]): void {
    if (this.knowledge.apply(changes)) {
      this.options.timeline.record(EventKind.REVISION_STAGED, {
        revision: this.knowledge.staged.revision,
      });
      this.detector.announce();
      this.activate();
    }
  }

  /** Handles a packet from the fabric. */
  handle(packet: FabricPacket): void {
    const decision = this.router.route(packet.packet, FROM_FABRIC);
    this.carryOut(decision, packet, FROM_FABRIC, this.members.self.id);
  }

  /**
   * Gives the partitions away; resolves when the new holders have confirmed
   * all entries, or at the deadline. Packets are handled until `stop`.
   */
  async leave(deadline: number): Promise<boolean> {
    this.members.moveSelf(MemberState.LEAVING);
    this.detector.announce();
    const {clock} = this.options;
    // Peers ask this daemon for unknown flows until they own them for good.
    await this.pause(Math.min(deadline, clock.now() + PREDECESSOR_MS));
    return this.settle(deadline);
  }

  /** Resolves when peers have confirmed every entry; false at the deadline. */
  settle(deadline: number): Promise<boolean> {
    this.flush();
    return this.replicator.settled(deadline);
  }

  /** Stops all tasks and says goodbye. */
  stop(): void {
    this.members.moveSelf(MemberState.LEFT);
    this.detector.announce();
    this.cleanups.forEach(cleanup => cleanup());
  }

  private activate(): void {
    const now = this.options.clock.now();
    this.knowledge.activateConfirmed(this.detector.peersInContact(), now);
  }

  private sweep(): void {
    const now = this.options.clock.now();
    this.recent = this.recent.filter(({deadline}) => deadline > now);
    this.router.sweep();
  }

  private onPassed(sender: string, passed: PassedPacket): void {
    const packet = decodePassed(passed);
    if (packet === undefined) {
      this.options.counters.add(Metric.PACKETS_MALFORMED);
      return;
    }
    const {hops, decide, chain} = passed;
    const arrival: Arrival = {hops, decide, chain};
    const decision = this.router.route(packet, arrival);
    const bytes = passed.packet;
    this.options.counters.add(Metric.PACKETS_DECIDED_FOR_PEER);
    this.carryOut(decision, {packet, bytes}, arrival, passed.entry);
  }

  private carryOut(
    decision: Decision,
    packet: FabricPacket,
    arrival: Arrival,
    entry: string,
  ): void {
    // This runs for every packet, where pattern matching costs too much.
    if (decision.kind === DecisionKind.FORWARD) {
      this.forward(decision, packet, entry);
    } else if (decision.kind === DecisionKind.PASS) {
      this.pass(decision, packet.bytes, arrival.hops + 1, entry);
    } else {
      this.drop(decision);
    }
  }

  private forward(forward: Forward, packet: FabricPacket, entry: string): void {
    this.options.counters.add(Metric.PACKETS_FORWARDED);
    this.options.backends.send(forward.server, packet.bytes);
    if (forward.remember !== undefined) {
      this.sendHint(forward.server, forward.remember, packet.packet, entry);
    }
  }

  private drop({reason}: Drop): void {
    this.options.counters.add(
      reason === DropReason.UNKNOWN_ADDRESS
        ? Metric.PACKETS_UNKNOWN_ADDRESS
        : Metric.PACKETS_UNROUTABLE,
    );
  }

  private pass(
    pass: Pass,
    bytes: Uint8Array,
    hops: number,
    entry: string,
  ): void {
    this.options.counters.add(Metric.PACKETS_PASSED);
    const address = this.members.get(pass.member)?.address;
    if (address !== undefined) {
      const {decide, chain} = pass;
      const packet = Buffer.from(
        bytes.buffer,
        bytes.byteOffset,
        bytes.byteLength,
      );
      this.options.peers.pass(address, {
        hops,
        decide,
        entry,
        packet,
        chain: [...chain],
      });
    }
  }

  private sendHint(
    server: string,
    key: FlowKey,
    packet: PacketHeader,
    entry: string,
  ): void {
    const address = this.members.get(entry)?.address;
    if (address !== undefined) {
      const hint: Hint = {
        keyHigh: key.high,
        keyLow: key.low,
        server,
        address: packet.destinationAddress,
        port: packet.destinationPort,
      };
      this.options.peers.hint(address, hint);
    }
  }

  private onMember(member: Member, before: Member | undefined): void {
    this.options.timeline.record(EventKind.MEMBER_STATE, {
      member: member.id,
      state: MEMBER_STATE_NAMES[member.state],
      incarnation: member.incarnation,
    });
    if (before === undefined && member.id !== this.members.self.id) {
      this.detector.probeNow(member.id);
    }
    if (member.state >= MemberState.DEAD) {
      this.router.forgetPredecessor(member.id);
    }
    const ownedBefore = before !== undefined && ownsPartitions(before);
    if (ownedBefore !== ownsPartitions(member)) {
      this.changeOwnership();
    }
  }

  /** The backups may have decided while this daemon did not run. */
  private askBackups(): void {
    const self = this.members.self.id;
    const deadline = this.options.clock.now() + PREDECESSOR_MS;
    this.ownership
      .partitionsHeldBy(self)
      .filter(partition => this.ownership.ownerOf(partition) === self)
      .forEach(partition => {
        const backup = this.ownership.backupOf(partition);
        if (backup !== undefined) {
          this.router.usePredecessors(partition, [backup], deadline);
        }
      });
  }

  /**
   * Takes entries. Those of a daemon that does not hold the partition go to
   * the other holder too, which the sender may not reach.
   */
  private takeExceptions(
    sender: string,
    exceptions: readonly FlowException[],
  ): number {
    const self = this.members.self.id;
    exceptions.forEach(exception => {
      const {keyHigh: high, keyLow: low} = exception;
      const holders = this.ownership.holdersOf(partitionOf({high, low}));
      if (holders.includes(self) && !holders.includes(sender)) {
        holders
          .filter(holder => holder !== self)
          .forEach(holder => this.replicator.send(holder, [exception]));
      }
    });
    return this.router.applyExceptions(exceptions);
  }

  /** Moves state after a change of the owners. */
  private changeOwnership(): void {
    const {clock, timeline} = this.options;
    const before = this.ownership;
    this.flush();
    this.useOwnership();
    const plan = planHandover({
      self: this.members.self.id,
      before,
      after: this.ownership,
      withoutSelf: this.ownershipWithoutSelf(),
      runs: id => this.runs(id),
    });
    plan.transfers.forEach(transfer => this.transfer(transfer));
    this.resendRecent(before);
    plan.adoptions.forEach(({partition, predecessors}) =>
      this.router.usePredecessors(
        partition,
        predecessors,
        clock.now() + PREDECESSOR_MS,
      ),
    );
    timeline.record(EventKind.OWNERSHIP_CHANGED, {
      owners: this.members.owners().length,
      transfers: plan.transfers.length,
      adoptions: plan.adoptions.length,
    });
  }

  private useOwnership(): void {
    const owners = this.members.owners();
    this.ownership = Ownership.create(owners, this.options.hasher);
    this.router.useView({
      ownership: this.ownership,
      members: Math.max(1, owners.length),
      isCurrent: id => this.detector.isCurrent(id),
      isInTouch: id => this.detector.isInTouch(id),
      relays: owners
        .map(({id}) => id)
        .filter(id => id !== this.members.self.id),
    });
  }

  private ownershipWithoutSelf(): Ownership {
    const others = this.members
      .owners()
      .filter(({id}) => id !== this.members.self.id);
    return Ownership.create(others, this.options.hasher);
  }

  private transfer(transfer: Transfer): void {
    const entries = this.router.exceptionsOf(
      transfer.partitions,
      transfer.includeCached,
    );
    if (entries.length > 0) {
      this.options.timeline.record(EventKind.STATE_PUSHED, {
        receiver: transfer.receiver,
        entries: entries.length,
      });
      this.replicator.send(transfer.receiver, entries);
    }
  }

  /**
   * Sends entries made here a moment ago to new holders. They may be on their
   * way to holders that have sent off what they had.
   */
  private resendRecent(before: Ownership): void {
    const now = this.options.clock.now();
    this.recent = this.recent.filter(({deadline}) => deadline > now);
    this.recent.forEach(({update: {partition, exception}}) => {
      const known = [...before.holdersOf(partition), this.members.self.id];
      this.ownership
        .holdersOf(partition)
        .filter(holder => !known.includes(holder))
        .forEach(holder => this.replicator.send(holder, [exception]));
    });
  }

  /** Sends changed entries to the other holders of their partitions. */
  private flush(): void {
    const updates = this.router.takeUpdates();
    const deadline = this.options.clock.now() + PREDECESSOR_MS;
    updates.forEach(update => this.recent.push({update, deadline}));
    const byReceiver = new Map<string, FlowException[]>();
    updates.forEach(({partition, exception}) =>
      this.ownership
        .holdersOf(partition)
        .filter(holder => holder !== this.members.self.id)
        .forEach(holder => {
          const entries = byReceiver.get(holder) ?? [];
          entries.push(exception);
          byReceiver.set(holder, entries);
        }),
    );
    byReceiver.forEach((entries, receiver) =>
      this.replicator.send(receiver, entries),
    );
  }

  private runs(id: string): boolean {
    const member = this.members.get(id);
    return member !== undefined && handlesPackets(member);
  }

  private handOn(target: string, exceptions: readonly FlowException[]): number {
    this.replicator.send(target, exceptions);
    return exceptions.length;
  }

  private relayFor(id: string): string | undefined {
    return this.members
      .others()
      .find(
        other =>
          other.id !== id &&
          handlesPackets(other) &&
          this.detector.isInTouch(other.id),
      )?.address;
  }

  private addressOf(id: string): string | undefined {
    return this.runs(id) ? this.members.get(id)?.address : undefined;
  }

  private async pullChanges(
    peer: Member,
    epoch: number,
    top: number,
  ): Promise<void> {
    if (this.pulling.has(peer.id)) {
      return;
    }
    this.pulling.add(peer.id);
    const {clock, peers} = this.options;
    const seen = this.log.seen(peer.id);
    const after = seen.epoch === epoch ? seen.top : 0;
    const pulled = await peers.pullChanges(
      peer.address,
      epoch,
      after,
      clock.now() + PULL_MS,
    );
    this.pulling.delete(peer.id);
    pulled.map(list => {
      this.learn(list.changes);
      this.log.markSeen(peer.id, list.epoch, Math.max(list.top, 0));
      this.detector.probeNow(peer.id);
      return top;
    });
  }

  /** Asks an unknown sender of a probe who it is. */
  private async meet(id: string, address: string): Promise<void> {
    if (this.pulling.has(id)) {
      return;
    }
    this.pulling.add(id);
    await this.learnFrom(address);
    this.pulling.delete(id);
  }

  private async learnFrom(address: string): Promise<void> {
    const {clock, peers} = this.options;
    const learned = await peers.pullMembers(address, clock.now() + PULL_MS);
    learned.map(message => {
      message.members.forEach(update =>
        this.members.mergeMember(memberOf(update)),
      );
      message.loads.forEach(load => this.router.ledger.receive(load));
      return message;
    });
  }

  /** Fetches the entries of the partitions that this daemon is to hold. */
  private async fetchState(): Promise<void> {
    const {clock, hasher, peers, timeline} = this.options;
    const owners = this.members.owners();
    const future = Ownership.create([...owners, this.members.self], hasher);
    const partitions = future.partitionsHeldBy(this.members.self.id);
    const pulls = owners
      .filter(({id}) => id !== this.members.self.id)
      .map(owner =>
        peers.pullState(owner.address, partitions, clock.now() + PULL_MS),
      );
    const results = await Promise.all(pulls);
    results.forEach(result =>
      result.map(entries => {
        timeline.record(EventKind.STATE_PULLED, {entries: entries.length});
        return this.router.applyExceptions(entries);
      }),
    );
  }

  /** Joins again after the others took this daemon for dead. */
  private async rejoin(): Promise<void> {
    if (this.rejoining) {
      return;
    }
    this.rejoining = true;
    await this.becomeReady();
    this.rejoining = false;
  }

  /**
   * Owns partitions from now on. Packets of unknown flows go to the owners
   * before and back, so both sides must be in touch first.
   */
  private async becomeReady(): Promise<void> {
    const deadline = this.options.clock.now() + TOUCH_MS;
    this.detector.announce();
    await this.waitUntil(
      () => this.isInTouchWithOwners() || this.options.clock.now() > deadline,
    );
    await this.fetchState();
    if (this.members.self.state === MemberState.JOINING) {
      this.members.moveSelf(MemberState.READY);
      this.detector.announce();
    }
  }

  private isInTouchWithOwners(): boolean {
    return this.members
      .owners()
      .every(
        ({id}) => id === this.members.self.id || this.detector.isInTouch(id),
      );
  }

  private memberMessage(): MemberListMessage {
    return {
      members: this.members.all().map(member => ({...member})),
      loads: this.router.ledger.vectors(),
    };
  }

  private async waitUntil(holds: () => boolean): Promise<void> {
    while (!holds()) {
      await this.pause(this.options.clock.now() + FLUSH_INTERVAL_MS);
    }
  }

  private pause(deadline: number): Promise<void> {
    return new Promise(resolve => {
      this.options.clock.callAt(deadline, resolve);
    });
  }
}

function decodePassed(passed: PassedPacket): PacketHeader | undefined {
  try {
    return PacketHeader.decode(passed.packet);
  } catch {
    return undefined;
  }
}

function inBatches(entries: readonly FlowException[]): FlowException[][] {
  const count = Math.ceil(entries.length / PULL_BATCH);
  return Array.from({length: count}, (_, index) =>
    entries.slice(index * PULL_BATCH, (index + 1) * PULL_BATCH),
  );
}

/** Calls a task at an interval; the returned function stops it. */
function repeat(
  clock: Clock,
  intervalMs: number,
  task: () => void,
): () => void {
  let timer: Timer;
  const run = () => {
    timer = clock.callAt(clock.now() + intervalMs, run);
    task();
  };
  timer = clock.callAt(clock.now() + intervalMs, run);
  return () => timer.cancel();
}
