/** Several coordinators in one process over fakes of every port. */
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
import {writeClaim} from './flow-payload.js';
import {MemoryBackends, type PacketListener} from './memory-backends.js';
import {MemoryNetwork, MemoryPeers} from './memory-network.js';
import {Random} from '../src/routing/random.js';

const FIRST_PORT = 7_000;

/** A time line that keeps nothing. */
export class SilentTimeline extends Timeline {
  private constructor() {
    super();
  }

  /** Creates the time line. */
  static create(): SilentTimeline {
    return new SilentTimeline();
  }

  record(): void {}

  observe(): void {}

  recent(): readonly TimelineRecord[] {
    return [];
  }
}

/** What a fleet is made from. */
export interface MemoryFleetOptions {
  readonly hasher: Hasher;
  readonly seed: number;
  /** The service of each backend server. */
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
  /** Until then it runs nothing; packets wait. */
  frozen: boolean;
}

/** Daemons, network, servers and clock of one test. */
export class MemoryFleet {
  readonly clock = FakeClock.create();
  readonly random: Random;
  readonly network: MemoryNetwork;
  readonly backends: MemoryBackends;
  readonly daemons = new Map<string, FleetDaemon>();
  /** The configuration as the store holds it. */
  revision: RoutingRevision = {revision: 0, addresses: []};
  private markVersion = 0;
  private nextDaemon = 1;
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

  /** Daemons that run and are not frozen. */
  get running(): FleetDaemon[] {
    return [...this.daemons.values()].filter(({frozen}) => !frozen);
  }

  /** Daemons that the fabric hands packets to. */
  get ready(): FleetDaemon[] {
    return this.running.filter(({coordinator}) => coordinator.isReady);
  }

  /** Starts a daemon; it joins as time moves on. */
  async join(domain: string): Promise<FleetDaemon> {
    const number = this.nextDaemon;
    this.nextDaemon += 1;
    const id = `daemon-${number}`;
    const address = `127.0.0.1:${FIRST_PORT + number}`;
    const daemon = this.createDaemon(id, address, domain);
    const others = this.running.map(other => other.address);
    this.daemons.set(id, daemon);
    await this.network.attach(address, {
      ...daemon.coordinator.handlers(),
      onForward: () => Promise.reject(new Error('flows only')),
      onKeepKeys: () => 0,
      onPullKeys: () => [],
    });
    daemon.coordinator.start();
    if (this.revision.revision > 0 && others.length === 0) {
      this.tell(daemon);
    }
    void daemon.coordinator.join(others);
    return daemon;
  }

  /** Leaves in the planned way; takes some seconds of the fleet's time. */
  async leave(id: string): Promise<boolean> {
    const daemon = this.daemons.get(id);
    if (daemon === undefined) {
      return true;
    }
    let done: boolean | undefined;
    void daemon.coordinator.leave(this.clock.now() + 10_000).then(confirmed => {
      done = confirmed;
    });
    while (done === undefined) {
      await this.clock.advance(100);
    }
    daemon.coordinator.stop();
    await this.clock.advance(5);
    this.network.detach(daemon.address);
    this.daemons.delete(id);
    return done;
  }

  /** Ends a daemon at once. */
  crash(id: string): void {
    const daemon = this.daemons.get(id);
    if (daemon !== undefined) {
      this.network.detach(daemon.address);
      daemon.coordinator.stop();
      this.daemons.delete(id);
    }
  }

  /** Freezes or wakes a daemon. */
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
      this.wake(daemon);
    }
  }

  /** Accepts a revision; some of the daemons read it from the store. */
  edit(revision: RoutingRevision, readers: readonly FleetDaemon[]): void {
    this.revision = revision;
    readers.forEach(daemon => this.tell(daemon));
  }

  /** The platform marks a server; some of the daemons read the list. */
  mark(
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
      coordinator.learn([{mark, revision: undefined}]),
    );
  }

  /** The fabric hands a packet to a daemon. */
  hand(daemon: FleetDaemon, packet: Packet): void {
    if (daemon.frozen) {
      const held = this.frozenPackets.get(daemon.id) ?? [];
      this.frozenPackets.set(daemon.id, [...held, packet]);
      return;
    }
    this.handOver(daemon, packet);
  }

  /** Timers, packets and datagrams that waited may come in any order. */
  private wake(daemon: FleetDaemon): void {
    const packets = this.frozenPackets.get(daemon.id) ?? [];
    this.frozenPackets.delete(daemon.id);
    const steps = [
      () => daemon.clock.thaw(),
      () => packets.forEach(packet => this.handOver(daemon, packet)),
      () => this.network.thaw(daemon.address),
    ];
    const first = this.random.below(steps.length);
    [...steps.slice(first), ...steps.slice(0, first)].forEach(step => step());
  }

  private handOver(daemon: FleetDaemon, packet: Packet): void {
    const bytes = Packet.encode(packet).finish();
    daemon.coordinator.handle({packet: Packet.decode(bytes), bytes});
  }

  private tell(daemon: FleetDaemon): void {
    const {revision} = this.revision;
    const document = Buffer.from(JSON.stringify(this.revision));
    daemon.coordinator.learn([
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
      timeline: SilentTimeline.create(),
      peers: MemoryPeers.create(this.network, id, address),
      backends: this.backends,
      read: readBundle,
      maximumEntries: this.options.maximumEntries ?? 1_000_000,
      scope: this.options.scope,
      placement: this.options.placement?.(),
    });
    return {id, address, domain, coordinator, counters, clock, frozen: false};
  }
}

function readBundle(bundle: RevisionBundle): RoutingRevision {
  return JSON.parse(bundle.document.toString()) as RoutingRevision;
}

/** A packet of a numbered flow to an address. */
export function packetOf(
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
    payload: writeClaim({service: destination.service}),
    returnAddress: '127.0.0.1:1',
  };
}
