/** The task that takes packets from the fabric: forwards or refuses each, and says so. */
import type {CatalogServer} from '../catalog/records.js';
import type {Clock} from '../ports/clock.js';
import type {CookieFabric, CookiePacket} from '../ports/cookie-fabric.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Log, LogFields} from '../ports/log.js';
import {
  RefusalReason,
  CookieVerdict,
  type CookieRefusal,
  type CookieRouter,
} from '../routing/cookie-router.js';
import type {ServerLoadTracker} from '../routing/server-load-tracker.js';
import {flowOf, sinceStart} from './log-lines.js';

/** What the task is made from. */
export interface PacketTaskOptions {
  readonly fabric: CookieFabric;
  readonly counters: Counters;
  readonly clock: Clock;
  readonly log: Log;
  readonly router: CookieRouter;
  readonly work: ServerLoadTracker;
  /** Versions and ages of what decisions are made from. */
  versions(): LogFields;
}

/** Handles the packets of one daemon. */
export class PacketTask {
  /** Monotonic milliseconds at which the fabric last handed a packet over. */
  lastPacketAt = -Infinity;
  private hasForwarded = false;

  private constructor(private readonly options: PacketTaskOptions) {}

  /** Creates a task that waits for its first packet. */
  static create(options: PacketTaskOptions): PacketTask {
    return new PacketTask(options);
  }

  /** Forwards or refuses a packet; only openings and refusals are logged. */
  handle(packet: CookiePacket): void {
    const {fabric, counters, clock, log, router, work} = this.options;
    this.lastPacketAt = clock.now();
    const decision = router.decide(packet);
    if (decision.verdict !== CookieVerdict.FORWARD) {
      this.refuse(packet, decision);
      return;
    }
    const {server, cookie} = decision;
    counters.add(Metric.PACKETS_FORWARDED);
    fabric.forward(packet, server, cookie);
    this.noteFirst();
    if (packet.opens) {
      log.info('flow-placed', {
        ...flowOf(packet),
        server: server.id,
        copy: packet.openCopy,
        unfinished: work.countLocalInFlight(server.id),
        ...this.options.versions(),
      });
    }
  }

  private refuse(packet: CookiePacket, refusal: CookieRefusal): void {
    const {fabric, counters, log} = this.options;
    counters.add(
      refusal.reason === RefusalReason.NO_ROUTE
        ? Metric.PACKETS_UNKNOWN_ADDRESS
        : Metric.PACKETS_UNROUTABLE,
    );
    if (refusal.verdict === CookieVerdict.RESET) {
      fabric.reset(packet);
    }
    log.info('packet-refused', {
      ...flowOf(packet),
      reason: refusal.reason,
      outcome: refusal.verdict,
      cookie: packet.cookie,
      ...this.options.versions(),
    });
  }

  /** Logs how long the daemon took from its start to its first packet. */
  private noteFirst(): void {
    if (!this.hasForwarded) {
      this.hasForwarded = true;
      const {log, clock} = this.options;
      log.info('first-packet', sinceStart(clock));
    }
  }

  /** Callers that wait for a server that is lost come again elsewhere. */
  resetWaiting(
    server: CatalogServer,
    reason: RefusalReason = RefusalReason.SERVER_UNREACHABLE,
  ): void {
    const {fabric, log, counters, router} = this.options;
    router.takeCutOff(server).forEach(caller => {
      fabric.reset(caller);
      counters.add(Metric.PACKETS_UNROUTABLE);
      log.info('flow-reset', {
        ...flowOf(caller),
        server: server.id,
        reason,
      });
    });
  }
}
