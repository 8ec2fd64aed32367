/**
 * Coordinates one daemon's routing, membership, change log and flow entries.
 * All input and output goes through ports.
 */
import type {
  Change,
  FlowException,
  MemberList as MemberListMessage,
} from '../generated/peer.js';
import {ChangeLog} from '../membership/change-log.js';
import {FailureDetector} from '../membership/failure-detector.js';
import {
  ReplicatedState,
  type RevisionParser,
} from '../membership/replicated-state.js';
import {MemberList} from '../membership/member-list.js';
import {
  MEMBER_STATE_NAMES,
  MemberState,
  handlesPackets,
  ownsPartitions,
  type Member,
} from '../membership/member.js';
import {FORMER_HOLDER_QUERY_MS} from '../membership/timing.js';
import type {BackendServers} from '../ports/backend-servers.js';
import type {Clock, Timer} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {FabricPacket} from '../ports/fabric.js';
import type {Hasher} from '../ports/hasher.js';
import type {PeerHandlers, Peers} from '../ports/peers.js';
import {EventKind, type Timeline} from '../ports/timeline.js';
import {Ownership} from '../routing/ownership.js';
import {
  Router,
  type RouterOptions,
  type StateScope,
} from '../routing/router.js';
import {EntryExchange} from './entry-exchange.js';
import {FleetJoiner} from './fleet-joiner.js';
import {planHandover} from './handover.js';
import {PacketPath} from './packet-path.js';
import {Replicator} from './replicator.js';

const SWEEP_INTERVAL_MS = 1_000;
const REBUILD_INTERVAL_MS = 30_000;
const FLUSH_INTERVAL_MS = 50;
/** Maximum entries in one message of a pulled state. */
const PULL_BATCH_ENTRIES = 2_000;

export interface FlowCoordinatorOptions {
  readonly self: Member;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly counters: Counters;
  readonly timeline: Timeline;
  readonly peers: Peers;
  readonly backends: BackendServers;
  /** Parses the document of a revision; undefined when it is invalid. */
  readonly parseRevision: RevisionParser;
  readonly maximumEntries: number;
  readonly scope?: StateScope;
  readonly placement?: RouterOptions['placement'];
}

/** Peer handlers for flows and membership. */
export type FlowHandlers = Omit<
  PeerHandlers,
  'onForward' | 'onKeepKeys' | 'onPullKeys'
>;

/** Keeps flows at their servers, together with the peers. */
export class FlowCoordinator {
  readonly members: MemberList;
  readonly router: Router;
  readonly log: ChangeLog;
  readonly replicatedState: ReplicatedState;
  readonly detector: FailureDetector;
  readonly replicator: Replicator;
  private readonly packetPath: PacketPath;
  private readonly entryExchange: EntryExchange;
  private readonly joiner: FleetJoiner;
  private ownership: Ownership;
  private readonly cleanups: (() => void)[] = [];

  private constructor(private readonly options: FlowCoordinatorOptions) {
    const {self, clock, hasher, peers} = options;
    this.members = MemberList.create(self);
    this.router = Router.create({
      ...options,
      self: self.id,
      runId: `${self.id}/${self.incarnation}`,
    });
    this.log = ChangeLog.create(
      hasher.hashText(`${self.id}/${self.incarnation}`, 0),
      hasher,
    );
    this.replicatedState = ReplicatedState.create(
      this.log,
      options.parseRevision,
      {
        onStaged: (revision, marks) => this.router.stage(revision, marks),
        onActive: (revision, marks) => {
          this.router.activate(revision, marks);
          options.timeline.record(EventKind.REVISION_ACTIVE, {revision});
          options.counters.set(Metric.REVISION_ACTIVE, revision);
        },
        onMark: ({server, state, kind}) =>
          options.timeline.record(EventKind.SERVER_MARK, {server, state, kind}),
      },
    );
    this.detector = FailureDetector.create({
      members: this.members,
      log: this.log,
      peers,
      clock,
      hooks: {
        onUnstagedChanges: (peer, epoch) =>
          void this.joiner.pullChanges(peer, epoch),
        onConfirmed: () => this.activateStaged(),
        onUnknownSender: (id, address) =>
          void this.joiner.identifySender(id, address),
        onDeclaredDead: () => void this.joiner.rejoin(),
        onContactRestored: () => this.queryBackups(),
        loadToPublish: () => this.router.flowCounts.publish(),
        onLoad: load => this.router.flowCounts.receive(load),
      },
    });
    this.replicator = Replicator.create({
      peers,
      clock,
      addressOf: id => this.addressOf(id),
      relayFor: id => this.relayFor(id),
    });
    this.packetPath = PacketPath.create({
      ...options,
      members: this.members,
      router: this.router,
    });
    this.entryExchange = EntryExchange.create({
      ...options,
      self: self.id,
      router: this.router,
      replicator: this.replicator,
      ownership: () => this.ownership,
    });
    this.joiner = FleetJoiner.create({
      ...options,
      members: this.members,
      log: this.log,
      detector: this.detector,
      router: this.router,
      applyChanges: changes => this.applyChanges(changes),
    });
    this.ownership = Ownership.create([], hasher);
    this.members.onChange((member, before) =>
      this.onMemberChange(member, before),
    );
    this.updateOwnership();
  }

  /** Creates a coordinator that has not joined the fleet. */
  static create(options: FlowCoordinatorOptions): FlowCoordinator {
    return new FlowCoordinator(options);
  }

  /** Owners and backups of partitions by this daemon's view. */
  get currentOwnership(): Ownership {
    return this.ownership;
  }

  /** Whether this daemon owns partitions. */
  get isReady(): boolean {
    return ownsPartitions(this.members.self);
  }

  /** Returns the handlers of peer messages and calls. */
  handlers(): FlowHandlers {
    return {
      onPassed: (_sender, passed) => this.packetPath.onPassed(passed),
      onHint: (_sender, hint) => this.router.onHint(hint),
      onProbe: (sender, probe, address) =>
        this.detector.onProbe(sender, probe, address),
      onExceptions: (sender, exceptions, target) =>
        this.entryExchange.receive(sender, exceptions, target),
      onPullState: (_sender, partitions) =>
        inBatches(this.router.listExceptions(new Set(partitions))),
      onPullChanges: (_sender, epoch, after) => this.log.since(epoch, after),
      onPullMembers: () => this.memberMessage(),
    };
  }

  /** Starts the failure detector and the periodic tasks. */
  start(): void {
    const {clock} = this.options;
    this.cleanups.push(
      this.detector.start(),
      runPeriodically(clock, SWEEP_INTERVAL_MS, () => {
        this.entryExchange.sweep();
        this.router.sweep();
      }),
      runPeriodically(clock, REBUILD_INTERVAL_MS, () => this.router.rebuild()),
      runPeriodically(clock, FLUSH_INTERVAL_MS, () => {
        this.entryExchange.flush();
        this.activateStaged();
      }),
    );
  }

  /**
   * Joins the fleet: pulls members and changes from the peers at the given
   * addresses, then the entries of its future partitions, and takes ownership
   * of these. Waits until a revision is staged; if no peer has one, the caller
   * supplies it.
   */
  async join(addresses: readonly string[]): Promise<void> {
    await Promise.all(
      addresses.map(address => this.joiner.pullMembersFrom(address)),
    );
    await this.joiner.waitUntil(() => this.replicatedState.staged.revision > 0);
    await this.joiner.becomeReady();
    this.options.timeline.record(EventKind.READY, {
      revision: this.replicatedState.staged.revision,
    });
  }

  /**
   * Applies changes from the store or the platform and announces them to peers.
   */
  applyChanges(changes: readonly Omit<Change, 'index'>[]): void {
    if (this.replicatedState.apply(changes)) {
      this.options.timeline.record(EventKind.REVISION_STAGED, {
        revision: this.replicatedState.staged.revision,
      });
      this.detector.announce();
      this.activateStaged();
    }
  }

  /** Handles a packet from the fabric. */
  handle(packet: FabricPacket): void {
    this.packetPath.handle(packet);
  }

  /**
   * Hands this daemon's partitions over. Resolves to true when the new holders
   * have confirmed all entries, to false at the deadline. Packets are handled
   * until `stop`.
   */
  async leave(deadline: number): Promise<boolean> {
    this.members.setOwnState(MemberState.LEAVING);
    this.detector.announce();
    const {clock} = this.options;
    // New owners query this daemon for unknown flows during this time.
    await this.pause(Math.min(deadline, clock.now() + FORMER_HOLDER_QUERY_MS));
    return this.flushAndConfirm(deadline);
  }

  /**
   * Sends all changed entries; resolves to true when peers have confirmed every
   * entry, to false at the deadline.
   */
  flushAndConfirm(deadline: number): Promise<boolean> {
    this.entryExchange.flush();
    return this.replicator.waitUntilIdle(deadline);
  }

  /** Announces that this daemon has left and stops all tasks. */
  stop(): void {
    this.members.setOwnState(MemberState.LEFT);
    this.detector.announce();
    this.cleanups.forEach(cleanup => cleanup());
  }

  private activateStaged(): void {
    const now = this.options.clock.now();
    this.replicatedState.activateConfirmed(this.detector.peersToConfirm(), now);
  }

  private onMemberChange(member: Member, before: Member | undefined): void {
    this.options.timeline.record(EventKind.MEMBER_STATE, {
      member: member.id,
      state: MEMBER_STATE_NAMES[member.state],
      incarnation: member.incarnation,
    });
    if (before === undefined && member.id !== this.members.self.id) {
      this.detector.probeNow(member.id);
    }
    if (member.state >= MemberState.DEAD) {
      this.router.formerHolders.removeMember(member.id);
    }
    const ownedBefore = before !== undefined && ownsPartitions(before);
    if (ownedBefore !== ownsPartitions(member)) {
      this.changeOwnership();
    }
  }

  /**
   * Has unknown flows of owned partitions looked up at their backups, which may
   * have placed them while this daemon was paused.
   */
  private queryBackups(): void {
    const self = this.members.self.id;
    const deadline = this.options.clock.now() + FORMER_HOLDER_QUERY_MS;
    this.ownership
      .partitionsHeldBy(self)
      .filter(partition => this.ownership.ownerOf(partition) === self)
      .forEach(partition => {
        const backup = this.ownership.backupOf(partition);
        if (backup !== undefined) {
          this.router.formerHolders.add(partition, [backup], deadline);
        }
      });
  }

  /**
   * Recomputes ownership after a change of the owners and moves flow entries.
   */
  private changeOwnership(): void {
    const {clock, timeline} = this.options;
    const before = this.ownership;
    this.entryExchange.flush();
    this.updateOwnership();
    const plan = planHandover({
      self: this.members.self.id,
      before,
      after: this.ownership,
      withoutSelf: this.ownershipWithoutSelf(),
      isRunning: id => this.isRunning(id),
    });
    plan.transfers.forEach(transfer =>
      this.entryExchange.sendPartitions(transfer),
    );
    this.entryExchange.resendRecent(before);
    plan.takeovers.forEach(({partition, formerHolders}) =>
      this.router.formerHolders.add(
        partition,
        formerHolders,
        clock.now() + FORMER_HOLDER_QUERY_MS,
      ),
    );
    timeline.record(EventKind.OWNERSHIP_CHANGED, {
      owners: this.members.owners().length,
      transfers: plan.transfers.length,
      adoptions: plan.takeovers.length,
    });
  }

  private updateOwnership(): void {
    const owners = this.members.owners();
    this.ownership = Ownership.create(owners, this.options.hasher);
    this.router.setView({
      ownership: this.ownership,
      memberCount: Math.max(1, owners.length),
      isCurrent: id => this.detector.isCurrent(id),
      isResponsive: id => this.detector.isResponsive(id),
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

  private isRunning(id: string): boolean {
    const member = this.members.get(id);
    return member !== undefined && handlesPackets(member);
  }

  private relayFor(id: string): string | undefined {
    return this.members
      .others()
      .find(
        other =>
          other.id !== id &&
          handlesPackets(other) &&
          this.detector.isResponsive(other.id),
      )?.address;
  }

  private addressOf(id: string): string | undefined {
    return this.isRunning(id) ? this.members.get(id)?.address : undefined;
  }

  private memberMessage(): MemberListMessage {
    return {
      members: this.members.all().map(member => ({...member})),
      loads: this.router.flowCounts.listVectors(),
    };
  }

  private pause(deadline: number): Promise<void> {
    return new Promise(resolve => {
      this.options.clock.callAt(deadline, resolve);
    });
  }
}

function inBatches(entries: readonly FlowException[]): FlowException[][] {
  const count = Math.ceil(entries.length / PULL_BATCH_ENTRIES);
  return Array.from({length: count}, (_, index) =>
    entries.slice(index * PULL_BATCH_ENTRIES, (index + 1) * PULL_BATCH_ENTRIES),
  );
}

/** Runs a task periodically; the returned function stops it. */
function runPeriodically(
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
