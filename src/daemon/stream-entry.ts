/** TCP proxy: forwards accepted connections to a backend server. */
import net from 'node:net';
import type {Service} from '../configuration/services.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {ServerMarks} from '../routing/server-marks.js';

const MAX_CONNECT_ATTEMPTS = 3;

export interface StreamEntryOptions {
  /** "ip:port" to listen at. */
  readonly listen: string;
  /** "ip:port" of the service. */
  readonly address: string;
  readonly counters: Counters;
  findService(address: string): Service | undefined;
  /** Returns the active marks of servers. */
  marks(): ServerMarks;
}

/** Accepts the connections of one service and proxies each to the least-loaded server. */
export class StreamEntry {
  private readonly server: net.Server;
  private readonly connectionsByServer = new Map<string, number>();
  private readonly sockets = new Set<net.Socket>();

  private constructor(private readonly options: StreamEntryOptions) {
    // A side that has finished sending can still receive.
    this.server = net.createServer(
      {allowHalfOpen: true},
      socket => void this.proxy(socket),
    );
  }

  /** Starts to accept connections; resolves when listening. */
  static create(options: StreamEntryOptions): Promise<StreamEntry> {
    const entry = new StreamEntry(options);
    const [host, port] = options.listen.split(':');
    return new Promise((resolve, reject) => {
      entry.server.once('error', reject);
      entry.server.listen(Number(port), host, () => resolve(entry));
    });
  }

  /** Number of open connections from callers. */
  get connections(): number {
    return this.sockets.size;
  }

  /** Stops accepting; open connections continue. */
  stopAccepting(): void {
    this.server.close();
  }

  /** Destroys all open connections. */
  close(): void {
    this.sockets.forEach(socket => socket.destroy());
  }

  private async proxy(caller: net.Socket): Promise<void> {
    const {counters} = this.options;
    this.sockets.add(caller);
    caller.on('close', () => this.sockets.delete(caller));
    caller.on('error', () => caller.destroy());
    const connected = await this.connect(MAX_CONNECT_ATTEMPTS, new Set());
    if (connected === undefined) {
      counters.add(Metric.STREAMS_REFUSED);
      caller.destroy();
      return;
    }
    counters.add(Metric.STREAMS_OPENED);
    this.splice(caller, connected.socket, connected.server);
  }

  /**
   * Connects to the eligible server with the fewest connections from this daemon. Returns
   * undefined when no server is left or all attempts failed.
   */
  private async connect(
    attemptsLeft: number,
    excluded: ReadonlySet<string>,
  ): Promise<{socket: net.Socket; server: string} | undefined> {
    const service = this.options.findService(this.options.address);
    const marks = this.options.marks();
    const servers = (service?.servers ?? [])
      .map(({id}) => id)
      .filter(id => marks.isEligible(id) && !excluded.has(id));
    if (attemptsLeft === 0 || servers.length === 0) {
      return undefined;
    }
    const server = servers.reduce((best, id) =>
      this.countConnections(id) < this.countConnections(best) ? id : best,
    );
    const socket = await connectTo(server);
    return socket === undefined
      ? this.connect(attemptsLeft - 1, new Set([...excluded, server]))
      : {socket, server};
  }

  private splice(
    caller: net.Socket,
    backend: net.Socket,
    server: string,
  ): void {
    this.connectionsByServer.set(server, this.countConnections(server) + 1);
    caller.pipe(backend);
    backend.pipe(caller);
    caller.on('close', () => backend.destroy());
    backend.on('error', () => caller.destroy());
    backend.on('close', () => {
      this.connectionsByServer.set(server, this.countConnections(server) - 1);
      caller.destroySoon();
    });
  }

  private countConnections(server: string): number {
    return this.connectionsByServer.get(server) ?? 0;
  }
}

/**
 * Connects to a server, which accepts streams at the port above its packet port; undefined
 * when the connection fails.
 */
function connectTo(server: string): Promise<net.Socket | undefined> {
  const [host, port] = server.split(':');
  return new Promise(resolve => {
    const socket = net.connect({
      host,
      port: Number(port) + 1,
      allowHalfOpen: true,
    });
    socket.once('error', () => resolve(undefined));
    socket.once('connect', () => {
      socket.removeAllListeners('error');
      resolve(socket);
    });
  });
}
