/**
 * Tracks the flows that pass one daemon, for load estimates and retransmitted opening
 * packets. Used by `CookieRouter`. A flow's packets carry the cookie of its server, so
 * routing does not depend on these records and survives a restart of the daemon.
 */
import type {CatalogServer} from '../catalog/records.js';
import type {CallerPosition, CookiePacket} from '../ports/cookie-fabric.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {KnownRoute} from '../catalog/route-table.js';
import {destinationKey} from './flow-key.js';
import type {RetainedPackets} from './retained-packets.js';
import type {RequestTracker} from './request-tracker.js';
import type {ServerLoadTracker} from './server-load-tracker.js';

/** Limits memory use: a flow takes about 300 bytes. */
const MAX_FLOWS = 60_000;
/**
 * Time after the last opening packet, or after the end of a flow, at which its record
 * expires. Callers make three attempts to open a flow within 1.4 s.
 */
const OPENING_RETENTION_MS = 2_500;
/** Time without a packet after which the record of an open flow expires. */
const IDLE_TIMEOUT_MS = 20_000;
/**
 * Longest time between two packets of a caller that awaits an answer: its retransmission
 * timeout doubles from 200 ms to 1.6 s.
 */
const MAX_RETRANSMIT_INTERVAL_MS = 2_000;
/** Time between two removals of expired records. */
const SWEEP_INTERVAL_MS = 1_000;
/** Sequence number that stands for "no data yet". */
const NO_SEQUENCE = -1;
/** Half of the 32-bit sequence space; a number further ahead is an older one. */
const HALF_SEQUENCE_SPACE = 2 ** 31;

/** The record of one flow; times are monotonic milliseconds. */
export interface TrackedFlow {
  /** Where its packets go; until it is open, where the last opening packet went. */
  server: CatalogServer;
  /** Servers that its opening packets went to; empty if this daemon saw none. */
  readonly triedServers: CatalogServer[];
  /** When the newest opening packet was forwarded. */
  openingSentAt: number;
  /** Whether the caller has sent a packet after the opening, and so was answered. */
  isOpen: boolean;
  /** Whether the caller closed it, or this daemon ended it. */
  hasEnded: boolean;
  /** Whether a request has been forwarded and not been answered yet. */
  hasPendingRequest: boolean;
  /** When the first data of the newest request passed. */
  requestStartedAt: number;
  /** Acknowledgement number of the caller at the start of the newest request. */
  acknowledgedAtRequest: number;
  /** Sequence number of the newest data packet; `NO_SEQUENCE`: none yet. */
  lastDataSequence: number;
  /** Addresses and acknowledgement number of the newest packet. */
  caller: CallerPosition;
  /** When the newest packet arrived. */
  lastPacketAt: number;
  /** The packet to resend if the server restarts; undefined: none is retained. */
  retainedPacket: CookiePacket | undefined;
  /** When the record expires. */
  expiresAt: number;
}

/** Dependencies of a `FlowTracker`. */
export interface FlowTrackerOptions {
  readonly counters: Counters;
  /** Receives pending requests and answers by server. */
  readonly loadTracker: ServerLoadTracker;
  /** Tracks requests to their end; undefined while nobody observes them. */
  readonly requestTracker: RequestTracker | undefined;
  /** Selects the packets to retain; undefined: none are retained. */
  readonly retainedPackets: RetainedPackets | undefined;
  /** Called when a retransmission shows that a server left a packet unanswered. */
  onUnanswered(server: CatalogServer): void;
}

/** The flows that recently passed one daemon. */
export class FlowTracker {
  private readonly flows = new Map<string, TrackedFlow>();
  private nextSweepAt = -Infinity;

  private constructor(private readonly options: FlowTrackerOptions) {}

  /** Creates a tracker without flows. */
  static create(options: FlowTrackerOptions): FlowTracker {
    return new FlowTracker(options);
  }

  /** Number of tracked flows. */
  get size(): number {
    return this.flows.size;
  }

  /** Returns the record of a packet's flow; undefined if it is not tracked. */
  find(packet: CookiePacket): TrackedFlow | undefined {
    return this.flows.get(keyOf(packet));
  }

  /** Returns the flows that await an answer from a server and had a packet recently. */
  listWaiting(server: string, now: number): TrackedFlow[] {
    return this.listFlows(server).filter(
      flow =>
        flow.hasPendingRequest &&
        now - flow.lastPacketAt <= MAX_RETRANSMIT_INTERVAL_MS,
    );
  }

  /**
   * Marks the flows that await an answer from a server as ended, and returns their callers.
   * Flows without a recent packet, and those whose caller `isWanted` rejects, are left out.
   */
  takeWaitingCallers(
    server: string,
    now: number,
    isWanted: (caller: CallerPosition) => boolean,
  ): CallerPosition[] {
    const waiting = this.listWaiting(server, now).filter(({caller}) =>
      isWanted(caller),
    );
    waiting.forEach(flow => {
      this.clearPendingRequest(flow);
      flow.hasEnded = true;
    });
    waiting.forEach(({caller}) =>
      this.options.requestTracker?.discard(keyOf(caller)),
    );
    return waiting.map(({caller}) => caller);
  }

  /**
   * Points the flows of a restarted server to its new record, discards their pending
   * requests, and returns them, those that had a pending request first.
   */
  rebindFlows(server: CatalogServer): TrackedFlow[] {
    const all = this.listFlows(server.id);
    const waiting = all.filter(({hasPendingRequest}) => hasPendingRequest);
    const flows = [
      ...waiting,
      ...all.filter(({hasPendingRequest}) => !hasPendingRequest),
    ];
    flows.forEach(flow => {
      this.clearPendingRequest(flow);
      this.options.requestTracker?.discard(keyOf(flow.caller));
      flow.server = server;
      const triedServers = flow.triedServers.map(each =>
        each.id === server.id ? server : each,
      );
      flow.triedServers.splice(0, triedServers.length, ...triedServers);
    });
    return flows;
  }

  /** Returns the open flows of a server that have no pending request. */
  listIdle(server: string): TrackedFlow[] {
    return this.listFlows(server).filter(isIdle);
  }

  /** Marks an idle flow as ended; returns false if it was not idle. */
  endIfIdle(flow: TrackedFlow): boolean {
    const wasIdle = isIdle(flow);
    flow.hasEnded ||= wasIdle;
    return wasIdle;
  }

  private listFlows(server: string): TrackedFlow[] {
    return [...this.flows.values()].filter(flow => flow.server.id === server);
  }

  /** Records the server that an opening packet, or a retransmitted one, is sent to. */
  recordOpening(
    packet: CookiePacket,
    server: CatalogServer,
    now: number,
  ): void {
    this.removeExpired(now);
    const {loadTracker} = this.options;
    const tracked = this.find(packet);
    const expiresAt = now + OPENING_RETENTION_MS;
    if (tracked !== undefined && !tracked.isOpen) {
      loadTracker.recordOpening(server.id, now);
      tracked.triedServers.push(server);
      tracked.server = server;
      tracked.openingSentAt = now;
      tracked.expiresAt = expiresAt;
      return;
    }
    const isTracked = this.add(packet, {
      ...createFlow(packet, server, now, expiresAt),
      triedServers: [server],
    });
    if (isTracked) {
      loadTracker.recordOpening(server.id, now);
    }
  }

  /**
   * Records a later packet, whose cookie identifies `cookieServer`, and returns the server
   * it must go to. Several servers may answer a retransmitted opening packet, each with
   * its own cookie, and the caller's cookie may change. So a flow whose opening this daemon
   * saw stays at the server of its first later packet.
   */
  recordPacket(
    packet: CookiePacket,
    route: KnownRoute,
    cookieServer: CatalogServer,
    now: number,
  ): CatalogServer {
    const tracked = this.find(packet);
    const flow = tracked ?? this.addOpenFlow(packet, cookieServer, now);
    if (!flow.isOpen) {
      flow.isOpen = true;
      flow.server = cookieServer;
      const {loadTracker, counters} = this.options;
      loadTracker.recordOpeningAnswered(
        cookieServer.id,
        flow.openingSentAt,
        now,
      );
      counters.observe(Metric.OPENING_ANSWER_MS, now - flow.openingSentAt);
    }
    flow.expiresAt = now + IDLE_TIMEOUT_MS;
    flow.caller = positionOf(packet);
    flow.lastPacketAt = now;
    if (tracked !== undefined) {
      this.retainPacket(flow, packet);
    }
    if (this.find(packet) === flow) {
      // Nothing would end the request of a flow that is not tracked.
      this.updateRequest(flow, packet, now);
      this.detectRetransmission(flow, packet);
    }
    const server = flow.triedServers.length > 0 ? flow.server : cookieServer;
    this.options.requestTracker?.recordPacket(
      keyOf(packet),
      packet,
      route,
      server,
      now,
    );
    if (packet.closes || packet.resets) {
      this.endFlow(packet, flow, now);
    }
    return server;
  }

  /** Adds a flow whose opening this daemon did not see, if there is room. */
  private addOpenFlow(
    packet: CookiePacket,
    server: CatalogServer,
    now: number,
  ): TrackedFlow {
    const flow: TrackedFlow = {
      ...createFlow(packet, server, now, now + IDLE_TIMEOUT_MS),
      isOpen: true,
      acknowledgedAtRequest: packet.acknowledged,
    };
    if (!packet.closes && !packet.resets && this.add(packet, flow)) {
      this.retainPacket(flow, packet);
    }
    return flow;
  }

  /** Retains a packet of a tracked flow if it is to replace the one retained so far. */
  private retainPacket(flow: TrackedFlow, packet: CookiePacket): void {
    flow.retainedPacket = this.options.retainedPackets?.select(
      flow.retainedPacket,
      packet,
    );
  }

  /**
   * Starts a pending request with the first data packet, and ends it when the caller
   * acknowledges new data of the server.
   */
  private updateRequest(
    flow: TrackedFlow,
    packet: CookiePacket,
    now: number,
  ): void {
    if (packet.dataLength > 0 && !flow.hasPendingRequest) {
      flow.hasPendingRequest = true;
      flow.requestStartedAt = now;
      flow.acknowledgedAtRequest = packet.acknowledged;
      this.options.loadTracker.adjustInFlight(flow.server.id, 1);
      return;
    }
    const newlyAcknowledged =
      (packet.acknowledged - flow.acknowledgedAtRequest) >>> 0;
    if (
      flow.hasPendingRequest &&
      newlyAcknowledged > 0 &&
      newlyAcknowledged < HALF_SEQUENCE_SPACE
    ) {
      this.clearPendingRequest(flow);
      const {loadTracker, counters} = this.options;
      loadTracker.recordAnswered(flow.server.id, now);
      counters.observe(Metric.REQUEST_ANSWER_MS, now - flow.requestStartedAt);
    }
  }

  /** Reports a server when a caller sends the same data again. */
  private detectRetransmission(flow: TrackedFlow, packet: CookiePacket): void {
    if (packet.dataLength === 0) {
      return;
    }
    const isRetransmission = packet.sequence === flow.lastDataSequence;
    flow.lastDataSequence = packet.sequence;
    if (isRetransmission) {
      this.options.onUnanswered(flow.server);
    }
  }

  private clearPendingRequest(flow: TrackedFlow): void {
    if (flow.hasPendingRequest) {
      flow.hasPendingRequest = false;
      this.options.loadTracker.adjustInFlight(flow.server.id, -1);
    }
  }

  /**
   * Ends a flow that its caller closed or reset. The record is kept for a while if this
   * daemon saw the opening, since the caller may still send packets.
   */
  private endFlow(packet: CookiePacket, flow: TrackedFlow, now: number): void {
    this.clearPendingRequest(flow);
    flow.hasEnded = true;
    flow.expiresAt = now + OPENING_RETENTION_MS;
    if (flow.triedServers.length === 0) {
      this.remove(keyOf(packet), flow);
    }
  }

  private remove(key: string, flow: TrackedFlow): void {
    this.options.retainedPackets?.release(flow.retainedPacket);
    flow.retainedPacket = undefined;
    flow.hasEnded = true;
    this.flows.delete(key);
  }

  /**
   * Adds a flow in place of any earlier one with the same addresses and ports; returns
   * false if there is no room.
   */
  private add(packet: CookiePacket, flow: TrackedFlow): boolean {
    const previous = this.find(packet);
    if (previous !== undefined) {
      this.clearPendingRequest(previous);
      this.remove(keyOf(packet), previous);
    }
    const hasRoom = this.flows.size < MAX_FLOWS;
    if (hasRoom) {
      this.flows.set(keyOf(packet), flow);
    }
    return hasRoom;
  }

  private removeExpired(now: number): void {
    if (now < this.nextSweepAt) {
      return;
    }
    this.nextSweepAt = now + SWEEP_INTERVAL_MS;
    this.flows.forEach((flow, key) => {
      if (flow.expiresAt <= now) {
        this.clearPendingRequest(flow);
        this.remove(key, flow);
      }
    });
  }
}

/** Creates the record of a flow that is not open yet. */
function createFlow(
  packet: CookiePacket,
  server: CatalogServer,
  now: number,
  expiresAt: number,
): TrackedFlow {
  return {
    server,
    triedServers: [],
    openingSentAt: now,
    isOpen: false,
    hasEnded: false,
    hasPendingRequest: false,
    requestStartedAt: now,
    acknowledgedAtRequest: 0,
    lastDataSequence: NO_SEQUENCE,
    caller: positionOf(packet),
    lastPacketAt: now,
    retainedPacket: undefined,
    expiresAt,
  };
}

/** Whether a flow is open without a pending request. */
function isIdle({
  isOpen,
  hasPendingRequest: isBusy,
  hasEnded,
}: TrackedFlow): boolean {
  return isOpen && !isBusy && !hasEnded;
}

/** Copies the position, so that the bytes of the packet are not retained. */
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
