/** Entry of streams: TCP connections carried to a backend server. */
import net from 'node:net';
import type {Service} from '../configuration/services.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {ServerMarks} from '../routing/server-marks.js';

const CONNECT_TRIES = 3;

/** What the entry is made from. */
export interface StreamEntryOptions {
  /** "ip:port" to accept at. */
  readonly listen: string;
  /** "ip:port" of the service. */
  readonly address: string;
  readonly counters: Counters;
  findService(address: string): Service | undefined;
  /** Marks that are active. */
  marks(): ServerMarks;
}

/** Accepts connections of one service; each is carried by a task of its own. */
export class StreamEntry {
  private readonly server: net.Server;
  private readonly open = new Map<string, number>();
  private readonly sockets = new Set<net.Socket>();

  private constructor(private readonly options: StreamEntryOptions) {
    // A side that has sent all it has may still receive.
    this.server = net.createServer(
      {allowHalfOpen: true},
      socket => void this.carry(socket),
    );
  }

  /** Starts to accept. */
  static create(options: StreamEntryOptions): Promise<StreamEntry> {
    const entry = new StreamEntry(options);
    const [host, port] = options.listen.split(':');
    return new Promise((resolve, reject) => {
      entry.server.once('error', reject);
      entry.server.listen(Number(port), host, () => resolve(entry));
    });
  }

  /** Connections that are open. */
  get connections(): number {
    return this.sockets.size;
  }

  /** Accepts no more; open connections go on. */
  stopAccepting(): void {
    this.server.close();
  }

  /** Cuts the connections that are still open. */
  close(): void {
    this.sockets.forEach(socket => socket.destroy());
  }

  private async carry(caller: net.Socket): Promise<void> {
    const {counters} = this.options;
    this.sockets.add(caller);
    caller.on('close', () => this.sockets.delete(caller));
    caller.on('error', () => caller.destroy());
    const connected = await this.connect(CONNECT_TRIES, new Set());
    if (connected === undefined) {
      counters.add(Metric.STREAMS_REFUSED);
      caller.destroy();
      return;
    }
    counters.add(Metric.STREAMS_OPENED);
    this.splice(caller, connected.socket, connected.server);
  }

  /** Connects to the server with the fewest connections from here. */
  private async connect(
    tries: number,
    excluded: ReadonlySet<string>,
  ): Promise<{socket: net.Socket; server: string} | undefined> {
    const service = this.options.findService(this.options.address);
    const marks = this.options.marks();
    const servers = (service?.servers ?? [])
      .map(({id}) => id)
      .filter(id => marks.isEligible(id) && !excluded.has(id));
    if (tries === 0 || servers.length === 0) {
      return undefined;
    }
    const server = servers.reduce((best, id) =>
      this.countOf(id) < this.countOf(best) ? id : best,
    );
    const socket = await connectTo(server);
    return socket === undefined
      ? this.connect(tries - 1, new Set([...excluded, server]))
      : {socket, server};
  }

  private splice(
    caller: net.Socket,
    backend: net.Socket,
    server: string,
  ): void {
    this.open.set(server, this.countOf(server) + 1);
    caller.pipe(backend);
    backend.pipe(caller);
    caller.on('close', () => backend.destroy());
    backend.on('error', () => caller.destroy());
    backend.on('close', () => {
      this.open.set(server, this.countOf(server) - 1);
      caller.destroySoon();
    });
  }

  private countOf(server: string): number {
    return this.open.get(server) ?? 0;
  }
}

/** Streams are taken at the port above the server's packet port. */
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
