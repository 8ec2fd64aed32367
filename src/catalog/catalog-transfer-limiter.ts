/**
 * Limits the catalog transfers of one daemon to the bandwidth of its link. While others
 * are queued, further daemons are referred to those that have received the catalog
 * since, so that it spreads as a tree when a large fleet starts from a few seeds.
 */

/** Estimated size of a route and of a server in a transfer. */
const ROUTE_BYTES = 30;
const SERVER_BYTES = 65;
/** Transfers up to this size are always admitted. */
const MAX_UNLIMITED_BYTES = 4_096;
/** Queueing delay up to which a transfer is admitted rather than referred. */
const MAX_QUEUE_MS = 40;
/** Time from the last byte sent until the recipient can serve the catalog. */
const DELIVERY_MS = 10;
const MAX_RECIPIENTS = 16;
/** How long others are referred to a recipient once it has the catalog. */
const RECIPIENT_TTL_MS = 2_000;
const BITS_PER_BYTE = 8;
const BITS_PER_MS_PER_MBPS = 1_000;

/** A daemon that was sent the catalog. */
interface Recipient {
  readonly address: number;
  /** When it has the catalog; monotonic milliseconds. */
  readonly readyAt: number;
}

/** Another daemon to pull from, and when. */
export interface Referral {
  /** Its IPv4 address as an unsigned number. */
  readonly other: number;
  /** Milliseconds until it has the catalog. */
  readonly waitMs: number;
}

/** Admits or refers the transfers that one daemon is asked for. */
export class CatalogTransferLimiter {
  private recipients: Recipient[] = [];
  /** When the link will have sent all admitted transfers; monotonic milliseconds. */
  private busyUntil = -Infinity;
  /** Selections among recipients so far, for round robin. */
  private referrals = 0;

  private constructor(private readonly linkMbps: number) {}

  /** Creates a limiter for a link of some megabits per second. */
  static create(linkMbps: number): CatalogTransferLimiter {
    return new CatalogTransferLimiter(linkMbps);
  }

  /**
   * Returns the daemon to pull from instead, or undefined if the transfer is admitted.
   * Its time on the link is then reserved, and the asker recorded as a recipient.
   */
  admitOrRefer(
    asker: number,
    size: {routes: number; servers: number},
    now: number,
  ): Referral | undefined {
    const bytes = size.routes * ROUTE_BYTES + size.servers * SERVER_BYTES;
    if (bytes <= MAX_UNLIMITED_BYTES) {
      return undefined;
    }
    const startAt = Math.max(now, this.busyUntil);
    const recipient =
      startAt - now > MAX_QUEUE_MS
        ? this.nextRecipient(asker, now, startAt + DELIVERY_MS)
        : undefined;
    if (recipient !== undefined) {
      const waitMs = Math.max(0, Math.ceil(recipient.readyAt - now));
      return {other: recipient.address, waitMs};
    }
    const durationMs =
      (bytes * BITS_PER_BYTE) / (this.linkMbps * BITS_PER_MS_PER_MBPS);
    this.busyUntil = startAt + durationMs;
    this.recordRecipient({
      address: asker,
      readyAt: this.busyUntil + DELIVERY_MS,
    });
    return undefined;
  }

  /**
   * Selects a recent recipient by round robin, among those that have the catalog before
   * this daemon could start another transfer.
   */
  private nextRecipient(
    asker: number,
    now: number,
    readyBy: number,
  ): Recipient | undefined {
    const eligible = this.recipients.filter(
      ({address, readyAt}) =>
        address !== asker &&
        readyAt <= readyBy &&
        now - readyAt <= RECIPIENT_TTL_MS,
    );
    this.referrals += 1;
    return eligible[this.referrals % Math.max(1, eligible.length)];
  }

  private recordRecipient(recipient: Recipient): void {
    const others = this.recipients.filter(
      ({address}) => address !== recipient.address,
    );
    this.recipients = [...others, recipient].slice(-MAX_RECIPIENTS);
  }
}
