/**
 * Load on the link of one daemon: callers that upload 80 kB each, and openings beside them.
 * Both directions of the link are FIFO queues that drop what arrives when they are full.
 */
import type {Clock} from '../src/ports/clock.js';
import {CookieFabric, type CookiePacket} from '../src/ports/cookie-fabric.js';
import type {Random} from '../src/routing/random.js';
import {createPacket} from './cookie-packets.js';

const UPLOAD_PACKETS = 66;
const WINDOW = 16;
const PACKET_BYTES = 1_232;
const UPLOAD_BITS = UPLOAD_PACKETS * PACKET_BYTES * 8;
const OPENING_BYTES = 32;
/** Headers of a datagram, and the name of the server on the way to it. */
const DATAGRAM_HEADER_BYTES = 28;
const SERVER_NAME_BYTES = 8;
const ONE_WAY_LATENCY_MS = 2;
const INITIAL_RETRANSMIT_MS = 200;
const MAX_RETRANSMIT_MS = 1_600;
/** Time after which a caller gives up an upload. */
const UPLOAD_LIMIT_MS = 4_000;
/** Longest queue in front of a link, as time of the link. */
const LINK_QUEUE_MS = 60;

/** Parameters of a load. */
export interface UploadLoadOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly linkMbps: number;
  /** Bytes of the uploads relative to what the link carries. */
  readonly overload: number;
  readonly openingsPerSecond: number;
  /** Whether the link limits what arrives at the daemon as well as what it sends. */
  readonly limitsInbound: boolean;
}

/** Outcome of a load. */
export interface LoadResults {
  openings: number;
  openingsLost: number;
  /** 90% of the openings that reached a server took at most this long. */
  openingP90Ms: number;
  uploads: number;
  uploadsDone: number;
}

/** One direction of a link. */
class DropTailLink {
  private busyUntil = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly bytesPerMs: number,
  ) {}

  /** Delivers a datagram, unless the queue is full. */
  send(bytes: number, deliver: () => void): void {
    const now = this.clock.now();
    const start = Math.max(now, this.busyUntil);
    if (start - now < LINK_QUEUE_MS) {
      this.busyUntil = start + bytes / this.bytesPerMs;
      this.clock.callAt(this.busyUntil + ONE_WAY_LATENCY_MS, deliver);
    }
  }
}

/** Delivers what the daemon sends over its link. */
class LinkFabric extends CookieFabric {
  constructor(
    private readonly link: DropTailLink,
    private readonly receive: (packet: CookiePacket) => void,
  ) {
    super();
  }

  onPacket(): void {}

  forward(packet: CookiePacket): void {
    const bytes =
      packet.bytes.length + DATAGRAM_HEADER_BYTES + SERVER_NAME_BYTES;
    this.link.send(bytes, () => this.receive(packet));
  }

  reset(): void {}

  close(): void {}
}

/** The load, the link and the server side. */
export class UploadLoad {
  /** The daemon's way to the servers. */
  readonly fabric: CookieFabric;
  private readonly inbound: DropTailLink;
  private readonly arrivals = new Map<string, () => void>();
  private readonly openingTimes: number[] = [];
  private counts = {openings: 0, uploads: 0, uploadsDone: 0};
  private forward: (packet: CookiePacket) => void = () => undefined;

  private constructor(private readonly options: UploadLoadOptions) {
    const {clock, linkMbps, limitsInbound} = options;
    const bytesPerMs = linkMbps * 125;
    this.inbound = new DropTailLink(
      clock,
      limitsInbound ? bytesPerMs : Infinity,
    );
    this.fabric = new LinkFabric(new DropTailLink(clock, bytesPerMs), packet =>
      this.arrivals.get(nameOf(packet))?.(),
    );
  }

  /** Creates a load that has not begun. */
  static create(options: UploadLoadOptions): UploadLoad {
    return new UploadLoad(options);
  }

  /** Starts uploads and openings at random times for `durationMs`. */
  run(forward: (packet: CookiePacket) => void, durationMs: number): void {
    const {linkMbps, overload, openingsPerSecond} = this.options;
    this.forward = forward;
    const uploadsPerMs = (linkMbps * 1_000 * overload) / UPLOAD_BITS;
    this.repeat(uploadsPerMs, durationMs, () => this.startUpload());
    this.repeat(openingsPerSecond / 1_000, durationMs, () =>
      this.sendOpening(),
    );
  }

  /** What became of the load so far. */
  get results(): LoadResults {
    const times = [...this.openingTimes].sort((a, b) => a - b);
    return {
      ...this.counts,
      openingsLost: this.counts.openings - times.length,
      openingP90Ms: Math.round(times[Math.floor(times.length * 0.9)] ?? 0),
    };
  }

  /** Runs a task at exponentially distributed intervals. */
  private repeat(ratePerMs: number, durationMs: number, task: () => void) {
    const {clock, random} = this.options;
    const intervalMs = -Math.log(1 - random.next()) / ratePerMs;
    if (intervalMs <= durationMs) {
      clock.callAt(clock.now() + intervalMs, () => {
        task();
        this.repeat(ratePerMs, durationMs - intervalMs, task);
      });
    }
  }

  private sendOpening(): void {
    const {clock} = this.options;
    const startedAt = clock.now();
    this.counts.openings += 1;
    const bytes = new Uint8Array(OPENING_BYTES);
    const sourcePort = this.counts.openings;
    const packet = createPacket({sourcePort, opens: true, bytes});
    this.send(packet, () => this.openingTimes.push(clock.now() - startedAt));
  }

  private startUpload(): void {
    const {clock} = this.options;
    this.counts.uploads += 1;
    const sourcePort = 100_000 + this.counts.uploads;
    const deadline = clock.now() + UPLOAD_LIMIT_MS;
    let nextSequence = 0;
    let acknowledged = 0;
    const sendNext = () => {
      if (nextSequence < UPLOAD_PACKETS) {
        sendData(nextSequence);
        nextSequence += 1;
      }
    };
    const onAcknowledged = () => {
      acknowledged += 1;
      if (acknowledged === UPLOAD_PACKETS) {
        this.counts.uploadsDone += 1;
      }
      sendNext();
    };
    const sendData = (sequence: number) =>
      this.sendUntilAcknowledged(
        dataPacket(sourcePort, sequence),
        deadline,
        onAcknowledged,
      );
    Array.from({length: WINDOW}, sendNext);
  }

  private sendUntilAcknowledged(
    packet: CookiePacket,
    deadline: number,
    onAcknowledged: () => void,
  ): void {
    const {clock} = this.options;
    let isAcknowledged = false;
    const acknowledge = () => {
      if (!isAcknowledged && clock.now() <= deadline) {
        isAcknowledged = true;
        onAcknowledged();
      }
    };
    const onArrival = () =>
      clock.callAt(clock.now() + ONE_WAY_LATENCY_MS, acknowledge);
    const attempt = (timeoutMs: number) => {
      if (!isAcknowledged && clock.now() <= deadline) {
        this.send(packet, onArrival);
        clock.callAt(clock.now() + timeoutMs, () =>
          attempt(Math.min(timeoutMs * 2, MAX_RETRANSMIT_MS)),
        );
      }
    };
    attempt(INITIAL_RETRANSMIT_MS);
  }

  private send(packet: CookiePacket, onArrival: () => void): void {
    this.arrivals.set(nameOf(packet), onArrival);
    const bytes = packet.bytes.length + DATAGRAM_HEADER_BYTES;
    this.inbound.send(bytes, () => this.forward(packet));
  }
}

function dataPacket(sourcePort: number, sequence: number): CookiePacket {
  const bytes = new Uint8Array(PACKET_BYTES);
  const dataLength = PACKET_BYTES - OPENING_BYTES;
  return createPacket({sourcePort, sequence, dataLength, bytes});
}

function nameOf({sourcePort, sequence}: CookiePacket): string {
  return `${sourcePort}/${sequence}`;
}
