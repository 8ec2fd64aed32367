/**
 * A simulated caller of a fabric with cookies: opens one flow, sends requests on it one
 * after the other, and retransmits openings and requests that are not answered.
 */
import type {Clock, Timer} from '../src/ports/clock.js';
import type {CookiePacket} from '../src/ports/cookie-fabric.js';
import {ANSWER_BYTES, type ServerPacket} from './cookie-servers.js';

/** Times after the first opening packet at which copies of it are sent. */
const OPENING_RETRANSMIT_DELAYS_MS: readonly number[] = [200, 600];
const OPENING_TIMEOUT_MS = 1_400;
/** Time to the first retransmission of a request; it doubles with each further one. */
const INITIAL_RETRANSMIT_MS = 200;
const MAXIMUM_RETRANSMIT_MS = 1_600;
const REQUEST_BYTES = 100;

/** How a call ended. */
export const CallOutcome = {
  ANSWERED: 'answered',
  /** The flow was reset by its server, or was never opened. */
  REFUSED: 'refused',
  /** A daemon reset the open flow. */
  RESET_BY_DAEMON: 'cut',
  TIMED_OUT: 'timed-out',
} as const;
/** One of the values of `CallOutcome`. */
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** Options of a caller. */
export interface CallerOptions {
  readonly clock: Clock;
  readonly sourceAddress: number;
  readonly sourcePort: number;
  readonly destinationAddress: number;
  readonly destinationPort: number;
  /** Number of requests on the flow. */
  readonly requests: number;
  /** Time from an answer to the next request, in milliseconds; undefined: 0. */
  readonly pauseMs?: number;
  /** Monotonic milliseconds at which the caller gives up. */
  readonly deadline: number;
  send(packet: CookiePacket): void;
  onEnd(end: CallOutcome, caller: CookieCaller): void;
}

/** One caller with its flow. */
export class CookieCaller {
  readonly flow: string;
  /** Id of the server that accepted the flow; undefined: none has. */
  server: string | undefined;
  answers = 0;
  /** Bytes of all answers. */
  private answerBytes = 0;
  /** Whether a request is unanswered, or was when the flow ended. */
  isWaiting = false;
  /** How the flow ended; undefined while it is open. */
  ending: CallOutcome | undefined;
  /** Number of requests up to the last one that the server acknowledged. */
  private acknowledgedCount = 0;
  private cookie = 0;
  private hasEnded = false;
  private readonly timers: Timer[] = [];

  private constructor(readonly options: CallerOptions) {
    this.flow = flowName(options);
  }

  /** Creates a caller and sends its opening packet. */
  static create(options: CallerOptions): CookieCaller {
    const caller = new CookieCaller(options);
    caller.start();
    return caller;
  }

  /** Handles a packet of a server. */
  receive(packet: ServerPacket): void {
    if (this.hasEnded) {
      return;
    }
    this.cookie = packet.cookie;
    if (packet.kind === 'reset') {
      this.handleServerReset(packet.server);
    } else if (packet.kind === 'opened') {
      this.handleOpened(packet.server);
    } else if (packet.server === this.server && packet.kind === 'received') {
      this.acknowledgedCount = this.answers + 1;
    } else if (packet.server === this.server) {
      this.handleAnswer(packet.answerBytes ?? ANSWER_BYTES);
    }
  }

  /** Handles a reset sent by a daemon. */
  handleDaemonReset(): void {
    if (!this.hasEnded) {
      this.finish(
        this.server === undefined
          ? CallOutcome.REFUSED
          : CallOutcome.RESET_BY_DAEMON,
      );
    }
  }

  private start(): void {
    const {clock} = this.options;
    const now = clock.now();
    this.sendOpening(0);
    OPENING_RETRANSMIT_DELAYS_MS.forEach((delay, index) =>
      this.schedule(now + delay, () => {
        if (this.server === undefined) {
          this.sendOpening(index + 1);
        }
      }),
    );
    this.schedule(now + OPENING_TIMEOUT_MS, () => {
      if (this.server === undefined) {
        this.finish(CallOutcome.REFUSED);
      }
    });
    this.schedule(this.options.deadline, () =>
      this.finish(CallOutcome.TIMED_OUT),
    );
  }

  /** Ignores resets of other servers than the one that accepted the flow. */
  private handleServerReset(server: string): void {
    if (this.server === undefined || this.server === server) {
      this.finish(CallOutcome.REFUSED);
    }
  }

  private handleOpened(server: string): void {
    if (this.server !== undefined) {
      return;
    }
    this.server = server;
    this.send({dataLength: 0});
    this.sendRequest(INITIAL_RETRANSMIT_MS, this.answers);
  }

  private handleAnswer(bytes: number): void {
    this.answers += 1;
    this.answerBytes += bytes;
    this.isWaiting = false;
    if (this.answers < this.options.requests) {
      this.send({dataLength: 0});
      this.sendNextRequest();
      return;
    }
    this.send({dataLength: 0, closes: true});
    this.finish(CallOutcome.ANSWERED);
  }

  private sendNextRequest(): void {
    const {clock, pauseMs = 0} = this.options;
    const request = this.answers;
    if (pauseMs === 0) {
      this.sendRequest(INITIAL_RETRANSMIT_MS, request);
    } else {
      this.schedule(clock.now() + pauseMs, () =>
        this.sendRequest(INITIAL_RETRANSMIT_MS, request),
      );
    }
  }

  /** Sends a request, and retransmits it until it is acknowledged or answered. */
  private sendRequest(pauseMs: number, request: number): void {
    if (
      this.hasEnded ||
      this.answers > request ||
      this.acknowledgedCount > request
    ) {
      return;
    }
    this.isWaiting = true;
    this.send({dataLength: REQUEST_BYTES});
    const {clock} = this.options;
    this.schedule(clock.now() + pauseMs, () =>
      this.sendRequest(Math.min(pauseMs * 2, MAXIMUM_RETRANSMIT_MS), request),
    );
  }

  private sendOpening(openAttempt: number): void {
    this.send({opens: true, openAttempt, dataLength: 0});
  }

  private send(fields: Partial<CookiePacket>): void {
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
      cookie: fields.opens === true ? 0 : this.cookie,
      sequence: this.answers * REQUEST_BYTES,
      acknowledged: this.answerBytes + 1,
      openAttempt: 0,
      dataLength: 0,
      bytes: new Uint8Array(0),
      ...fields,
    });
  }

  private schedule(deadline: number, task: () => void): void {
    this.timers.push(this.options.clock.callAt(deadline, task));
  }

  private finish(end: CallOutcome): void {
    if (!this.hasEnded) {
      this.hasEnded = true;
      this.ending = end;
      this.timers.forEach(timer => timer.cancel());
      this.options.onEnd(end, this);
    }
  }
}

/** Formats the source and destination of a flow as its name. */
export function flowName(
  flow: Pick<
    CookiePacket,
    'sourceAddress' | 'sourcePort' | 'destinationAddress' | 'destinationPort'
  >,
): string {
  return `${flow.sourceAddress}:${flow.sourcePort}>${flow.destinationAddress}:${flow.destinationPort}`;
}
