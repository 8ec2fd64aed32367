/** Periodic tasks of a daemon: reads the instance list and probes backend servers. */
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
const PROBE_INTERVAL_MS = 2_000;
const PROBE_TIMEOUT_MS = 1_000;
/** Consecutive failed probes after which a server counts as down. */
const FAILURES_BEFORE_DOWN = 3;
/** Daemons per failure domain that read the list and watch the store. */
const WATCHERS_PER_DOMAIN = 2;
/** Share of the connection limit at which a server counts as full. */
const FULL_SHARE = 0.98;
/** Share of the connection limit below which a full server counts as live again. */
const NOT_FULL_SHARE = 0.95;
const PROBER_MARK_KINDS = [
  MarkKind.FIRST_PROBER,
  MarkKind.SECOND_PROBER,
] as const;
const WATCHER_HASH_SEED = 31;

export interface PlatformTasksOptions {
  readonly self: ListedInstance;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly counters: Counters;
  readonly list: InstanceList;
  readonly backends: BackendServers;
  readonly coordinator: FlowCoordinator;
  /** Returns the services of the newest revision. */
  services(): readonly Service[];
}

/** Runs those tasks that the hash ranking of daemons assigns to this one. */
export class PlatformTasks {
  private readonly failures = new Map<string, number>();
  private stopped = false;

  private constructor(private readonly options: PlatformTasksOptions) {}

  /** Creates the tasks; `start` runs them. */
  static create(options: PlatformTasksOptions): PlatformTasks {
    return new PlatformTasks(options);
  }

  /** Starts the tasks; the returned function stops them. */
  start(): () => void {
    const {clock} = this.options;
    const stops = [
      this.repeat(clock, LIST_INTERVAL_MS, () => this.readListIfWatcher()),
      this.repeat(clock, PROBE_INTERVAL_MS, () => this.probeServers()),
    ];
    return () => {
      this.stopped = true;
      stops.forEach(stop => stop());
    };
  }

  /** Whether this daemon is one of the watchers of its failure domain. */
  isWatcher(): boolean {
    const {coordinator, hasher} = this.options;
    const {self} = coordinator.members;
    const others = coordinator.members
      .owners()
      .filter(member => member.failureDomain === self.failureDomain)
      .filter(member => member.id !== self.id);
    const rank = (id: string) => hasher.hashText(id, WATCHER_HASH_SEED);
    const higherRanked = others.filter(({id}) => rank(id) > rank(self.id));
    return higherRanked.length < WATCHERS_PER_DOMAIN;
  }

  /**
   * Reads the instance list. Returns the addresses of the other live daemons, or undefined
   * when the list is unavailable.
   */
  async readList(): Promise<string[] | undefined> {
    const result = await this.options.list.list();
    return result.match(
      listing => {
        this.seedMembers(listing.instances);
        this.publishServerMarks(listing.instances);
        return listing.instances
          .filter(instance => this.isOtherDaemon(instance))
          .map(({address}) => address);
      },
      () => undefined,
    );
  }

  private async readListIfWatcher(): Promise<void> {
    if (this.isWatcher()) {
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

  private seedMembers(instances: readonly ListedInstance[]): void {
    const {members} = this.options.coordinator;
    instances
      .filter(instance => this.isOtherDaemon(instance))
      .forEach(({id, address, failureDomain}) =>
        members.seed(id, address, failureDomain),
      );
  }

  /** Publishes marks of listed backend servers, except live ones that have no mark yet. */
  private publishServerMarks(instances: readonly ListedInstance[]): void {
    const {coordinator} = this.options;
    const marks = instances
      .filter(instance => instance.role === InstanceRole.BACKEND)
      .filter(instance => this.needsMark(instance))
      .map(instance => this.createMark(instance));
    coordinator.applyChanges(marks.map(mark => ({mark, revision: undefined})));
  }

  private needsMark(instance: ListedInstance): boolean {
    const {marks} = this.options.coordinator.replicatedState;
    const known = marks.markOf(instance.id, MarkKind.PLATFORM);
    return instance.state !== InstanceState.LIVE || known !== undefined;
  }

  private createMark(instance: ListedInstance): ServerMark {
    const live = instance.state === InstanceState.LIVE;
    return {
      server: instance.id,
      state: instance.state,
      version: instance.version,
      kind: MarkKind.PLATFORM,
      disturbedUntilMs: live ? 0 : this.computeDisturbedUntil(instance.id),
    };
  }

  /**
   * Returns when flows that are placed elsewhere while the server is unavailable have ended,
   * in wall milliseconds: after the longest flow lifetime of its services.
   */
  private computeDisturbedUntil(server: string): number {
    const {clock, services} = this.options;
    const lifetimes = services()
      .filter(service => service.servers.some(({id}) => id === server))
      .map(({lifetimeMs}) => lifetimeMs);
    return Math.ceil(clock.wall() + Math.max(0, ...lifetimes));
  }

  /** Probes the servers that this daemon is responsible for. */
  private async probeServers(): Promise<void> {
    const {services} = this.options;
    const limits = new Map(
      services().flatMap(({servers, connections}) =>
        servers.map(({id}) => [id, connections] as const),
      ),
    );
    await Promise.all(
      [...limits].flatMap(([server, limit]) => {
        const rank = this.rankAsProber(server);
        const kind = PROBER_MARK_KINDS[rank];
        return kind === undefined ? [] : [this.probe(server, limit, kind)];
      }),
    );
  }

  /** Returns the rank of this daemon among the probers of a server, from 0. */
  private rankAsProber(server: string): number {
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
    const deadline = clock.now() + PROBE_TIMEOUT_MS;
    this.options.counters.add(Metric.HEALTH_PROBES);
    const result = await backends.health(server, deadline);
    const failures = result.isOk() ? 0 : (this.failures.get(server) ?? 0) + 1;
    this.failures.set(server, failures);
    const state = this.decideState(server, kind, limit, failures);
    const {marks} = this.options.coordinator.replicatedState;
    const known = marks.markOf(server, kind)?.state ?? MarkState.LIVE;
    if (state !== known && !this.stopped) {
      this.publishMark(server, kind, state);
    }
  }

  private decideState(
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
    const share = wasFull ? NOT_FULL_SHARE : FULL_SHARE;
    const flows = coordinator.router.flowCounts.estimate(server, 1);
    return flows >= limit * share ? MarkState.FULL : MarkState.LIVE;
  }

  private publishMark(server: string, kind: MarkKind, state: MarkState): void {
    const {clock, coordinator} = this.options;
    const mark: ServerMark = {
      server,
      state,
      kind,
      version: clock.wall(),
      disturbedUntilMs:
        state === MarkState.LIVE ? 0 : this.computeDisturbedUntil(server),
    };
    coordinator.applyChanges([{mark, revision: undefined}]);
  }

  /** Runs a task periodically, the interval after its last run; returns a stop function. */
  private repeat(
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
