/** Stand-in for backend servers: accepts flows, streams, requests and health checks. */
import type dgram from 'node:dgram';
import net from 'node:net';
import type {ServerUnaryCall, sendUnaryData} from '@grpc/grpc-js';
import {GrpcInstanceList} from '../src/adapters/grpc-instance-list.js';
import {SystemClock} from '../src/adapters/system-clock.js';
import {bindUdp, sendUdp} from '../src/adapters/udp-socket.js';
import {Packet, PacketKind} from '../src/generated/packet.js';
import {
  BackendService,
  type BackendServer,
  type HealthReply,
  type RunReply,
  type RunRequest,
} from '../src/generated/request.js';
import {InstanceRole, InstanceState} from '../src/ports/instance-list.js';
import {decodePayload, encodePayload} from './flow-payload.js';
import {startStandinServer, applyKnobs} from './standin-control.js';
import {Random} from '../src/routing/random.js';

const COLD_SLOWDOWN_FACTOR = 3;
const HEALTH_HISTORY_LENGTH = 64;
const HEALTH_SAMPLE_INTERVAL_MS = 100;
const LATE_ANSWER_DELAY_MS = 2_000;

/** Options of a backend server. */
export interface BackendStandinOptions {
  /** "ip:port" of packets (UDP) and requests (TCP); TCP streams use the next port. */
  readonly address: string;
  /** "ip:port" of the instance list. */
  readonly list: string;
  readonly failureDomain: string;
  /** "workspace/service" names that the server serves. */
  readonly services: readonly string[];
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Maximum number of open flows. */
  readonly connections: number;
  /** Mean processing time of a request, in milliseconds. */
  readonly serviceMs: number;
  readonly seed: number;
}

/** Returns the body with which a server answers the request with a key. */
export function createAnswer(key: string): string {
  return `answer to ${key} `.repeat(8);
}

/** A backend server whose faults are set through its control service. */
export class BackendStandin {
  private readonly random: Random;
  private readonly flows = new Set<string>();
  private readonly runCounts = new Map<string, number>();
  private readonly streams = new Set<net.Socket>();
  private readonly startedMs = Date.now();
  private busySlots = 0;
  private healthHistory: HealthReply[] = [];
  private drainedAtMs = 0;
  private readonly knobs = {
    draining: false,
    /** Whether it rejects every request. */
    shedding: false,
    /** Warm-up time during which requests take longer, in milliseconds. */
    coldMs: 0,
    slowFactor: 1,
    /** Fractions of answers. */
    lateAnswers: 0,
    lostAnswers: 0,
    truncatedAnswers: 0,
    /** Age of the reported health and load, in milliseconds. */
    healthLagMs: 0,
    /** Factor on the reported load. */
    misleading: 1,
  };
  private readonly counts = {
    opened: 0,
    closed: 0,
    resets: 0,
    misrouted: 0,
    refusedOpens: 0,
    opensAfterDrain: 0,
    latestOpenAfterDrainMs: 0,
    started: 0,
    shed: 0,
    late: 0,
    cancelled: 0,
    highestFlows: 0,
  };

  private constructor(
    private readonly options: BackendStandinOptions,
    private readonly socket: dgram.Socket,
    private readonly list: GrpcInstanceList,
  ) {
    this.random = Random.create(options.seed);
  }

  /** Starts a server and announces it to the instance list. */
  static async create(options: BackendStandinOptions): Promise<BackendStandin> {
    const socket = await bindUdp(options.address);
    const list = GrpcInstanceList.create(options.list, SystemClock.create());
    const server = new BackendStandin(options, socket, list);
    await startStandinServer(
      options.address,
      settings => server.applySettings(settings),
      [{definition: BackendService, implementation: {...server.service()}}],
    );
    socket.on('message', bytes => server.receive(bytes));
    await server.acceptStreams();
    await server.announce(InstanceState.LIVE);
    setInterval(() => server.sampleHealth(), HEALTH_SAMPLE_INTERVAL_MS);
    return server;
  }

  private applySettings(settings: Record<string, unknown>): unknown {
    const wasDraining = this.knobs.draining;
    applyKnobs(this.knobs, settings);
    if (this.knobs.draining !== wasDraining) {
      this.drainedAtMs = Date.now();
      const {LEAVING, LIVE} = InstanceState;
      void this.announce(this.knobs.draining ? LEAVING : LIVE);
    }
    const doubleRuns = [...this.runCounts.values()].filter(count => count > 1);
    return {
      ...this.counts,
      server: this.options.address,
      flows: this.flows.size,
      streams: this.streams.size,
      busy: this.busySlots,
      doubleRuns: doubleRuns.length,
      keys: settings['listKeys'] === true ? [...this.runCounts] : [],
    };
  }

  private async announce(state: InstanceState): Promise<void> {
    const {address, failureDomain} = this.options;
    await this.list.announce({
      id: address,
      role: InstanceRole.BACKEND,
      address,
      failureDomain,
      state,
      version: 0,
      fabricAddress: '',
      controlAddress: '',
    });
  }

  private receive(bytes: Buffer): void {
    const packet = Packet.decode(bytes);
    if (!this.options.services.includes(decodePayload(packet.payload))) {
      this.counts.misrouted += 1;
    }
    const flow = `${packet.sourceAddress}:${packet.sourcePort}>${packet.destinationAddress}:${packet.destinationPort}`;
    const kind = this.handlePacket(flow, packet.kind);
    const payload = encodePayload({server: this.options.address});
    const reply = Packet.encode({...packet, kind, payload}).finish();
    sendUdp(this.socket, packet.returnAddress, reply);
  }

  /** Handles a packet of a flow and returns the kind of the reply. */
  private handlePacket(flow: string, kind: PacketKind): PacketKind {
    const known = this.flows.has(flow);
    if (kind === PacketKind.OPEN && !known) {
      return this.openFlow(flow);
    }
    if (kind === PacketKind.DATA && !known) {
      this.counts.resets += 1;
      return PacketKind.RESET;
    }
    if (kind === PacketKind.CLOSE && known) {
      this.flows.delete(flow);
      this.counts.closed += 1;
    }
    return kind;
  }

  private openFlow(flow: string): PacketKind {
    if (this.flows.size >= this.options.connections) {
      this.counts.refusedOpens += 1;
      return PacketKind.RESET;
    }
    if (this.knobs.draining) {
      this.counts.opensAfterDrain += 1;
      this.counts.latestOpenAfterDrainMs = Date.now() - this.drainedAtMs;
    }
    this.flows.add(flow);
    this.counts.opened += 1;
    this.counts.highestFlows = Math.max(
      this.counts.highestFlows,
      this.flows.size,
    );
    return PacketKind.OPEN;
  }

  /** Listens for TCP streams; answers HTTP GET requests and echoes other streams. */
  private acceptStreams(): Promise<void> {
    const [host, port] = this.options.address.split(':');
    const server = net.createServer({allowHalfOpen: true}, socket => {
      this.streams.add(socket);
      socket.on('close', () => this.streams.delete(socket));
      socket.on('error', () => socket.destroy());
      socket.once('data', first => this.answerStream(socket, first));
    });
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port) + 1, host, resolve);
    });
  }

  private answerStream(socket: net.Socket, first: Buffer): void {
    if (first.toString().startsWith('GET ')) {
      const body = `served by ${this.options.address}\n`;
      socket.end(
        `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n` +
          `Connection: close\r\n\r\n${body}`,
      );
      return;
    }
    socket.write(first);
    socket.pipe(socket);
  }

  private service(): BackendServer {
    return {
      run: (call, callback) => this.run(call, callback),
      health: (_call, callback) => callback(null, this.reportedHealth()),
    };
  }

  private run(
    call: ServerUnaryCall<RunRequest, RunReply>,
    callback: sendUnaryData<RunReply>,
  ): void {
    const {key, attempt, startByMs} = call.request;
    const refusal = this.findRefusal(startByMs);
    if (refusal !== undefined) {
      callback(null, {
        started: false,
        refusal,
        body: Buffer.alloc(0),
        attempt,
        key,
        bodyLength: 0,
        busySlots: this.busySlots,
      });
      return;
    }
    this.busySlots += 1;
    this.counts.started += 1;
    this.runCounts.set(key, (this.runCounts.get(key) ?? 0) + 1);
    let ended = false;
    const finish = () => {
      if (!ended) {
        ended = true;
        this.busySlots -= 1;
      }
    };
    call.on('cancelled', () => {
      if (!ended) {
        this.counts.cancelled += 1;
        finish();
      }
    });
    setTimeout(() => {
      const wasEnded = ended;
      finish();
      if (!wasEnded) {
        this.answer(call.request, callback);
      }
    }, this.drawServiceTime());
  }

  private findRefusal(startByMs: number): string | undefined {
    if (this.knobs.draining) {
      return 'draining';
    }
    if (startByMs > 0 && Date.now() > startByMs) {
      this.counts.late += 1;
      return 'late';
    }
    if (this.knobs.shedding || this.busySlots >= this.options.slots) {
      this.counts.shed += 1;
      return 'shed';
    }
    return undefined;
  }

  private drawServiceTime(): number {
    const cold = Date.now() - this.startedMs < this.knobs.coldMs;
    const factor = this.knobs.slowFactor * (cold ? COLD_SLOWDOWN_FACTOR : 1);
    const {serviceMs} = this.options;
    return (serviceMs / 2 + this.random.exponential(serviceMs / 2)) * factor;
  }

  private answer(request: RunRequest, callback: sendUnaryData<RunReply>): void {
    if (this.random.nextBool(this.knobs.lostAnswers)) {
      return;
    }
    const whole = Buffer.from(createAnswer(request.key));
    const truncated = this.random.nextBool(this.knobs.truncatedAnswers);
    const reply: RunReply = {
      started: true,
      refusal: '',
      body: truncated ? whole.subarray(0, whole.length / 2) : whole,
      attempt: request.attempt,
      key: request.key,
      bodyLength: whole.length,
      busySlots: this.busySlots,
    };
    const late = this.random.nextBool(this.knobs.lateAnswers);
    setTimeout(() => callback(null, reply), late ? LATE_ANSWER_DELAY_MS : 0);
  }

  private sampleHealth(): void {
    const now: HealthReply = {
      healthy: true,
      draining: this.knobs.draining,
      connections: Math.round(this.flows.size * this.knobs.misleading),
      busySlots: Math.round(this.busySlots * this.knobs.misleading),
      cold: Date.now() - this.startedMs < this.knobs.coldMs,
    };
    this.healthHistory = [...this.healthHistory, now].slice(
      -HEALTH_HISTORY_LENGTH,
    );
  }

  private reportedHealth(): HealthReply {
    const back = Math.floor(this.knobs.healthLagMs / HEALTH_SAMPLE_INTERVAL_MS);
    const position = Math.max(0, this.healthHistory.length - 1 - back);
    return (
      this.healthHistory[position] ?? {
        healthy: true,
        draining: false,
        connections: 0,
        busySlots: 0,
        cold: true,
      }
    );
  }
}
