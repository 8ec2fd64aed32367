/**
 * In-memory fleet channel: heartbeats and pulls between daemons in one process, over a
 * network whose paths tests can block.
 */
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {Beat, CatalogUpdate} from '../src/generated/catalog.js';
import type {Clock} from '../src/ports/clock.js';
import {
  FleetChannel,
  type FleetHandlers,
  type HeldVersions,
} from '../src/ports/fleet-channel.js';
import {PeerUnavailable} from '../src/ports/peers.js';
import type {Random} from '../src/routing/random.js';
import {MemoryLinks} from './memory-links.js';

/** Latency between two daemons. */
const ONE_WAY_LATENCY_MS = 1;

/** The network between all daemons of a simulated platform. */
export class ChannelNetwork {
  /** Blocked paths, as "from>to" with IPv4 addresses as numbers. */
  readonly blockedPaths = new Set<string>();
  /** Addresses of daemons that send heartbeats but answer no pulls. */
  readonly unansweringDaemons = new Set<number>();
  /** Fraction of heartbeats that are lost. */
  heartbeatLossRate = 0;
  /** Counts of messages and bytes sent. */
  readonly sent = {heartbeats: 0, pulls: 0, bytes: 0};
  /** Links of the daemons, named by their addresses in decimal. */
  readonly links = MemoryLinks.create();
  private readonly handlers = new Map<number, FleetHandlers>();
  /** Heartbeats that wait for a paused daemon, by its address. */
  private readonly heldHeartbeats = new Map<number, Array<() => void>>();

  private constructor(
    readonly clock: Clock,
    readonly random: Random,
  ) {}

  /** Creates a network without daemons. */
  static create(clock: Clock, random: Random): ChannelNetwork {
    return new ChannelNetwork(clock, random);
  }

  /** Connects a daemon. */
  attach(address: number, handlers: FleetHandlers): void {
    this.handlers.set(address, handlers);
  }

  /** Disconnects a daemon. */
  detach(address: number): void {
    this.handlers.delete(address);
    this.heldHeartbeats.delete(address);
  }

  /** Buffers the heartbeats to a daemon, which answers no pulls from now on. */
  pause(address: number): void {
    this.heldHeartbeats.set(address, []);
  }

  /** Delivers the buffered heartbeats and ends the pause. */
  resume(address: number): void {
    const held = this.heldHeartbeats.get(address) ?? [];
    this.heldHeartbeats.delete(address);
    held.forEach(deliver => deliver());
  }

  /** Delivers a heartbeat now, or after the pause of its receiver. */
  deliverHeartbeat(from: number, to: number, bytes: Uint8Array): void {
    const deliver = () =>
      this.handlers.get(to)?.onHeartbeat(from, Beat.decode(bytes));
    const held = this.heldHeartbeats.get(to);
    if (held === undefined) {
      deliver();
    } else {
      held.push(deliver);
    }
  }

  /** Returns the handlers at `to` for a call from `from`; undefined: unreachable. */
  findReachablePeer(from: number, to: number): FleetHandlers | undefined {
    const open =
      !this.heldHeartbeats.has(to) &&
      !this.unansweringDaemons.has(to) &&
      !this.blockedPaths.has(`${from}>${to}`) &&
      !this.blockedPaths.has(`${to}>${from}`);
    return open ? this.handlers.get(to) : undefined;
  }

  /** Decides whether a datagram is delivered or lost. */
  isDelivered(from: number, to: number): boolean {
    return (
      !this.blockedPaths.has(`${from}>${to}`) &&
      !this.random.nextBool(this.heartbeatLossRate)
    );
  }

  /** Returns the handlers of a daemon, also behind blocked paths. */
  findHandlers(address: number): FleetHandlers | undefined {
    return this.handlers.get(address);
  }
}

/** The channel of one daemon. */
export class MemoryChannel extends FleetChannel {
  private constructor(
    private readonly address: number,
    private readonly network: ChannelNetwork,
    private readonly clock: Clock,
  ) {
    super();
  }

  /** Creates a channel; `clock` belongs to the daemon. */
  static create(
    address: number,
    network: ChannelNetwork,
    clock: Clock,
  ): MemoryChannel {
    return new MemoryChannel(address, network, clock);
  }

  async serve(handlers: FleetHandlers): Promise<void> {
    this.network.attach(this.address, handlers);
  }

  /** Sends the heartbeat encoded, so that daemons share no objects. */
  sendHeartbeat(address: number, beat: Beat): void {
    const {network} = this;
    const bytes = Beat.encode(beat).finish();
    network.sent.heartbeats += 1;
    network.sent.bytes += bytes.length;
    if (!network.isDelivered(this.address, address)) {
      return;
    }
    network.clock.callAt(network.clock.now() + ONE_WAY_LATENCY_MS, () =>
      network.deliverHeartbeat(this.address, address, bytes),
    );
  }

  pull(
    address: number,
    held: HeldVersions,
    deadline: number,
  ): ResultAsync<CatalogUpdate, PeerUnavailable> {
    return new ResultAsync(this.pullFrom(address, held, deadline));
  }

  private async pullFrom(
    address: number,
    held: HeldVersions,
    deadline: number,
  ): Promise<Result<CatalogUpdate, PeerUnavailable>> {
    const {network, clock} = this;
    // One way for the connection and one for the request.
    await this.sleepUntil(clock.now() + 2 * ONE_WAY_LATENCY_MS);
    const peer = network.findReachablePeer(this.address, address);
    if (peer === undefined) {
      await this.sleepUntil(deadline);
      return err(PeerUnavailable.create(String(address), 'unreachable'));
    }
    const bytes = CatalogUpdate.encode(peer.onPull(held)).finish();
    network.sent.pulls += 1;
    network.sent.bytes += bytes.length;
    const arrival = network.links.transmit(
      String(address),
      String(this.address),
      bytes.length,
      clock.now(),
    );
    await this.sleepUntil(Math.min(deadline, arrival + ONE_WAY_LATENCY_MS));
    return arrival > deadline
      ? err(
          PeerUnavailable.create(
            String(address),
            'response did not arrive before the deadline',
          ),
        )
      : ok(CatalogUpdate.decode(bytes));
  }

  private sleepUntil(time: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.callAt(time, resolve);
    });
  }

  async close(): Promise<void> {
    this.network.detach(this.address);
  }
}
