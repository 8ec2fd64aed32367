/** Faults that tests inject into a simulated platform. */
import type {CatalogRoute} from '../src/catalog/records.js';
import {OutageKind} from './catalog-store.js';
import type {SimulatedPlatform} from './simulated-platform.js';

/** A generated fault. */
export interface PlatformFault {
  readonly kind: string;
  /** Selects a daemon or server, modulo how many there are. */
  readonly which: number;
  /** Duration of the fault, in milliseconds. */
  readonly lastsMs: number;
  /** Delay after the previous fault, in milliseconds. */
  readonly afterMs: number;
}

/** Injects a fault and schedules its end; `routes` are the two published initially. */
export function injectFault(
  platform: SimulatedPlatform,
  fault: PlatformFault,
  routes: readonly [CatalogRoute, CatalogRoute],
): void {
  const [first] = routes;
  const names = [...platform.daemons.keys()];
  const name = names[fault.which % names.length];
  const runAfterDuration = (task: () => void) =>
    platform.clock.callAt(platform.clock.now() + fault.lastsMs, task);
  const servers = platform.listReadyServers(
    fault.which % 3 === 0 ? 'docs' : 'pay',
  );
  const server = servers[fault.which % Math.max(1, servers.length)];
  const hasSpareServer = servers.length > 1;
  const actions: Record<string, () => void> = {
    kill: () => {
      platform.killDaemon(name);
      runAfterDuration(() => void platform.startDaemon(name));
    },
    lose: () => platform.killDaemon(name),
    stop: () =>
      void platform.stopDaemon(name).then(() => platform.startDaemon(name)),
    'cut-peers': () => {
      platform.setPartitionedFromPeers(name, true);
      runAfterDuration(() => platform.setPartitionedFromPeers(name, false));
    },
    'cut-store': () => {
      platform.store.outages.set(name, OutageKind.SILENT);
      runAfterDuration(() => platform.store.outages.delete(name));
    },
    'store-down': () => {
      platform.store.outages.set('', OutageKind.REFUSED);
      runAfterDuration(() => platform.store.outages.delete(''));
    },
    'store-slow': () => {
      platform.store.responseLatencyMs = 300;
      runAfterDuration(() => {
        platform.store.responseLatencyMs = 4;
      });
    },
    forget: () => platform.store.compactHistory(),
    drain: () => {
      if (hasSpareServer) {
        platform.drainServer(server, 4_000);
        platform.startServer(server.entry.service);
      }
    },
    leave: () => {
      if (hasSpareServer) {
        platform.removeEntry(server);
        platform.startServer(server.entry.service);
      }
    },
    crash: () => {
      if (hasSpareServer) {
        platform.crashServer(server, fault.lastsMs % 2 === 0, 2_300);
      }
    },
    pause: () => platform.pauseServer(server, fault.lastsMs),
    'cut-servers': () => {
      platform.partitionedFromServers.add(name);
      runAfterDuration(() => platform.partitionedFromServers.delete(name));
    },
    reuse: () => {
      if (hasSpareServer) {
        platform.crashServer(server, true, 2_300);
        const other = server.entry.service === 'pay' ? 'docs' : 'pay';
        runAfterDuration(() =>
          platform.startServer(other, server.entry.address),
        );
      }
    },
    restart: () => void platform.restartServer(server),
    move: () => void platform.moveServer(server),
    spoil: () => {
      platform.corruptEntry(server);
      runAfterDuration(() =>
        platform.rewriteEntry(platform.findServer(server.entry.id) ?? server),
      );
    },
    add: () => void platform.startServer('pay'),
    evacuate: () => {
      const {failureDomain} = server.entry;
      platform.evacuateDomain(failureDomain);
      runAfterDuration(() => platform.restoreDomain(failureDomain));
    },
    routes: () =>
      platform.publishRoutes(
        platform.publishedRoutes.length > 1 ? [first] : routes,
      ),
  };
  actions[fault.kind]();
}
