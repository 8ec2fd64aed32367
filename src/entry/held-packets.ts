/**
 * FIFO queue of packets that wait for a link, bounded in bytes. Each packet has a deadline
 * after which it is of no use to its receiver. Used by `LinkPacer`.
 */
import type {CallerPosition} from '../ports/cookie-fabric.js';
import {callerFlowKey} from '../routing/flow-key.js';

/** A packet that waits; times are monotonic milliseconds. */
export interface HeldPacket {
  /** The flow that it belongs to. */
  readonly flow: CallerPosition;
  /** Bytes on the link, headers included. */
  readonly bytes: number;
  readonly heldAt: number;
  /** When it is dropped if it still waits. */
  readonly expiresAt: number;
  /** Sends it. */
  send(): void;
  /** Called when it is dropped instead. */
  onDropped(): void;
}

/** Packets in the order in which they arrived. */
export class HeldPackets {
  private packets: HeldPacket[] = [];
  private heldBytes = 0;
  /** Number of packets held by flow; flows without any have no entry. */
  private readonly countsByFlow = new Map<string, number>();

  private constructor(private readonly maxBytes: number) {}

  /** Creates an empty queue that holds at most `maxBytes`. */
  static create(maxBytes: number): HeldPackets {
    return new HeldPackets(maxBytes);
  }

  /** Number of packets held. */
  get size(): number {
    return this.packets.length;
  }

  /** Returns the packet that has waited longest; undefined if there is none. */
  get first(): HeldPacket | undefined {
    return this.packets[0];
  }

  /** Appends a packet; returns false if it does not fit. */
  add(packet: HeldPacket): boolean {
    const fits = this.heldBytes + packet.bytes <= this.maxBytes;
    if (fits) {
      this.packets.push(packet);
      this.heldBytes += packet.bytes;
      this.adjustCount(packet.flow, 1);
    }
    return fits;
  }

  /** Whether a packet of a flow is held. */
  holds(flow: CallerPosition): boolean {
    return this.countsByFlow.has(callerFlowKey(flow));
  }

  /** Removes and returns the packet that has waited longest. */
  take(): HeldPacket | undefined {
    const packet = this.packets.shift();
    if (packet !== undefined) {
      this.recordRemoved(packet);
    }
    return packet;
  }

  /** Removes and returns the packets whose deadline has passed. */
  takeExpired(now: number): HeldPacket[] {
    const index = this.packets.findIndex(({expiresAt}) => expiresAt > now);
    const expired = this.packets.splice(
      0,
      index < 0 ? this.packets.length : index,
    );
    expired.forEach(packet => this.recordRemoved(packet));
    return expired;
  }

  private recordRemoved({flow, bytes}: HeldPacket): void {
    this.heldBytes -= bytes;
    this.adjustCount(flow, -1);
  }

  private adjustCount(flow: CallerPosition, change: number): void {
    const key = callerFlowKey(flow);
    const count = (this.countsByFlow.get(key) ?? 0) + change;
    if (count === 0) {
      this.countsByFlow.delete(key);
    } else {
      this.countsByFlow.set(key, count);
    }
  }
}
