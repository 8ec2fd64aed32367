/** The daemon process: creates all components from settings, joins and leaves the fleet. */
import type {Server} from '@grpc/grpc-js';
import {DaemonPeers, type PeerSecurity} from '../adapters/daemon-peers.js';
import {GrpcBackendServers} from '../adapters/grpc-backend-servers.js';
import {stopServer} from '../adapters/grpc-call.js';
import {GrpcInstanceList} from '../adapters/grpc-instance-list.js';
import {GrpcStore} from '../adapters/grpc-store.js';
import {RingTimeline} from '../adapters/ring-timeline.js';
import {StatsdCounters} from '../adapters/statsd-counters.js';
import {SystemClock} from '../adapters/system-clock.js';
import {UdpFabric} from '../adapters/udp-fabric.js';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {KeyRanges} from '../admission/key-ranges.js';
import {LeasedKeyGuard, rangeOf} from '../admission/leased-key-guard.js';
import {NaiveRequests} from '../admission/naive-requests.js';
import {RequestEntry, type KeyOwner} from '../admission/request-entry.js';
import {decodeDocument} from '../configuration/document.js';
import type {ProcessSettings} from '../configuration/process-settings.js';
import {compileDocument} from '../configuration/revision.js';
import {Watcher} from '../configuration/watcher.js';
import type {RevisionBundle, StatusReply} from '../generated/peer.js';
import {
  MEMBER_STATE_NAMES,
  MemberState,
  firstIncarnation,
  handlesPackets,
  runIdOf,
  type Member,
} from '../membership/member.js';
import {Metric} from '../ports/counters.js';
import type {FabricPacket} from '../ports/fabric.js';
import {
  InstanceRole,
  InstanceState,
  type ListedInstance,
} from '../ports/instance-list.js';
import type {Log} from '../ports/log.js';
import {EventKind} from '../ports/timeline.js';
import {FlowCoordinator} from '../recovery/flow-coordinator.js';
import {DecisionKind} from '../routing/decision.js';
import {EntryKind} from '../routing/flow-table.js';
import {NewestTableRouter} from '../routing/newest-table-router.js';
import type {RoutingRevision} from '../routing/routed-address.js';
import {StateScope} from '../routing/router.js';
import {createControlServer, createRequestServer} from './control-server.js';
import {PlatformTasks} from './platform-tasks.js';
import {Pools} from './pools.js';
import {StreamEntry} from './stream-entry.js';

const RETRY_MS = 500;
const POOL_INTERVAL_MS = 500;
/** Time limit of a graceful stop. */
const STOP_TIMEOUT_MS = 30_000;
/** Time without fabric packets after which a leaving daemon may exit. */
const FABRIC_IDLE_MS = 1_000;
const STOP_POLL_INTERVAL_MS = 100;
const HANDOVER_TIMEOUT_MS = 10_000;

/** A running daemon. */
export class Daemon {
  private readonly clock = SystemClock.create();
  private readonly counters: StatsdCounters;
  private readonly timeline: RingTimeline;
  private readonly store: GrpcStore;
  private readonly list: GrpcInstanceList;
  private readonly coordinator: FlowCoordinator;
  private readonly pools: Pools;
  private readonly ranges: KeyRanges;
  private readonly entry: RequestEntry;
  private readonly naiveRouter: NewestTableRouter;
  private readonly tasks: PlatformTasks;
  private readonly cleanups: (() => void)[] = [];
  private readonly servers: Server[] = [];
  private streams: StreamEntry[] = [];
  private lastPacketMs = 0;

  private constructor(
    private readonly settings: ProcessSettings,
    private readonly log: Log,
    private readonly hasher: XxhashHasher,
    private readonly fabric: UdpFabric,
    private readonly backends: GrpcBackendServers,
    private readonly peers: DaemonPeers,
    counters: StatsdCounters,
  ) {
    this.counters = counters;
    const {daemon, platform, routing, requests} = settings;
    this.timeline = RingTimeline.create(daemon.id, this.clock);
    this.store = GrpcStore.create(platform.store, this.clock, counters);
    this.list = GrpcInstanceList.create(platform['instance-list'], this.clock);
    this.naiveRouter = NewestTableRouter.create(hasher);
    const common = {
      self: daemon.id,
      clock: this.clock,
      hasher,
      counters,
      backends,
    };
    this.pools = Pools.create({...common, retryShare: requests['retry-share']});
    this.coordinator = FlowCoordinator.create({
      ...common,
      self: this.createOwnMember(),
      timeline: this.timeline,
      peers,
      parseRevision: bundle => this.readRevision(bundle),
      maximumEntries: routing['maximum-entries'],
      scope:
        routing.policy === 'all-flows' ? StateScope.ALL : StateScope.EXCEPTIONS,
    });
    this.ranges = KeyRanges.create({
      store: this.store,
      peers,
      clock: this.clock,
      view: {
        self: runIdOf(this.coordinator.members.self),
        ownerOf: range => this.findRangeOwner(range),
        backupsOf: range => this.listRangeBackups(range),
        addressOf: run => this.findAddressOfRun(run),
      },
    });
    this.entry = RequestEntry.create({
      ...common,
      timeline: this.timeline,
      peers,
      guard: LeasedKeyGuard.create(this.ranges, hasher, this.clock),
      findService: (workspace, service) =>
        this.pools.findService(workspace, service),
      dispatcherOf: service => this.pools.getDispatcher(service),
      ownerOf: key => this.findKeyOwner(key),
    });
    this.tasks = PlatformTasks.create({
      self: this.createListEntry(InstanceState.LIVE),
      clock: this.clock,
      hasher,
      counters,
      list: this.list,
      backends,
      coordinator: this.coordinator,
      services: () => this.pools.all,
    });
  }

  /** Creates a daemon and binds its sockets; `run` starts it. */
  static async create(
    settings: ProcessSettings,
    security: PeerSecurity,
    log: Log,
  ): Promise<Daemon> {
    const clock = SystemClock.create();
    const {id} = settings.daemon;
    const counters = StatsdCounters.create(settings.metrics.statsd, id);
    const {fabric, peers} = settings.listen;
    const host = fabric.split(':')[0];
    return new Daemon(
      settings,
      log,
      await XxhashHasher.create(),
      await UdpFabric.create(fabric, counters),
      await GrpcBackendServers.create(host, clock),
      await DaemonPeers.create({
        id,
        address: peers,
        clock,
        counters,
        security,
      }),
      counters,
    );
  }

  /** Starts all tasks and joins the fleet; resolves when the daemon owns its partitions. */
  async run(): Promise<void> {
    this.timeline.record(EventKind.STARTED, {});
    await this.peers.serve({
      ...this.coordinator.handlers(),
      onForward: request => this.entry.handle(request),
      onKeepKeys: (range, records) =>
        this.ranges.get(range).keys.merge(records),
      onPullKeys: range => this.ranges.get(range).keys.records(),
    });
    await this.startServers();
    this.startTasks();
    this.fabric.onPacket(packet => this.onPacket(packet));
    const addresses = await this.readListWithRetries();
    await this.coordinator.join(addresses);
    await this.announce(InstanceState.LIVE);
    this.log.info('ready', {
      revision: this.coordinator.replicatedState.staged.revision,
    });
  }

  /** Leaves the fleet, drains flows and requests up to a deadline, then stops. */
  async stop(): Promise<void> {
    const deadline = this.clock.now() + STOP_TIMEOUT_MS;
    this.timeline.record(EventKind.STOPPING, {});
    this.log.info('stopping');
    this.streams.forEach(stream => stream.stopAccepting());
    await this.announce(InstanceState.LEAVING);
    const confirmed = await this.coordinator.leave(
      this.clock.now() + HANDOVER_TIMEOUT_MS,
    );
    await this.waitUntilIdle(deadline);
    this.entry.stop();
    await this.waitForRequests(deadline);
    await this.ranges.releaseAll(deadline);
    await this.coordinator.flushAndConfirm(deadline);
    this.timeline.record(EventKind.STOPPED, {confirmed});
    await this.announce(InstanceState.GONE);
    await this.close();
    this.log.info('stopped', {confirmed});
  }

  private async startServers(): Promise<void> {
    const {requests, control, streams} = this.settings.listen;
    const naive = NaiveRequests.create({
      clock: this.clock,
      backends: this.backends,
      random: Math.random,
      findService: (workspace, service) =>
        this.pools.findService(workspace, service),
    });
    const handler =
      this.settings.requests.policy === 'naive' ? naive : this.entry;
    this.servers.push(
      await createRequestServer(requests, request => handler.handle(request)),
      await createControlServer(control, () => this.status(), this.timeline),
    );
    this.streams = await Promise.all(
      streams.map(stream =>
        StreamEntry.create({
          ...stream,
          counters: this.counters,
          findService: address => this.pools.findServiceByAddress(address),
          marks: () => this.coordinator.replicatedState.marks,
        }),
      ),
    );
  }

  private startTasks(): void {
    const watcher = Watcher.create({
      store: this.store,
      clock: this.clock,
      isWatching: () => this.tasks.isWatcher(),
      onValue: value => this.onDocument(value),
      onStoreLost: cause => {
        this.log.warn('store-lost', {cause});
        this.timeline.record(EventKind.STORE_LOST, {cause});
      },
      onStoreRestored: () => {
        this.log.info('store-back');
        this.timeline.record(EventKind.STORE_BACK, {});
      },
    });
    const pools = setInterval(() => this.updatePools(), POOL_INTERVAL_MS);
    this.coordinator.start();
    this.cleanups.push(
      () => clearInterval(pools),
      this.counters.start(),
      this.tasks.start(),
      watcher.start(),
      this.ranges.start(),
    );
  }

  private async readListWithRetries(): Promise<string[]> {
    const addresses = await this.tasks.readList();
    if (addresses !== undefined) {
      return addresses;
    }
    this.log.warn('instance-list-lost');
    await this.pause();
    return this.readListWithRetries();
  }

  private onPacket(packet: FabricPacket): void {
    this.lastPacketMs = this.clock.now();
    if (this.settings.routing.policy !== 'naive') {
      this.coordinator.handle(packet);
      return;
    }
    const decision = this.naiveRouter.route(packet.packet);
    if (decision.kind === DecisionKind.FORWARD) {
      this.backends.send(decision.server, packet.bytes);
      this.counters.add(Metric.PACKETS_FORWARDED);
    } else {
      this.counters.add(Metric.PACKETS_UNROUTABLE);
    }
  }

  private onDocument(value: Uint8Array): void {
    decodeDocument(value).match(
      ({revision}) => {
        if (revision > this.coordinator.replicatedState.staged.revision) {
          const document = Buffer.from(value);
          this.coordinator.applyChanges([
            {revision: {revision, document}, mark: undefined},
          ]);
        }
      },
      failure =>
        this.log.error('document-unreadable', {cause: failure.message}),
    );
  }

  /** Compiles a revision from the store or a peer; undefined when it is unreadable. */
  private readRevision(bundle: RevisionBundle): RoutingRevision | undefined {
    return decodeDocument(bundle.document)
      .andThen(document => compileDocument(document))
      .match(
        ({routing, services}) => {
          this.pools.setServices(services);
          this.log.info('revision-staged', {revision: bundle.revision});
          queueMicrotask(() => this.updatePools());
          return routing;
        },
        failure => {
          this.log.error('revision-unreadable', {cause: failure.message});
          return undefined;
        },
      );
  }

  private updatePools(): void {
    const {replicatedState, members} = this.coordinator;
    const owners = members.owners().map(({id}) => id);
    this.pools.updateServers(replicatedState.marks, owners);
    // Building lookup tables is expensive, so only when the policy uses them.
    if (this.settings.routing.policy === 'naive') {
      this.naiveRouter.stage(replicatedState.staged, replicatedState.marks);
    }
  }

  private findRangeOwner(range: number): string | undefined {
    const owner = this.coordinator.currentOwnership.ownerOf(range);
    const member = owner && this.coordinator.members.get(owner);
    return member ? runIdOf(member) : undefined;
  }

  /** Lists the runs that can back up a range, the backup of its partition first. */
  private listRangeBackups(range: number): string[] {
    const {members, currentOwnership} = this.coordinator;
    const first = currentOwnership.backupOf(range);
    const others = members
      .others()
      .filter(handlesPackets)
      .filter(({state}) => state === MemberState.READY);
    return [
      ...others.filter(({id}) => id === first),
      ...others.filter(({id}) => id !== first),
    ].map(runIdOf);
  }

  private findAddressOfRun(run: string): string | undefined {
    return this.coordinator.members
      .others()
      .find(member => runIdOf(member) === run && handlesPackets(member))
      ?.address;
  }

  private findKeyOwner(key: string): KeyOwner {
    const {members, currentOwnership} = this.coordinator;
    const owner = currentOwnership.ownerOf(rangeOf(key, this.hasher));
    const isSelf = owner === undefined || owner === members.self.id;
    return {address: isSelf ? undefined : members.get(owner)?.address};
  }

  private status(): StatusReply {
    const {replicatedState, members, router} = this.coordinator;
    return {
      id: members.self.id,
      failureDomain: members.self.failureDomain,
      state: MEMBER_STATE_NAMES[members.self.state],
      revision: replicatedState.active,
      stagedRevision: replicatedState.staged.revision,
      members: members.owners().length,
      exceptions: router.flows.sizeOf(EntryKind.HELD),
      cached: router.flows.sizeOf(EntryKind.CACHED),
      countersJson: JSON.stringify({
        ...this.counters.read(),
        'ranges.held': this.ranges.heldCount,
      }),
    };
  }

  /** Waits until the fabric is idle and all streams are closed. */
  private async waitUntilIdle(deadline: number): Promise<void> {
    const isIdle = () =>
      this.clock.now() - this.lastPacketMs > FABRIC_IDLE_MS &&
      this.streams.every(stream => stream.connections === 0);
    while (!isIdle() && this.clock.now() < deadline) {
      await this.pause(STOP_POLL_INTERVAL_MS);
    }
  }

  private async waitForRequests(deadline: number): Promise<void> {
    while (this.entry.inFlightCount > 0 && this.clock.now() < deadline) {
      await this.pause(STOP_POLL_INTERVAL_MS);
    }
  }

  private async close(): Promise<void> {
    this.coordinator.stop();
    await this.pause(STOP_POLL_INTERVAL_MS);
    this.cleanups.forEach(cleanup => cleanup());
    this.streams.forEach(stream => stream.close());
    const deadline = this.clock.now() + RETRY_MS;
    await Promise.all(
      this.servers.map(server => stopServer(server, this.clock, deadline)),
    );
    await this.peers.close();
    this.fabric.close();
    this.backends.close();
    this.store.close();
    this.list.close();
  }

  private async announce(state: InstanceState): Promise<void> {
    const result = await this.list.announce(this.createListEntry(state));
    if (result.isErr()) {
      this.log.warn('announce-failed', {cause: result.error.message, state});
    }
  }

  private createListEntry(state: InstanceState): ListedInstance {
    const {daemon, listen} = this.settings;
    return {
      id: daemon.id,
      role: InstanceRole.DAEMON,
      address: listen.peers,
      failureDomain: daemon['failure-domain'],
      state,
      version: 0,
      fabricAddress: listen.fabric,
      controlAddress: listen.control,
    };
  }

  private createOwnMember(): Member {
    const {daemon, listen} = this.settings;
    return {
      id: daemon.id,
      address: listen.peers,
      failureDomain: daemon['failure-domain'],
      state: MemberState.JOINING,
      incarnation: firstIncarnation(this.clock.wall()),
    };
  }

  private pause(milliseconds = RETRY_MS): Promise<void> {
    return new Promise(resolve => {
      this.clock.callAt(this.clock.now() + milliseconds, resolve);
    });
  }
}
