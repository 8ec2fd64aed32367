/**
 * Tracks flows whose cookie identifies no known server. The server may be newer than this
 * daemon's server list, or may have ended; a list that was read after the flow's first
 * packet tells the two apart. Used by `CookieRouter`.
 */
import type {CookiePacket} from '../ports/cookie-fabric.js';

/** Limits memory use; flows beyond it are not tracked. */
const MAX_FLOWS = 4_096;
/** Time for which a flow is tracked; longer than pauses between its packets. */
const FLOW_RETENTION_MS = 5_000;
/** Minimum time from a flow's first packet to the read of a list that confirms absence. */
const CONFIRMATION_MARGIN_MS = 200;

interface UnknownFlow {
  /** Monotonic milliseconds, like `expiresAt`. */
  readonly firstSeenAt: number;
  readonly expiresAt: number;
}

/** Flows with unknown cookies that recently passed one daemon. */
export class UnknownCookieFlows {
  private readonly flows = new Map<string, UnknownFlow>();

  private constructor() {}

  /** Creates a tracker without flows. */
  static create(): UnknownCookieFlows {
    return new UnknownCookieFlows();
  }

  /**
   * Records a packet. Returns true if the server list was read, at `confirmedAt`, late
   * enough after the flow's first packet to contain its server if that were running.
   */
  isConfirmedAbsent(
    packet: CookiePacket,
    confirmedAt: number,
    now: number,
  ): boolean {
    const key = `${packet.sourceAddress}:${packet.sourcePort}:${packet.cookie}`;
    const known = this.flows.get(key);
    if (known !== undefined && known.expiresAt > now) {
      return confirmedAt - known.firstSeenAt >= CONFIRMATION_MARGIN_MS;
    }
    this.removeExpired(now);
    if (this.flows.size < MAX_FLOWS) {
      this.flows.set(key, {
        firstSeenAt: now,
        expiresAt: now + FLOW_RETENTION_MS,
      });
    }
    return false;
  }

  private removeExpired(now: number): void {
    this.flows.forEach(({expiresAt: forgetAt}, key) => {
      if (forgetAt <= now) {
        this.flows.delete(key);
      }
    });
  }
}
