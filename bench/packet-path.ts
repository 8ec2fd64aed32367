/** Measures the processing time of a packet in a coordinator, without sockets. */
import {XxhashHasher} from '../src/adapters/xxhash-hasher.js';
import {decodePacket} from '../src/adapters/udp-fabric.js';
import {Packet, PacketKind} from '../src/generated/packet.js';
import type {RoutingRevision} from '../src/routing/routed-address.js';
import {MemoryFleet, createFlowPacket} from '../standins/memory-fleet.js';

const FLOWS = 20_000;
const ROUNDS = 60;
const DESTINATION = {address: 0x0a280001, port: 443, service: 'a/b'};
const NANOSECONDS_PER_MS = 1_000_000;

const hasher = await XxhashHasher.create();
const ids = Array.from({length: 10}, (_, index) => `10.1.0.${index + 1}:80`);
const revision: RoutingRevision = {
  revision: 1,
  addresses: [
    {
      ...DESTINATION,
      connectionLimit: 1_000_000,
      warmUpMs: 1,
      idleLimitSeconds: 7_200,
      flowLifetimeMs: 43_200_000,
      generations: [
        {
          since: 1,
          workspace: 'a',
          service: 'b',
          flexibleShare: 0.25,
          servers: ids.map(id => ({id, weight: 1})),
        },
      ],
    },
  ],
};
const fleet = MemoryFleet.create({hasher, seed: 1, services: new Map()});
fleet.revision = revision;
const daemon = await fleet.join('hall-a');
await fleet.clock.advance(3_000);
fleet.backends.send = () => undefined;

/** Decodes and handles one packet per flow and round; returns nanoseconds each. */
function measurePackets(kind: PacketKind, rounds: number): number {
  const packets = Array.from({length: FLOWS}, (_, flow) =>
    Buffer.from(
      Packet.encode(createFlowPacket(flow, kind, DESTINATION)).finish(),
    ),
  );
  const startMs = performance.now();
  for (let round = 0; round < rounds; round += 1) {
    packets.forEach(bytes => {
      const packet = decodePacket(bytes);
      if (packet !== undefined) {
        daemon.coordinator.handle({packet, bytes});
      }
    });
  }
  const elapsed = performance.now() - startMs;
  return Math.round((elapsed * NANOSECONDS_PER_MS) / (rounds * FLOWS));
}

const open = measurePackets(PacketKind.OPEN, 1);
measurePackets(PacketKind.DATA, 5);
const data = measurePackets(PacketKind.DATA, ROUNDS);
process.stdout.write(
  `${JSON.stringify({openNanoseconds: open, dataNanoseconds: data})}\n`,
);
