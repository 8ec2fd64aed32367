/**
 * Flows whose cookie names no server that is known. The server may be newer than
 * this daemon's list, or have ended before the daemon started; a list that was
 * read later than the flow was seen tells the two apart.
 */
import type {CookiePacket} from '../ports/cookie-fabric.js';

/** Flows kept at the most; what is more is not told apart. */
const MAX_FLOWS = 4_096;
/** Time for which a flow is kept, in milliseconds: its longest pause and more. */
const FLOW_RETENTION_MS = 5_000;
/** By how much the list has to be younger than the flow's first packet, in milliseconds. */
const CONFIRMATION_MARGIN_MS = 200;

interface UnknownFlow {
  /** Monotonic milliseconds. */
  readonly firstSeenAt: number;
  readonly expiresAt: number;
}

/** Flows with unknown cookies that one daemon has seen of late. */
export class UnknownCookieFlows {
  private readonly flows = new Map<string, UnknownFlow>();

  private constructor() {}

  /** Creates an empty record. */
  static create(): UnknownCookieFlows {
    return new UnknownCookieFlows();
  }

  /**
   * Notes a packet; true if the list read at `confirmedAt` is younger than the
   * first packet of the flow, so that its server is surely not in it.
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
