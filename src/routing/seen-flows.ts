/**
 * Flows that pass one daemon. The record is for load and for copies of opening
 * packets; where a flow's server is stands in its packets, so nothing is lost
 * when a daemon starts without it.
 */
import type {CatalogServer} from '../catalog/records.js';
import type {CallerPosition, CookiePacket} from '../ports/cookie-fabric.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {KnownRoute} from '../catalog/route-table.js';
import {destinationKey} from './flow-key.js';
import type {RetainedPackets} from './retained-packets.js';
import type {RequestWatch} from './request-watch.js';
import type {ServerLoadTracker} from './server-load-tracker.js';

/** Flows kept at the most; 300 bytes each. */
const MAXIMUM_FLOWS = 60_000;
/**
 * Time after which an unfinished opening is forgotten, in milliseconds: three
 * attempts end in 1.4 s.
 */
const OPENING_LIFETIME_MS = 2_500;
/** Time without a packet after which a flow is forgotten, in milliseconds. */
const IDLE_LIFETIME_MS = 20_000;
/**
 * Longest time between two packets of a caller that waits for an answer, in
 * milliseconds: its pauses double from 200 ms to 1.6 s.
 */
const LONGEST_REPEAT_MS = 2_000;
/** Time between two sweeps, in milliseconds. */
const SWEEP_MS = 1_000;
/** Stands for "no data yet" among positions. */
const NO_DATA = -1;
/** Half of the range of positions, in bytes: what is further ahead lies behind. */
const HALF_RANGE = 2 ** 31;

/** One flow that passed. */
export interface SeenFlow {
  /** Where its packets go; while it opens, where the last copy went. */
  server: CatalogServer;
  /** Servers that its opening packets went to; empty when none was seen. */
  readonly tried: CatalogServer[];
  /** When the newest opening packet was sent on; monotonic milliseconds. */
  openingSentAt: number;
  /** Whether the caller has heard from the server. */
  isOpen: boolean;
  /** Whether the caller closed it, or it was ended here. */
  hasEnded: boolean;
  /** Whether a request is under way. */
  isBusy: boolean;
  /** When the newest request passed; monotonic milliseconds. */
  requestedAt: number;
  /** What the caller had acknowledged when it sent the request. */
  acknowledgedBefore: number;
  /** Position of the newest data that the caller sent. */
  newestData: number;
  /** Where the caller stood with its newest packet, and when that came. */
  caller: CallerPosition;
  seenAt: number;
  /** The packet that would be sent to the server again; undefined: none is kept. */
  kept: CookiePacket | undefined;
  /** Monotonic milliseconds after which it is forgotten. */
  forgetAt: number;
}

/** What a record of flows is made from. */
export interface SeenFlowsOptions {
  readonly counters: Counters;
  /** Where requests and silences are counted. */
  readonly work: ServerLoadTracker;
  /** Follows requests to their ends; undefined where nobody asks for them. */
  readonly watch: RequestWatch | undefined;
  /** Which packets are kept; undefined where none are. */
  readonly packets: RetainedPackets | undefined;
  /** Told of a server that left a packet without an answer. */
  onUnanswered(server: CatalogServer): void;
}

/** The flows that one daemon has seen of late. */
export class SeenFlows {
  private readonly flows = new Map<string, SeenFlow>();
  private sweepAt = -Infinity;

  private constructor(private readonly options: SeenFlowsOptions) {}

  /** Creates an empty record. */
  static create(options: SeenFlowsOptions): SeenFlows {
    return new SeenFlows(options);
  }

  /** Flows on record. */
  get size(): number {
    return this.flows.size;
  }

  /** The record of a packet's flow. */
  find(packet: CookiePacket): SeenFlow | undefined {
    return this.flows.get(keyOf(packet));
  }

  /**
   * Callers that wait for a server's answer, have sent of late and are wanted; their flows
   * count as ended from now on. The others wait on.
   */
  takeWaiting(
    server: string,
    now: number,
    isWanted: (caller: CallerPosition) => boolean,
  ): CallerPosition[] {
    const waiting = this.flowsAt(server).filter(
      flow =>
        flow.isBusy &&
        now - flow.seenAt <= LONGEST_REPEAT_MS &&
        isWanted(flow.caller),
    );
    waiting.forEach(flow => {
      this.finish(flow);
      flow.hasEnded = true;
    });
    waiting.forEach(({caller}) => this.options.watch?.drop(keyOf(caller)));
    return waiting.map(({caller}) => caller);
  }

  /**
   * The flows of a server that started again, those with a request under way first: it
   * comes to nothing, and packets go where the server is now.
   */
  renew(server: CatalogServer): SeenFlow[] {
    const all = this.flowsAt(server.id);
    const waiting = all.filter(({isBusy}) => isBusy);
    const flows = [...waiting, ...all.filter(({isBusy}) => !isBusy)];
    flows.forEach(flow => {
      this.finish(flow);
      this.options.watch?.drop(keyOf(flow.caller));
      flow.server = server;
      const tried = flow.tried.map(each =>
        each.id === server.id ? server : each,
      );
      flow.tried.splice(0, tried.length, ...tried);
    });
    return flows;
  }

  /** Open flows of a server that have no request under way. */
  idleAt(server: string): SeenFlow[] {
    return this.flowsAt(server).filter(isIdle);
  }

  /** Ends a flow that has no request under way; false if it has one, or has ended. */
  endIdle(flow: SeenFlow): boolean {
    const ends = isIdle(flow);
    flow.hasEnded ||= ends;
    return ends;
  }

  private flowsAt(server: string): SeenFlow[] {
    return [...this.flows.values()].filter(flow => flow.server.id === server);
  }

  /** Records where an opening packet or a copy of it was sent. */
  noteOpening(packet: CookiePacket, server: CatalogServer, now: number): void {
    this.sweep(now);
    this.options.work.noteOpening(server.id, now);
    const known = this.find(packet);
    const forgetAt = now + OPENING_LIFETIME_MS;
    if (known !== undefined && !known.isOpen) {
      known.tried.push(server);
      known.server = server;
      known.openingSentAt = now;
      known.forgetAt = forgetAt;
      return;
    }
    this.put(packet, {
      ...createFlow(packet, server, now, forgetAt),
      tried: [server],
    });
  }

  /**
   * Records a later packet towards the server that its cookie names and returns
   * the server it must go to. Copies of an opening may be answered by several
   * servers, and the caller's cookie is the one that came last; so a flow whose
   * opening was seen stays at the server that its first later packet named.
   */
  notePacket(
    packet: CookiePacket,
    route: KnownRoute,
    named: CatalogServer,
    now: number,
  ): CatalogServer {
    const known = this.find(packet);
    const flow = known ?? this.addOpen(packet, named, now);
    if (!flow.isOpen) {
      flow.isOpen = true;
      flow.server = named;
      const {work, counters} = this.options;
      work.noteOpened(named.id, flow.openingSentAt, now);
      counters.observe(Metric.OPENING_ANSWER_MS, now - flow.openingSentAt);
    }
    flow.forgetAt = now + IDLE_LIFETIME_MS;
    flow.caller = positionOf(packet);
    flow.seenAt = now;
    if (known !== undefined) {
      this.keep(flow, packet);
    }
    this.noteProgress(flow, packet, now);
    this.noteRepeat(flow, packet);
    const server = flow.tried.length > 0 ? flow.server : named;
    this.options.watch?.notePacket(keyOf(packet), packet, route, server, now);
    if (packet.closes || packet.resets) {
      this.end(packet, flow, now);
    }
    return server;
  }

  /** Records a flow whose opening this daemon did not see. */
  private addOpen(
    packet: CookiePacket,
    server: CatalogServer,
    now: number,
  ): SeenFlow {
    const flow: SeenFlow = {
      ...createFlow(packet, server, now, now + IDLE_LIFETIME_MS),
      isOpen: true,
      acknowledgedBefore: packet.acknowledged,
    };
    if (!packet.closes && !packet.resets && this.put(packet, flow)) {
      this.keep(flow, packet);
    }
    return flow;
  }

  /** Keeps a packet of a flow on record in place of the one that is kept. */
  private keep(flow: SeenFlow, packet: CookiePacket): void {
    flow.kept = this.options.packets?.choose(flow.kept, packet);
  }

  /** A request is under way from its first data to the first new answer. */
  private noteProgress(
    flow: SeenFlow,
    packet: CookiePacket,
    now: number,
  ): void {
    if (packet.dataLength > 0 && !flow.isBusy) {
      flow.isBusy = true;
      flow.requestedAt = now;
      flow.acknowledgedBefore = packet.acknowledged;
      this.options.work.count(flow.server.id, 1);
      return;
    }
    const ahead = (packet.acknowledged - flow.acknowledgedBefore) >>> 0;
    if (flow.isBusy && ahead > 0 && ahead < HALF_RANGE) {
      this.finish(flow);
      const {work, counters} = this.options;
      work.noteAnswered(flow.server.id, now);
      counters.observe(Metric.REQUEST_ANSWER_MS, now - flow.requestedAt);
    }
  }

  /** The same data once more: the server has not confirmed it in time. */
  private noteRepeat(flow: SeenFlow, packet: CookiePacket): void {
    if (packet.dataLength === 0) {
      return;
    }
    const isRepeat = packet.sequence === flow.newestData;
    flow.newestData = packet.sequence;
    if (isRepeat) {
      this.options.onUnanswered(flow.server);
    }
  }

  private finish(flow: SeenFlow): void {
    if (flow.isBusy) {
      flow.isBusy = false;
      this.options.work.count(flow.server.id, -1);
    }
  }

  /** A closed flow may still send for a while, so its record lasts a little. */
  private end(packet: CookiePacket, flow: SeenFlow, now: number): void {
    this.finish(flow);
    flow.hasEnded = true;
    flow.forgetAt = now + OPENING_LIFETIME_MS;
    if (flow.tried.length === 0) {
      this.forget(keyOf(packet), flow);
    }
  }

  private forget(key: string, flow: SeenFlow): void {
    this.options.packets?.release(flow.kept);
    flow.kept = undefined;
    flow.hasEnded = true;
    this.flows.delete(key);
  }

  /** Puts a flow on record; false if there is no room. */
  private put(packet: CookiePacket, flow: SeenFlow): boolean {
    const before = this.find(packet);
    if (before !== undefined) {
      this.finish(before);
      this.forget(keyOf(packet), before);
    }
    const hasRoom = this.flows.size < MAXIMUM_FLOWS;
    if (hasRoom) {
      this.flows.set(keyOf(packet), flow);
    }
    return hasRoom;
  }

  private sweep(now: number): void {
    if (now < this.sweepAt) {
      return;
    }
    this.sweepAt = now + SWEEP_MS;
    this.flows.forEach((flow, key) => {
      if (flow.forgetAt <= now) {
        this.finish(flow);
        this.forget(key, flow);
      }
    });
  }
}

/** A flow that has not done anything yet. */
function createFlow(
  packet: CookiePacket,
  server: CatalogServer,
  now: number,
  forgetAt: number,
): SeenFlow {
  return {
    server,
    tried: [],
    openingSentAt: now,
    isOpen: false,
    hasEnded: false,
    isBusy: false,
    requestedAt: now,
    acknowledgedBefore: 0,
    newestData: NO_DATA,
    caller: positionOf(packet),
    seenAt: now,
    kept: undefined,
    forgetAt,
  };
}

/** Whether no request is under way: any data makes one until the answer begins. */
function isIdle({isOpen, isBusy, hasEnded}: SeenFlow): boolean {
  return isOpen && !isBusy && !hasEnded;
}

/** Not the packet itself: it would keep its bytes. */
function positionOf(packet: CookiePacket): CallerPosition {
  const {sourceAddress, sourcePort, acknowledged} = packet;
  const {destinationAddress, destinationPort} = packet;
  return {
    sourceAddress,
    sourcePort,
    destinationAddress,
    destinationPort,
    acknowledged,
  };
}

function keyOf(packet: CallerPosition): string {
  const source = destinationKey(packet.sourceAddress, packet.sourcePort);
  const destination = destinationKey(
    packet.destinationAddress,
    packet.destinationPort,
  );
  return `${source}/${destination}`;
}
