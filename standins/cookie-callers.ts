/**
 * Callers of a fabric with cookies, in memory: openings sent again after 200 and
 * 600 ms, data sent again with growing pauses, several requests on one flow, and
 * tries on a new flow where a request surely did not run.
 */
import type {Clock, Timer} from '../src/ports/clock.js';
import type {CookiePacket} from '../src/ports/cookie-fabric.js';
import type {ServerPacket} from './cookie-servers.js';

/** Times after the first opening at which copies are sent, in milliseconds. */
const COPY_AFTER_MS: readonly number[] = [200, 600];
/** Time after which an opening is given up, in milliseconds. */
const OPENING_LIMIT_MS = 1_400;
/** First pause before data is sent again, in milliseconds; doubles. */
const RESEND_MS = 200;
const LONGEST_RESEND_MS = 1_600;
const DATA_LENGTH = 100;

/** How a request ended. */
export const CallEnd = {
  ANSWERED: 'answered',
  /** The flow was reset by its server, or never opened. */
  REFUSED: 'refused',
  /** The flow was open and a reset came that its server had not sent. */
  CUT: 'cut',
  TIMED_OUT: 'timed-out',
} as const;
/** One of the ends in `CallEnd`. */
export type CallEnd = (typeof CallEnd)[keyof typeof CallEnd];

/** What a caller is made from. */
export interface CallerOptions {
  readonly clock: Clock;
  readonly sourceAddress: number;
  readonly sourcePort: number;
  readonly destinationAddress: number;
  readonly destinationPort: number;
  /** Requests on the flow, one after the other. */
  readonly requests: number;
  /** Time from an answer to the next request, in milliseconds; undefined: none. */
  readonly pauseMs?: number;
  /** Monotonic milliseconds at which the caller gives up. */
  readonly deadline: number;
  send(packet: CookiePacket): void;
  onEnd(end: CallEnd, caller: CookieCaller): void;
}

/** One flow of one caller. */
export class CookieCaller {
  readonly flow: string;
  /** The server that opened the flow. */
  server: string | undefined;
  answers = 0;
  /** Whether a request is under way, or was when the flow ended. */
  isWaiting = false;
  /** How the flow ended; undefined while it is open. */
  ending: CallEnd | undefined;
  /** How many requests the server has confirmed. */
  private confirmed = 0;
  private cookie = 0;
  private isOver = false;
  private readonly timers: Timer[] = [];

  private constructor(readonly options: CallerOptions) {
    this.flow = flowName(options);
  }

  /** Creates a caller and sends its opening. */
  static create(options: CallerOptions): CookieCaller {
    const caller = new CookieCaller(options);
    caller.start();
    return caller;
  }

  /** Takes what a server sent. */
  receive(packet: ServerPacket): void {
    if (this.isOver) {
      return;
    }
    this.cookie = packet.cookie;
    if (packet.kind === 'reset') {
      this.takeReset(packet.server);
    } else if (packet.kind === 'opened') {
      this.takeOpened(packet.server);
    } else if (packet.server === this.server && packet.kind === 'received') {
      this.confirmed = this.answers + 1;
    } else if (packet.server === this.server) {
      this.takeAnswer();
    }
  }

  /** Takes a reset of a daemon. */
  receiveReset(): void {
    if (!this.isOver) {
      this.end(this.server === undefined ? CallEnd.REFUSED : CallEnd.CUT);
    }
  }

  private start(): void {
    const {clock} = this.options;
    const now = clock.now();
    this.sendOpening(0);
    COPY_AFTER_MS.forEach((after, index) =>
      this.at(now + after, () => {
        if (this.server === undefined) {
          this.sendOpening(index + 1);
        }
      }),
    );
    this.at(now + OPENING_LIMIT_MS, () => {
      if (this.server === undefined) {
        this.end(CallEnd.REFUSED);
      }
    });
    this.at(this.options.deadline, () => this.end(CallEnd.TIMED_OUT));
  }

  /** A server that the caller did not take up resets what it does not hold. */
  private takeReset(server: string): void {
    if (this.server === undefined || this.server === server) {
      this.end(CallEnd.REFUSED);
    }
  }

  private takeOpened(server: string): void {
    if (this.server !== undefined) {
      return;
    }
    this.server = server;
    this.send({dataLength: 0});
    this.sendRequest(RESEND_MS, this.answers);
  }

  private takeAnswer(): void {
    this.answers += 1;
    this.isWaiting = false;
    if (this.answers < this.options.requests) {
      this.send({dataLength: 0});
      this.sendNext();
      return;
    }
    this.send({dataLength: 0, closes: true});
    this.end(CallEnd.ANSWERED);
  }

  private sendNext(): void {
    const {clock, pauseMs = 0} = this.options;
    const request = this.answers;
    if (pauseMs === 0) {
      this.sendRequest(RESEND_MS, request);
    } else {
      this.at(clock.now() + pauseMs, () =>
        this.sendRequest(RESEND_MS, request),
      );
    }
  }

  /** Sends a request, and again until it is confirmed or its answer comes. */
  private sendRequest(pauseMs: number, request: number): void {
    if (this.isOver || this.answers > request || this.confirmed > request) {
      return;
    }
    this.isWaiting = true;
    this.send({dataLength: DATA_LENGTH});
    const {clock} = this.options;
    this.at(clock.now() + pauseMs, () =>
      this.sendRequest(Math.min(pauseMs * 2, LONGEST_RESEND_MS), request),
    );
  }

  private sendOpening(openCopy: number): void {
    this.send({opens: true, openCopy, dataLength: 0});
  }

  private send(part: Partial<CookiePacket>): void {
    const {sourceAddress, sourcePort} = this.options;
    const {destinationAddress, destinationPort} = this.options;
    this.options.send({
      sourceAddress,
      sourcePort,
      destinationAddress,
      destinationPort,
      opens: false,
      closes: false,
      resets: false,
      cookie: part.opens === true ? 0 : this.cookie,
      sequence: this.answers * DATA_LENGTH,
      acknowledged: this.answers * DATA_LENGTH + 1,
      openCopy: 0,
      dataLength: 0,
      bytes: new Uint8Array(0),
      ...part,
    });
  }

  private at(deadline: number, task: () => void): void {
    this.timers.push(this.options.clock.callAt(deadline, task));
  }

  private end(end: CallEnd): void {
    if (!this.isOver) {
      this.isOver = true;
      this.ending = end;
      this.timers.forEach(timer => timer.cancel());
      this.options.onEnd(end, this);
    }
  }
}

/** Names a flow by its four addresses and ports. */
export function flowName(
  flow: Pick<
    CookiePacket,
    'sourceAddress' | 'sourcePort' | 'destinationAddress' | 'destinationPort'
  >,
): string {
  return `${flow.sourceAddress}:${flow.sourcePort}>${flow.destinationAddress}:${flow.destinationPort}`;
}
