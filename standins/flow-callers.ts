/** Stand-in for callers with long-lived flows. */
import type dgram from 'node:dgram';
import {build, type Histogram} from 'hdr-histogram-js';
import {bindUdp, sendUdp} from '../src/adapters/udp-socket.js';
import {Packet, PacketKind} from '../src/generated/packet.js';
import {parseSocketAddress} from '../src/routing/ipv4.js';
import {decodePayload, encodePayload} from './flow-payload.js';
import {startStandinServer} from './standin-control.js';
import {Random} from '../src/routing/random.js';

const TICK_MS = 20;
/** Default interval between two packets of an open flow. */
const DATA_INTERVAL_MS = 1_000;
const RETRANSMIT_INTERVAL_MS = 250;
const OPEN_TIMEOUT_MS = 10_000;
/** Time without an answer after which an open flow counts as broken. */
const RESPONSE_TIMEOUT_MS = 8_000;
const LATENCY_DIGITS = 3;
const FIRST_SOURCE_ADDRESS = 0x0a000000;
const PORTS_PER_SOURCE = 60_000;
const FIRST_PORT = 1_024;
const MICROSECONDS_PER_MS = 1_000;
const MAXIMUM_EXAMPLES = 5;

/** State of a flow. */
export const FlowState = {
  OPENING: 'opening',
  OPEN: 'open',
  CLOSING: 'closing',
  CLOSED: 'closed',
  BROKEN: 'broken',
  /** Reset or not answered while opening. */
  REFUSED: 'refused',
} as const;
/** One of the states in `FlowState`. */
export type FlowState = (typeof FlowState)[keyof typeof FlowState];

interface Flow {
  readonly number: number;
  /** "workspace/service". */
  readonly service: string;
  readonly packet: Packet;
  state: FlowState;
  server: string;
  sequence: number;
  openedAtMs: number;
  nextSendMs: number;
  sentAtMs: number;
  answeredAtMs: number;
  brokenAtMs: number;
}

/** Command of the control service to open flows. */
export interface OpenFlowsCommand {
  readonly service: string;
  /** "ip:port" of the service. */
  readonly address: string;
  readonly count: number;
  /** Flows opened per second. */
  readonly rate: number;
}

/** Report on the flows of one service. */
export interface FlowReport {
  readonly service: string;
  readonly flows: number;
  readonly states: Readonly<Record<string, number>>;
  /** Flows that broke more than a second after they opened. */
  readonly brokenAfterSecond: number;
  /** Answers that came from another server than the flow's. */
  readonly moved: number;
  /** Descriptions of the first broken flows. */
  readonly brokenExamples: readonly string[];
  /** Open flows by server. */
  readonly servers: Readonly<Record<string, number>>;
  /** Longest time that an open flow is overdue for an answer, in milliseconds. */
  readonly longestSilenceMs: number;
}

/** Report of the callers. */
export interface CallersReport {
  readonly services: readonly FlowReport[];
  readonly sent: number;
  readonly answered: number;
  readonly resets: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Callers that share one socket for all flows. */
export class FlowCallers {
  private readonly flows = new Map<string, Flow>();
  private readonly histogram: Histogram = build({
    numberOfSignificantValueDigits: LATENCY_DIGITS,
  });
  private readonly random: Random;
  private readonly moved = new Map<string, number>();
  private nextFlow = 0;
  private intervalMs = DATA_INTERVAL_MS;
  private sent = 0;
  private answered = 0;
  private resets = 0;
  private pendingCommands: {
    command: OpenFlowsCommand;
    left: number;
    startMs: number;
  }[] = [];

  private constructor(
    private readonly socket: dgram.Socket,
    private readonly fabric: string,
    private readonly address: string,
    seed: number,
  ) {
    this.random = Random.create(seed);
  }

  /** Starts the callers; packets and the control service share the address "ip:port". */
  static async create(
    address: string,
    fabric: string,
    seed: number,
  ): Promise<FlowCallers> {
    const socket = await bindUdp(address);
    const callers = new FlowCallers(socket, fabric, address, seed);
    await startStandinServer(address, settings =>
      callers.applySettings(settings),
    );
    socket.on('message', bytes => callers.receive(bytes));
    setInterval(() => callers.tick(), TICK_MS);
    return callers;
  }

  private applySettings(settings: Record<string, unknown>): CallersReport {
    const open = settings['open'] as OpenFlowsCommand | undefined;
    if (open !== undefined) {
      this.pendingCommands.push({
        command: open,
        left: open.count,
        startMs: Date.now(),
      });
    }
    const close = settings['close'] as
      {service: string; share: number} | undefined;
    if (close !== undefined) {
      this.closeShare(close.service, close.share);
    }
    this.intervalMs = Number(settings['intervalMs'] ?? this.intervalMs);
    return this.createReport();
  }

  private tick(): void {
    const now = Date.now();
    this.pendingCommands.forEach(pending => this.openDueFlows(pending, now));
    this.pendingCommands = this.pendingCommands.filter(({left}) => left > 0);
    this.flows.forEach(flow => this.processFlow(flow, now));
  }

  private openDueFlows(
    pending: {command: OpenFlowsCommand; left: number; startMs: number},
    now: number,
  ): void {
    const {command, startMs} = pending;
    const due = Math.ceil(((now - startMs) / 1_000) * command.rate);
    const wanted =
      Math.min(command.count, due) - (command.count - pending.left);
    Array.from({length: Math.max(0, wanted)}).forEach(() => {
      pending.left -= 1;
      this.openFlow(command, now);
    });
  }

  private openFlow(command: OpenFlowsCommand, now: number): void {
    const destination = parseSocketAddress(command.address);
    const number = this.nextFlow;
    this.nextFlow += 1;
    const flow: Flow = {
      number,
      service: command.service,
      packet: {
        sourceAddress:
          FIRST_SOURCE_ADDRESS + Math.floor(number / PORTS_PER_SOURCE),
        sourcePort: FIRST_PORT + (number % PORTS_PER_SOURCE),
        destinationAddress: destination?.address ?? 0,
        destinationPort: destination?.port ?? 0,
        kind: PacketKind.OPEN,
        sequence: 0,
        payload: encodePayload({service: command.service}),
        returnAddress: this.address,
      },
      state: FlowState.OPENING,
      server: '',
      sequence: 0,
      openedAtMs: now,
      nextSendMs: now,
      sentAtMs: now,
      answeredAtMs: now,
      brokenAtMs: 0,
    };
    this.flows.set(flowKey(flow.packet), flow);
    this.processFlow(flow, now);
  }

  /** Sends a packet if one is due, and ends a flow that has timed out. */
  private processFlow(flow: Flow, now: number): void {
    if (flow.nextSendMs > now) {
      return;
    }
    if (flow.state === FlowState.OPENING) {
      this.processOpening(flow, now);
    } else if (flow.state === FlowState.OPEN) {
      this.processOpen(flow, now);
    } else if (flow.state === FlowState.CLOSING) {
      this.send(flow, PacketKind.CLOSE, now);
      flow.nextSendMs = now + RETRANSMIT_INTERVAL_MS;
    } else {
      flow.nextSendMs = Infinity;
    }
  }

  private processOpening(flow: Flow, now: number): void {
    if (now - flow.openedAtMs > OPEN_TIMEOUT_MS) {
      flow.state = FlowState.REFUSED;
      return;
    }
    this.send(flow, PacketKind.OPEN, now);
    flow.nextSendMs = now + RETRANSMIT_INTERVAL_MS;
  }

  private processOpen(flow: Flow, now: number): void {
    if (now - flow.answeredAtMs > RESPONSE_TIMEOUT_MS) {
      this.markBroken(flow, now);
      return;
    }
    this.send(flow, PacketKind.DATA, now);
    const jitter = 0.5 + this.random.next();
    const unanswered = flow.sentAtMs > flow.answeredAtMs + this.intervalMs;
    flow.nextSendMs =
      now + (unanswered ? RETRANSMIT_INTERVAL_MS : this.intervalMs * jitter);
  }

  private send(flow: Flow, kind: PacketKind, now: number): void {
    flow.sequence += 1;
    flow.sentAtMs = now;
    this.sent += 1;
    const {sequence} = flow;
    const bytes = Packet.encode({...flow.packet, kind, sequence}).finish();
    sendUdp(this.socket, this.fabric, bytes);
  }

  private receive(bytes: Buffer): void {
    const packet = Packet.decode(bytes);
    const flow = this.flows.get(flowKey(packet));
    if (flow === undefined) {
      return;
    }
    this.answered += 1;
    const now = Date.now();
    if (packet.sequence === flow.sequence) {
      this.histogram.recordValue((now - flow.sentAtMs) * MICROSECONDS_PER_MS);
    }
    if (packet.kind === PacketKind.RESET) {
      this.resets += 1;
      this.handleReset(flow, now);
      return;
    }
    flow.answeredAtMs = now;
    this.handleAnswer(flow, packet, now);
  }

  private handleReset(flow: Flow, now: number): void {
    if (flow.state === FlowState.OPEN) {
      this.markBroken(flow, now);
    } else if (flow.state === FlowState.OPENING) {
      flow.state = FlowState.REFUSED;
    }
  }

  private handleAnswer(flow: Flow, packet: Packet, now: number): void {
    const server = decodePayload(packet.payload);
    if (flow.server !== '' && flow.server !== server) {
      this.moved.set(flow.service, (this.moved.get(flow.service) ?? 0) + 1);
    }
    if (flow.state === FlowState.OPENING) {
      flow.state = FlowState.OPEN;
      flow.openedAtMs = now;
      flow.server = server;
      flow.nextSendMs = now + this.intervalMs * this.random.next();
    } else if (
      flow.state === FlowState.CLOSING &&
      packet.kind === PacketKind.CLOSE
    ) {
      flow.state = FlowState.CLOSED;
    }
  }

  private markBroken(flow: Flow, now: number): void {
    flow.state = FlowState.BROKEN;
    flow.brokenAtMs = now;
  }

  private closeShare(service: string, share: number): void {
    [...this.flows.values()]
      .filter(flow => flow.service === service && flow.state === FlowState.OPEN)
      .filter(() => this.random.nextBool(share))
      .forEach(flow => {
        flow.state = FlowState.CLOSING;
        flow.nextSendMs = 0;
      });
  }

  private createReport(): CallersReport {
    const services = new Set(
      [...this.flows.values()].map(flow => flow.service),
    );
    return {
      services: [...services].map(service => this.createServiceReport(service)),
      sent: this.sent,
      answered: this.answered,
      resets: this.resets,
      p50Ms: this.histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
      p99Ms: this.histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    };
  }

  private createServiceReport(service: string): FlowReport {
    const now = Date.now();
    const flows = [...this.flows.values()].filter(
      flow => flow.service === service,
    );
    const open = flows.filter(({state}) => state === FlowState.OPEN);
    return {
      service,
      flows: flows.length,
      states: countBy(flows, ({state}) => state),
      brokenAfterSecond: flows.filter(
        ({state, openedAtMs: openedMs, brokenAtMs: brokenMs}) =>
          state === FlowState.BROKEN && brokenMs - openedMs > 1_000,
      ).length,
      moved: this.moved.get(service) ?? 0,
      brokenExamples: flows
        .filter(({state}) => state === FlowState.BROKEN)
        .slice(0, MAXIMUM_EXAMPLES)
        .map(
          flow =>
            `flow ${flow.packet.sourcePort} of ${flow.server}, open for ` +
            `${flow.brokenAtMs - flow.openedAtMs} ms, silent for ` +
            `${flow.brokenAtMs - flow.answeredAtMs} ms`,
        ),
      servers: countBy(open, ({server}) => server),
      longestSilenceMs: Math.max(
        0,
        ...open
          .filter(
            ({sentAtMs: sentMs, answeredAtMs: answeredMs}) =>
              sentMs > answeredMs,
          )
          .map(
            ({answeredAtMs: answeredMs}) => now - answeredMs - this.intervalMs,
          ),
      ),
    };
  }
}

function flowKey(packet: Packet): string {
  return `${packet.sourceAddress}:${packet.sourcePort}>${packet.destinationAddress}:${packet.destinationPort}`;
}

/** Counts items by the key that `name` returns. */
export function countBy<T>(
  items: readonly T[],
  name: (item: T) => string,
): Record<string, number> {
  const counts: Record<string, number> = {};
  items.forEach(item => {
    counts[name(item)] = (counts[name(item)] ?? 0) + 1;
  });
  return counts;
}
