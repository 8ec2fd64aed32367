/** Stand-in for the fabric: forwards each packet to a random live daemon. */
import type dgram from 'node:dgram';
import {GrpcInstanceList} from '../src/adapters/grpc-instance-list.js';
import {SystemClock} from '../src/adapters/system-clock.js';
import {bindUdp, sendUdp} from '../src/adapters/udp-socket.js';
import {startStandinServer, applyKnobs} from './standin-control.js';
import {Random} from '../src/routing/random.js';

const LIST_POLL_INTERVAL_MS = 200;
const MAXIMUM_REORDER_DELAY_MS = 20;

/** Options of the fabric. */
export interface FabricStandinOptions {
  /** "ip:port" of callers' packets (UDP) and of the control service (TCP). */
  readonly address: string;
  /** "ip:port" of the instance list. */
  readonly list: string;
  readonly seed: number;
}

/** Forwards packets to random daemons that the instance list shows as live. */
export class FabricStandin {
  private readonly random: Random;
  private daemons: string[] = [];
  private readonly knobs = {
    /** Fractions of packets. */
    drop: 0,
    duplicate: 0,
    reorder: 0,
  };
  private readonly counts = {packets: 0, dropped: 0, noDaemon: 0};

  private constructor(
    private readonly socket: dgram.Socket,
    private readonly list: GrpcInstanceList,
    seed: number,
  ) {
    this.random = Random.create(seed);
  }

  /** Starts the fabric. */
  static async create(options: FabricStandinOptions): Promise<FabricStandin> {
    const socket = await bindUdp(options.address);
    const clock = SystemClock.create();
    const list = GrpcInstanceList.create(options.list, clock);
    const fabric = new FabricStandin(socket, list, options.seed);
    await startStandinServer(options.address, settings =>
      fabric.applySettings(settings),
    );
    socket.on('message', bytes => fabric.forwardPacket(bytes));
    void fabric.pollInstances();
    return fabric;
  }

  private applySettings(settings: Record<string, unknown>): unknown {
    applyKnobs(this.knobs, settings);
    return {...this.counts, daemons: this.daemons};
  }

  /** Reads the live daemons from the instance list, and schedules the next read. */
  private async pollInstances(): Promise<void> {
    const listing = await this.list.list();
    listing.map(({instances}) => {
      this.daemons = instances
        .filter(({role, state}) => role === 'daemon' && state === 'live')
        .map(({fabricAddress}) => fabricAddress);
      return instances;
    });
    setTimeout(() => void this.pollInstances(), LIST_POLL_INTERVAL_MS);
  }

  private forwardPacket(bytes: Buffer): void {
    this.counts.packets += 1;
    if (this.random.nextBool(this.knobs.drop)) {
      this.counts.dropped += 1;
      return;
    }
    if (this.random.nextBool(this.knobs.duplicate)) {
      this.deliver(bytes);
    }
    if (this.random.nextBool(this.knobs.reorder)) {
      const delay = this.random.nextInt(MAXIMUM_REORDER_DELAY_MS);
      setTimeout(() => this.deliver(bytes), delay);
    } else {
      this.deliver(bytes);
    }
  }

  private deliver(bytes: Buffer): void {
    const daemon = this.random.pick(this.daemons);
    if (daemon === undefined) {
      this.counts.noDaemon += 1;
      return;
    }
    sendUdp(this.socket, daemon, bytes);
  }
}
