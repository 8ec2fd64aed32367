/**
 * Routes each packet and forwards it to a backend server, passes it to a peer
 * or drops it.
 */
import {
  PacketHeader,
  type Hint,
  type PassedPacket,
} from '../generated/packet.js';
import type {MemberList} from '../membership/member-list.js';
import type {BackendServers} from '../ports/backend-servers.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {FabricPacket} from '../ports/fabric.js';
import type {Peers} from '../ports/peers.js';
import {
  DecisionKind,
  DropReason,
  FROM_FABRIC,
  type Arrival,
  type Decision,
  type Drop,
  type Forward,
  type Pass,
} from '../routing/decision.js';
import type {FlowKey} from '../routing/flow-key.js';
import type {Router} from '../routing/router.js';

export interface PacketPathOptions {
  readonly members: MemberList;
  readonly router: Router;
  readonly peers: Peers;
  readonly backends: BackendServers;
  readonly counters: Counters;
}

/** Handles packets from the fabric and from peers. */
export class PacketPath {
  private constructor(private readonly options: PacketPathOptions) {}

  static create(options: PacketPathOptions): PacketPath {
    return new PacketPath(options);
  }

  /** Handles a packet from the fabric. */
  handle(packet: FabricPacket): void {
    const decision = this.options.router.route(packet.packet, FROM_FABRIC);
    this.execute(decision, packet, FROM_FABRIC, this.options.members.self.id);
  }

  /** Handles a packet passed by a peer. */
  onPassed(passed: PassedPacket): void {
    const packet = decodePassed(passed);
    if (packet === undefined) {
      this.options.counters.add(Metric.PACKETS_MALFORMED);
      return;
    }
    const {hops, decide, chain} = passed;
    const arrival: Arrival = {hops, decide, chain};
    const decision = this.options.router.route(packet, arrival);
    const bytes = passed.packet;
    this.options.counters.add(Metric.PACKETS_DECIDED_FOR_PEER);
    this.execute(decision, {packet, bytes}, arrival, passed.entry);
  }

  private execute(
    decision: Decision,
    packet: FabricPacket,
    arrival: Arrival,
    ingress: string,
  ): void {
    // Plain branches: pattern matching is too slow for every packet.
    if (decision.kind === DecisionKind.FORWARD) {
      this.forward(decision, packet, ingress);
    } else if (decision.kind === DecisionKind.PASS) {
      this.pass(decision, packet.bytes, arrival.hops + 1, ingress);
    } else {
      this.countDrop(decision);
    }
  }

  private forward(
    forward: Forward,
    packet: FabricPacket,
    ingress: string,
  ): void {
    this.options.counters.add(Metric.PACKETS_FORWARDED);
    this.options.backends.send(forward.server, packet.bytes);
    if (forward.hintKey !== undefined) {
      this.sendHint(forward.server, forward.hintKey, packet.packet, ingress);
    }
  }

  private countDrop({reason}: Drop): void {
    this.options.counters.add(
      reason === DropReason.UNKNOWN_ADDRESS
        ? Metric.PACKETS_UNKNOWN_ADDRESS
        : Metric.PACKETS_UNROUTABLE,
    );
  }

  private pass(
    pass: Pass,
    bytes: Uint8Array,
    hops: number,
    ingress: string,
  ): void {
    this.options.counters.add(Metric.PACKETS_PASSED);
    const address = this.options.members.get(pass.member)?.address;
    if (address !== undefined) {
      const {decide, chain} = pass;
      const packet = Buffer.from(
        bytes.buffer,
        bytes.byteOffset,
        bytes.byteLength,
      );
      this.options.peers.pass(address, {
        hops,
        decide,
        entry: ingress,
        packet,
        chain: [...chain],
      });
    }
  }

  private sendHint(
    server: string,
    key: FlowKey,
    packet: PacketHeader,
    ingress: string,
  ): void {
    const address = this.options.members.get(ingress)?.address;
    if (address !== undefined) {
      const hint: Hint = {
        keyHigh: key.high,
        keyLow: key.low,
        server,
        address: packet.destinationAddress,
        port: packet.destinationPort,
      };
      this.options.peers.hint(address, hint);
    }
  }
}

function decodePassed(passed: PassedPacket): PacketHeader | undefined {
  try {
    return PacketHeader.decode(passed.packet);
  } catch {
    return undefined;
  }
}
