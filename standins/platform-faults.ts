/** Faults of an emulated platform, drawn by number, that end by themselves. */
import type {CatalogRoute} from '../src/catalog/records.js';
import {OutageKind} from './catalog-store.js';
import type {SimulatedPlatform} from './simulated-platform.js';

/** One fault; which daemon or server it strikes is a number, whatever there are. */
export interface PlatformFault {
  readonly kind: string;
  readonly which: number;
  /** How long it lasts, in milliseconds. */
  readonly lastsMs: number;
  /** Time since the fault before, in milliseconds. */
  readonly afterMs: number;
}

/**
 * Brings a fault about and has it end by itself; `routes` are the two that are
 * published at first.
 */
export function injectFault(
  world: SimulatedPlatform,
  fault: PlatformFault,
  routes: readonly [CatalogRoute, CatalogRoute],
): void {
  const [first] = routes;
  const names = [...world.daemons.keys()];
  const name = names[fault.which % names.length];
  const later = (task: () => void) =>
    world.clock.callAt(world.clock.now() + fault.lastsMs, task);
  const servers = world.liveServers(fault.which % 3 === 0 ? 'docs' : 'pay');
  const server = servers[fault.which % Math.max(1, servers.length)];
  const spare = servers.length > 1;
  const strikes: Record<string, () => void> = {
    kill: () => {
      world.killDaemon(name);
      later(() => void world.startDaemon(name));
    },
    stop: () => void world.stopDaemon(name).then(() => world.startDaemon(name)),
    'cut-peers': () => {
      world.cutFromPeers(name, true);
      later(() => world.cutFromPeers(name, false));
    },
    'cut-store': () => {
      world.store.outages.set(name, OutageKind.SILENT);
      later(() => world.store.outages.delete(name));
    },
    'store-down': () => {
      world.store.outages.set('', OutageKind.REFUSED);
      later(() => world.store.outages.delete(''));
    },
    'store-slow': () => {
      world.store.answerMs = 300;
      later(() => {
        world.store.answerMs = 4;
      });
    },
    forget: () => world.store.forgetHistory(),
    drain: () => {
      if (spare) {
        world.drainServer(server, 4_000);
        world.startServer(server.entry.service);
      }
    },
    crash: () => {
      if (spare) {
        world.crashServer(server, fault.lastsMs % 2 === 0, 2_300);
      }
    },
    pause: () => world.pauseServer(server, fault.lastsMs),
    'cut-servers': () => {
      world.cutFromServers.add(name);
      later(() => world.cutFromServers.delete(name));
    },
    reuse: () => {
      if (spare) {
        world.crashServer(server, true, 2_300);
        const other = server.entry.service === 'pay' ? 'docs' : 'pay';
        later(() => world.startServer(other, server.entry.address));
      }
    },
    restart: () => void world.restartServer(server),
    move: () => void world.moveServer(server),
    spoil: () => {
      world.spoilEntry(server);
      later(() => world.mendEntry(world.serverOf(server.entry.id) ?? server));
    },
    add: () => void world.startServer('pay'),
    evacuate: () => {
      const {failureDomain} = server.entry;
      world.evacuate(failureDomain);
      later(() => world.restore(failureDomain));
    },
    routes: () =>
      world.publish(world.publishedRoutes.length > 1 ? [first] : routes),
  };
  strikes[fault.kind]();
}
