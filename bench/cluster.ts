/**
 * Starts daemons, backend servers, callers and an emulated platform as processes
 * on loopback, for the demo and the experiments.
 */
import {mkdirSync, mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Platform} from '../src/cli/platform.js';
import type {Edit} from '../src/configuration/revision.js';
import type {StatusReply, TimelineEvent} from '../src/generated/peer.js';
import {EventKind} from '../src/ports/timeline.js';
import type {
  CallersReport,
  OpenFlowsCommand,
} from '../standins/flow-callers.js';
import {StandinControl} from '../standins/standin-control.js';
import type {
  KeyOutcome,
  SendRequestsCommand,
  RequestReport,
} from '../standins/request-callers.js';
import {ProcessGroup} from './process-group.js';

const HOST = '127.0.0.1';
const FIRST_PORT = 10_000;
const PORTS_PER_CLUSTER = 1_000;
const CLUSTER_PORT_RANGES = 20;
const READY_TIMEOUT_MS = 30_000;
/** Added to the timeout for each daemon, as they share the processors. */
const READY_TIMEOUT_PER_DAEMON_MS = 500;
const POLL_INTERVAL_MS = 100;
const DAEMON_START_BATCH = 8;
const BATCH_INTERVAL_MS = 700;
const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');

/** A service with the size and behavior of its backend servers. */
export interface ServicePlan {
  readonly workspace: string;
  readonly service: string;
  /** "ip:port" that callers connect to. */
  readonly address: string;
  readonly servers: number;
  /** Requests that a server runs at once. */
  readonly slots: number;
  /** Connection limit of a server. */
  readonly connections: number;
  readonly serviceMs: number;
  readonly repeatable: boolean;
  /** "workspace/service" of the plan whose servers this service shares. */
  readonly sharedWith?: string;
  /** Weights by server index; 1 for servers beyond the end. */
  readonly weights?: readonly number[];
}

/** Size, services and policies of a cluster. */
export interface ClusterOptions {
  readonly daemons: number;
  readonly domains: readonly string[];
  readonly services: readonly ServicePlan[];
  readonly seed: number;
  readonly policy?: 'weldyard' | 'naive' | 'all-flows';
  readonly requestPolicy?: 'weldyard' | 'naive';
  readonly flexibleShare?: number;
  readonly warmUp?: string;
  /** Lists servers in the configuration without starting them. */
  readonly withoutBackends?: boolean;
}

/** A daemon with its listening addresses ("ip:port"). */
export interface DaemonHandle {
  readonly id: string;
  readonly domain: string;
  readonly fabric: string;
  readonly peers: string;
  readonly requests: string;
  readonly control: string;
  readonly stream: string;
}

/** Counts that a backend server reports. */
export interface BackendReport {
  readonly server: string;
  readonly flows: number;
  readonly opened: number;
  readonly resets: number;
  readonly misrouted: number;
  readonly refusedOpens: number;
  readonly opensAfterDrain: number;
  readonly latestOpenAfterDrainMs: number;
  readonly started: number;
  readonly shed: number;
  readonly highestFlows: number;
  readonly doubleRuns: number;
  readonly keys: readonly (readonly [string, number])[];
}

/** Number of clusters created, from which each gets its port range. */
let clustersCreated = 0;

/** The processes of one cluster, with operations that control and observe them. */
export class Cluster {
  readonly folder: string;
  readonly daemons = new Map<string, DaemonHandle>();
  readonly backends = new Map<string, {address: string; service: string}>();
  readonly store: StandinControl;
  readonly instanceList: StandinControl;
  readonly fabric: StandinControl;
  readonly platform: Platform;
  readonly processes = ProcessGroup.create();
  private readonly addresses: {
    store: string;
    list: string;
    fabric: string;
    callers: string;
    requestCallers: string;
  };
  private readonly knobs = new Map<string, StandinControl>();
  private readonly experimentEvents: TimelineEvent[] = [];
  private readonly daemonEvents: TimelineEvent[] = [];
  private nextPort: number;
  private nextDaemonNumber = 1;
  private callersStarted = false;

  private constructor(private readonly options: ClusterOptions) {
    const slot = (process.pid * 3 + clustersCreated) % CLUSTER_PORT_RANGES;
    clustersCreated += 1;
    this.nextPort = FIRST_PORT + slot * PORTS_PER_CLUSTER;
    this.folder = mkdtempSync(path.join(tmpdir(), 'weldyard-'));
    this.addresses = {
      store: this.allocateAddress(),
      list: this.allocateAddress(),
      fabric: this.allocateAddress(),
      callers: this.allocateAddress(),
      requestCallers: this.allocateAddress(),
    };
    this.store = this.getKnobs(this.addresses.store);
    this.instanceList = this.getKnobs(this.addresses.list);
    this.fabric = this.getKnobs(this.addresses.fabric);
    this.platform = Platform.create(this.addresses.store, this.addresses.list);
  }

  /** Starts all processes and resolves once every daemon is ready. */
  static async create(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options);
    await cluster.startPlatform();
    await cluster.startBackends();
    cluster.writeConfiguration();
    await cluster.apply('bench', cluster.createConfiguration());
    await cluster.startDaemons(options.daemons);
    await cluster.waitReady();
    await cluster.startCallers();
    return cluster;
  }

  /** Address of the store ("ip:port"). */
  get storeAddress(): string {
    return this.addresses.store;
  }

  /** Starts daemons in batches, so that their starts do not starve each other. */
  private async startDaemons(count: number): Promise<void> {
    await Array.from({length: count}).reduce<Promise<void>>(
      async (earlier, _, index) => {
        await earlier;
        this.startDaemon();
        if (index % DAEMON_START_BATCH === DAEMON_START_BATCH - 1) {
          await pause(BATCH_INTERVAL_MS);
        }
      },
      Promise.resolve(),
    );
  }

  /** Path of the settings file for `weldyard --config`. */
  get cliSettingsFile(): string {
    return path.join(this.folder, 'weldyard.ini');
  }

  /** Paths of the INI files of all templates and workspaces. */
  get configurationFiles(): string[] {
    return Object.keys(this.createConfiguration()).map(name =>
      path.join(this.folder, `${name.replace('/', '-')}.ini`),
    );
  }

  /** Adds an event of the experiment itself to the time line. */
  recordEvent(kind: EventKind, detail: Record<string, string | number>): void {
    this.experimentEvents.push({
      process: 'experiment',
      physicalMs: Date.now(),
      logical: 0,
      kind,
      detailJson: JSON.stringify(detail),
    });
  }

  /** Starts a daemon, by default in the failure domain with the fewest. */
  startDaemon(domain = this.findSmallestDomain()): DaemonHandle {
    const id = `entry-${this.nextDaemonNumber}`;
    this.nextDaemonNumber += 1;
    const handle: DaemonHandle = {
      id,
      domain,
      fabric: this.allocateAddress(),
      peers: this.allocateAddress(),
      requests: this.allocateAddress(),
      control: this.allocateAddress(),
      stream: this.allocateAddress(),
    };
    const file = path.join(this.folder, `${id}.ini`);
    writeFileSync(file, this.formatDaemonSettings(handle));
    this.daemons.set(id, handle);
    const program = path.join(ROOT, 'src/daemon/main.js');
    this.processes.start(id, [program, '--config', file], this.getLogFile(id));
    if (this.callersStarted) {
      const entries = this.listRequestAddresses();
      void this.getKnobs(this.addresses.requestCallers).configure({entries});
    }
    return handle;
  }

  /** Stops a daemon with SIGTERM; resolves with its exit code. */
  async stopDaemon(id: string): Promise<number | null> {
    this.recordEvent(EventKind.STEP, {stop: id});
    await this.collectDaemonEvents();
    const code = await this.processes.stop(id);
    this.daemons.delete(id);
    return code;
  }

  /** Kills a daemon with SIGKILL. */
  killDaemon(id: string): void {
    this.recordEvent(EventKind.FAULT_INJECTED, {kill: id});
    this.processes.signal(id, 'SIGKILL');
    this.daemons.delete(id);
  }

  /** Suspends a daemon with SIGSTOP or resumes it with SIGCONT. */
  freezeDaemon(id: string, frozen: boolean): void {
    this.recordEvent(EventKind.FAULT_INJECTED, {
      [frozen ? 'freeze' : 'wake']: id,
    });
    this.processes.signal(id, frozen ? 'SIGSTOP' : 'SIGCONT');
  }

  /**
   * Waits until every daemon is ready and sees all others as members. Throws
   * after the timeout of `waitFor`.
   */
  async waitReady(): Promise<void> {
    await this.waitFor('all daemons are ready', async () => {
      const statuses = await this.readStatuses();
      return (
        statuses.length === this.daemons.size &&
        statuses.every(
          status =>
            status.state === 'ready' &&
            status.revision > 0 &&
            status.members === this.daemons.size,
        )
      );
    });
  }

  /** Returns the status of each daemon that answers. */
  async readStatuses(): Promise<StatusReply[]> {
    const answers = await this.platform.readStatuses();
    return answers
      .filter(({id}) => this.daemons.has(id))
      .flatMap(({answer}) => answer ?? []);
  }

  /**
   * Polls until a condition holds. Throws after 30 s and half a second for each
   * daemon.
   */
  async waitFor(
    condition: string,
    holds: () => Promise<boolean>,
  ): Promise<void> {
    const deadline =
      Date.now() +
      READY_TIMEOUT_MS +
      this.daemons.size * READY_TIMEOUT_PER_DAEMON_MS;
    while (!(await holds())) {
      if (Date.now() > deadline) {
        throw new Error(
          `timed out waiting until ${condition}; logs in ${this.folder}`,
        );
      }
      await pause(POLL_INTERVAL_MS);
    }
  }

  /** Applies INI sources as one edit; returns its revision. Throws on failure. */
  async apply(editor: string, changes: Edit['changes']): Promise<number> {
    const edit: Edit = {
      editId: `${editor}-${Date.now()}-${Math.random()}`,
      editor,
      atMs: Date.now(),
      changes,
    };
    const deadline = this.platform.clock.now() + READY_TIMEOUT_MS;
    const result = await this.platform.editor.apply(edit, {
      rebase: true,
      deadline,
    });
    if (result.isErr()) {
      throw result.error;
    }
    this.recordEvent(EventKind.STEP, {applied: result.value.revision});
    return result.value.revision;
  }

  /** Returns the INI sources by name, without the excluded servers. */
  createConfiguration(
    excludedServers: readonly string[] = [],
  ): Record<string, string> {
    const {services} = this.options;
    const owners = services.filter(plan => plan.sharedWith === undefined);
    const templates = owners.map(plan => [
      `template/${plan.service}`,
      this.formatTemplate(plan),
    ]);
    const workspaces = new Set(services.map(({workspace}) => workspace));
    return Object.fromEntries([
      ...templates,
      ...[...workspaces].map(workspace => [
        `workspace/${workspace}`,
        this.formatWorkspace(workspace, excludedServers),
      ]),
    ]) as Record<string, string>;
  }

  /** Opens flows and waits until none is still opening. */
  async openFlows(orders: readonly OpenFlowsCommand[]): Promise<CallersReport> {
    const callers = this.getKnobs(this.addresses.callers);
    await Promise.all(orders.map(open => callers.configure({open})));
    const total = orders.reduce((sum, {count}) => sum + count, 0);
    const seconds = Math.max(...orders.map(({count, rate}) => count / rate));
    await pause(seconds * 1_000);
    await this.waitFor('all flows are open or refused', async () => {
      const report = await this.controlFlowCallers();
      const opening = report.services.reduce(
        (sum, {states}) => sum + (states['opening'] ?? 0),
        0,
      );
      const flows = report.services.reduce((sum, {flows: own}) => sum + own, 0);
      return opening === 0 && flows >= total;
    });
    return this.controlFlowCallers();
  }

  /** Applies settings to the flow callers and returns their report. */
  controlFlowCallers(
    settings: Record<string, unknown> = {},
  ): Promise<CallersReport> {
    return this.getKnobs(this.addresses.callers).configure(settings);
  }

  /** Starts sending requests; resolves before they have ended. */
  async sendRequests(order: SendRequestsCommand): Promise<void> {
    await this.getKnobs(this.addresses.requestCallers).configure({send: order});
  }

  /** Returns reports of the request callers, with outcomes by key on demand. */
  readRequestReports(listOutcomes = false): Promise<{
    reports: RequestReport[];
    pending: number;
    outcomes: KeyOutcome[];
  }> {
    return this.getKnobs(this.addresses.requestCallers).configure({
      listOutcomes,
    });
  }

  /** Applies settings to a backend server ("ip:port") and returns its report. */
  controlBackend(
    id: string,
    settings: Record<string, unknown> = {},
  ): Promise<BackendReport> {
    return this.getKnobs(id).configure(settings);
  }

  /** Applies settings to all servers of a service, or to all, and reads reports. */
  async readBackendReports(
    service?: string,
    settings: Record<string, unknown> = {},
  ): Promise<BackendReport[]> {
    const chosen = [...this.backends.values()].filter(
      backend => service === undefined || backend.service === service,
    );
    return Promise.all(
      chosen.map(({address}) => this.controlBackend(address, settings)),
    );
  }

  /** Returns the server addresses of a service ("workspace/service"). */
  listServers(service: string): string[] {
    return [...this.backends.values()]
      .filter(backend => backend.service === service)
      .map(({address}) => address);
  }

  /** Returns events of the daemons and of the experiment. */
  async timeline(): Promise<TimelineEvent[]> {
    await this.collectDaemonEvents();
    return [...this.daemonEvents, ...this.experimentEvents];
  }

  /** Collects the daemons' events, then kills every process. */
  async close(): Promise<void> {
    await this.collectDaemonEvents();
    this.processes.killAll();
    this.platform.close();
    this.knobs.forEach(knobs => knobs.close());
    await pause(POLL_INTERVAL_MS);
  }

  /** Collects events from the daemons' buffers before they are overwritten. */
  private async collectDaemonEvents(): Promise<void> {
    const answers = await this.platform.readTimelines();
    const known = new Set(this.daemonEvents.map(formatEventKey));
    answers
      .flatMap(({answer}) => answer?.events ?? [])
      .filter(event => !known.has(formatEventKey(event)))
      .forEach(event => this.daemonEvents.push(event));
  }

  private async startPlatform(): Promise<void> {
    const {store, list, fabric} = this.addresses;
    this.startStandin('store', ['store', '--listen', store]);
    this.startStandin('instance-list', ['instance-list', '--listen', list]);
    this.startStandin('fabric', ['fabric', '--listen', fabric, '--list', list]);
    await Promise.all(
      [this.store, this.instanceList, this.fabric].map(knobs =>
        waitForAnswer(knobs),
      ),
    );
  }

  /** Starts one process for each service and failure domain. */
  private async startBackends(): Promise<void> {
    const {services, domains} = this.options;
    const owners = services.filter(plan => plan.sharedWith === undefined);
    owners.forEach(plan => {
      const name = `${plan.workspace}/${plan.service}`;
      const servers = Array.from({length: plan.servers}, () =>
        this.allocateAddressPair(),
      );
      servers.forEach(address =>
        this.backends.set(address, {address, service: name}),
      );
      if (this.options.withoutBackends === true) {
        return;
      }
      domains.forEach((domain, index) => {
        const own = servers.filter(
          (_, position) => position % domains.length === index,
        );
        if (own.length > 0) {
          this.startBackendProcess(plan, domain, own);
        }
      });
    });
    const startedServers =
      this.options.withoutBackends === true ? [] : [...this.backends.keys()];
    await Promise.all(
      startedServers.map(id => waitForAnswer(this.getKnobs(id))),
    );
  }

  private startBackendProcess(
    plan: ServicePlan,
    domain: string,
    servers: readonly string[],
  ): void {
    const name = `${plan.workspace}/${plan.service}`;
    this.startStandin(`${plan.workspace}-${plan.service}-${domain}`, [
      'backends',
      '--listen',
      servers.join(','),
      '--list',
      this.addresses.list,
      '--domain',
      domain,
      '--services',
      name,
      '--slots',
      String(plan.slots),
      '--connections',
      String(plan.connections),
      '--service-ms',
      String(plan.serviceMs),
    ]);
  }

  private async startCallers(): Promise<void> {
    const {callers, requestCallers, fabric, list} = this.addresses;
    const seed = String(this.options.seed);
    this.startStandin('flow-callers', [
      'flow-callers',
      '--listen',
      callers,
      '--fabric',
      fabric,
      '--seed',
      seed,
    ]);
    this.startStandin('request-callers', [
      'request-callers',
      '--listen',
      requestCallers,
      '--list',
      list,
      '--entries',
      JSON.stringify(this.listRequestAddresses()),
      '--seed',
      seed,
    ]);
    await Promise.all(
      [callers, requestCallers].map(address =>
        waitForAnswer(this.getKnobs(address)),
      ),
    );
    this.callersStarted = true;
  }

  /** Returns request addresses by daemon id. */
  private listRequestAddresses(): Record<string, string> {
    return Object.fromEntries(
      [...this.daemons.values()].map(({id, requests}) => [id, requests]),
    );
  }

  private startStandin(name: string, args: readonly string[]): void {
    const program = path.join(ROOT, 'standins/main.js');
    this.processes.start(name, [program, ...args], this.getLogFile(name));
  }

  private writeConfiguration(): void {
    mkdirSync(this.folder, {recursive: true});
    writeFileSync(
      this.cliSettingsFile,
      `[platform]\nstore = ${this.addresses.store}\n` +
        `instance-list = ${this.addresses.list}\n`,
    );
    Object.entries(this.createConfiguration()).forEach(([name, text]) =>
      writeFileSync(
        path.join(this.folder, `${name.replace('/', '-')}.ini`),
        text,
      ),
    );
  }

  private formatTemplate(plan: ServicePlan): string {
    const {flexibleShare = 0.25, warmUp = '30s'} = this.options;
    return [
      '[template]',
      `name = ${plan.service}`,
      '',
      '[server]',
      `slots = ${plan.slots}`,
      `connections = ${plan.connections}`,
      `warm-up = ${warmUp}`,
      ...this.listSharedServers(plan).map(id => `servers[] = ${id}`),
      '',
      '[flows]',
      `flexible-share = ${flexibleShare}`,
      '',
      '[requests]',
      `repeatable = ${plan.repeatable}`,
      '',
    ].join('\n');
  }

  private formatWorkspace(
    workspace: string,
    excludedServers: readonly string[],
  ): string {
    const plans = this.options.services.filter(
      plan => plan.workspace === workspace,
    );
    const sections = plans.flatMap(plan => [
      '',
      `[service.${plan.service}]`,
      `template = ${plan.service}`,
      `address = ${plan.address}`,
      ...(this.isShared(plan)
        ? []
        : this.listServers(`${workspace}/${plan.service}`)
      )
        .map(
          (id, index) =>
            `servers[] = ${id} weight=${plan.weights?.[index] ?? 1}`,
        )
        .filter(line => !excludedServers.some(id => line.includes(`${id} `))),
    ]);
    return ['[workspace]', `name = ${workspace}`, ...sections, ''].join('\n');
  }

  /** Returns servers listed in the template because several workspaces use them. */
  private listSharedServers(plan: ServicePlan): string[] {
    return this.isShared(plan)
      ? this.listServers(`${plan.workspace}/${plan.service}`)
      : [];
  }

  private isShared(plan: ServicePlan): boolean {
    const name = `${plan.workspace}/${plan.service}`;
    const {services} = this.options;
    return (
      plan.sharedWith !== undefined ||
      services.some(({sharedWith}) => sharedWith === name)
    );
  }

  private formatDaemonSettings(handle: DaemonHandle): string {
    const {policy = 'weldyard', requestPolicy = 'weldyard'} = this.options;
    const {store, list} = this.addresses;
    const service = this.options.services[0].address;
    return [
      '[daemon]',
      `id = ${handle.id}`,
      `failure-domain = ${handle.domain}`,
      '',
      '[listen]',
      `fabric = ${handle.fabric}`,
      `peers = ${handle.peers}`,
      `requests = ${handle.requests}`,
      `control = ${handle.control}`,
      `streams[] = ${handle.stream}>${service}`,
      '',
      '[platform]',
      `store = ${store}`,
      `instance-list = ${list}`,
      '',
      '[routing]',
      `policy = ${policy}`,
      '',
      '[requests]',
      `policy = ${requestPolicy}`,
      '',
    ].join('\n');
  }

  private findSmallestDomain(): string {
    const counts = this.options.domains.map(domain => ({
      domain,
      count: [...this.daemons.values()].filter(
        daemon => daemon.domain === domain,
      ).length,
    }));
    return counts.reduce((best, next) =>
      next.count < best.count ? next : best,
    ).domain;
  }

  /** Allocates a loopback address with an unused port of this cluster. */
  allocateAddress(): string {
    this.nextPort += 1;
    return `${HOST}:${this.nextPort - 1}`;
  }

  /** Allocates an address whose next port is unused too, for a backend server. */
  private allocateAddressPair(): string {
    const address = this.allocateAddress();
    this.allocateAddress();
    return address;
  }

  private getKnobs(address: string): StandinControl {
    const known = this.knobs.get(address);
    if (known !== undefined) {
      return known;
    }
    const created = StandinControl.create(address);
    this.knobs.set(address, created);
    return created;
  }

  private getLogFile(name: string): string {
    return path.join(this.folder, `${name}.log`);
  }
}

function formatEventKey(event: TimelineEvent): string {
  return `${event.process}/${event.physicalMs}/${event.logical}`;
}

/** Polls a stand-in until it answers a control call or the timeout has passed. */
async function waitForAnswer(knobs: StandinControl): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  const answered = await knobs.configure().then(
    () => true,
    () => false,
  );
  if (!answered && Date.now() < deadline) {
    await pause(POLL_INTERVAL_MS);
    await waitForAnswer(knobs);
  }
}

/** Resolves after a number of milliseconds. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
