/** A fabric with cookies between one daemon and a world in memory. */
import type {CatalogServer} from '../src/catalog/records.js';
import {
  CookieFabric,
  type CallerPosition,
  type CookiePacket,
} from '../src/ports/cookie-fabric.js';

/** The ways from daemons to servers and callers. */
export interface PacketWays {
  /** Hands a daemon's packet over to the server that it means. */
  deliverToServer(
    packet: CookiePacket,
    meant: CatalogServer,
    cookie: number,
    daemon: string,
  ): void;
  /** Hands a daemon's reset over to its caller. */
  deliverReset(caller: CallerPosition, daemon: string): void;
}

/** The fabric of one daemon. */
export class SimulatedFabric extends CookieFabric {
  private handle: ((packet: CookiePacket) => void) | undefined;
  private isClosed = false;

  private constructor(
    private readonly ways: PacketWays,
    private readonly daemon: string,
  ) {
    super();
  }

  /** Creates the fabric of a daemon. */
  static create(ways: PacketWays, daemon: string): SimulatedFabric {
    return new SimulatedFabric(ways, daemon);
  }

  onPacket(handle: (packet: CookiePacket) => void): void {
    this.handle = handle;
  }

  /** Hands a packet over; one that nobody takes is lost. */
  deliver(packet: CookiePacket): void {
    if (!this.isClosed) {
      this.handle?.(packet);
    }
  }

  forward(packet: CookiePacket, server: CatalogServer, cookie: number): void {
    if (!this.isClosed) {
      this.ways.deliverToServer(packet, server, cookie, this.daemon);
    }
  }

  reset(caller: CallerPosition): void {
    if (!this.isClosed) {
      this.ways.deliverReset(caller, this.daemon);
    }
  }

  close(): void {
    this.isClosed = true;
  }
}
