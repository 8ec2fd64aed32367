/** Stand-in of callers that hold flows open for long. */
import type dgram from 'node:dgram';
import {build, type Histogram} from 'hdr-histogram-js';
import {bindUdp, sendUdp} from '../src/adapters/udp-socket.js';
import {Packet, PacketKind} from '../src/generated/packet.js';
import {parseSocketAddress} from '../src/routing/ipv4.js';
import {readClaim, writeClaim} from './flow-payload.js';
import {startStandinServer} from './knobs.js';
import {Random} from '../src/routing/random.js';

const STEP_MS = 20;
/** Time between two packets of an open flow, unless ordered otherwise. */
const DATA_INTERVAL_MS = 1_000;
const OPEN_RETRY_MS = 250;
/** An open without an answer is given up after this time. */
const OPEN_GIVE_UP_MS = 10_000;
/** Without an answer for this long a flow is broken. */
const SILENCE_MS = 8_000;
const LATENCY_DIGITS = 3;
const FIRST_SOURCE = 0x0a000000;
const PORTS_A_SOURCE = 60_000;
const FIRST_PORT = 1_024;
const MICROSECONDS = 1_000;
const EXAMPLES = 5;

/** How a flow stands. */
export const FlowState = {
  OPENING: 'opening',
  OPEN: 'open',
  CLOSING: 'closing',
  CLOSED: 'closed',
  BROKEN: 'broken',
  /** Never answered: no server took it. */
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
  openedMs: number;
  dueMs: number;
  sentMs: number;
  answeredMs: number;
  brokenMs: number;
}

/** An order to open flows, as the knobs take it. */
export interface OpenOrder {
  readonly service: string;
  /** "ip:port" of the service. */
  readonly address: string;
  readonly count: number;
  /** Flows opened a second. */
  readonly rate: number;
}

/** What the callers report of one service. */
export interface FlowReport {
  readonly service: string;
  readonly flows: number;
  readonly states: Readonly<Record<string, number>>;
  /** Broken flows that had been open for over a second. */
  readonly brokenAfterSecond: number;
  readonly moved: number;
  /** The first few broken flows, for people. */
  readonly brokenExamples: readonly string[];
  /** Open flows by server. */
  readonly servers: Readonly<Record<string, number>>;
  /** Age of the oldest unanswered packet, in milliseconds. */
  readonly longestSilenceMs: number;
}

/** What the callers report. */
export interface CallersReport {
  readonly services: readonly FlowReport[];
  readonly sent: number;
  readonly answered: number;
  readonly resets: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Callers with one socket for all their flows. */
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
  private orders: {order: OpenOrder; left: number; startMs: number}[] = [];

  private constructor(
    private readonly socket: dgram.Socket,
    private readonly fabric: string,
    private readonly address: string,
    seed: number,
  ) {
    this.random = Random.create(seed);
  }

  /** Starts the callers; knobs and packets share the address "ip:port". */
  static async create(
    address: string,
    fabric: string,
    seed: number,
  ): Promise<FlowCallers> {
    const socket = await bindUdp(address);
    const callers = new FlowCallers(socket, fabric, address, seed);
    await startStandinServer(address, settings => callers.turn(settings));
    socket.on('message', bytes => callers.receive(bytes));
    setInterval(() => callers.step(), STEP_MS);
    return callers;
  }

  private turn(settings: Record<string, unknown>): CallersReport {
    const open = settings['open'] as OpenOrder | undefined;
    if (open !== undefined) {
      this.orders.push({order: open, left: open.count, startMs: Date.now()});
    }
    const close = settings['close'] as
      {service: string; share: number} | undefined;
    if (close !== undefined) {
      this.closeShare(close.service, close.share);
    }
    this.intervalMs = Number(settings['intervalMs'] ?? this.intervalMs);
    return this.report();
  }

  private step(): void {
    const now = Date.now();
    this.orders.forEach(pending => this.openDue(pending, now));
    this.orders = this.orders.filter(({left}) => left > 0);
    this.flows.forEach(flow => this.tend(flow, now));
  }

  private openDue(
    pending: {order: OpenOrder; left: number; startMs: number},
    now: number,
  ): void {
    const {order, startMs} = pending;
    const due = Math.ceil(((now - startMs) / 1_000) * order.rate);
    const wanted = Math.min(order.count, due) - (order.count - pending.left);
    Array.from({length: Math.max(0, wanted)}).forEach(() => {
      pending.left -= 1;
      this.open(order, now);
    });
  }

  private open(order: OpenOrder, now: number): void {
    const destination = parseSocketAddress(order.address);
    const number = this.nextFlow;
    this.nextFlow += 1;
    const flow: Flow = {
      number,
      service: order.service,
      packet: {
        sourceAddress: FIRST_SOURCE + Math.floor(number / PORTS_A_SOURCE),
        sourcePort: FIRST_PORT + (number % PORTS_A_SOURCE),
        destinationAddress: destination?.address ?? 0,
        destinationPort: destination?.port ?? 0,
        kind: PacketKind.OPEN,
        sequence: 0,
        payload: writeClaim({service: order.service}),
        returnAddress: this.address,
      },
      state: FlowState.OPENING,
      server: '',
      sequence: 0,
      openedMs: now,
      dueMs: now,
      sentMs: now,
      answeredMs: now,
      brokenMs: 0,
    };
    this.flows.set(keyOf(flow.packet), flow);
    this.tend(flow, now);
  }

  /** Sends what is due and notes what took too long. */
  private tend(flow: Flow, now: number): void {
    if (flow.dueMs > now) {
      return;
    }
    if (flow.state === FlowState.OPENING) {
      this.tendOpening(flow, now);
    } else if (flow.state === FlowState.OPEN) {
      this.tendOpen(flow, now);
    } else if (flow.state === FlowState.CLOSING) {
      this.send(flow, PacketKind.CLOSE, now);
      flow.dueMs = now + OPEN_RETRY_MS;
    } else {
      flow.dueMs = Infinity;
    }
  }

  private tendOpening(flow: Flow, now: number): void {
    if (now - flow.openedMs > OPEN_GIVE_UP_MS) {
      flow.state = FlowState.REFUSED;
      return;
    }
    this.send(flow, PacketKind.OPEN, now);
    flow.dueMs = now + OPEN_RETRY_MS;
  }

  private tendOpen(flow: Flow, now: number): void {
    if (now - flow.answeredMs > SILENCE_MS) {
      this.breakFlow(flow, now);
      return;
    }
    this.send(flow, PacketKind.DATA, now);
    const jitter = 0.5 + this.random.next();
    const unanswered = flow.sentMs > flow.answeredMs + this.intervalMs;
    flow.dueMs = now + (unanswered ? OPEN_RETRY_MS : this.intervalMs * jitter);
  }

  private send(flow: Flow, kind: PacketKind, now: number): void {
    flow.sequence += 1;
    flow.sentMs = now;
    this.sent += 1;
    const {sequence} = flow;
    const bytes = Packet.encode({...flow.packet, kind, sequence}).finish();
    sendUdp(this.socket, this.fabric, bytes);
  }

  private receive(bytes: Buffer): void {
    const packet = Packet.decode(bytes);
    const flow = this.flows.get(keyOf(packet));
    if (flow === undefined) {
      return;
    }
    this.answered += 1;
    const now = Date.now();
    if (packet.sequence === flow.sequence) {
      this.histogram.recordValue((now - flow.sentMs) * MICROSECONDS);
    }
    if (packet.kind === PacketKind.RESET) {
      this.resets += 1;
      this.takeReset(flow, now);
      return;
    }
    flow.answeredMs = now;
    this.takeAnswer(flow, packet, now);
  }

  private takeReset(flow: Flow, now: number): void {
    if (flow.state === FlowState.OPEN) {
      this.breakFlow(flow, now);
    } else if (flow.state === FlowState.OPENING) {
      flow.state = FlowState.REFUSED;
    }
  }

  private takeAnswer(flow: Flow, packet: Packet, now: number): void {
    const server = readClaim(packet.payload);
    if (flow.server !== '' && flow.server !== server) {
      this.moved.set(flow.service, (this.moved.get(flow.service) ?? 0) + 1);
    }
    if (flow.state === FlowState.OPENING) {
      flow.state = FlowState.OPEN;
      flow.openedMs = now;
      flow.server = server;
      flow.dueMs = now + this.intervalMs * this.random.next();
    } else if (
      flow.state === FlowState.CLOSING &&
      packet.kind === PacketKind.CLOSE
    ) {
      flow.state = FlowState.CLOSED;
    }
  }

  private breakFlow(flow: Flow, now: number): void {
    flow.state = FlowState.BROKEN;
    flow.brokenMs = now;
  }

  private closeShare(service: string, share: number): void {
    [...this.flows.values()]
      .filter(flow => flow.service === service && flow.state === FlowState.OPEN)
      .filter(() => this.random.happens(share))
      .forEach(flow => {
        flow.state = FlowState.CLOSING;
        flow.dueMs = 0;
      });
  }

  private report(): CallersReport {
    const services = new Set(
      [...this.flows.values()].map(flow => flow.service),
    );
    return {
      services: [...services].map(service => this.reportService(service)),
      sent: this.sent,
      answered: this.answered,
      resets: this.resets,
      p50Ms: this.histogram.getValueAtPercentile(50) / MICROSECONDS,
      p99Ms: this.histogram.getValueAtPercentile(99) / MICROSECONDS,
    };
  }

  private reportService(service: string): FlowReport {
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
        ({state, openedMs, brokenMs}) =>
          state === FlowState.BROKEN && brokenMs - openedMs > 1_000,
      ).length,
      moved: this.moved.get(service) ?? 0,
      brokenExamples: flows
        .filter(({state}) => state === FlowState.BROKEN)
        .slice(0, EXAMPLES)
        .map(
          flow =>
            `flow ${flow.packet.sourcePort} of ${flow.server}, open for ` +
            `${flow.brokenMs - flow.openedMs} ms, silent for ` +
            `${flow.brokenMs - flow.answeredMs} ms`,
        ),
      servers: countBy(open, ({server}) => server),
      longestSilenceMs: Math.max(
        0,
        ...open
          .filter(({sentMs, answeredMs}) => sentMs > answeredMs)
          .map(({answeredMs}) => now - answeredMs - this.intervalMs),
      ),
    };
  }
}

function keyOf(packet: Packet): string {
  return `${packet.sourceAddress}:${packet.sourcePort}>${packet.destinationAddress}:${packet.destinationPort}`;
}

/** Counts items by a name. */
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
