/** Fabric port of one daemon in a simulated platform. */
import type {CatalogServer} from '../src/catalog/records.js';
import {
  CookieFabric,
  type CallerPosition,
  type CookiePacket,
} from '../src/ports/cookie-fabric.js';

/** Delivers what daemons send to servers and callers. */
export interface PacketDelivery {
  /** Delivers a daemon's packet to the address of `target`. */
  deliverToServer(
    packet: CookiePacket,
    target: CatalogServer,
    cookie: number,
    daemon: string,
  ): void;
  /** Delivers a daemon's reset to the caller of the flow. */
  deliverReset(caller: CallerPosition, daemon: string): void;
}

/** The fabric of one daemon. */
export class SimulatedFabric extends CookieFabric {
  private handle: ((packet: CookiePacket) => void) | undefined;
  private isClosed = false;
  /** Packets that wait for a paused daemon; undefined while it runs. */
  private heldPackets: CookiePacket[] | undefined;

  private constructor(
    private readonly delivery: PacketDelivery,
    private readonly daemon: string,
  ) {
    super();
  }

  /** Creates the fabric of a daemon. */
  static create(ways: PacketDelivery, daemon: string): SimulatedFabric {
    return new SimulatedFabric(ways, daemon);
  }

  onPacket(handle: (packet: CookiePacket) => void): void {
    this.handle = handle;
  }

  /** Delivers a packet to the daemon; drops it when no handler is installed. */
  deliver(packet: CookiePacket): void {
    if (this.isClosed) {
      return;
    }
    if (this.heldPackets === undefined) {
      this.handle?.(packet);
    } else {
      this.heldPackets.push(packet);
    }
  }

  /** Buffers the packets to the daemon from now on. */
  pause(): void {
    this.heldPackets = [];
  }

  /** Delivers the buffered packets and ends the pause. */
  resume(): void {
    const held = this.heldPackets ?? [];
    this.heldPackets = undefined;
    held.forEach(packet => this.deliver(packet));
  }

  forward(packet: CookiePacket, server: CatalogServer, cookie: number): void {
    if (!this.isClosed) {
      this.delivery.deliverToServer(packet, server, cookie, this.daemon);
    }
  }

  reset(caller: CallerPosition): void {
    if (!this.isClosed) {
      this.delivery.deliverReset(caller, this.daemon);
    }
  }

  close(): void {
    this.isClosed = true;
  }
}
