/**
 * Packets of callers that are kept, one a flow, to be sent to their server once more if
 * it starts again: it answers a packet of a flow that it does not hold with a reset, and
 * takes any other for a repeat by the network.
 *
 * Kept is the newest packet, but one without data is kept in place of data that came
 * after it and acknowledges the same: it is small, and gives the server nothing to run.
 */
import type {CookiePacket} from '../ports/cookie-fabric.js';

/**
 * Bytes kept at the most. 60,000 flows take 2 MB without data; callers whose first packet
 * carries their request are kept while there is room.
 */
const MAX_RETAINED_BYTES = 4 * 1_024 * 1_024;

/** The bytes that one daemon keeps. */
export class RetainedPackets {
  private bytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /** Keeps nothing yet. */
  static create(mostBytes = MAX_RETAINED_BYTES): RetainedPackets {
    return new RetainedPackets(mostBytes);
  }

  /** Which packet of a flow to keep from now on: the one that is, or a later one. */
  select(
    kept: CookiePacket | undefined,
    packet: CookiePacket,
  ): CookiePacket | undefined {
    const growth = packet.bytes.length - (kept?.bytes.length ?? 0);
    const isWorse =
      packet.closes ||
      packet.resets ||
      addsOnlyData(kept, packet) ||
      this.bytes + growth > this.maxBytes;
    if (isWorse) {
      return kept;
    }
    this.bytes += growth;
    return packet;
  }

  /** Gives a packet up. */
  release(kept: CookiePacket | undefined): void {
    this.bytes -= kept?.bytes.length ?? 0;
  }
}

/** Whether a packet without data says all that a later one says besides its data. */
function addsOnlyData(
  kept: CookiePacket | undefined,
  packet: CookiePacket,
): boolean {
  return (
    kept?.dataLength === 0 &&
    packet.dataLength > 0 &&
    kept.acknowledged === packet.acknowledged
  );
}
