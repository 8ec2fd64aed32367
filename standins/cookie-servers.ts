/**
 * A simulated backend server behind a fabric with cookies: accepts flows, processes
 * requests in slots with a bounded queue, and may be paused or crash.
 */
import type {CookiePacket} from '../src/ports/cookie-fabric.js';
import {ServerState, type CatalogServer} from '../src/catalog/records.js';
import type {Clock} from '../src/ports/clock.js';

/** A packet from a server to a caller. */
export interface ServerPacket {
  readonly flow: string;
  readonly server: string;
  readonly kind: 'opened' | 'received' | 'answer' | 'reset';
  /** Cookie of the packet that this one responds to. */
  readonly cookie: number;
  /** Length of an answer; undefined for other kinds. */
  readonly answerBytes?: number;
}

/** Length of an answer, and of one that says that the request failed. */
export const ANSWER_BYTES = 100;
export const FAILURE_BYTES = 20;

/** How a server treats requests worse than it should. */
export interface ServerFaults {
  /** Share of the requests that get a short failure answer at once. */
  readonly failureShare: number;
  /** Whether it acknowledges requests and never answers them. */
  readonly isMute: boolean;
  /** Multiple of the usual processing time. */
  readonly workFactor: number;
}

/** The faults of a server that has none. */
export const NO_SERVER_FAULTS: ServerFaults = {
  failureShare: 0,
  isMute: false,
  workFactor: 1,
};

/** Options of a server. */
export interface CookieServerOptions {
  readonly entry: CatalogServer;
  readonly clock: Clock;
  /** Processing time of a request, in milliseconds. */
  readonly workMs: number;
  readonly queueLength: number;
  /** Whether it acknowledges requests before it answers them; undefined: no. */
  readonly confirms?: boolean;
  send(packet: ServerPacket): void;
}

/** One incarnation of a server. */
export class CookieServer {
  /** Whether it drops all packets and answers. */
  isSilent = false;
  /** When it last became responsive again, in monotonic milliseconds. */
  resumedAt = -Infinity;
  /** Whether it has crashed: it has lost its flows and rejects new ones. */
  hasCrashed = false;
  state: ServerState = ServerState.READY;
  faults: ServerFaults = NO_SERVER_FAULTS;
  private requestCount = 0;
  private busySlots = 0;
  private readonly queue: (() => void)[] = [];
  private readonly flows = new Set<string>();

  private constructor(private readonly options: CookieServerOptions) {}

  /** Creates a running server. */
  static create(options: CookieServerOptions): CookieServer {
    return new CookieServer(options);
  }

  get entry(): CatalogServer {
    return this.options.entry;
  }

  /** Whether a flow is open here. */
  hasFlow(flow: string): boolean {
    return this.flows.has(flow) && !this.hasCrashed;
  }

  /** Handles a packet for this incarnation. */
  receive(flow: string, packet: CookiePacket, cookie: number): void {
    if (this.isSilent) {
      return;
    }
    if (packet.opens) {
      this.openFlow(flow, cookie);
    } else if (!this.hasFlow(flow)) {
      this.reply(flow, 'reset', cookie);
    } else if (packet.closes) {
      this.flows.delete(flow);
    } else if (packet.dataLength > 0) {
      this.receiveRequest(flow, cookie);
    }
  }

  /** Makes it unresponsive or responsive; its flows stay. */
  setSilent(isSilent: boolean): void {
    this.isSilent = isSilent;
    if (!isSilent) {
      this.resumedAt = this.options.clock.now();
    }
  }

  /** Ends the incarnation; pending requests are lost. */
  crash(isSilent: boolean): void {
    this.hasCrashed = true;
    this.isSilent = isSilent;
    this.flows.clear();
    this.queue.length = 0;
  }

  private openFlow(flow: string, cookie: number): void {
    if (this.hasCrashed) {
      this.reply(flow, 'reset', cookie);
      return;
    }
    this.flows.add(flow);
    this.reply(flow, 'opened', cookie);
  }

  private receiveRequest(flow: string, cookie: number): void {
    if (this.faults.isMute) {
      this.reply(flow, 'received', cookie);
    } else if (this.isNextFailed()) {
      this.replyAnswer(flow, cookie, FAILURE_BYTES);
    } else {
      this.acceptRequest(flow, cookie);
    }
  }

  /** Counts a request; returns whether it is among the share that fails, evenly spread. */
  private isNextFailed(): boolean {
    const {failureShare} = this.faults;
    this.requestCount += 1;
    return (
      Math.floor(this.requestCount * failureShare) >
      Math.floor((this.requestCount - 1) * failureShare)
    );
  }

  private acceptRequest(flow: string, cookie: number): void {
    const {entry, queueLength, confirms} = this.options;
    const run = () => this.processRequest(flow, cookie);
    const isFree = this.busySlots < entry.slots;
    const isAccepted = isFree || this.queue.length < queueLength;
    if (isAccepted && confirms === true) {
      this.reply(flow, 'received', cookie);
    }
    if (isFree) {
      run();
    } else if (isAccepted) {
      this.queue.push(run);
    }
  }

  private processRequest(flow: string, cookie: number): void {
    const {clock, workMs} = this.options;
    this.busySlots += 1;
    const durationMs = workMs * this.faults.workFactor;
    clock.callAt(clock.now() + durationMs, () => {
      this.busySlots -= 1;
      if (this.hasFlow(flow) && !this.isSilent) {
        this.replyAnswer(flow, cookie, ANSWER_BYTES);
      }
      this.queue.shift()?.();
    });
  }

  private replyAnswer(flow: string, cookie: number, answerBytes: number): void {
    const server = this.options.entry.id;
    this.options.send({flow, server, kind: 'answer', cookie, answerBytes});
  }

  private reply(
    flow: string,
    kind: ServerPacket['kind'],
    cookie: number,
  ): void {
    const server = this.options.entry.id;
    this.options.send({flow, server, kind, cookie});
  }
}
