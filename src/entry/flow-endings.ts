/**
 * Ends flows early that can come to nothing, so that callers open others in time.
 *
 * The patterns answered: servers that start again under their id while callers wait at
 * their former life, which has acknowledged their requests, so that they send nothing; and
 * servers by the dozen that end while callers keep flows open there whose requests may
 * not be repeated, so that the next request on each is lost for good.
 *
 * Whether a flow is of a former life only its server knows. So it is sent the newest
 * packet of each flow once more: it resets what it does not hold itself. Flows of servers
 * that have ended, or that several daemons cannot reach, are reset here while no request
 * is under way on them.
 */
import type {Catalog, CatalogChange} from '../catalog/catalog.js';
import type {CatalogServer} from '../catalog/records.js';
import type {Clock} from '../ports/clock.js';
import type {CookieFabric} from '../ports/cookie-fabric.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Log} from '../ports/log.js';
import type {ServerReachability} from '../reachability/server-reachability.js';
import {RefusalReason, type CookieRouter} from '../routing/cookie-router.js';
import type {SeenFlow} from '../routing/seen-flows.js';
import type {ServerWorkLedger} from '../routing/server-work.js';
import {flowOf} from './log-lines.js';
import type {PacketTask} from './packet-task.js';
import {PacedQueue, type Sending} from './paced-queue.js';

/**
 * Times after the news of a new life at which packets are sent there, in milliseconds:
 * one may be lost, the server may not listen yet, or it may be behind a cut. Callers wait
 * for 2 s to 13 s.
 */
const TRIES_AFTER_MS: readonly number[] = [0, 1_000, 4_000, 9_000];
/** Bytes of a reset, and of what stands before a packet, headers of datagrams included. */
const RESET_BYTES = 60;
const HEADER_BYTES = 36;

/** What the endings are made from. */
export interface FlowEndingsOptions {
  /** Whether flows are ended early; else nothing is kept or sent. */
  readonly isOn: boolean;
  readonly catalog: Catalog;
  readonly router: CookieRouter;
  readonly work: ServerWorkLedger;
  readonly packets: PacketTask;
  readonly reach: ServerReachability;
  readonly fabric: CookieFabric;
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  /** What the link carries, in megabits a second. */
  readonly linkMbps: number;
}

/** The flows that one daemon ends early. */
export class FlowEndings {
  private readonly queue: PacedQueue;

  private constructor(private readonly options: FlowEndingsOptions) {
    this.queue = PacedQueue.create(options.clock, options.linkMbps);
  }

  /** Creates endings that have nothing to end. */
  static create(options: FlowEndingsOptions): FlowEndings {
    return new FlowEndings(options);
  }

  /** Sends nothing more. */
  stop(): void {
    this.queue.stop();
  }

  /** Takes a change of the catalog. */
  noteChange({restarted, ended}: CatalogChange): void {
    restarted.forEach(server => this.noteRestarted(server));
    ended.forEach(server => this.noteEnded(server));
  }

  /**
   * Callers that wait for a server that neither others nor this daemon can reach come
   * again elsewhere if their requests may be repeated; idle flows there end.
   */
  noteLost(server: CatalogServer): void {
    this.options.packets.resetWaiting(server);
    this.resetIdle(server);
  }

  /** What was under way at a server's former life is void, and its flows end there. */
  private noteRestarted(server: CatalogServer): void {
    const {router, work, clock, log} = this.options;
    const flows = router.flows
      .renew(server)
      .filter(({isOpen, kept}) => isOpen && kept !== undefined);
    work.forget(server.id);
    const {id, service} = server;
    log.info('server-restarted', {server: id, service, flows: flows.length});
    const now = clock.now();
    if (flows.length > 0) {
      TRIES_AFTER_MS.forEach(after =>
        clock.callAt(now + after, () => this.sendAgain(flows, server, now)),
      );
    }
  }

  /** A server has ended for certain: whoever waits for it waits in vain. */
  private noteEnded(server: CatalogServer): void {
    const {isOn, packets, router} = this.options;
    if (isOn && router.isCurrent()) {
      packets.resetWaiting(server, RefusalReason.SERVER_GONE);
      this.resetIdle(server);
    }
  }

  private resetIdle(server: CatalogServer): void {
    const idle = this.idleAt(server);
    this.queue.add(idle.map(flow => this.resetOf(flow, server)));
  }

  private idleAt({id}: CatalogServer): SeenFlow[] {
    const {isOn, router} = this.options;
    return isOn ? router.flows.idleAt(id) : [];
  }

  /** Sends packets of flows to the life of a server that began before `since`. */
  private sendAgain(
    flows: readonly SeenFlow[],
    server: CatalogServer,
    since: number,
  ): void {
    const {catalog} = this.options;
    const {id, startTime} = server;
    const isThisLife = catalog.serverById(id)?.startTime === startTime;
    if (isThisLife && !this.options.reach.isUnreachable(id)) {
      this.queue.add(flows.map(flow => this.repeatOf(flow, server, since)));
    }
  }

  /** A flow that was heard of since needs no repeat: its own packets tell the server. */
  private repeatOf(
    flow: SeenFlow,
    server: CatalogServer,
    since: number,
  ): Sending {
    const {fabric, counters} = this.options;
    return () => {
      const {kept, hasEnded, seenAt} = flow;
      if (kept === undefined || hasEnded || seenAt > since) {
        return 0;
      }
      fabric.forward(kept, server, kept.cookie);
      counters.add(Metric.PACKETS_REPEATED);
      return kept.bytes.length + HEADER_BYTES;
    };
  }

  /** Looked at again when its turn comes: the server may be back, the flow in use. */
  private resetOf(flow: SeenFlow, server: CatalogServer): Sending {
    const {fabric, log, counters, router} = this.options;
    return () => {
      const reason = this.reasonToReset(server);
      if (reason === undefined || !router.flows.endIdle(flow)) {
        return 0;
      }
      fabric.reset(flow.caller);
      counters.add(Metric.FLOWS_ENDED);
      log.info('flow-reset', {
        ...flowOf(flow.caller),
        server: server.id,
        reason,
      });
      return RESET_BYTES;
    };
  }

  /** Why flows of a server may be reset now; undefined: they may not. */
  private reasonToReset(server: CatalogServer): RefusalReason | undefined {
    const {catalog, router} = this.options;
    if (catalog.isGone(server) && router.isCurrent()) {
      return RefusalReason.SERVER_GONE;
    }
    return this.options.reach.isLost(server.id)
      ? RefusalReason.SERVER_UNREACHABLE
      : undefined;
  }
}
