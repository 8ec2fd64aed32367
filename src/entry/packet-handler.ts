/** Forwards or refuses each packet from the fabric; logs and counts the outcome. */
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
import {flowFields, processTimeFields} from './log-fields.js';

/** Dependencies of a `PacketHandler`. */
export interface PacketHandlerOptions {
  readonly fabric: CookieFabric;
  readonly counters: Counters;
  readonly clock: Clock;
  readonly log: Log;
  readonly router: CookieRouter;
  readonly serverLoad: ServerLoadTracker;
  /** Log fields with the versions and ages of routes and servers. */
  versionFields(): LogFields;
}

/** Handles the packets that the fabric sends to one daemon. */
export class PacketHandler {
  /** Monotonic milliseconds of the last packet; -Infinity before the first. */
  lastPacketAt = -Infinity;
  private hasForwarded = false;

  private constructor(private readonly options: PacketHandlerOptions) {}

  /** Creates a handler that has seen no packet. */
  static create(options: PacketHandlerOptions): PacketHandler {
    return new PacketHandler(options);
  }

  /** Forwards or refuses a packet; logs flow openings and refusals only. */
  handle(packet: CookiePacket): void {
    const {fabric, counters, clock, log, router, serverLoad} = this.options;
    this.lastPacketAt = clock.now();
    const decision = router.decide(packet);
    if (decision.verdict !== CookieVerdict.FORWARD) {
      this.refuse(packet, decision);
      return;
    }
    const {server, cookie} = decision;
    counters.add(Metric.PACKETS_FORWARDED);
    fabric.forward(packet, server, cookie);
    this.logFirstPacket();
    if (packet.opens) {
      log.info('flow-placed', {
        ...flowFields(packet),
        server: server.id,
        copy: packet.openAttempt,
        unfinished: serverLoad.countLocalInFlight(server.id),
        ...this.options.versionFields(),
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
      ...flowFields(packet),
      reason: refusal.reason,
      outcome: refusal.verdict,
      cookie: packet.cookie,
      ...this.options.versionFields(),
    });
  }

  /** Logs the time from process start to the first forwarded packet. */
  private logFirstPacket(): void {
    if (!this.hasForwarded) {
      this.hasForwarded = true;
      const {log, clock} = this.options;
      log.info('first-packet', processTimeFields(clock));
    }
  }

  /**
   * Resets the flows of callers that wait for a server which has ended or cannot be
   * reached, if the route allows repeating requests, so that they reconnect elsewhere.
   */
  resetWaitingCallers(
    server: CatalogServer,
    reason: RefusalReason = RefusalReason.SERVER_UNREACHABLE,
  ): void {
    const {fabric, log, counters, router} = this.options;
    router.takeRetryableCallers(server).forEach(caller => {
      fabric.reset(caller);
      counters.add(Metric.PACKETS_UNROUTABLE);
      log.info('flow-reset', {
        ...flowFields(caller),
        server: server.id,
        reason,
      });
    });
  }
}
