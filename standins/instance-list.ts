/** Stand-in for the platform's instance list, as a gRPC server with stale reads. */
import net from 'node:net';
import {status} from '@grpc/grpc-js';
import {
  InstancesService,
  type Instance,
  type InstancesServer,
  type ListReply,
} from '../src/generated/platform.js';
import {startStandinServer, applyKnobs} from './standin-control.js';

const HEALTH_CHECK_INTERVAL_MS = 500;
const HEALTH_CHECK_TIMEOUT_MS = 300;
/** Consecutive failed health checks after which a daemon is listed as gone. */
const FAILURES_BEFORE_GONE = 3;
const HISTORY_RETENTION_MS = 60_000;

interface TimedEntry {
  readonly atMs: number;
  readonly instance: Instance;
}

/** Instance list in memory; readers get its state as of `lagMs` ago. */
export class InstanceListStandin {
  private history: TimedEntry[] = [];
  private readonly newest = new Map<string, Instance>();
  private readonly failures = new Map<string, number>();
  private version = 0;
  private reads = 0;
  private readonly knobs = {
    /** Age of the state that readers get, in milliseconds. */
    lagMs: 300,
    /** Whether every call fails. */
    down: false,
  };

  private constructor() {}

  /** Starts the list at "ip:port". */
  static async create(address: string): Promise<InstanceListStandin> {
    const list = new InstanceListStandin();
    await startStandinServer(
      address,
      settings => list.applySettings(settings),
      [{definition: InstancesService, implementation: {...list.service()}}],
    );
    setInterval(() => void list.checkDaemons(), HEALTH_CHECK_INTERVAL_MS);
    return list;
  }

  private applySettings(settings: Record<string, unknown>): unknown {
    applyKnobs(this.knobs, settings);
    return {reads: this.reads, instances: [...this.newest.values()]};
  }

  private service(): InstancesServer {
    return {
      list: (_call, callback) => {
        this.reads += 1;
        if (this.knobs.down) {
          callback({
            code: status.UNAVAILABLE,
            details: 'instance list is down',
          });
        } else {
          callback(null, this.listVisible());
        }
      },
      announce: (call, callback) => {
        if (this.knobs.down) {
          callback({
            code: status.UNAVAILABLE,
            details: 'instance list is down',
          });
        } else {
          this.put(call.request);
          callback(null, this.listVisible());
        }
      },
    };
  }

  private put(instance: Instance): void {
    this.version += 1;
    const entry = {...instance, version: this.version};
    this.newest.set(instance.id, entry);
    this.failures.delete(instance.id);
    const atMs = Date.now();
    this.history.push({atMs, instance: entry});
    this.trimHistory(atMs);
  }

  /** Drops expired entries except the latest one of each instance. */
  private trimHistory(nowMs: number): void {
    this.history = this.history.filter(
      ({atMs, instance}) =>
        atMs > nowMs - HISTORY_RETENTION_MS ||
        this.newest.get(instance.id) === instance,
    );
  }

  /** Returns the list as of `lagMs` ago. */
  private listVisible(): ListReply {
    const limit = Date.now() - this.knobs.lagMs;
    const visible = new Map<string, Instance>();
    this.history
      .filter(({atMs}) => atMs <= limit)
      .forEach(({instance}) => visible.set(instance.id, instance));
    const instances = [...visible.values()];
    const version = Math.max(0, ...instances.map(({version: own}) => own));
    return {version, instances};
  }

  /** Checks whether the daemons accept connections. */
  private async checkDaemons(): Promise<void> {
    const daemons = [...this.newest.values()].filter(
      ({role, state}) => role === 'daemon' && state !== 'gone',
    );
    await Promise.all(daemons.map(daemon => this.checkDaemon(daemon)));
  }

  private async checkDaemon(daemon: Instance): Promise<void> {
    const failures = (await acceptsConnections(daemon.address))
      ? 0
      : (this.failures.get(daemon.id) ?? 0) + 1;
    this.failures.set(daemon.id, failures);
    const unchanged = this.newest.get(daemon.id) === daemon;
    if (failures >= FAILURES_BEFORE_GONE && unchanged) {
      this.put({...daemon, state: 'gone'});
    }
  }
}

function acceptsConnections(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = net.connect({host, port: Number(port)});
    const finish = (connected: boolean) => {
      socket.destroy();
      resolve(connected);
    };
    socket.setTimeout(HEALTH_CHECK_TIMEOUT_MS, () => finish(false));
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
