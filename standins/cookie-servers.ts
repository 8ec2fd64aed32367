/**
 * Backend servers behind a fabric with cookies, in memory: slots and a queue,
 * flows that only the server which opened them knows, crashes and new runs.
 */
import type {CookiePacket} from '../src/ports/cookie-fabric.js';
import {ServerState, type CatalogServer} from '../src/catalog/records.js';
import type {Clock} from '../src/ports/clock.js';

/** What a server sends to a caller. */
export interface ServerPacket {
  readonly flow: string;
  readonly server: string;
  readonly kind: 'opened' | 'received' | 'answer' | 'reset';
  /** The cookie that the server got last. */
  readonly cookie: number;
}

/** What a server is made from. */
export interface CookieServerOptions {
  readonly entry: CatalogServer;
  readonly clock: Clock;
  /** Milliseconds that one request takes. */
  readonly workMs: number;
  readonly queueLength: number;
  /** Whether it confirms requests before it answers them; undefined: no. */
  readonly confirms?: boolean;
  send(packet: ServerPacket): void;
}

/** One run of a server. */
export class CookieServer {
  /** Silent servers answer nothing, as one without power. */
  isSilent = false;
  /** When it last came back from a silence; monotonic milliseconds. */
  resumedAt = -Infinity;
  /** A crashed server forgets its flows and refuses openings. */
  hasCrashed = false;
  state: ServerState = ServerState.READY;
  private busy = 0;
  private readonly queue: (() => void)[] = [];
  private readonly flows = new Set<string>();

  private constructor(private readonly options: CookieServerOptions) {}

  /** Creates a server that runs. */
  static create(options: CookieServerOptions): CookieServer {
    return new CookieServer(options);
  }

  get entry(): CatalogServer {
    return this.options.entry;
  }

  /** Whether a flow is open here. */
  holds(flow: string): boolean {
    return this.flows.has(flow) && !this.hasCrashed;
  }

  /** Takes a packet that was meant for this run. */
  receive(flow: string, packet: CookiePacket, cookie: number): void {
    if (this.isSilent) {
      return;
    }
    if (packet.opens) {
      this.open(flow, cookie);
    } else if (!this.holds(flow)) {
      this.reply(flow, 'reset', cookie);
    } else if (packet.closes) {
      this.flows.delete(flow);
    } else if (packet.dataLength > 0) {
      this.admit(flow, cookie);
    }
  }

  /** Falls silent with all that it holds, as behind a cut, or comes back. */
  setSilent(isSilent: boolean): void {
    this.isSilent = isSilent;
    if (!isSilent) {
      this.resumedAt = this.options.clock.now();
    }
  }

  /** Ends the run; what was under way is lost. */
  crash(silent: boolean): void {
    this.hasCrashed = true;
    this.isSilent = silent;
    this.flows.clear();
    this.queue.length = 0;
  }

  private open(flow: string, cookie: number): void {
    if (this.hasCrashed) {
      this.reply(flow, 'reset', cookie);
      return;
    }
    this.flows.add(flow);
    this.reply(flow, 'opened', cookie);
  }

  private admit(flow: string, cookie: number): void {
    const {entry, queueLength, confirms} = this.options;
    const run = () => this.run(flow, cookie);
    const isFree = this.busy < entry.slots;
    const isTaken = isFree || this.queue.length < queueLength;
    if (isTaken && confirms === true) {
      this.reply(flow, 'received', cookie);
    }
    if (isFree) {
      run();
    } else if (isTaken) {
      this.queue.push(run);
    }
  }

  private run(flow: string, cookie: number): void {
    const {clock, workMs} = this.options;
    this.busy += 1;
    clock.callAt(clock.now() + workMs, () => {
      this.busy -= 1;
      if (this.holds(flow) && !this.isSilent) {
        this.reply(flow, 'answer', cookie);
      }
      this.queue.shift()?.();
    });
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
