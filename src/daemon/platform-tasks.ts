/** Tasks towards the platform: reading the instance list, probing servers. */
import type {Service} from '../configuration/services.js';
import type {ServerMark} from '../generated/peer.js';
import type {BackendServers} from '../ports/backend-servers.js';
import type {Clock, Timer} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Hasher} from '../ports/hasher.js';
import {
  InstanceRole,
  InstanceState,
  type InstanceList,
  type ListedInstance,
} from '../ports/instance-list.js';
import type {FlowCoordinator} from '../recovery/flow-coordinator.js';
import {MarkKind, MarkState} from '../routing/server-marks.js';

const LIST_INTERVAL_MS = 500;
const HEALTH_INTERVAL_MS = 2_000;
const HEALTH_TIMEOUT_MS = 1_000;
/** Failed probes in a row after which a server counts as down. */
const FAILURES_BEFORE_DOWN = 3;
/** Daemons a failure domain that read the list and watch the store. */
const WATCHERS_A_DOMAIN = 2;
/** Share of the connection limit at which a server counts as full. */
const FULL_SHARE = 0.98;
/** Share below which it counts as free again. */
const FREE_SHARE = 0.95;
const PROBERS = [MarkKind.FIRST_PROBER, MarkKind.SECOND_PROBER] as const;
const WATCHER_SEED = 31;

/** What the tasks are made from. */
export interface PlatformTasksOptions {
  readonly self: ListedInstance;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly counters: Counters;
  readonly list: InstanceList;
  readonly backends: BackendServers;
  readonly coordinator: FlowCoordinator;
  /** The services in force. */
  services(): readonly Service[];
}

/** Reads the list and probes servers, as far as it is this daemon's turn. */
export class PlatformTasks {
  private readonly failures = new Map<string, number>();
  private stopped = false;

  private constructor(private readonly options: PlatformTasksOptions) {}

  /** Creates tasks that are not started. */
  static create(options: PlatformTasksOptions): PlatformTasks {
    return new PlatformTasks(options);
  }

  /** Starts the tasks; the returned function stops them. */
  start(): () => void {
    const {clock} = this.options;
    const stops = [
      this.every(clock, LIST_INTERVAL_MS, () => this.readIfWatching()),
      this.every(clock, HEALTH_INTERVAL_MS, () => this.probeServers()),
    ];
    return () => {
      this.stopped = true;
      stops.forEach(stop => stop());
    };
  }

  /** Whether this daemon is one of its failure domain's watchers. */
  isWatching(): boolean {
    const {coordinator, hasher} = this.options;
    const {self} = coordinator.members;
    const others = coordinator.members
      .owners()
      .filter(member => member.failureDomain === self.failureDomain)
      .filter(member => member.id !== self.id);
    const rank = (id: string) => hasher.hashText(id, WATCHER_SEED);
    const better = others.filter(({id}) => rank(id) > rank(self.id));
    return better.length < WATCHERS_A_DOMAIN;
  }

  /** Reads the list; returns the addresses of other daemons in it. */
  async readList(): Promise<string[] | undefined> {
    const result = await this.options.list.list();
    return result.match(
      listing => {
        this.takeDaemons(listing.instances);
        this.takeServers(listing.instances);
        return listing.instances
          .filter(instance => this.isOtherDaemon(instance))
          .map(({address}) => address);
      },
      () => undefined,
    );
  }

  private async readIfWatching(): Promise<void> {
    if (this.isWatching()) {
      await this.readList();
    }
  }

  private isOtherDaemon(instance: ListedInstance): boolean {
    return (
      instance.role === InstanceRole.DAEMON &&
      instance.id !== this.options.self.id &&
      instance.state === InstanceState.LIVE
    );
  }

  private takeDaemons(instances: readonly ListedInstance[]): void {
    const {members} = this.options.coordinator;
    instances
      .filter(instance => this.isOtherDaemon(instance))
      .forEach(({id, address, failureDomain}) =>
        members.seed(id, address, failureDomain),
      );
  }

  /** Marks of backend servers; those without a change are not news. */
  private takeServers(instances: readonly ListedInstance[]): void {
    const {coordinator} = this.options;
    const marks = instances
      .filter(instance => instance.role === InstanceRole.BACKEND)
      .filter(instance => this.isWorthAMark(instance))
      .map(instance => this.markOf(instance));
    coordinator.learn(marks.map(mark => ({mark, revision: undefined})));
  }

  private isWorthAMark(instance: ListedInstance): boolean {
    const {marks} = this.options.coordinator.replicatedState;
    const known = marks.markOf(instance.id, MarkKind.PLATFORM);
    return instance.state !== InstanceState.LIVE || known !== undefined;
  }

  private markOf(instance: ListedInstance): ServerMark {
    const live = instance.state === InstanceState.LIVE;
    return {
      server: instance.id,
      state: instance.state,
      version: instance.version,
      kind: MarkKind.PLATFORM,
      disturbedUntilMs: live ? 0 : this.disturbedUntil(instance.id),
    };
  }

  /** Flows placed elsewhere meanwhile last for their service's lifetime. */
  private disturbedUntil(server: string): number {
    const {clock, services} = this.options;
    const lifetimes = services()
      .filter(service => service.servers.some(({id}) => id === server))
      .map(({lifetimeMs}) => lifetimeMs);
    return Math.ceil(clock.wall() + Math.max(0, ...lifetimes));
  }

  /** Probes the servers that this daemon is a prober of. */
  private async probeServers(): Promise<void> {
    const {services} = this.options;
    const limits = new Map(
      services().flatMap(({servers, connections}) =>
        servers.map(({id}) => [id, connections] as const),
      ),
    );
    await Promise.all(
      [...limits].flatMap(([server, limit]) => {
        const rank = this.proberRank(server);
        const kind = PROBERS[rank];
        return kind === undefined ? [] : [this.probe(server, limit, kind)];
      }),
    );
  }

  /** This daemon's place among the probers of a server. */
  private proberRank(server: string): number {
    const {coordinator, hasher} = this.options;
    const {self} = coordinator.members;
    const score = (id: string) => hasher.hashText(`${server}/${id}`, 0);
    return coordinator.members
      .owners()
      .filter(({id}) => id !== self.id)
      .filter(({id}) => score(id) > score(self.id)).length;
  }

  private async probe(
    server: string,
    limit: number,
    kind: MarkKind,
  ): Promise<void> {
    const {backends, clock} = this.options;
    const deadline = clock.now() + HEALTH_TIMEOUT_MS;
    this.options.counters.add(Metric.HEALTH_PROBES);
    const result = await backends.health(server, deadline);
    const failures = result.isOk() ? 0 : (this.failures.get(server) ?? 0) + 1;
    this.failures.set(server, failures);
    const state = this.stateOf(server, kind, limit, failures);
    const {marks} = this.options.coordinator.replicatedState;
    const known = marks.markOf(server, kind)?.state ?? MarkState.LIVE;
    if (state !== known && !this.stopped) {
      this.publish(server, kind, state);
    }
  }

  private stateOf(
    server: string,
    kind: MarkKind,
    limit: number,
    failures: number,
  ): MarkState {
    const {coordinator} = this.options;
    const {marks} = coordinator.replicatedState;
    if (failures >= FAILURES_BEFORE_DOWN) {
      return MarkState.DOWN;
    }
    const wasFull = marks.markOf(server, kind)?.state === MarkState.FULL;
    const share = wasFull ? FREE_SHARE : FULL_SHARE;
    const flows = coordinator.router.flowCounts.estimate(server, 1);
    return flows >= limit * share ? MarkState.FULL : MarkState.LIVE;
  }

  private publish(server: string, kind: MarkKind, state: MarkState): void {
    const {clock, coordinator} = this.options;
    const mark: ServerMark = {
      server,
      state,
      kind,
      version: clock.wall(),
      disturbedUntilMs:
        state === MarkState.LIVE ? 0 : this.disturbedUntil(server),
    };
    coordinator.learn([{mark, revision: undefined}]);
  }

  /** Runs a task again and again, never twice at once. */
  private every(
    clock: Clock,
    intervalMs: number,
    task: () => Promise<void>,
  ): () => void {
    let timer: Timer;
    const run = async () => {
      await task();
      if (!this.stopped) {
        timer = clock.callAt(clock.now() + intervalMs, () => void run());
      }
    };
    timer = clock.callAt(clock.now() + intervalMs, () => void run());
    return () => timer.cancel();
  }
}
