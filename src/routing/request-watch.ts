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
const SETTLE_MS = 250;
/** Half of the range of positions, in bytes: what is further ahead lies behind. */
const HALF_RANGE = 2 ** 31;

/** A request whose end was not told yet. */
interface OpenRequest {
  readonly server: CatalogServer;
  readonly route: KnownRoute;
  readonly caller: number;
  readonly startedAt: number;
  /** What the caller had acknowledged when it sent the request. */
  readonly acknowledgedBefore: number;
  sentAt: number;
  answeredAt: number;
  /** When the acknowledgement last grew; monotonic milliseconds. */
  grownAt: number;
  requestBytes: number;
  answerBytes: number;
}

/** The requests under way at one daemon, by flow. */
export class RequestWatch {
  private readonly open = new Map<string, OpenRequest>();

  private constructor(private readonly observer: RequestObserver) {}

  /** Creates a watch without requests. */
  static create(observer: RequestObserver): RequestWatch {
    return new RequestWatch(observer);
  }

  /** Requests whose end was not told yet. */
  get size(): number {
    return this.open.size;
  }

  /** Takes a later packet of a flow, on its way to a server. */
  notePacket(
    flow: string,
    packet: CookiePacket,
    route: KnownRoute,
    server: CatalogServer,
    now: number,
  ): void {
    this.noteGrowth(flow, packet, now);
    if (packet.dataLength > 0) {
      this.noteData(flow, packet, route, server, now);
    }
    if (packet.closes || packet.resets) {
      this.end(flow, RequestEnd.LEFT, now);
    }
  }

  /** Drops a flow's request without telling of it: it was ended here. */
  drop(flow: string): void {
    this.open.delete(flow);
  }

  /** Tells of answers that are complete by now, and of requests that are overdue. */
  settle(now: number): void {
    this.open.forEach((request, flow) => {
      const {answeredAt, grownAt, startedAt, route} = request;
      const isAnswered = answeredAt < Infinity;
      const dueAt = isAnswered
        ? grownAt + SETTLE_MS
        : startedAt + route.targetMs;
      if (dueAt <= now) {
        this.end(flow, RequestEnd.OVERDUE, now);
      }
    });
  }

  private noteGrowth(flow: string, packet: CookiePacket, now: number): void {
    const request = this.open.get(flow);
    if (request === undefined) {
      return;
    }
    const bytes = (packet.acknowledged - request.acknowledgedBefore) >>> 0;
    if (bytes > request.answerBytes && bytes < HALF_RANGE) {
      request.answerBytes = bytes;
      request.answeredAt = Math.min(request.answeredAt, now);
      request.grownAt = now;
    }
  }

  /** Data after some of an answer is the next request. */
  private noteData(
    flow: string,
    packet: CookiePacket,
    route: KnownRoute,
    server: CatalogServer,
    now: number,
  ): void {
    const request = this.open.get(flow);
    if (request !== undefined && request.answeredAt === Infinity) {
      request.sentAt = now;
      request.requestBytes += packet.dataLength;
      return;
    }
    this.end(flow, RequestEnd.ANSWERED, now);
    this.open.set(flow, {
      server,
      route,
      caller: packet.sourceAddress,
      startedAt: now,
      acknowledgedBefore: packet.acknowledged,
      sentAt: now,
      answeredAt: Infinity,
      grownAt: now,
      requestBytes: packet.dataLength,
      answerBytes: 0,
    });
  }

  /** Tells of a flow's request, if there is one; `unanswered` is its end without answer. */
  private end(flow: string, unanswered: RequestEnd, now: number): void {
    const request = this.open.get(flow);
    if (request === undefined) {
      return;
    }
    this.open.delete(flow);
    this.observer.onEnd(outcomeOf(request, unanswered), now);
  }
}

function outcomeOf(
  request: OpenRequest,
  unanswered: RequestEnd,
): RequestOutcome {
  const {server, route, caller, startedAt, sentAt, answeredAt} = request;
  const {requestBytes, answerBytes} = request;
  const end = answeredAt < Infinity ? RequestEnd.ANSWERED : unanswered;
  return {
    server,
    route,
    caller,
    end,
    startedAt,
    sentAt,
    answeredAt,
    requestBytes,
    answerBytes,
  };
}
