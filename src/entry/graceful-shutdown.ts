/**
 * Timing of a graceful shutdown: waits until callers are served without this daemon, and
 * then until the fabric sends no more packets.
 *
 * A fabric that finds fewer than half of a domain's daemons ready sends packets to all of
 * them, ended ones included; one that finds none uses the nearest domains. Daemons that
 * are stopped in close succession therefore wait for those stopped before to come back,
 * but the last ready one of a domain leaves at once.
 */
import type {PeerView} from '../membership/peer-view.js';
import type {Clock} from '../ports/clock.js';

/** Interval between two checks of a condition. */
const POLL_INTERVAL_MS = 100;
/**
 * Minimum time of forwarding after the daemon reports not ready: the fabric checks every
 * 500 ms and stops sending after two failed checks.
 */
const MIN_DRAIN_MS = 1_100;
/** Time without a packet after which the fabric has stopped sending. */
const TRAFFIC_END_MS = 300;
/** Time reserved for the exit of the process on a slow instance. */
const EXIT_RESERVE_MS = 800;
/** Time reserved for forwarding after the wait for other daemons. */
const DRAIN_RESERVE_MS = 1_800;
/**
 * Maximum wait for other daemons. A peer that was stopped is ready again after some 2 s,
 * and the fabric counts this daemon as ready for up to a second more: two failed checks.
 */
const MAX_CAPACITY_WAIT_MS = 2_200;

/** Why a daemon that is stopping reports not ready now. */
export const LeaveReason = {
  /** The fabric still finds at least half of the failure domain's daemons ready. */
  DOMAIN_SUFFICES: 'domain suffices',
  /** The fabric uses other failure domains when it finds no daemon of this one ready. */
  OTHER_DOMAINS_SERVE: 'other domains serve',
  TIME_LIMIT: 'time limit',
} as const;
/** A value of `LeaveReason`. */
export type LeaveReason = (typeof LeaveReason)[keyof typeof LeaveReason];

/** Numbers of other daemons, as known to one daemon. */
export interface PeerCounts {
  /** Ready daemons of the own failure domain. */
  readonly ready: number;
  /** Daemons of the own failure domain that are leaving or have left. */
  readonly leaving: number;
  /** Daemons of the own failure domain that fell silent without leaving. */
  readonly missing: number;
  /** Ready daemons of other failure domains. */
  readonly readyElsewhere: number;
}

/** The end of the wait for other daemons. */
export interface Leave extends PeerCounts {
  readonly reason: LeaveReason;
}

/** Dependencies and limits of a `GracefulShutdown`. */
export interface GracefulShutdownOptions {
  readonly clock: Clock;
  readonly peers: PeerView;
  readonly failureDomain: string;
  /** Time limit of the whole shutdown, in milliseconds. */
  readonly stopLimitMs: number;
  /** Monotonic milliseconds of the last packet from the fabric. */
  lastPacketAt(): number;
}

/** The waits of one daemon's shutdown; both end early when time runs out. */
export class GracefulShutdown {
  /** End of the wait for other daemons; monotonic milliseconds. */
  private readonly capacityDeadline: number;
  /** End of forwarding; monotonic milliseconds. */
  private readonly deadline: number;

  private constructor(private readonly options: GracefulShutdownOptions) {
    const {clock, stopLimitMs} = options;
    const now = clock.now();
    this.deadline = now + stopLimitMs - EXIT_RESERVE_MS;
    this.capacityDeadline = Math.min(
      now + MAX_CAPACITY_WAIT_MS,
      this.deadline - DRAIN_RESERVE_MS,
    );
  }

  /** Creates a shutdown whose time limit starts now. */
  static create(options: GracefulShutdownOptions): GracefulShutdown {
    return new GracefulShutdown(options);
  }

  /** Waits until callers are served without this daemon, or for a limited time. */
  async awaitPeerCapacity(): Promise<Leave> {
    await this.pollUntil(
      () => findLeaveReason(this.countPeers()) !== undefined,
      this.capacityDeadline,
    );
    const counts = this.countPeers();
    return {
      ...counts,
      reason: findLeaveReason(counts) ?? LeaveReason.TIME_LIMIT,
    };
  }

  /** Waits until the fabric sends no more packets. */
  async awaitTrafficEnd(): Promise<void> {
    const {clock} = this.options;
    const earliest = clock.now() + MIN_DRAIN_MS;
    const hasTrafficEnded = () =>
      clock.now() >= earliest &&
      clock.now() - this.options.lastPacketAt() >= TRAFFIC_END_MS;
    await this.pollUntil(hasTrafficEnded, this.deadline);
  }

  /** Counts only the peers in this daemon's view, which is partial in a large fleet. */
  private countPeers(): PeerCounts {
    const {peers, clock, failureDomain} = this.options;
    const now = clock.now();
    const ready = peers.live(now).filter(({leaving}) => !leaving);
    const readyHere = ready.filter(
      peer => peer.failureDomain === failureDomain,
    );
    const leaving = new Set(peers.leaving(now).map(({address}) => address));
    const missing = peers
      .missing(now)
      .filter(({address}) => !leaving.has(address));
    return {
      ready: readyHere.length,
      leaving: leaving.size,
      missing: missing.length,
      readyElsewhere: ready.length - readyHere.length,
    };
  }

  private async pollUntil(isMet: () => boolean, latest: number): Promise<void> {
    const {clock} = this.options;
    while (!isMet() && clock.now() < latest) {
      await new Promise<void>(resolve => {
        clock.callAt(clock.now() + POLL_INTERVAL_MS, resolve);
      });
    }
  }
}

/** Returns why a daemon with these peers may leave; undefined: it should wait. */
function findLeaveReason(counts: PeerCounts): LeaveReason | undefined {
  const notReady = counts.leaving + counts.missing;
  if (notReady === 0 || counts.ready > notReady) {
    return LeaveReason.DOMAIN_SUFFICES;
  }
  return counts.ready === 0 && counts.readyElsewhere > 0
    ? LeaveReason.OTHER_DOMAINS_SERVE
    : undefined;
}
