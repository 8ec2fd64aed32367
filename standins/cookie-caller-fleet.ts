/** All callers of a platform whose packets carry cookies, one flow each. */
import type {CatalogRoute} from '../src/catalog/records.js';
import type {Clock} from '../src/ports/clock.js';
import type {CookiePacket} from '../src/ports/cookie-fabric.js';
import {CookieCaller, type CallEnd} from './cookie-callers.js';

/** The lowest port that callers use; those below are the system's. */
const FIRST_PORT = 1_024;
/** Callers after which ports are used again. */
const PORTS = 60_000;

/** What a fleet of callers is made from. */
export interface CookieCallerFleetOptions {
  readonly clock: Clock;
  /** IPv4 address of the first caller, as a number. */
  readonly firstAddress: number;
  /** Addresses that callers have in turn. */
  readonly addresses: number;
  /** Takes what a caller sends to the fabric. */
  send(packet: CookiePacket): void;
  /** Told of a caller's end; `startedAt` is monotonic milliseconds. */
  onEnd(end: CallEnd, startedAt: number): void;
}

/** The callers of one emulated platform. */
export class CookieCallerFleet {
  private readonly callers = new Map<string, CookieCaller>();
  private count = 0;

  private constructor(private readonly options: CookieCallerFleetOptions) {}

  /** Creates a fleet without callers. */
  static create(options: CookieCallerFleetOptions): CookieCallerFleet {
    return new CookieCallerFleet(options);
  }

  /**
   * Starts a caller that gives up `limitMs` from now; it has some requests, with a pause
   * after each answer.
   */
  start(
    route: CatalogRoute,
    requests: number,
    limitMs: number,
    pauseMs = 0,
  ): CookieCaller {
    this.count += 1;
    const {clock, firstAddress, addresses} = this.options;
    const startedAt = clock.now();
    const caller = CookieCaller.create({
      clock,
      sourceAddress: firstAddress + (this.count % addresses),
      sourcePort: FIRST_PORT + (this.count % PORTS),
      destinationAddress: route.address,
      destinationPort: route.port,
      requests,
      pauseMs,
      deadline: startedAt + limitMs,
      send: packet => this.options.send(packet),
      onEnd: end => this.options.onEnd(end, startedAt),
    });
    this.callers.set(caller.flow, caller);
    return caller;
  }

  /** The caller of a flow, whether the flow has ended or not. */
  find(flow: string): CookieCaller | undefined {
    return this.callers.get(flow);
  }

  /** Id of the server that opened a flow; undefined when none has. */
  serverOf(flow: string): string | undefined {
    return this.callers.get(flow)?.server;
  }
}
