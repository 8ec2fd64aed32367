/** Ablations: flows survive with each mechanism and break without it. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {PacketListener} from '../../standins/memory-backends.js';
import {MemoryFleet, createFlowPacket} from '../../standins/memory-fleet.js';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {PacketKind} from '../generated/packet.js';
import {NewestTableRouter} from '../routing/newest-table-router.js';
import type {
  AddressGeneration,
  RoutingRevision,
} from '../routing/routed-address.js';
import {MarkState, ServerMarks} from '../routing/server-marks.js';

const hasher = await XxhashHasher.create();
const PAY = {address: 0x0a140001, port: 443, service: 'parkwise/meterpay'};
const OTHER = {...PAY, service: 'parkwise/other'};
const SERVERS = ['10.1.0.1:80', '10.1.0.2:80', '10.1.0.3:80', '10.1.0.4:80'];
const OTHER_SERVERS = ['10.9.0.1:80', '10.9.0.2:80'];
const FLOWS = 400;

function generation(
  since: number,
  service: string,
  ids: readonly string[],
): AddressGeneration {
  return {
    since,
    workspace: 'parkwise',
    service,
    flexibleShare: 0.25,
    servers: ids.map(id => ({id, weight: 1})),
  };
}

function revisionOf(
  revision: number,
  generations: readonly AddressGeneration[],
): RoutingRevision {
  return {
    revision,
    addresses: [
      {
        address: PAY.address,
        port: PAY.port,
        connectionLimit: 2_000,
        warmUpMs: 1,
        idleLimitSeconds: 7_200,
        flowLifetimeMs: 43_200_000,
        generations,
      },
    ],
  };
}

async function createFleet(listener?: PacketListener): Promise<MemoryFleet> {
  const fleet = MemoryFleet.create({
    hasher,
    seed: 3,
    listener,
    services: new Map([
      ...SERVERS.map(id => [id, PAY.service] as const),
      ...OTHER_SERVERS.map(id => [id, OTHER.service] as const),
    ]),
  });
  fleet.revision = revisionOf(1, [generation(1, PAY.service, SERVERS)]);
  await [0, 1, 2, 3].reduce(async (earlier, number) => {
    await earlier;
    await fleet.join(`hall-${number % 3}`);
    await fleet.clock.advance(200);
  }, Promise.resolve());
  await fleet.clock.advance(4_000);
  return fleet;
}

/** Sends one packet of each flow to any daemon. */
async function sendAll(
  fleet: MemoryFleet,
  kind: PacketKind,
  first = 0,
  destination = PAY,
): Promise<void> {
  Array.from({length: FLOWS}).forEach((_, index) => {
    const daemon = fleet.random.pick(fleet.ready);
    if (daemon !== undefined) {
      fleet.deliver(daemon, createFlowPacket(first + index, kind, destination));
    }
  });
  await fleet.clock.advance(20);
}

test('flows stay at a draining server; the newest-table router moves some', async () => {
  const fleet = await createFleet();
  await sendAll(fleet, PacketKind.OPEN);
  fleet.markServer(SERVERS[0], MarkState.LEAVING, fleet.running);
  await fleet.clock.advance(3_000);
  await sendAll(fleet, PacketKind.DATA);
  assert.equal(fleet.backends.resets, 0);

  const naive = NewestTableRouter.create(hasher);
  const marks = ServerMarks.create();
  naive.stage(fleet.revision, marks);
  const serverOf = (flow: number) =>
    naive.route(createFlowPacket(flow, PacketKind.DATA, PAY));
  const before = Array.from({length: FLOWS}, (_, flow) => serverOf(flow));
  marks.apply({
    server: SERVERS[0],
    state: MarkState.LEAVING,
    version: 1,
    kind: 'platform',
    disturbedUntilMs: 0,
  });
  naive.stage(fleet.revision, marks);
  const moved = before.filter(
    (decision, flow) =>
      JSON.stringify(decision) !== JSON.stringify(serverOf(flow)),
  );
  assert.ok(moved.length > 0);
});

test('replication keeps flows through a crash; without it flows break', async () => {
  const resets = await [false, true].reduce<Promise<number[]>>(
    async (earlier, pushesDropped) => {
      const fleet = await createFleet();
      fleet.network.faults.discardPushes = pushesDropped;
      await sendAll(fleet, PacketKind.OPEN);
      await fleet.clock.advance(1_500);
      fleet.crash(fleet.ready[1].id);
      await fleet.clock.advance(6_000);
      await sendAll(fleet, PacketKind.DATA);
      return [...(await earlier), fleet.backends.resets];
    },
    Promise.resolve([]),
  );
  assert.equal(resets[0], 0);
  assert.ok(resets[1] > 0);
});

test('a handover keeps flows through a planned stop; without it flows break', async () => {
  const fleet = await createFleet();
  await sendAll(fleet, PacketKind.OPEN);
  await fleet.clock.advance(1_500);
  assert.equal(await fleet.leave(fleet.ready[0].id), true);
  await fleet.leave(fleet.ready[0].id);
  await sendAll(fleet, PacketKind.DATA);
  assert.equal(fleet.backends.resets, 0);

  fleet.network.faults.discardPushes = true;
  const last = fleet.ready[0];
  await sendAll(fleet, PacketKind.OPEN, FLOWS);
  await fleet.join('hall-0');
  await fleet.clock.advance(100);
  fleet.crash(last.id);
  await fleet.clock.advance(6_000);
  await sendAll(fleet, PacketKind.DATA, FLOWS);
  assert.ok(fleet.backends.resets > 0);
});

test('placing flows by a revision before all peers staged it breaks flows', async () => {
  const resets = await [true, false].reduce<Promise<number[]>>(
    async (earlier, staged) => {
      const fleet = await createFleet();
      const endedAtMs = fleet.clock.wall();
      const next = revisionOf(2, [
        {...generation(1, PAY.service, SERVERS), endedAtMs},
        generation(2, PAY.service, SERVERS.slice(1)),
      ]);
      const [reader, ...others] = fleet.ready;
      if (!staged) {
        // The reader places flows by its own state alone.
        others.forEach(({address}) => {
          fleet.network.setPathBlocked(address, reader.address, true);
          fleet.network.setPathBlocked(reader.address, address, true);
        });
      }
      fleet.publishRevision(next, [reader]);
      const {router, replicatedState} = reader.coordinator;
      if (!staged) {
        router.setView({
          ownership: reader.coordinator.currentOwnership,
          memberCount: 4,
          isCurrent: () => true,
          isResponsive: id => id === reader.id,
          relays: [],
        });
        router.activate(2, replicatedState.marks);
      }
      Array.from({length: FLOWS}).forEach((_, flow) =>
        fleet.deliver(reader, createFlowPacket(flow, PacketKind.OPEN, PAY)),
      );
      await fleet.clock.advance(10);
      Array.from({length: FLOWS}).forEach((_, flow) =>
        fleet.deliver(others[0], createFlowPacket(flow, PacketKind.DATA, PAY)),
      );
      await fleet.clock.advance(10);
      return [...(await earlier), fleet.backends.resets];
    },
    Promise.resolve([]),
  );
  assert.equal(resets[0], 0);
  assert.ok(resets[1] > 0);
});

test('reassigning an address to another service misroutes no packet', async () => {
  const fleet = await createFleet();
  await sendAll(fleet, PacketKind.OPEN);
  const reused = revisionOf(2, [
    {...generation(1, PAY.service, SERVERS), endedAtMs: fleet.clock.wall()},
    generation(2, OTHER.service, OTHER_SERVERS),
  ]);
  fleet.publishRevision(reused, fleet.ready.slice(0, 1));
  await sendAll(fleet, PacketKind.DATA);
  await fleet.clock.advance(3_000);
  assert.ok(
    fleet.ready.every(
      ({coordinator}) => coordinator.router.activeRevision === 2,
    ),
  );
  await sendAll(fleet, PacketKind.DATA);
  await sendAll(fleet, PacketKind.OPEN, FLOWS, OTHER);
  await sendAll(fleet, PacketKind.DATA, FLOWS, OTHER);
  assert.equal(fleet.backends.misrouted, 0);
  assert.equal(fleet.backends.resets, 0);
});

test('flows opened at any moment of a join stay at their servers', async () => {
  // An open may be lost in transit; its client would retransmit it.
  const placed = new Set<number>();
  const broken: number[] = [];
  const fleet = await createFleet((_server, packet, reset) => {
    if (packet.kind === PacketKind.OPEN) {
      placed.add(packet.sourcePort);
    }
    if (reset && placed.has(packet.sourcePort)) {
      broken.push(packet.sourcePort);
    }
  });
  const opened = {count: 0};
  await fleet.join('hall-1');
  await fleet.join('hall-2');
  await Array.from({length: 250}).reduce(async earlier => {
    await earlier;
    const batch = [0, 1, 2, 3].map(offset => opened.count + offset);
    opened.count += batch.length;
    const send = (flow: number, kind: PacketKind) => {
      const daemon = fleet.random.pick(fleet.ready);
      if (daemon !== undefined) {
        fleet.deliver(daemon, createFlowPacket(flow, kind, PAY));
      }
    };
    batch.forEach(flow => send(flow, PacketKind.OPEN));
    await fleet.clock.advance(20);
    batch.forEach(flow => send(flow, PacketKind.DATA));
    batch.forEach(flow => send(Math.max(0, flow - 12), PacketKind.DATA));
  }, Promise.resolve());
  await fleet.clock.advance(50);
  assert.ok(placed.size > opened.count * 0.98);
  assert.deepEqual(broken, []);
});

test('a daemon that lost all its peers opens flows alone', async () => {
  const fleet = await createFleet();
  const [first, ...others] = fleet.ready;
  others.forEach(({id}) => fleet.crash(id));
  await fleet.clock.advance(10_000);
  Array.from({length: FLOWS}).forEach((_, flow) =>
    fleet.deliver(first, createFlowPacket(flow, PacketKind.OPEN, PAY)),
  );
  await fleet.clock.advance(10);
  const open = SERVERS.reduce(
    (sum, id) => sum + fleet.backends.flowsOf(id).size,
    0,
  );
  assert.equal(open, FLOWS);
});
