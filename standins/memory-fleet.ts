/** Runs several flow coordinators in one process over in-memory ports. */
import {MemoryCounters} from '../src/adapters/memory-counters.js';
import {Packet, PacketKind} from '../src/generated/packet.js';
import type {RevisionBundle, ServerMark} from '../src/generated/peer.js';
import {MemberState, firstIncarnation} from '../src/membership/member.js';
import type {Hasher} from '../src/ports/hasher.js';
import {Timeline, type TimelineRecord} from '../src/ports/timeline.js';
import {FlowCoordinator} from '../src/recovery/flow-coordinator.js';
import type {Placement} from '../src/routing/placement.js';
import type {RoutingRevision} from '../src/routing/routed-address.js';
import type {StateScope} from '../src/routing/router.js';
import {MarkKind, type MarkState} from '../src/routing/server-marks.js';
import {FakeClock, ProcessClock} from './fake-clock.js';
import {encodePayload} from './flow-payload.js';
import {MemoryBackends, type PacketListener} from './memory-backends.js';
import {MemoryNetwork, MemoryPeers} from './memory-network.js';
import {Random} from '../src/routing/random.js';

const FIRST_PORT = 7_000;

/** A timeline that discards its records. */
export class NoopTimeline extends Timeline {
  private constructor() {
    super();
  }

  /** Creates the timeline. */
  static create(): NoopTimeline {
    return new NoopTimeline();
  }

  record(): void {}

  observe(): void {}

  recent(): readonly TimelineRecord[] {
    return [];
  }
}

/** Options of a fleet. */
export interface MemoryFleetOptions {
  readonly hasher: Hasher;
  readonly seed: number;
  /** Service by backend server. */
  readonly services: ReadonlyMap<string, string>;
  readonly listener?: PacketListener;
  readonly scope?: StateScope;
  readonly placement?: () => Placement;
  readonly maximumEntries?: number;
}

/** One daemon of the fleet. */
export interface FleetDaemon {
  readonly id: string;
  readonly address: string;
  readonly domain: string;
  readonly coordinator: FlowCoordinator;
  readonly counters: MemoryCounters;
  readonly clock: ProcessClock;
  /** Whether its timers are held and its packets are queued. */
  frozen: boolean;
}

/** Daemons with their network, backend servers and virtual clock. */
export class MemoryFleet {
  readonly clock = FakeClock.create();
  readonly random: Random;
  readonly network: MemoryNetwork;
  readonly backends: MemoryBackends;
  readonly daemons = new Map<string, FleetDaemon>();
  /** Latest published revision of the configuration. */
  revision: RoutingRevision = {revision: 0, addresses: []};
  private markVersion = 0;
  private nextDaemonNumber = 1;
  private readonly frozenPackets = new Map<string, Packet[]>();

  private constructor(private readonly options: MemoryFleetOptions) {
    this.random = Random.create(options.seed);
    this.network = MemoryNetwork.create(this.clock, this.random);
    this.backends = MemoryBackends.create(options.services, options.listener);
  }

  /** Creates a fleet without daemons. */
  static create(options: MemoryFleetOptions): MemoryFleet {
    return new MemoryFleet(options);
  }

  /** Daemons that are not frozen. */
  get running(): FleetDaemon[] {
    return [...this.daemons.values()].filter(({frozen}) => !frozen);
  }

  /** Running daemons that accept packets from the fabric. */
  get ready(): FleetDaemon[] {
    return this.running.filter(({coordinator}) => coordinator.isReady);
  }

  /** Starts a daemon, which joins the fleet as the clock advances. */
  async join(domain: string): Promise<FleetDaemon> {
    const number = this.nextDaemonNumber;
    this.nextDaemonNumber += 1;
    const id = `daemon-${number}`;
    const address = `127.0.0.1:${FIRST_PORT + number}`;
    const daemon = this.createDaemon(id, address, domain);
    const others = this.running.map(other => other.address);
    this.daemons.set(id, daemon);
    await this.network.attach(address, {
      ...daemon.coordinator.handlers(),
      onForward: () => Promise.reject(new Error('fleet accepts no requests')),
      onKeepKeys: () => 0,
      onPullKeys: () => [],
    });
    daemon.coordinator.start();
    if (this.revision.revision > 0 && others.length === 0) {
      this.sendRevision(daemon);
    }
    void daemon.coordinator.join(others);
    return daemon;
  }

  /**
   * Removes a daemon gracefully, advancing the clock until it has left. Returns whether
   * the handover was confirmed.
   */
  async leave(id: string): Promise<boolean> {
    const daemon = this.daemons.get(id);
    if (daemon === undefined) {
      return true;
    }
    let isConfirmed: boolean | undefined;
    void daemon.coordinator.leave(this.clock.now() + 10_000).then(confirmed => {
      isConfirmed = confirmed;
    });
    while (isConfirmed === undefined) {
      await this.clock.advance(100);
    }
    daemon.coordinator.stop();
    await this.clock.advance(5);
    this.network.detach(daemon.address);
    this.daemons.delete(id);
    return isConfirmed;
  }

  /** Stops a daemon without a handover. */
  crash(id: string): void {
    const daemon = this.daemons.get(id);
    if (daemon !== undefined) {
      this.network.detach(daemon.address);
      daemon.coordinator.stop();
      this.daemons.delete(id);
    }
  }

  /** Freezes or resumes a daemon. */
  setFrozen(id: string, frozen: boolean): void {
    const daemon = this.daemons.get(id);
    if (daemon === undefined || daemon.frozen === frozen) {
      return;
    }
    daemon.frozen = frozen;
    if (frozen) {
      this.network.freeze(daemon.address);
      daemon.clock.freeze();
    } else {
      this.resume(daemon);
    }
  }

  /** Publishes a revision, which `readers` receive at once. */
  publishRevision(
    revision: RoutingRevision,
    readers: readonly FleetDaemon[],
  ): void {
    this.revision = revision;
    readers.forEach(daemon => this.sendRevision(daemon));
  }

  /** Marks a server on behalf of the platform; `readers` receive the mark at once. */
  markServer(
    server: string,
    state: MarkState,
    readers: readonly FleetDaemon[],
    lifetimeMs = 3_600_000,
  ): void {
    this.markVersion += 1;
    const mark: ServerMark = {
      server,
      state,
      version: this.markVersion,
      kind: MarkKind.PLATFORM,
      disturbedUntilMs: this.clock.wall() + lifetimeMs,
    };
    readers.forEach(({coordinator}) =>
      coordinator.applyChanges([{mark, revision: undefined}]),
    );
  }

  /** Delivers a packet to a daemon, which queues it while frozen. */
  deliver(daemon: FleetDaemon, packet: Packet): void {
    if (daemon.frozen) {
      const held = this.frozenPackets.get(daemon.id) ?? [];
      this.frozenPackets.set(daemon.id, [...held, packet]);
      return;
    }
    this.handlePacket(daemon, packet);
  }

  /** Releases held timers, packets and datagrams, starting with a random kind. */
  private resume(daemon: FleetDaemon): void {
    const packets = this.frozenPackets.get(daemon.id) ?? [];
    this.frozenPackets.delete(daemon.id);
    const steps = [
      () => daemon.clock.thaw(),
      () => packets.forEach(packet => this.handlePacket(daemon, packet)),
      () => this.network.thaw(daemon.address),
    ];
    const first = this.random.nextInt(steps.length);
    [...steps.slice(first), ...steps.slice(0, first)].forEach(step => step());
  }

  private handlePacket(daemon: FleetDaemon, packet: Packet): void {
    const bytes = Packet.encode(packet).finish();
    daemon.coordinator.handle({packet: Packet.decode(bytes), bytes});
  }

  private sendRevision(daemon: FleetDaemon): void {
    const {revision} = this.revision;
    const document = Buffer.from(JSON.stringify(this.revision));
    daemon.coordinator.applyChanges([
      {revision: {revision, document}, mark: undefined},
    ]);
  }

  private createDaemon(
    id: string,
    address: string,
    domain: string,
  ): FleetDaemon {
    const counters = MemoryCounters.create();
    const clock = ProcessClock.create(this.clock);
    const coordinator = FlowCoordinator.create({
      self: {
        id,
        address,
        failureDomain: domain,
        state: MemberState.JOINING,
        incarnation: firstIncarnation(this.clock.wall()),
      },
      clock,
      hasher: this.options.hasher,
      counters,
      timeline: NoopTimeline.create(),
      peers: MemoryPeers.create(this.network, id, address),
      backends: this.backends,
      parseRevision: decodeBundle,
      maximumEntries: this.options.maximumEntries ?? 1_000_000,
      scope: this.options.scope,
      placement: this.options.placement?.(),
    });
    return {id, address, domain, coordinator, counters, clock, frozen: false};
  }
}

function decodeBundle(bundle: RevisionBundle): RoutingRevision {
  return JSON.parse(bundle.document.toString()) as RoutingRevision;
}

/** Creates a packet of a numbered flow; the number determines its source. */
export function createFlowPacket(
  flow: number,
  kind: PacketKind,
  destination: {address: number; port: number; service: string},
): Packet {
  return {
    sourceAddress: 0x0a000000 + Math.floor(flow / 50_000),
    sourcePort: 1_024 + (flow % 50_000),
    destinationAddress: destination.address,
    destinationPort: destination.port,
    kind,
    sequence: 0,
    payload: encodePayload({service: destination.service}),
    returnAddress: '127.0.0.1:1',
  };
}
