/**
 * Ends flows whose requests can no longer be answered, so that callers reconnect before
 * their own timeouts.
 *
 * After a server restart, resends the newest packet of each of its flows: the server
 * resets those that it does not know. Flows of servers that have ended or cannot be
 * reached are reset here if they have no request in flight or it may be repeated.
 */
import type {Catalog, CatalogChange} from '../catalog/catalog.js';
import type {CatalogServer} from '../catalog/records.js';
import type {Clock} from '../ports/clock.js';
import type {CookieFabric} from '../ports/cookie-fabric.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Log} from '../ports/log.js';
import type {ServerReachability} from '../reachability/server-reachability.js';
import {RefusalReason, type CookieRouter} from '../routing/cookie-router.js';
import type {TrackedFlow} from '../routing/flow-tracker.js';
import type {ServerLoadTracker} from '../routing/server-load-tracker.js';
import {flowFields} from './log-fields.js';
import type {PacketHandler} from './packet-handler.js';
import {RateLimitedQueue, type SendTask} from './rate-limited-queue.js';

/**
 * Delays from a detected restart to each resend, in milliseconds. A resend fails if the
 * packet is lost, the server does not listen yet or the network is partitioned. Callers
 * wait for 2 s to 13 s.
 */
const RESEND_DELAYS_MS: readonly number[] = [0, 1_000, 4_000, 9_000];
/** Bytes of a reset on the link, headers included. */
const RESET_BYTES = 60;
/** Bytes of headers in front of a forwarded packet. */
const FORWARD_HEADER_BYTES = 36;

/** Dependencies of a `FlowTerminator`. */
export interface FlowTerminatorOptions {
  /**
   * Whether to end idle flows and flows of ended servers. If false, only callers waiting
   * for an unreachable server are reset.
   */
  readonly isEnabled: boolean;
  readonly catalog: Catalog;
  readonly router: CookieRouter;
  readonly serverLoad: ServerLoadTracker;
  readonly packetHandler: PacketHandler;
  readonly reachability: ServerReachability;
  readonly fabric: CookieFabric;
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  /** Bandwidth of the instance's link, in megabits per second. */
  readonly linkMbps: number;
}

/** Ends flows of restarted, ended and unreachable servers. */
export class FlowTerminator {
  private readonly queue: RateLimitedQueue;

  private constructor(private readonly options: FlowTerminatorOptions) {
    this.queue = RateLimitedQueue.create(options.clock, options.linkMbps);
  }

  /** Creates a terminator with an empty send queue. */
  static create(options: FlowTerminatorOptions): FlowTerminator {
    return new FlowTerminator(options);
  }

  /** Discards all queued packets. */
  stop(): void {
    this.queue.stop();
  }

  /** Handles servers that restarted or ended. */
  onCatalogChange({restarted, ended}: CatalogChange): void {
    restarted.forEach(server => this.onServerRestarted(server));
    ended.forEach(server => this.onServerEnded(server));
  }

  /**
   * Handles a server that several daemons cannot reach. Resets waiting flows whose
   * requests may be repeated, and idle flows once this daemon's own probe has failed too.
   */
  async onServerUnreachable(server: CatalogServer): Promise<void> {
    this.options.packetHandler.resetWaitingCallers(server);
    const hasIdle = this.listIdleFlows(server).length > 0;
    if (
      hasIdle &&
      (await this.options.reachability.verifyUnreachable(server))
    ) {
      this.resetIdleFlows(server);
    }
  }

  /** Drops the load counted for the former incarnation, and schedules the resends. */
  private onServerRestarted(server: CatalogServer): void {
    const {router, serverLoad, clock, log} = this.options;
    const flows = router.flows
      .rebindFlows(server)
      .filter(
        ({isOpen, retainedPacket}) => isOpen && retainedPacket !== undefined,
      );
    serverLoad.forget(server.id);
    const {id, service} = server;
    log.info('server-restarted', {server: id, service, flows: flows.length});
    const now = clock.now();
    if (flows.length > 0) {
      RESEND_DELAYS_MS.forEach(delayMs =>
        clock.callAt(now + delayMs, () =>
          this.resendPackets(flows, server, now),
        ),
      );
    }
  }

  private onServerEnded(server: CatalogServer): void {
    const {isEnabled, packetHandler, router} = this.options;
    if (isEnabled && router.isCatalogCurrent()) {
      packetHandler.resetWaitingCallers(server, RefusalReason.SERVER_GONE);
      this.resetIdleFlows(server);
    }
  }

  private resetIdleFlows(server: CatalogServer): void {
    const idle = this.listIdleFlows(server);
    this.queue.add(idle.map(flow => this.createResetTask(flow, server)));
  }

  private listIdleFlows({id}: CatalogServer): TrackedFlow[] {
    const {isEnabled, router} = this.options;
    return isEnabled ? router.flows.listIdle(id) : [];
  }

  /** Queues the resends, unless the server restarted again or cannot be reached. */
  private resendPackets(
    flows: readonly TrackedFlow[],
    server: CatalogServer,
    restartedAt: number,
  ): void {
    const {catalog} = this.options;
    const {id, startTime} = server;
    const isSameIncarnation = catalog.serverById(id)?.startTime === startTime;
    if (isSameIncarnation && !this.options.reachability.isUnreachable(id)) {
      this.queue.add(
        flows.map(flow => this.createResendTask(flow, server, restartedAt)),
      );
    }
  }

  /**
   * The task skips flows with a packet since `restartedAt`: that packet already had the
   * server answer or reset the flow.
   */
  private createResendTask(
    flow: TrackedFlow,
    server: CatalogServer,
    restartedAt: number,
  ): SendTask {
    const {fabric, counters} = this.options;
    return () => {
      const {retainedPacket, hasEnded, lastPacketAt} = flow;
      if (
        retainedPacket === undefined ||
        hasEnded ||
        lastPacketAt > restartedAt
      ) {
        return 0;
      }
      fabric.forward(retainedPacket, server, retainedPacket.cookie);
      counters.add(Metric.PACKETS_REPEATED);
      return retainedPacket.bytes.length + FORWARD_HEADER_BYTES;
    };
  }

  /**
   * The task checks again when it runs: the server may have become reachable, or the flow
   * busy, since it was queued.
   */
  private createResetTask(flow: TrackedFlow, server: CatalogServer): SendTask {
    const {fabric, log, counters, router} = this.options;
    return () => {
      const reason = this.findResetReason(server);
      if (reason === undefined || !router.flows.endIfIdle(flow)) {
        return 0;
      }
      fabric.reset(flow.caller);
      counters.add(Metric.FLOWS_ENDED);
      log.info('flow-reset', {
        ...flowFields(flow.caller),
        server: server.id,
        reason,
      });
      return RESET_BYTES;
    };
  }

  /** Returns why flows of a server may be reset now; undefined if they may not. */
  private findResetReason(server: CatalogServer): RefusalReason | undefined {
    const {catalog, router} = this.options;
    if (catalog.hasEnded(server) && router.isCatalogCurrent()) {
      return RefusalReason.SERVER_GONE;
    }
    return this.options.reachability.isUnreachable(server.id)
      ? RefusalReason.SERVER_UNREACHABLE
      : undefined;
  }
}
