/**
 * Stateful fuzzing of a fleet against an oracle: a flow belongs to the server
 * that received its open first, until it is closed.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  MemoryFleet,
  createFlowPacket,
  type FleetDaemon,
} from '../../standins/memory-fleet.js';
import {XxhashHasher} from '../adapters/xxhash-hasher.js';
import {PacketKind, type Packet} from '../generated/packet.js';
import type {
  AddressGeneration,
  RoutedAddress,
  RoutingRevision,
} from '../routing/routed-address.js';
import {MarkState} from '../routing/server-marks.js';

const hasher = await XxhashHasher.create();
const DOMAINS = ['hall-a', 'hall-b', 'hall-c'];
const PAY = {address: 0x0a140001, port: 443, service: 'parkwise/meterpay'};
const DOCS = {address: 0x0a140002, port: 443, service: 'parkwise/docs'};
const PAY_SERVERS = [
  '10.1.0.1:80',
  '10.1.0.2:80',
  '10.1.0.3:80',
  '10.1.0.4:80',
];
const DOCS_SERVERS = ['10.2.0.1:80', '10.2.0.2:80', '10.2.0.3:80'];
const SERVICES = new Map([
  ...PAY_SERVERS.map(id => [id, PAY.service] as const),
  ...DOCS_SERVERS.map(id => [id, DOCS.service] as const),
]);
/** Age below which a flow may be lost with the daemon that placed it. */
const REPLICATION_GRACE_MS = 1_000;
/** Minimum time between two injected losses of a daemon. */
const MINIMUM_LOSS_INTERVAL_MS = 8_000;

interface OracleFlow {
  readonly destination: typeof PAY;
  server: string | undefined;
  openedMs: number;
  closed: boolean;
  exempt: boolean;
}

type Step =
  | {readonly kind: 'open'; readonly count: number; readonly docs: boolean}
  | {readonly kind: 'data'}
  | {readonly kind: 'close'; readonly share: number}
  | {readonly kind: 'join'; readonly domain: number}
  | {readonly kind: 'leave'; readonly pick: number}
  | {readonly kind: 'crash'; readonly pick: number}
  | {readonly kind: 'freeze'; readonly pick: number}
  | {readonly kind: 'thaw'}
  | {readonly kind: 'drain'; readonly pick: number; readonly on: boolean}
  | {readonly kind: 'edit'; readonly pick: number; readonly readers: number}
  | {readonly kind: 'cut'; readonly from: number; readonly to: number}
  | {readonly kind: 'heal'}
  | {readonly kind: 'wait'; readonly ms: number};

const STEP: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('open' as const),
      count: fc.integer({min: 1, max: 40}),
      docs: fc.boolean(),
    }),
  },
  {weight: 6, arbitrary: fc.record({kind: fc.constant('data' as const)})},
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('close' as const),
      share: fc.constantFrom(0.1, 0.5),
    }),
  },
  fc.record({kind: fc.constant('join' as const), domain: fc.nat(2)}),
  fc.record({kind: fc.constant('leave' as const), pick: fc.nat(20)}),
  fc.record({kind: fc.constant('crash' as const), pick: fc.nat(20)}),
  fc.record({kind: fc.constant('freeze' as const), pick: fc.nat(20)}),
  fc.record({kind: fc.constant('thaw' as const)}),
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('drain' as const),
      pick: fc.nat(6),
      on: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('edit' as const),
      pick: fc.nat(14),
      readers: fc.integer({min: 1, max: 3}),
    }),
  },
  fc.record({
    kind: fc.constant('cut' as const),
    from: fc.nat(20),
    to: fc.nat(20),
  }),
  fc.record({kind: fc.constant('heal' as const)}),
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constantFrom(5, 50, 300, 1_500, 6_000),
    }),
  },
);

/** One fuzz run: the fleet, the oracle and the violations found. */
class FuzzRun {
  readonly fleet: MemoryFleet;
  readonly violations: string[] = [];
  private readonly flows = new Map<string, OracleFlow>();
  private readonly drainedAt = new Map<string, number>();
  private readonly payServers = new Set(PAY_SERVERS);
  private generations: Record<string, AddressGeneration[]> = {};
  private nextFlow = 0;
  private lastLossMs = -Infinity;

  constructor(seed: number) {
    this.fleet = MemoryFleet.create({
      hasher,
      seed,
      services: SERVICES,
      listener: (server, packet, reset) =>
        this.checkDelivery(server, packet, reset),
    });
  }

  async start(): Promise<void> {
    this.fleet.revision = this.nextRevision();
    await DOMAINS.reduce(async (earlier, domain) => {
      await earlier;
      await this.fleet.join(domain);
      await this.fleet.clock.advance(50);
    }, Promise.resolve());
    await this.fleet.join('hall-a');
    await this.fleet.clock.advance(3_000);
    assert.equal(this.fleet.ready.length, 4);
  }

  async step(step: Step): Promise<void> {
    switch (step.kind) {
      case 'open':
        Array.from({length: step.count}).forEach(() =>
          this.open(step.docs ? DOCS : PAY),
        );
        break;
      case 'data':
        this.sendData();
        break;
      case 'close':
        this.closeSome(step.share);
        break;
      case 'join':
        if (this.fleet.daemons.size < 7) {
          await this.fleet.join(DOMAINS[step.domain]);
        }
        break;
      case 'leave':
        await this.leave(step.pick);
        break;
      case 'crash':
        this.injectLoss(step.pick, daemon => this.fleet.crash(daemon.id));
        break;
      case 'freeze':
        this.injectLoss(step.pick, ({id}) => this.fleet.setFrozen(id, true));
        break;
      case 'thaw':
        this.fleet.daemons.forEach(({id}) => this.fleet.setFrozen(id, false));
        break;
      case 'drain':
        this.drain(step.pick, step.on);
        break;
      case 'edit':
        this.edit(step.pick, step.readers);
        break;
      case 'cut':
        this.cut(step.from, step.to);
        break;
      case 'heal':
        this.fleet.network.blockedPaths.clear();
        break;
      case 'wait':
        await this.fleet.clock.advance(step.ms);
        break;
    }
    await this.fleet.clock.advance(5);
  }

  /** Ends all faults; every open flow must then still be served. */
  async finish(): Promise<void> {
    this.fleet.network.blockedPaths.clear();
    this.fleet.daemons.forEach(({id}) => this.fleet.setFrozen(id, false));
    await this.fleet.clock.advance(10_000);
    this.sendData();
    await this.fleet.clock.advance(50);
    assert.deepEqual(this.violations, []);
    assert.equal(this.fleet.backends.misrouted, 0);
  }

  private checkDelivery(server: string, packet: Packet, reset: boolean): void {
    const flow = this.flows.get(`${packet.sourceAddress}:${packet.sourcePort}`);
    if (flow === undefined || flow.exempt || flow.closed) {
      return;
    }
    if (packet.kind === PacketKind.OPEN && flow.server === undefined) {
      flow.server = server;
      flow.openedMs = this.fleet.clock.now();
      this.checkDrain(server, packet.sourcePort);
      return;
    }
    if (reset || flow.server !== server) {
      const age = this.fleet.clock.now() - flow.openedMs;
      this.violations.push(
        `flow ${packet.sourcePort} placed at ${flow.server} (age ${age} ms) was delivered to ${server}`,
      );
    }
  }

  private checkDrain(server: string, port: number): void {
    const drained = this.drainedAt.get(server);
    if (drained !== undefined && this.fleet.clock.now() - drained > 3_000) {
      this.violations.push(
        `flow ${port} was placed at ${server}, which drains for over 3 s`,
      );
    }
  }

  private open(destination: typeof PAY): void {
    const number = this.nextFlow;
    this.nextFlow += 1;
    const packet = createFlowPacket(number, PacketKind.OPEN, destination);
    this.flows.set(`${packet.sourceAddress}:${packet.sourcePort}`, {
      destination,
      server: undefined,
      openedMs: 0,
      closed: false,
      exempt: false,
    });
    const copies = this.fleet.random.nextBool(0.2) ? 2 : 1;
    Array.from({length: copies}).forEach(() => this.sendToAnyDaemon(packet));
  }

  /** Sends one packet of each open flow to any daemon. */
  private sendData(): void {
    [...this.flows.values()].forEach((flow, number) => {
      if (flow.server !== undefined && !flow.closed) {
        this.sendToAnyDaemon(
          createFlowPacket(number, PacketKind.DATA, flow.destination),
        );
      }
    });
  }

  private closeSome(share: number): void {
    [...this.flows.values()].forEach((flow, number) => {
      const chosen = this.fleet.random.nextBool(share);
      if (chosen && flow.server !== undefined && !flow.closed) {
        flow.closed = true;
        this.sendToAnyDaemon(
          createFlowPacket(number, PacketKind.CLOSE, flow.destination),
        );
      }
    });
  }

  private sendToAnyDaemon(packet: Packet): void {
    const daemons = [...this.fleet.daemons.values()].filter(
      ({coordinator}) => coordinator.isReady,
    );
    const daemon = this.fleet.random.pick(daemons);
    if (daemon !== undefined) {
      this.fleet.deliver(daemon, packet);
    }
  }

  private async leave(pick: number): Promise<void> {
    const {ready} = this.fleet;
    if (ready.length >= 4) {
      await this.fleet.leave(ready[pick % ready.length].id);
    }
  }

  /** Crashes or freezes a daemon; new flows and unfinished opens are exempt. */
  private injectLoss(pick: number, act: (daemon: FleetDaemon) => void): void {
    const {ready, daemons} = this.fleet;
    const now = this.fleet.clock.now();
    const allReady = [...daemons.values()].every(
      ({frozen, coordinator}) => !frozen && coordinator.isReady,
    );
    const cut = this.fleet.network.blockedPaths.size > 0;
    if (
      ready.length < 4 ||
      !allReady ||
      cut ||
      now - this.lastLossMs < MINIMUM_LOSS_INTERVAL_MS
    ) {
      return;
    }
    this.lastLossMs = now;
    this.flows.forEach(flow => {
      flow.exempt ||=
        flow.server === undefined || now - flow.openedMs < REPLICATION_GRACE_MS;
    });
    act(ready[pick % ready.length]);
  }

  private drain(pick: number, on: boolean): void {
    const server = [...SERVICES.keys()][pick % SERVICES.size];
    const open = [...SERVICES.keys()].filter(id => !this.drainedAt.has(id));
    if (on && open.length < SERVICES.size - 1) {
      return;
    }
    if (on) {
      this.drainedAt.set(server, this.fleet.clock.now());
    } else {
      this.drainedAt.delete(server);
    }
    const state = on ? MarkState.LEAVING : MarkState.LIVE;
    this.fleet.markServer(server, state, this.fleet.running);
  }

  /**
   * Adds or removes a payment server; one or several daemons read the change.
   */
  private edit(pick: number, readers: number): void {
    const server = PAY_SERVERS[pick % PAY_SERVERS.length];
    if (!this.payServers.has(server)) {
      this.payServers.add(server);
    } else if (this.payServers.size > 2) {
      this.payServers.delete(server);
    }
    this.fleet.publishRevision(
      this.nextRevision(),
      this.fleet.ready.slice(0, readers),
    );
  }

  private cut(from: number, to: number): void {
    const all = [...this.fleet.daemons.values()];
    const a = all[from % all.length];
    const b = all[to % all.length];
    const hasOtherFault =
      all.some(({frozen}) => frozen) ||
      this.fleet.network.blockedPaths.size > 0;
    const isAfterLoss =
      this.fleet.clock.now() - this.lastLossMs < MINIMUM_LOSS_INTERVAL_MS;
    if (a !== b && !hasOtherFault && !isAfterLoss) {
      this.fleet.network.setPathBlocked(a.address, b.address, true);
    }
  }

  private nextRevision(): RoutingRevision {
    const revision = this.fleet.revision.revision + 1;
    return {
      revision,
      addresses: [
        this.routed(PAY, [...this.payServers], revision),
        this.routed(DOCS, DOCS_SERVERS, revision),
      ],
    };
  }

  private routed(
    destination: typeof PAY,
    servers: readonly string[],
    revision: number,
  ): RoutedAddress {
    const known = this.generations[destination.service] ?? [];
    const last = known[known.length - 1];
    const next: AddressGeneration = {
      since: revision,
      workspace: 'parkwise',
      service: destination.service,
      flexibleShare: 0.25,
      servers: servers.map(id => ({id, weight: 1})),
    };
    const same = JSON.stringify(last?.servers) === JSON.stringify(next.servers);
    const ended = {...last, endedAtMs: this.fleet.clock.wall()};
    const generations = same
      ? known
      : [...known.slice(0, -1), ...(last === undefined ? [] : [ended]), next];
    this.generations[destination.service] = generations;
    return {
      address: destination.address,
      port: destination.port,
      connectionLimit: 2_000,
      warmUpMs: 1_000,
      idleLimitSeconds: 7_200,
      flowLifetimeMs: 43_200_000,
      generations,
    };
  }
}

test('a flow stays at its server through joins, leaves, crashes, pauses, drains and edits', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({min: 1, max: 1_000_000}),
      fc.array(STEP, {minLength: 5, maxLength: 40}),
      async (seed, steps) => {
        const run = new FuzzRun(seed);
        await run.start();
        await steps.reduce(async (earlier, step) => {
          await earlier;
          await run.step(step);
        }, Promise.resolve());
        await run.finish();
      },
    ),
    {
      seed: Number(process.env['FUZZ_SEED'] ?? 20),
      numRuns: Number(process.env['FUZZ_RUNS'] ?? 40),
      path: process.env['FUZZ_PATH'],
      includeErrorInReport: true,
      endOnFailure: process.env['FUZZ_SHRINK'] === undefined,
    },
  );
});
