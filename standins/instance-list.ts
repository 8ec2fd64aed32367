/** Stand-in of the platform's instance list, which lags behind reality. */
import net from 'node:net';
import {status} from '@grpc/grpc-js';
import {
  InstancesService,
  type Instance,
  type InstancesServer,
  type ListReply,
} from '../src/generated/platform.js';
import {startStandinServer, turnKnobs} from './knobs.js';

const CHECK_INTERVAL_MS = 500;
const CHECK_TIMEOUT_MS = 300;
/** Failed checks in a row after which a daemon is listed as gone. */
const FAILURES_BEFORE_GONE = 3;
const HISTORY_MS = 60_000;

interface TimedEntry {
  readonly atMs: number;
  readonly instance: Instance;
}

/** The list in memory; readers see it as it was a while ago. */
export class InstanceListStandin {
  private history: TimedEntry[] = [];
  private readonly newest = new Map<string, Instance>();
  private readonly failures = new Map<string, number>();
  private version = 0;
  private reads = 0;
  private readonly knobs = {
    /** Age of what readers see, in milliseconds. */
    lagMs: 300,
    /** Refuses every call. */
    down: false,
  };

  private constructor() {}

  /** Starts the list at "ip:port". */
  static async create(address: string): Promise<InstanceListStandin> {
    const list = new InstanceListStandin();
    await startStandinServer(address, settings => list.turn(settings), [
      {definition: InstancesService, implementation: {...list.service()}},
    ]);
    setInterval(() => void list.checkDaemons(), CHECK_INTERVAL_MS);
    return list;
  }

  private turn(settings: Record<string, unknown>): unknown {
    turnKnobs(this.knobs, settings);
    return {reads: this.reads, instances: [...this.newest.values()]};
  }

  private service(): InstancesServer {
    return {
      list: (_call, callback) => {
        this.reads += 1;
        if (this.knobs.down) {
          callback({code: status.UNAVAILABLE, details: 'the list is down'});
        } else {
          callback(null, this.seen());
        }
      },
      announce: (call, callback) => {
        if (this.knobs.down) {
          callback({code: status.UNAVAILABLE, details: 'the list is down'});
        } else {
          this.put(call.request);
          callback(null, this.seen());
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
    this.trim(atMs);
  }

  /** Old entries go, but for the last one of each instance. */
  private trim(nowMs: number): void {
    this.history = this.history.filter(
      ({atMs, instance}) =>
        atMs > nowMs - HISTORY_MS || this.newest.get(instance.id) === instance,
    );
  }

  /** The list as it was `lagMs` ago. */
  private seen(): ListReply {
    const limit = Date.now() - this.knobs.lagMs;
    const visible = new Map<string, Instance>();
    this.history
      .filter(({atMs}) => atMs <= limit)
      .forEach(({instance}) => visible.set(instance.id, instance));
    const instances = [...visible.values()];
    const version = Math.max(0, ...instances.map(({version: own}) => own));
    return {version, instances};
  }

  /** Looks whether the daemons still take connections. */
  private async checkDaemons(): Promise<void> {
    const daemons = [...this.newest.values()].filter(
      ({role, state}) => role === 'daemon' && state !== 'gone',
    );
    await Promise.all(daemons.map(daemon => this.check(daemon)));
  }

  private async check(daemon: Instance): Promise<void> {
    const failures = (await takesConnections(daemon.address))
      ? 0
      : (this.failures.get(daemon.id) ?? 0) + 1;
    this.failures.set(daemon.id, failures);
    const unchanged = this.newest.get(daemon.id) === daemon;
    if (failures >= FAILURES_BEFORE_GONE && unchanged) {
      this.put({...daemon, state: 'gone'});
    }
  }
}

function takesConnections(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = net.connect({host, port: Number(port)});
    const finish = (connected: boolean) => {
      socket.destroy();
      resolve(connected);
    };
    socket.setTimeout(CHECK_TIMEOUT_MS, () => finish(false));
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
