/**
 * Selects the packet to retain for each flow, within a memory limit. It is resent to a
 * server that restarted, which answers a packet of an unknown flow with a reset and treats
 * any other as a duplicate. Packets without data are preferred: they are small and do not
 * make the server execute a request again. Used by `FlowTracker`.
 */
import type {CookiePacket} from '../ports/cookie-fabric.js';

/** Limits memory use: 60,000 packets without data take 2 MB. */
const MAX_RETAINED_BYTES = 4 * 1_024 * 1_024;

/** Counts the bytes of the packets that one daemon retains. */
export class RetainedPackets {
  private bytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /** Creates a selection that retains nothing yet. */
  static create(maxBytes = MAX_RETAINED_BYTES): RetainedPackets {
    return new RetainedPackets(maxBytes);
  }

  /**
   * Returns the packet of a flow to retain from now on: `packet`, or the one retained so
   * far if `packet` ends the flow, adds only data, or exceeds the memory limit.
   */
  select(
    retained: CookiePacket | undefined,
    packet: CookiePacket,
  ): CookiePacket | undefined {
    const growth = packet.bytes.length - (retained?.bytes.length ?? 0);
    const keepsRetained =
      packet.closes ||
      packet.resets ||
      addsOnlyData(retained, packet) ||
      this.bytes + growth > this.maxBytes;
    if (keepsRetained) {
      return retained;
    }
    this.bytes += growth;
    return packet;
  }

  /** Frees the memory of a packet that is no longer retained. */
  release(retained: CookiePacket | undefined): void {
    this.bytes -= retained?.bytes.length ?? 0;
  }
}

/** Whether a packet differs from the retained one, which has no data, only by its data. */
function addsOnlyData(
  retained: CookiePacket | undefined,
  packet: CookiePacket,
): boolean {
  return (
    retained?.dataLength === 0 &&
    packet.dataLength > 0 &&
    retained.acknowledged === packet.acknowledged
  );
}
