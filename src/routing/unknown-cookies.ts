/**
 * Flows whose cookie names no server that is known. The server may be newer than
 * this daemon's list, or have ended before the daemon started; a list that was
 * read later than the flow was seen tells the two apart.
 */
import type {CookiePacket} from '../ports/cookie-fabric.js';

/** Flows kept at the most; what is more is not told apart. */
const MAXIMUM_FLOWS = 4_096;
/** Time for which a flow is kept, in milliseconds: its longest pause and more. */
const LIFETIME_MS = 5_000;
/** By how much the list has to be younger than the flow's first packet, in milliseconds. */
const MARGIN_MS = 200;

interface UnknownFlow {
  /** Monotonic milliseconds. */
  readonly firstSeenAt: number;
  readonly forgetAt: number;
}

/** Flows with unknown cookies that one daemon has seen of late. */
export class UnknownCookies {
  private readonly flows = new Map<string, UnknownFlow>();

  private constructor() {}

  /** Creates an empty record. */
  static create(): UnknownCookies {
    return new UnknownCookies();
  }

  /**
   * Notes a packet; true if the list read at `confirmedAt` is younger than the
   * first packet of the flow, so that its server is surely not in it.
   */
  isSurelyAbsent(
    packet: CookiePacket,
    confirmedAt: number,
    now: number,
  ): boolean {
    const key = `${packet.sourceAddress}:${packet.sourcePort}:${packet.cookie}`;
    const known = this.flows.get(key);
    if (known !== undefined && known.forgetAt > now) {
      return confirmedAt - known.firstSeenAt >= MARGIN_MS;
    }
    this.forget(now);
    if (this.flows.size < MAXIMUM_FLOWS) {
      this.flows.set(key, {firstSeenAt: now, forgetAt: now + LIFETIME_MS});
    }
    return false;
  }

  private forget(now: number): void {
    this.flows.forEach(({forgetAt}, key) => {
      if (forgetAt <= now) {
        this.flows.delete(key);
      }
    });
  }
}
