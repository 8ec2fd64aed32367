/**
 * A simulated platform of one large service in which a test makes servers faulty, with
 * ratings by a pool that is told of each bad outcome, or by what the plan gives instead.
 */
import type {CatalogRoute} from '../src/catalog/records.js';
import {OutlierRatings} from '../src/feedback/outlier-ratings.js';
import {FaultKind} from '../src/feedback/server-evidence.js';
import {UniformRatings} from '../src/feedback/server-ratings.js';
import type {EjectionListener} from '../src/feedback/service-rater.js';
import type {Hasher} from '../src/ports/hasher.js';
import {createRoute} from './catalog-records.js';
import type {CookieCaller} from './cookie-callers.js';
import {
  ANSWER_BYTES,
  NO_SERVER_FAULTS,
  type CookieServer,
  type ServerFaults,
  type ServerPacket,
} from './cookie-servers.js';
import {MemoryEvidencePool} from './memory-evidence-pool.js';
import {SimulatedPlatform, type SimulationPlan} from './simulated-platform.js';

const HALF_LIFE_MS = 10_000;
/** Time until the evidence of one daemon has reached the others. */
const GOSSIP_MS = 1_000;
/** Target response time of the route, and deadline of its callers. */
const TARGET_MS = 1_000;
const CALL_TIMEOUT_MS = 3_000;
/** Multiple of the usual processing time from which an answer is slow. */
const SLOW_FACTOR = 3;
const BOUNDS = {drainMs: 3_000, configurationMs: 3_000, evacuationMs: 3_000};
const IGNORED: EjectionListener = {
  onEjected: () => undefined,
  onReturned: () => undefined,
};

/** Layout of the fleet. */
export interface FaultyFleetPlan {
  readonly daemons: number;
  readonly servers: number;
  readonly listener?: EjectionListener;
  /** Whether servers are rated; false: all equally. */
  readonly isRated: boolean;
  /**
   * Parts of the platform that differ; with `createRatings` undefined, daemons rate by
   * what they and their peers observe.
   */
  readonly platform?: Partial<SimulationPlan>;
}

/** A platform with faulty servers. */
export interface FaultyFleet {
  readonly platform: SimulatedPlatform;
  readonly route: CatalogRoute;
  readonly pool: MemoryEvidencePool;
  /** Makes the first `count` ready servers faulty and returns them. */
  spoil(count: number, faults: Partial<ServerFaults>): CookieServer[];
  /** Starts `perSecond` callers of one request each for a time; returns all of them. */
  call(perSecond: number, durationMs: number): Promise<CookieCaller[]>;
}

/** Creates a running fleet whose servers have no faults yet. */
export async function createFaultyFleet(
  plan: FaultyFleetPlan,
  hasher: Hasher,
): Promise<FaultyFleet> {
  const route = createRoute('pay', {
    address: 0xc6120001,
    port: 443,
    targetMs: TARGET_MS,
    limitMs: CALL_TIMEOUT_MS,
  });
  const pool = MemoryEvidencePool.create(HALF_LIFE_MS);
  const services = [{name: 'pay', servers: plan.servers, slots: 4, workMs: 50}];
  const platform = await SimulatedPlatform.create(
    {
      seed: 5,
      daemons: plan.daemons,
      failureDomains: ['a', 'b', 'c', 'd'],
      services,
      routes: [route],
      bounds: BOUNDS,
      features: {feedback: true, ratings: true, pressure: false},
      confirms: true,
      createRatings: plan.isRated
        ? catalog =>
            OutlierRatings.create({
              pool,
              halfLifeMs: HALF_LIFE_MS,
              listener: plan.listener ?? IGNORED,
              openServers: (service, now) => catalog.openServers(service, now),
            })
        : () => UniformRatings.create(),
      onServerPacket: packet => recordFault(platform, pool, packet),
      ...plan.platform,
    },
    hasher,
  );
  return {
    platform,
    route,
    pool,
    spoil: (count, faults) => spoil(platform, count, faults),
    call: (perSecond, durationMs) =>
      call(platform, route, perSecond, durationMs),
  };
}

function spoil(
  platform: SimulatedPlatform,
  count: number,
  faults: Partial<ServerFaults>,
): CookieServer[] {
  const servers = platform.listReadyServers('pay').slice(0, count);
  servers.forEach(server => {
    server.faults = {...NO_SERVER_FAULTS, ...faults};
  });
  return servers;
}

async function call(
  platform: SimulatedPlatform,
  route: CatalogRoute,
  perSecond: number,
  durationMs: number,
): Promise<CookieCaller[]> {
  const {clock} = platform;
  const callers: CookieCaller[] = [];
  const count = Math.round((perSecond * durationMs) / 1_000);
  Array.from({length: count}, (_call, index) =>
    clock.callAt(clock.now() + (durationMs * index) / count, () =>
      callers.push(platform.startCaller(route, 1, CALL_TIMEOUT_MS)),
    ),
  );
  await clock.advance(durationMs);
  return callers;
}

/** Records a bad outcome that a server's packet shows, once it would have spread. */
function recordFault(
  platform: SimulatedPlatform,
  pool: MemoryEvidencePool,
  packet: ServerPacket,
): void {
  const server = platform.findServer(packet.server);
  if (server === undefined) {
    return;
  }
  const {clock} = platform;
  const recordAfter = (kind: FaultKind, delayMs: number) =>
    clock.callAt(clock.now() + delayMs + GOSSIP_MS, () =>
      pool.record(server.entry, kind, clock.now()),
    );
  const {isMute, workFactor} = server.faults;
  if (packet.kind === 'received' && isMute) {
    recordAfter(FaultKind.OVERDUE, TARGET_MS);
  } else if (packet.kind !== 'answer') {
    return;
  } else if ((packet.answerBytes ?? ANSWER_BYTES) < ANSWER_BYTES) {
    recordAfter(FaultKind.FAILED, 0);
  } else if (workFactor >= SLOW_FACTOR) {
    recordAfter(FaultKind.SLOW, 0);
  }
}
