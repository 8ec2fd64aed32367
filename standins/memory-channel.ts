/** Beats and pulls between daemons in one process, with cuts to order. */
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

/** One way between two daemons, in milliseconds. */
const WAY_MS = 1;

/** All daemons that can reach each other. */
export class ChannelNetwork {
  /** Ways that are cut, as "from>to" of addresses. */
  readonly cut = new Set<string>();
  /** Share of beats that are lost. */
  loss = 0;
  /** Messages and bytes that were sent. */
  readonly sent = {beats: 0, pulls: 0, bytes: 0};
  /** Links of the daemons, by their addresses as text. */
  readonly links = MemoryLinks.create();
  private readonly handlers = new Map<number, FleetHandlers>();

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

  /** Takes a daemon away. */
  detach(address: number): void {
    this.handlers.delete(address);
  }

  /** The handlers that `from` reaches at `to` now. */
  reach(from: number, to: number): FleetHandlers | undefined {
    const open =
      !this.cut.has(`${from}>${to}`) && !this.cut.has(`${to}>${from}`);
    return open ? this.handlers.get(to) : undefined;
  }

  /** Whether a one-way message gets through now. */
  passes(from: number, to: number): boolean {
    return !this.cut.has(`${from}>${to}`) && !this.random.happens(this.loss);
  }

  /** The handlers of a daemon, whatever is cut. */
  handlersOf(address: number): FleetHandlers | undefined {
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

  /** Creates a channel; `clock` is the daemon's. */
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

  /** Beats travel as bytes, so that nothing is shared between daemons. */
  sendHeartbeat(address: number, beat: Beat): void {
    const {network} = this;
    const bytes = Beat.encode(beat).finish();
    network.sent.beats += 1;
    network.sent.bytes += bytes.length;
    if (!network.passes(this.address, address)) {
      return;
    }
    network.clock.callAt(network.clock.now() + WAY_MS, () => {
      network
        .handlersOf(address)
        ?.onHeartbeat(this.address, Beat.decode(bytes));
    });
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
    // The connection, then the question.
    await this.sleepUntil(clock.now() + 2 * WAY_MS);
    const peer = network.reach(this.address, address);
    if (peer === undefined) {
      await this.sleepUntil(deadline);
      return err(PeerUnavailable.create(String(address), 'not reached'));
    }
    const bytes = CatalogUpdate.encode(peer.onPull(held)).finish();
    network.sent.pulls += 1;
    network.sent.bytes += bytes.length;
    const arrival = network.links.arrivalOf(
      String(address),
      String(this.address),
      bytes.length,
      clock.now(),
    );
    await this.sleepUntil(Math.min(deadline, arrival + WAY_MS));
    return arrival > deadline
      ? err(PeerUnavailable.create(String(address), 'slow'))
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
