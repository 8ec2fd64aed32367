/**
 * Tracks the requests that pass one daemon and reports the outcome of each to an observer
 * once. A request starts with its first data; its answer is complete when the caller sends
 * the next request, closes the flow, or acknowledges nothing new for `ANSWER_IDLE_MS`.
 */
import type {CatalogServer} from '../catalog/records.js';
import type {KnownRoute} from '../catalog/route-table.js';
import type {CookiePacket} from '../ports/cookie-fabric.js';
import {
  RequestEnd,
  type RequestObserver,
  type RequestOutcome,
} from './request-outcome.js';

/**
 * Time without a new acknowledgement after which an answer is complete. Longer than the
 * retransmission timeout of callers and servers, 200 ms.
 */
const ANSWER_IDLE_MS = 250;
/**
 * Time after which an unanswered request of a route without a target is discarded: its
 * flow may have moved to another daemon.
 */
const MAX_PENDING_MS = 60_000;
/** Half of the 32-bit sequence space; a number further ahead is an older one. */
const HALF_SEQUENCE_SPACE = 2 ** 31;

/** A request whose outcome was not reported yet; times are monotonic milliseconds. */
interface PendingRequest {
  readonly server: CatalogServer;
  readonly route: KnownRoute;
  /** IPv4 address of the caller as an unsigned number. */
  readonly caller: number;
  readonly startedAt: number;
  /** Acknowledgement number of the caller at the start of the request. */
  readonly acknowledgedAtStart: number;
  lastDataAt: number;
  /** When the caller first acknowledged some of the answer; Infinity: not yet. */
  answeredAt: number;
  /** When the caller last acknowledged more of the answer. */
  lastAcknowledgedAt: number;
  requestBytes: number;
  answerBytes: number;
}

/** The pending requests of one daemon, by flow. */
export class RequestTracker {
  private readonly pending = new Map<string, PendingRequest>();

  private constructor(private readonly observer: RequestObserver) {}

  /** Creates a tracker without requests. */
  static create(observer: RequestObserver): RequestTracker {
    return new RequestTracker(observer);
  }

  /** Number of requests whose outcome was not reported yet. */
  get size(): number {
    return this.pending.size;
  }

  /** Records a packet of an open flow that is forwarded to `server`. */
  recordPacket(
    flow: string,
    packet: CookiePacket,
    route: KnownRoute,
    server: CatalogServer,
    now: number,
  ): void {
    this.recordAcknowledgement(flow, packet, now);
    if (packet.dataLength > 0) {
      this.recordData(flow, packet, route, server, now);
    }
    if (packet.closes || packet.resets) {
      this.end(flow, RequestEnd.ABANDONED, now);
    }
  }

  /** Discards a flow's request unreported, when this daemon ended the flow. */
  discard(flow: string): void {
    this.pending.delete(flow);
  }

  /** Reports requests whose answer is complete or overdue by the route's target. */
  reportDue(now: number): void {
    this.pending.forEach((request, flow) => {
      const {answeredAt, lastAcknowledgedAt, startedAt, route} = request;
      const isAnswered = answeredAt < Infinity;
      const dueAt = isAnswered
        ? lastAcknowledgedAt + ANSWER_IDLE_MS
        : startedAt + route.targetMs;
      if (dueAt <= now) {
        this.end(flow, RequestEnd.OVERDUE, now);
      } else if (dueAt === Infinity && startedAt + MAX_PENDING_MS <= now) {
        this.discard(flow);
      }
    });
  }

  /** Updates the answer's length and times if the caller acknowledged more of it. */
  private recordAcknowledgement(
    flow: string,
    packet: CookiePacket,
    now: number,
  ): void {
    const request = this.pending.get(flow);
    if (request === undefined) {
      return;
    }
    const bytes = (packet.acknowledged - request.acknowledgedAtStart) >>> 0;
    if (bytes > request.answerBytes && bytes < HALF_SEQUENCE_SPACE) {
      request.answerBytes = bytes;
      request.answeredAt = Math.min(request.answeredAt, now);
      request.lastAcknowledgedAt = now;
    }
  }

  /** Adds data to the pending request; starts the next one if an answer has begun. */
  private recordData(
    flow: string,
    packet: CookiePacket,
    route: KnownRoute,
    server: CatalogServer,
    now: number,
  ): void {
    const request = this.pending.get(flow);
    if (request !== undefined && request.answeredAt === Infinity) {
      request.lastDataAt = now;
      request.requestBytes += packet.dataLength;
      return;
    }
    this.end(flow, RequestEnd.ANSWERED, now);
    this.pending.set(flow, {
      server,
      route,
      caller: packet.sourceAddress,
      startedAt: now,
      acknowledgedAtStart: packet.acknowledged,
      lastDataAt: now,
      answeredAt: Infinity,
      lastAcknowledgedAt: now,
      requestBytes: packet.dataLength,
      answerBytes: 0,
    });
  }

  /** Reports a flow's request, if any; `unanswered` is its end if it has no answer. */
  private end(flow: string, unanswered: RequestEnd, now: number): void {
    const request = this.pending.get(flow);
    if (request === undefined) {
      return;
    }
    this.pending.delete(flow);
    this.observer.onEnd(outcomeOf(request, unanswered), now);
  }
}

function outcomeOf(
  request: PendingRequest,
  unanswered: RequestEnd,
): RequestOutcome {
  const {server, route, caller, startedAt, lastDataAt, answeredAt} = request;
  const {requestBytes, answerBytes} = request;
  const end = answeredAt < Infinity ? RequestEnd.ANSWERED : unanswered;
  return {
    server,
    route,
    caller,
    end,
    startedAt,
    lastDataAt,
    answeredAt,
    requestBytes,
    answerBytes,
  };
}
