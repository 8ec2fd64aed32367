/**
 * Follows the requests that pass one daemon to their ends, and tells an observer of
 * each once. A request is under way from its first data; its answer is complete when
 * the caller sends the next request, closes, or has acknowledged nothing new for a
 * while.
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
 * Time without a new acknowledgement after which an answer is complete, in
 * milliseconds: callers repeat what they miss after 200 ms, servers too.
 */
const ANSWER_IDLE_MS = 250;
/** Half of the range of positions, in bytes: what is further ahead lies behind. */
const HALF_SEQUENCE_SPACE = 2 ** 31;

/** A request whose end was not told yet. */
interface PendingRequest {
  readonly server: CatalogServer;
  readonly route: KnownRoute;
  readonly caller: number;
  readonly startedAt: number;
  /** What the caller had acknowledged when it sent the request. */
  readonly acknowledgedAtStart: number;
  lastDataAt: number;
  answeredAt: number;
  /** When the acknowledgement last grew; monotonic milliseconds. */
  lastAcknowledgedAt: number;
  requestBytes: number;
  answerBytes: number;
}

/** The requests under way at one daemon, by flow. */
export class RequestTracker {
  private readonly pending = new Map<string, PendingRequest>();

  private constructor(private readonly observer: RequestObserver) {}

  /** Creates a watch without requests. */
  static create(observer: RequestObserver): RequestTracker {
    return new RequestTracker(observer);
  }

  /** Requests whose end was not told yet. */
  get size(): number {
    return this.pending.size;
  }

  /** Takes a later packet of a flow, on its way to a server. */
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

  /** Drops a flow's request without telling of it: it was ended here. */
  discard(flow: string): void {
    this.pending.delete(flow);
  }

  /** Tells of answers that are complete by now, and of requests that are overdue. */
  endDue(now: number): void {
    this.pending.forEach((request, flow) => {
      const {
        answeredAt,
        lastAcknowledgedAt: grownAt,
        startedAt,
        route,
      } = request;
      const isAnswered = answeredAt < Infinity;
      const dueAt = isAnswered
        ? grownAt + ANSWER_IDLE_MS
        : startedAt + route.targetMs;
      if (dueAt <= now) {
        this.end(flow, RequestEnd.OVERDUE, now);
      }
    });
  }

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

  /** Data after some of an answer is the next request. */
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

  /** Tells of a flow's request, if there is one; `unanswered` is its end without answer. */
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
  const {
    server,
    route,
    caller,
    startedAt,
    lastDataAt: sentAt,
    answeredAt,
  } = request;
  const {requestBytes, answerBytes} = request;
  const end = answeredAt < Infinity ? RequestEnd.ANSWERED : unanswered;
  return {
    server,
    route,
    caller,
    end,
    startedAt,
    lastDataAt: sentAt,
    answeredAt,
    requestBytes,
    answerBytes,
  };
}
