/** In-memory peer network of daemons in one process, with fault injection. */
import {ResultAsync, errAsync} from 'neverthrow';
import {
  PeerDatagram,
  type Hint,
  type PassedPacket,
  type Probe,
} from '../src/generated/packet.js';
import {
  ExceptionBatch,
  type ChangeList,
  type FlowException,
  type KeyRecord,
  type MemberList,
} from '../src/generated/peer.js';
import type {CallerReply, CallerRequest} from '../src/generated/request.js';
import {PeerUnavailable, Peers, type PeerHandlers} from '../src/ports/peers.js';
import type {FakeClock} from './fake-clock.js';
import type {Random} from '../src/routing/random.js';

/** Faults of the network, which affect datagrams and calls alike. */
export interface NetworkFaults {
  /** Fraction of datagrams that are lost. */
  lossRate: number;
  /** Maximum random delay; datagrams may be reordered. */
  maximumDelayMs: number;
  /** Whether pushed entries are acknowledged but not delivered. */
  discardPushes: boolean;
}

/** The network between all daemons. */
export class MemoryNetwork {
  readonly faults: NetworkFaults = {
    lossRate: 0,
    maximumDelayMs: 1,
    discardPushes: false,
  };
  /** Blocked paths, as "from>to". */
  readonly blockedPaths = new Set<string>();
  /** Bytes of probes and of pushed entries that the daemons sent. */
  readonly sentBytes = {probes: 0, entries: 0};
  private readonly handlers = new Map<string, PeerHandlers>();
  /** Datagrams held for frozen daemons, by address. */
  private readonly heldDatagrams = new Map<string, (() => void)[]>();

  private constructor(
    private readonly clock: FakeClock,
    private readonly random: Random,
  ) {}

  /** Creates a network. */
  static create(clock: FakeClock, random: Random): MemoryNetwork {
    return new MemoryNetwork(clock, random);
  }

  /** Connects a daemon. */
  attach(address: string, handlers: PeerHandlers): void {
    this.handlers.set(address, handlers);
  }

  /** Disconnects a daemon, which then neither receives nor sends. */
  detach(address: string): void {
    this.handlers.delete(address);
    this.heldDatagrams.delete(address);
  }

  /** Holds the datagrams to a daemon until it thaws. */
  freeze(address: string): void {
    this.heldDatagrams.set(address, this.heldDatagrams.get(address) ?? []);
  }

  /** Delivers the held datagrams. */
  thaw(address: string): void {
    const held = this.heldDatagrams.get(address) ?? [];
    this.heldDatagrams.delete(address);
    held.forEach(deliver => deliver());
  }

  /** Blocks or unblocks one direction between two daemons. */
  setPathBlocked(from: string, to: string, isBlocked: boolean): void {
    const path = `${from}>${to}`;
    if (isBlocked) {
      this.blockedPaths.add(path);
    } else {
      this.blockedPaths.delete(path);
    }
  }

  /** Sends a datagram, which may be lost or delayed. */
  send(
    from: string,
    to: string,
    deliver: (handlers: PeerHandlers) => void,
  ): void {
    if (this.isLost(from, to)) {
      return;
    }
    const delay = this.random.next() * this.faults.maximumDelayMs;
    this.clock.callAt(this.clock.now() + delay, () =>
      this.deliver(from, to, deliver),
    );
  }

  /**
   * Makes a call. It fails at once when either path is blocked or a daemon is
   * disconnected, and at the deadline when the request is lost or held.
   */
  call<T>(
    from: string,
    to: string,
    deadline: number,
    run: (handlers: PeerHandlers) => T | Promise<T>,
  ): ResultAsync<T, PeerUnavailable> {
    const unreachable =
      this.blockedPaths.has(`${from}>${to}`) ||
      this.blockedPaths.has(`${to}>${from}`) ||
      !this.handlers.has(from) ||
      !this.handlers.has(to);
    if (unreachable) {
      return errAsync(PeerUnavailable.create(to, 'unreachable', false));
    }
    const promise = new Promise<T>((resolve, reject) => {
      const timer = this.clock.callAt(deadline, () =>
        reject(PeerUnavailable.create(to, 'timed out')),
      );
      this.send(from, to, handlers => {
        void Promise.resolve(run(handlers)).then(reply => {
          timer.cancel();
          resolve(reply);
        });
      });
    });
    return ResultAsync.fromPromise(promise, error => error as PeerUnavailable);
  }

  private deliver(
    from: string,
    to: string,
    run: (handlers: PeerHandlers) => void,
  ): void {
    const held = this.heldDatagrams.get(to);
    if (held !== undefined) {
      held.push(() => this.deliver(from, to, run));
      return;
    }
    const handlers = this.handlers.get(to);
    if (handlers !== undefined) {
      run(handlers);
    }
  }

  private isLost(from: string, to: string): boolean {
    return (
      this.blockedPaths.has(`${from}>${to}`) ||
      !this.handlers.has(from) ||
      this.heldDatagrams.has(from) ||
      this.random.nextBool(this.faults.lossRate)
    );
  }
}

/** Peers port of one daemon. */
export class MemoryPeers extends Peers {
  private constructor(
    private readonly network: MemoryNetwork,
    private readonly id: string,
    private readonly address: string,
  ) {
    super();
  }

  /** Creates the port of a daemon. */
  static create(
    network: MemoryNetwork,
    id: string,
    address: string,
  ): MemoryPeers {
    return new MemoryPeers(network, id, address);
  }

  serve(handlers: PeerHandlers): Promise<void> {
    this.network.attach(this.address, handlers);
    return Promise.resolve();
  }

  pass(address: string, passed: PassedPacket): void {
    this.send(address, handlers => handlers.onPassed(this.id, passed));
  }

  hint(address: string, hint: Hint): void {
    this.send(address, handlers => handlers.onHint(this.id, hint));
  }

  probe(address: string, probe: Probe): void {
    const datagram = PeerDatagram.fromPartial({sender: this.id, probe});
    this.network.sentBytes.probes +=
      PeerDatagram.encode(datagram).finish().length;
    this.send(address, handlers =>
      handlers.onProbe(this.id, probe, this.address),
    );
  }

  pushExceptions(
    address: string,
    exceptions: FlowException[],
    deadline: number,
    target = '',
  ): ResultAsync<number, PeerUnavailable> {
    const batch = ExceptionBatch.fromPartial({sender: this.id, exceptions});
    this.network.sentBytes.entries +=
      ExceptionBatch.encode(batch).finish().length;
    return this.call(address, deadline, handlers =>
      this.network.faults.discardPushes
        ? exceptions.length
        : handlers.onExceptions(this.id, exceptions, target),
    );
  }

  pullState(
    address: string,
    partitions: number[],
    deadline: number,
  ): ResultAsync<FlowException[], PeerUnavailable> {
    return this.call(address, deadline, handlers =>
      [...handlers.onPullState(this.id, partitions)].flat(),
    );
  }

  pullChanges(
    address: string,
    epoch: number,
    after: number,
    deadline: number,
  ): ResultAsync<ChangeList, PeerUnavailable> {
    return this.call(address, deadline, handlers =>
      handlers.onPullChanges(this.id, epoch, after),
    );
  }

  pullMembers(
    address: string,
    deadline: number,
  ): ResultAsync<MemberList, PeerUnavailable> {
    return this.call(address, deadline, handlers => handlers.onPullMembers());
  }

  forward(
    address: string,
    request: CallerRequest,
    deadline: number,
  ): ResultAsync<CallerReply, PeerUnavailable> {
    return this.call(address, deadline, handlers =>
      handlers.onForward(request),
    );
  }

  keepKeys(
    address: string,
    range: number,
    records: KeyRecord[],
    deadline: number,
  ): ResultAsync<number, PeerUnavailable> {
    return this.call(address, deadline, handlers =>
      handlers.onKeepKeys(range, records),
    );
  }

  pullKeys(
    address: string,
    range: number,
    deadline: number,
  ): ResultAsync<KeyRecord[], PeerUnavailable> {
    return this.call(address, deadline, handlers => handlers.onPullKeys(range));
  }

  close(): Promise<void> {
    this.network.detach(this.address);
    return Promise.resolve();
  }

  private send(
    address: string,
    deliver: (handlers: PeerHandlers) => void,
  ): void {
    this.network.send(this.address, address, deliver);
  }

  private call<T>(
    address: string,
    deadline: number,
    run: (handlers: PeerHandlers) => T | Promise<T>,
  ): ResultAsync<T, PeerUnavailable> {
    return this.network.call(this.address, address, deadline, run);
  }
}
