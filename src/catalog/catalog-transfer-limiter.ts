/**
 * How many daemons one daemon gives whole copies to at once. Its link carries one copy
 * after the other, so a daemon that asks while others wait is told who has got one
 * since: copies spread as a tree, and nobody sends more than its link bears.
 *
 * The pattern answered: all daemons of a large fleet start at once, know the same three
 * addresses, and a copy takes a slow link 30 ms or more.
 */
/** Estimated length of a route and of a server in a copy, in bytes. */
const ROUTE_BYTES = 30;
const SERVER_BYTES = 65;
/** Copies up to this length are given to everyone at once, in bytes. */
const MAX_UNLIMITED_BYTES = 4_096;
/** Time that a copy may wait for its turn in any case, in milliseconds. */
const MAX_QUEUE_MS = 40;
/** Time after its last byte left until a copy is there and can be given on. */
const DELIVERY_MS = 10;
/** Daemons with a copy that are remembered. */
const MAX_RECIPIENTS = 16;
/** Time for which a daemon that took a copy is named, in milliseconds. */
const RECIPIENT_TTL_MS = 2_000;
const BITS_PER_BYTE = 8;
const BITS_PER_MS_PER_MBPS = 1_000;

/** A daemon that was given a copy. */
interface Recipient {
  readonly address: number;
  /** When it has the copy; monotonic milliseconds. */
  readonly readyAt: number;
}

/** Another daemon to ask, and when. */
export interface Referral {
  readonly other: number;
  /** Milliseconds until it has a copy. */
  readonly waitMs: number;
}

/** The copies that one daemon gives. */
export class CatalogTransferLimiter {
  private recipients: Recipient[] = [];
  /** When the link has carried all copies given so far; monotonic milliseconds. */
  private busyUntil = -Infinity;
  /** Referrals so far. */
  private referrals = 0;

  private constructor(private readonly linkMbps: number) {}

  /** Creates the giver of a daemon whose link carries some megabits a second. */
  static create(linkMbps: number): CatalogTransferLimiter {
    return new CatalogTransferLimiter(linkMbps);
  }

  /**
   * Whom to ask in place of this one for a copy of some length; undefined when this one
   * gives it, which counts as done.
   */
  admitOrRefer(
    asker: number,
    copy: {routes: number; servers: number},
    now: number,
  ): Referral | undefined {
    const bytes = copy.routes * ROUTE_BYTES + copy.servers * SERVER_BYTES;
    if (bytes <= MAX_UNLIMITED_BYTES) {
      return undefined;
    }
    const begin = Math.max(now, this.busyUntil);
    const taker =
      begin - now > MAX_QUEUE_MS
        ? this.nextRecipient(asker, now, begin + DELIVERY_MS)
        : undefined;
    if (taker !== undefined) {
      const waitMs = Math.max(0, Math.ceil(taker.readyAt - now));
      return {other: taker.address, waitMs};
    }
    const takesMs =
      (bytes * BITS_PER_BYTE) / (this.linkMbps * BITS_PER_MS_PER_MBPS);
    this.busyUntil = begin + takesMs;
    this.recordRecipient({
      address: asker,
      readyAt: this.busyUntil + DELIVERY_MS,
    });
    return undefined;
  }

  /**
   * The daemons that took a copy of late, and have it before this one could begin to
   * send another, are named in turn.
   */
  private nextRecipient(
    asker: number,
    now: number,
    readyBy: number,
  ): Recipient | undefined {
    const known = this.recipients.filter(
      ({address, readyAt}) =>
        address !== asker &&
        readyAt <= readyBy &&
        now - readyAt <= RECIPIENT_TTL_MS,
    );
    this.referrals += 1;
    return known[this.referrals % Math.max(1, known.length)];
  }

  private recordRecipient(taker: Recipient): void {
    const others = this.recipients.filter(
      ({address}) => address !== taker.address,
    );
    this.recipients = [...others, taker].slice(-MAX_RECIPIENTS);
  }
}
