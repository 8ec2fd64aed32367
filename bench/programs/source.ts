/**
 * Sends packets of numbered flows: `source.js KNOBS`. Knobs: `target`,
 * `destination`, `first`, `flows`, `kind`, `rate` (packets a second; 0: as many
 * as it can), `seconds`.
 */
import {bindUdp, sendUdp} from '../../src/adapters/udp-socket.js';
import {Packet, PacketKind} from '../../src/generated/packet.js';
import {parseSocketAddress} from '../../src/routing/ipv4.js';
import {startStandinServer} from '../../standins/knobs.js';
import {packetOf} from '../../standins/memory-fleet.js';

const STEP_MS = 2;
const BURST = 64;
const SERVICE = 'bench/forwarding';

interface Order {
  readonly target: string;
  readonly destination: string;
  readonly first: number;
  readonly flows: number;
  readonly kind: PacketKind;
  readonly rate: number;
  readonly seconds: number;
}

const [knobs] = process.argv.slice(2);
const socket = await bindUdp(`${knobs.split(':')[0]}:0`);
let sent = 0;

function encode(order: Order): Uint8Array[] {
  const socketAddress = parseSocketAddress(order.destination);
  const destination = {
    address: socketAddress?.address ?? 0,
    port: socketAddress?.port ?? 0,
    service: SERVICE,
  };
  return Array.from({length: order.flows}, (_, index) =>
    Packet.encode(
      packetOf(order.first + index, order.kind, destination),
    ).finish(),
  );
}

/** Sends in bursts, no faster than the rate, until the time is over. */
function run(order: Order, packets: readonly Uint8Array[]): void {
  const startMs = performance.now();
  let own = 0;
  const step = () => {
    const elapsed = performance.now() - startMs;
    if (elapsed > order.seconds * 1_000) {
      return;
    }
    const due =
      order.rate === 0
        ? BURST
        : Math.floor((elapsed / 1_000) * order.rate) - own;
    Array.from({length: Math.max(0, due)}).forEach(() => {
      sendUdp(socket, order.target, packets[own % packets.length]);
      own += 1;
    });
    sent += Math.max(0, due);
    if (order.rate === 0) {
      setImmediate(step);
    } else {
      setTimeout(step, STEP_MS);
    }
  };
  step();
}

await startStandinServer(knobs, settings => {
  if ('target' in settings) {
    const order = settings as unknown as Order;
    run(order, encode(order));
  }
  return {sent};
});
