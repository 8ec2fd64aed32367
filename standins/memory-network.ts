/** Peers of daemons in one process, with faults to order. */
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

/** Faults of the network; they apply to datagrams and calls alike. */
export interface NetworkFaults {
  /** Share of datagrams that are lost. */
  loss: number;
  /** Longest delay in milliseconds; datagrams overtake each other. */
  delayMs: number;
  /** Confirms entries without delivering them. */
  swallowPushes: boolean;
}

/** All daemons that can reach each other. */
export class MemoryNetwork {
  readonly faults: NetworkFaults = {
    loss: 0,
    delayMs: 1,
    swallowPushes: false,
  };
  /** Ways that are cut, as "from>to". */
  readonly cut = new Set<string>();
  /** Bytes of probes and of entries sent by all daemons. */
  readonly sentBytes = {probes: 0, entries: 0};
  private readonly handlers = new Map<string, PeerHandlers>();
  /** Datagrams that wait for a frozen daemon. */
  private readonly frozen = new Map<string, (() => void)[]>();

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

  /** Removes a daemon: it neither receives nor sends. */
  detach(address: string): void {
    this.handlers.delete(address);
    this.frozen.delete(address);
  }

  /** Holds all that arrives at a daemon until it is thawed. */
  freeze(address: string): void {
    this.frozen.set(address, this.frozen.get(address) ?? []);
  }

  /** Delivers what was held. */
  thaw(address: string): void {
    const held = this.frozen.get(address) ?? [];
    this.frozen.delete(address);
    held.forEach(deliver => deliver());
  }

  /** Cuts or heals one direction between two daemons. */
  setCut(from: string, to: string, isCut: boolean): void {
    const path = `${from}>${to}`;
    if (isCut) {
      this.cut.add(path);
    } else {
      this.cut.delete(path);
    }
  }

  /** Sends a datagram. */
  send(
    from: string,
    to: string,
    deliver: (handlers: PeerHandlers) => void,
  ): void {
    if (this.isLost(from, to)) {
      return;
    }
    const delay = this.random.next() * this.faults.delayMs;
    this.clock.callAt(this.clock.now() + delay, () =>
      this.deliver(from, to, deliver),
    );
  }

  /** Makes a call; it fails when either way is cut or the daemon is frozen. */
  call<T>(
    from: string,
    to: string,
    deadline: number,
    run: (handlers: PeerHandlers) => T | Promise<T>,
  ): ResultAsync<T, PeerUnavailable> {
    const unreachable =
      this.cut.has(`${from}>${to}`) ||
      this.cut.has(`${to}>${from}`) ||
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
    const held = this.frozen.get(to);
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
      this.cut.has(`${from}>${to}`) ||
      !this.handlers.has(from) ||
      this.frozen.has(from) ||
      this.random.happens(this.faults.loss)
    );
  }
}

/** The peers port of one daemon in the network. */
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
      this.network.faults.swallowPushes
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
