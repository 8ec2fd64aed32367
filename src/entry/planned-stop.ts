/**
 * A planned stop: waits until the failure domain can spare this daemon, tells
 * the fabric, and forwards until the fabric has left.
 *
 * A fabric that finds fewer than half of a domain's daemons ready uses all of
 * them, those that have ended included. So of daemons that are stopped in close
 * succession each waits for the one before it to be back.
 */
import type {PeerView} from '../membership/peer-view.js';
import type {Clock} from '../ports/clock.js';

/** Time between two looks, in milliseconds. */
const LOOK_MS = 100;
/**
 * Shortest time between the refusal and the end, in milliseconds: the fabric
 * asks twice a second and leaves after two refusals.
 */
const SHORTEST_FORWARDING_MS = 1_100;
/** Time without a packet after which the fabric has left, in milliseconds. */
const QUIET_MS = 300;
/** Time kept back for the end itself on a slow instance, in milliseconds. */
const RESERVE_MS = 800;
/** Time kept back for forwarding after the wait for others, in milliseconds. */
const FORWARDING_RESERVE_MS = 1_800;
/** What a stop is made from. */
export interface PlannedStopOptions {
  readonly clock: Clock;
  readonly peers: PeerView;
  readonly failureDomain: string;
  /** Longest time that the stop may take, in milliseconds. */
  readonly stopLimitMs: number;
  /** When the fabric last handed a packet over, in monotonic milliseconds. */
  lastPacketAt(): number;
}

/** The stop of one daemon. */
export class PlannedStop {
  private readonly endBy: number;

  private constructor(private readonly options: PlannedStopOptions) {
    const {clock, stopLimitMs} = options;
    this.endBy = clock.now() + stopLimitMs - RESERVE_MS;
  }

  /** Creates a stop whose limit counts from now. */
  static create(options: PlannedStopOptions): PlannedStop {
    return new PlannedStop(options);
  }

  /** Waits until at least half of the domain is ready without this daemon. */
  async awaitTurn(): Promise<void> {
    const latest = this.endBy - FORWARDING_RESERVE_MS;
    await this.lookUntil(() => this.canBeSpared(), latest);
  }

  /** Waits until the fabric hands no more packets over. */
  async awaitQuiet(): Promise<void> {
    const {clock} = this.options;
    const earliest = clock.now() + SHORTEST_FORWARDING_MS;
    const isQuiet = () =>
      clock.now() >= earliest &&
      clock.now() - this.options.lastPacketAt() >= QUIET_MS;
    await this.lookUntil(isQuiet, this.endBy);
  }

  /**
   * Counts those that are ready against those that are not, as far as the view
   * reaches: a domain with more daemons than a view holds is spared with care.
   */
  private canBeSpared(): boolean {
    const {peers, clock, failureDomain} = this.options;
    const now = clock.now();
    const ready = peers
      .live(now)
      .filter(peer => peer.failureDomain === failureDomain && !peer.leaving);
    const out = new Set(
      [...peers.leaving(now), ...peers.missing(now)].map(
        ({address}) => address,
      ),
    );
    return out.size === 0 || ready.length > out.size;
  }

  private async lookUntil(
    isOver: () => boolean,
    latest: number,
  ): Promise<void> {
    const {clock} = this.options;
    while (!isOver() && clock.now() < latest) {
      await new Promise<void>(resolve => {
        clock.callAt(clock.now() + LOOK_MS, resolve);
      });
    }
  }
}
