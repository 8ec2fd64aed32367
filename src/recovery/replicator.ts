/**
 * Delivers flow entries to other daemons: one queue per peer, sent in batches,
 * each confirmed before the next.
 */
import type {FlowException} from '../generated/peer.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peers.js';

/** Time in which entries are collected into a batch. */
const BATCH_INTERVAL_MS = 100;
/** Maximum entries in a batch, of about 40 bytes each. */
const MAXIMUM_BATCH_ENTRIES = 2_000;
/** Time in which a peer has to confirm a batch. */
const BATCH_TIMEOUT_MS = 1_000;
/** Maximum entries queued for one peer; the oldest are dropped. */
const MAXIMUM_QUEUED_ENTRIES = 200_000;

/** Returns the address of a member; undefined when there is none. */
export type PeerAddressLookup = (member: string) => string | undefined;

/** Entries to be sent to one peer. */
interface PeerQueue {
  entries: FlowException[];
  /** Entries of the batch that is not confirmed yet. */
  inFlight: number;
  running: boolean;
}

export interface ReplicatorOptions {
  readonly peers: Peers;
  readonly clock: Clock;
  /** Address of a running member; undefined when it is gone. */
  readonly addressOf: PeerAddressLookup;
  /** Address of another member through which this one may be reachable. */
  readonly relayFor: PeerAddressLookup;
}

/** Sends entries to peers until each has confirmed them or is gone. */
export class Replicator {
  private readonly queues = new Map<string, PeerQueue>();
  private idleWaiters: (() => void)[] = [];
  private confirmedEntries = 0;

  private constructor(private readonly options: ReplicatorOptions) {}

  /** Creates a replicator with empty queues. */
  static create(options: ReplicatorOptions): Replicator {
    return new Replicator(options);
  }

  /** Number of entries confirmed by peers. */
  get confirmed(): number {
    return this.confirmedEntries;
  }

  /** Number of entries not confirmed yet. */
  get waiting(): number {
    return [...this.queues.values()].reduce(
      (sum, queue) => sum + queue.entries.length + queue.inFlight,
      0,
    );
  }

  /** Queues entries for a member. */
  send(member: string, entries: readonly FlowException[]): void {
    if (entries.length === 0) {
      return;
    }
    const queue = this.queueOf(member);
    entries.forEach(entry => queue.entries.push(entry));
    const excess = queue.entries.length - MAXIMUM_QUEUED_ENTRIES;
    if (excess > 0) {
      queue.entries.splice(0, excess);
    }
    if (!queue.running) {
      queue.running = true;
      void this.drainQueue(member, queue);
    }
  }

  /**
   * Resolves when all queues are empty, or at the deadline; true when they are
   * empty.
   */
  async waitUntilIdle(deadline: number): Promise<boolean> {
    if (this.waiting === 0) {
      return true;
    }
    await new Promise<void>(resolve => {
      const timer = this.options.clock.callAt(deadline, resolve);
      this.idleWaiters.push(() => {
        timer.cancel();
        resolve();
      });
    });
    return this.waiting === 0;
  }

  /** Sends a peer's queue in batches until it is empty or the peer is gone. */
  private async drainQueue(member: string, queue: PeerQueue): Promise<void> {
    while (queue.entries.length > 0) {
      await this.waitForBatch();
      const address = this.options.addressOf(member);
      if (address === undefined) {
        queue.entries = [];
        break;
      }
      await this.sendBatch(member, address, queue);
    }
    queue.running = false;
    if (this.waiting === 0) {
      this.idleWaiters.forEach(resolve => resolve());
      this.idleWaiters = [];
    }
  }

  private async sendBatch(
    member: string,
    address: string,
    queue: PeerQueue,
  ): Promise<void> {
    const batch = queue.entries.splice(0, MAXIMUM_BATCH_ENTRIES);
    queue.inFlight = batch.length;
    const isConfirmed =
      (await this.push(address, batch)) ||
      (await this.pushThroughRelay(member, batch));
    queue.inFlight = 0;
    if (isConfirmed) {
      this.confirmedEntries += batch.length;
    } else {
      // Applying an entry twice is harmless, so the whole batch is sent again.
      queue.entries = [...batch, ...queue.entries];
    }
  }

  /**
   * Pushes a batch through another member, in case only the direct path is
   * down.
   */
  private async pushThroughRelay(
    member: string,
    batch: FlowException[],
  ): Promise<boolean> {
    const relay = this.options.relayFor(member);
    return relay !== undefined && this.push(relay, batch, member);
  }

  private async push(
    address: string,
    batch: FlowException[],
    target?: string,
  ): Promise<boolean> {
    const {clock, peers} = this.options;
    const deadline = clock.now() + BATCH_TIMEOUT_MS;
    const pushed = await peers.pushExceptions(address, batch, deadline, target);
    return pushed.isOk();
  }

  private waitForBatch(): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      clock.callAt(clock.now() + BATCH_INTERVAL_MS, resolve);
    });
  }

  private queueOf(member: string): PeerQueue {
    const known = this.queues.get(member);
    if (known !== undefined) {
      return known;
    }
    const created: PeerQueue = {entries: [], inFlight: 0, running: false};
    this.queues.set(member, created);
    return created;
  }
}
