/**
 * Sends packets of numbered flows on control calls: `source.js CONTROL`. Each call
 * is a `SendOrder` and returns the number of packets sent so far.
 */
import {bindUdp, sendUdp} from '../../src/adapters/udp-socket.js';
import {Packet, PacketKind} from '../../src/generated/packet.js';
import {parseSocketAddress} from '../../src/routing/ipv4.js';
import {startStandinServer} from '../../standins/standin-control.js';
import {createFlowPacket} from '../../standins/memory-fleet.js';

const SEND_INTERVAL_MS = 2;
const BURST_PACKETS = 64;
const SERVICE = 'bench/forwarding';

interface SendOrder {
  /** "ip:port" that packets are sent to. */
  readonly target: string;
  /** "ip:port" of the service, in the packets. */
  readonly destination: string;
  /** Number of the first flow. */
  readonly first: number;
  readonly flows: number;
  readonly kind: PacketKind;
  /** Packets per second; 0 sends as fast as possible. */
  readonly rate: number;
  readonly seconds: number;
}

const [controlAddress] = process.argv.slice(2);
const socket = await bindUdp(`${controlAddress.split(':')[0]}:0`);
let sent = 0;

function encodePackets(order: SendOrder): Uint8Array[] {
  const socketAddress = parseSocketAddress(order.destination);
  const destination = {
    address: socketAddress?.address ?? 0,
    port: socketAddress?.port ?? 0,
    service: SERVICE,
  };
  return Array.from({length: order.flows}, (_, index) =>
    Packet.encode(
      createFlowPacket(order.first + index, order.kind, destination),
    ).finish(),
  );
}

/** Sends packets at the ordered rate until its duration has passed. */
function sendPackets(order: SendOrder, packets: readonly Uint8Array[]): void {
  const startMs = performance.now();
  let sentOfOrder = 0;
  const sendDue = () => {
    const elapsed = performance.now() - startMs;
    if (elapsed > order.seconds * 1_000) {
      return;
    }
    const due =
      order.rate === 0
        ? BURST_PACKETS
        : Math.floor((elapsed / 1_000) * order.rate) - sentOfOrder;
    Array.from({length: Math.max(0, due)}).forEach(() => {
      sendUdp(socket, order.target, packets[sentOfOrder % packets.length]);
      sentOfOrder += 1;
    });
    sent += Math.max(0, due);
    if (order.rate === 0) {
      setImmediate(sendDue);
    } else {
      setTimeout(sendDue, SEND_INTERVAL_MS);
    }
  };
  sendDue();
}

await startStandinServer(controlAddress, settings => {
  if ('target' in settings) {
    const order = settings as unknown as SendOrder;
    sendPackets(order, encodePackets(order));
  }
  return {sent};
});
