/** Manages the callers of a simulated or emulated platform, which have one flow each. */
import type {CatalogRoute} from '../src/catalog/records.js';
import type {Clock} from '../src/ports/clock.js';
import type {CookiePacket} from '../src/ports/cookie-fabric.js';
import {CookieCaller, type CallOutcome} from './cookie-callers.js';

/** The lowest port above the system ports. */
const FIRST_PORT = 1_024;
/** Number of source ports, which are used in turn. */
const PORT_COUNT = 60_000;

/** Options of a fleet of callers. */
export interface CookieCallerFleetOptions {
  readonly clock: Clock;
  /** Lowest source address: IPv4, as a number. */
  readonly firstAddress: number;
  /** Number of source addresses, which are used in turn. */
  readonly addressCount: number;
  /** Sends a packet of a caller to the fabric. */
  send(packet: CookiePacket): void;
  /** Called when a call ends; `startedAt` is in monotonic milliseconds. */
  onEnd(end: CallOutcome, startedAt: number): void;
}

/** The callers of one platform. */
export class CookieCallerFleet {
  private readonly callers = new Map<string, CookieCaller>();
  private count = 0;

  private constructor(private readonly options: CookieCallerFleetOptions) {}

  /** Creates a fleet without callers. */
  static create(options: CookieCallerFleetOptions): CookieCallerFleet {
    return new CookieCallerFleet(options);
  }

  /**
   * Starts a caller that sends `requests` requests on one flow, each `pauseMs` after the
   * answer to the one before, and gives up after `timeoutMs`.
   */
  start(
    route: CatalogRoute,
    requests: number,
    timeoutMs: number,
    pauseMs = 0,
  ): CookieCaller {
    this.count += 1;
    const {clock, firstAddress, addressCount} = this.options;
    const startedAt = clock.now();
    const caller = CookieCaller.create({
      clock,
      sourceAddress: firstAddress + (this.count % addressCount),
      sourcePort: FIRST_PORT + (this.count % PORT_COUNT),
      destinationAddress: route.address,
      destinationPort: route.port,
      requests,
      pauseMs,
      deadline: startedAt + timeoutMs,
      send: packet => this.options.send(packet),
      onEnd: end => this.options.onEnd(end, startedAt),
    });
    this.callers.set(caller.flow, caller);
    return caller;
  }

  /** Returns the caller of a flow, ended or not. */
  find(flow: string): CookieCaller | undefined {
    return this.callers.get(flow);
  }

  /** Returns the id of the server that accepted a flow; undefined: none has. */
  findServerId(flow: string): string | undefined {
    return this.callers.get(flow)?.server;
  }
}
