/**
 * In-memory store of routes and backend servers with revisions, event watches, history
 * compaction, stale reads, and outages for some or all daemons.
 */
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import type {
  CatalogEvents,
  CatalogServer,
  DomainChange,
  RouteListing,
  UnreadableEntry,
} from '../src/catalog/records.js';
import {
  CatalogSource,
  SourceFailure,
  SourceFailureKind,
  type CatalogReading,
  type EventsReading,
  type SnapshotWriteOutcome,
  type CatalogSnapshot,
} from '../src/ports/catalog-source.js';
import type {Clock} from '../src/ports/clock.js';
import type {MemoryLinks} from './memory-links.js';

const RESPONSE_LATENCY_MS = 4;
/** Time after which a read fails when the store does not respond. */
const READ_TIMEOUT_MS = 1_000;
const STALE_READ = 'stale read';

/** How calls fail during an outage. */
export const OutageKind = {
  /** No response until the call's deadline. */
  SILENT: 'silent',
  /** The connection is refused. */
  REFUSED: 'refused',
  /** The store rejects the call. */
  BUSY: 'busy',
} as const;
/** One of the kinds in `OutageKind`. */
export type OutageKind = (typeof OutageKind)[keyof typeof OutageKind];

/** Content of the store before a change. */
interface PastState {
  readonly reading: CatalogReading;
  /** Time of the change, in monotonic milliseconds. */
  readonly until: number;
}

interface StoredEvent {
  readonly revision: number;
  readonly routes?: RouteListing;
  readonly written?: CatalogServer;
  readonly unreadable?: UnreadableEntry;
  readonly removed?: string;
  readonly domain?: DomainChange;
  readonly isSnapshotWrite?: true;
}

/** The store, which daemons access through a `MemoryCatalogSource` each. */
export class CatalogStore {
  /** Linearizable reads, writes and watches received, including rejected ones. */
  calls = 0;
  /** Stale reads received, including rejected ones. */
  staleReads = 0;
  /** Outages by the name of the affected daemon; '' affects all. */
  readonly outages = new Map<string, OutageKind>();
  /** Age of the state that stale reads return, in milliseconds. */
  staleReadLagMs = 1_000;
  responseLatencyMs = RESPONSE_LATENCY_MS;
  /** Catalog snapshot that daemons write for daemons that start. */
  snapshot: CatalogSnapshot | undefined;
  private revision = 1;
  private routes: RouteListing | undefined;
  private readonly servers = new Map<string, CatalogServer>();
  /** Entries overwritten with unreadable data, by server id. */
  private readonly unreadable = new Map<string, UnreadableEntry>();
  private readonly evacuated = new Set<string>();
  private events: StoredEvent[] = [];
  private compactedRevision = 0;
  private readonly waiters = new Set<() => void>();
  /** States within the lag of stale reads, the newest last. */
  private pastStates: PastState[] = [];

  private constructor(readonly clock: Clock) {}

  /** Creates an empty store. */
  static create(clock: Clock): CatalogStore {
    return new CatalogStore(clock);
  }

  /** Publishes a version of the routes. */
  putRoutes(routes: RouteListing): void {
    this.retainState();
    this.revision += 1;
    this.routes = routes;
    this.appendEvent({revision: this.revision, routes});
  }

  /** Writes a key that is no part of the catalog. */
  putOther(): void {
    this.retainState();
    this.revision += 1;
    this.appendEvent({revision: this.revision});
  }

  /** Writes a server's entry and returns it with its revisions. */
  putServer(
    server: Omit<CatalogServer, 'revision' | 'createdRevision'>,
  ): CatalogServer {
    this.retainState();
    this.revision += 1;
    const known = this.servers.get(server.id);
    const {revision} = this;
    const createdRevision = known?.createdRevision ?? revision;
    const written = {...server, revision, createdRevision};
    this.servers.set(server.id, written);
    this.unreadable.delete(server.id);
    this.appendEvent({revision, written});
    return written;
  }

  /** Overwrites a server's entry with unreadable data. */
  corruptServer(id: string): void {
    this.retainState();
    this.revision += 1;
    const {revision} = this;
    const unreadable = {id, revision, cause: 'noise'};
    this.unreadable.set(id, unreadable);
    this.appendEvent({revision, unreadable});
  }

  /** Removes a server's entry. */
  removeServer(id: string): void {
    this.retainState();
    const isSpoiled = this.unreadable.delete(id);
    if (this.servers.delete(id) || isSpoiled) {
      this.revision += 1;
      this.appendEvent({revision: this.revision, removed: id});
    }
  }

  /** Replaces the snapshot if it is at `expectedRevision` (0: there is none). */
  writeSnapshot(
    bytes: Uint8Array,
    expectedRevision: number,
  ): SnapshotWriteOutcome {
    const known = this.snapshot?.revision ?? 0;
    if (known !== expectedRevision) {
      return {isDone: false, revision: known};
    }
    this.retainState();
    this.revision += 1;
    this.snapshot = {bytes, revision: this.revision};
    this.appendEvent({revision: this.revision, isSnapshotWrite: true});
    return {isDone: true, revision: this.revision};
  }

  /** Evacuates a createFailure domain, which may have no servers. */
  evacuateDomain(failureDomain: string): void {
    this.changeDomain({failureDomain, isEvacuated: true});
  }

  /** Ends the evacuation of a createFailure domain. */
  restoreDomain(failureDomain: string): void {
    this.changeDomain({failureDomain, isEvacuated: false});
  }

  /** Returns the last readable entry of a server; undefined: none. */
  findServer(id: string): CatalogServer | undefined {
    return this.servers.get(id);
  }

  /** Discards the history of events; watches of earlier revisions fail. */
  compactHistory(): void {
    this.compactedRevision = this.revision;
    this.events = [];
    this.notifyWaiters();
  }

  /** Returns the outage that affects a daemon now; undefined: none. */
  findOutage(daemon: string): OutageKind | undefined {
    return this.outages.get(daemon) ?? this.outages.get('');
  }

  /** Returns the current content. */
  read(): CatalogReading {
    const {revision, routes} = this;
    const servers = [...this.servers.values()].filter(
      ({id}) => !this.unreadable.has(id),
    );
    const unreadable = [...this.unreadable.values()];
    const evacuated = [...this.evacuated];
    return {routes, servers: {revision, servers, unreadable, evacuated}};
  }

  /** Returns the content as of `staleReadLagMs` ago. */
  readStale(): CatalogReading {
    const at = this.clock.now() - this.staleReadLagMs;
    return (
      this.pastStates.find(({until}) => until > at)?.reading ?? this.read()
    );
  }

  /** Returns the events after a revision; undefined: they were compacted. */
  eventsAfter(revision: number): EventsReading | undefined {
    if (revision < this.compactedRevision) {
      return undefined;
    }
    const events = this.events.filter(event => event.revision > revision);
    return {
      changeCount: events.length,
      revision: this.revision,
      routes: events.flatMap(({routes}) => routes ?? []).pop(),
      written: events.flatMap(({written}) => written ?? []),
      unreadable: events.flatMap(({unreadable}) => unreadable ?? []),
      removed: events.flatMap(({removed, revision: at}) =>
        removed === undefined ? [] : [{id: removed, revision: at}],
      ),
      domains: events.flatMap(({domain}) => domain ?? []),
      snapshotRevision: events
        .filter(({isSnapshotWrite}) => isSnapshotWrite)
        .pop()?.revision,
    };
  }

  /** Runs a task at the next event; returns a function that cancels it. */
  onNextEvent(task: () => void): () => void {
    this.waiters.add(task);
    return () => this.waiters.delete(task);
  }

  private changeDomain(domain: DomainChange): void {
    this.retainState();
    this.revision += 1;
    if (domain.isEvacuated) {
      this.evacuated.add(domain.failureDomain);
    } else {
      this.evacuated.delete(domain.failureDomain);
    }
    this.appendEvent({revision: this.revision, domain});
  }

  /** Retains the current state for stale reads, before a change. */
  private retainState(): void {
    const now = this.clock.now();
    this.pastStates = this.pastStates.filter(
      ({until}) => until > now - this.staleReadLagMs,
    );
    this.pastStates.push({reading: this.read(), until: now});
  }

  private appendEvent(event: StoredEvent): void {
    this.events.push(event);
    this.notifyWaiters();
  }

  private notifyWaiters(): void {
    const tasks = [...this.waiters];
    this.waiters.clear();
    tasks.forEach(task => task());
  }
}

/** Encoded size of a route and of a server in a response. */
const ROUTE_BYTES = 220;
const SERVER_BYTES = 330;
/** Name of the store in `MemoryLinks`. */
export const STORE_LINK = 'store';

function computeReadingBytes({routes, servers}: CatalogReading): number {
  const routeCount = routes?.routes.length ?? 0;
  return routeCount * ROUTE_BYTES + servers.servers.length * SERVER_BYTES;
}

function computeEventsBytes({routes, written}: CatalogEvents): number {
  const routeCount = routes?.routes.length ?? 0;
  return routeCount * ROUTE_BYTES + written.length * SERVER_BYTES;
}

/** Catalog source port of one daemon. */
export class MemoryCatalogSource extends CatalogSource {
  private isClosed = false;

  private constructor(
    private readonly daemon: string,
    private readonly store: CatalogStore,
    private readonly clock: Clock,
    private readonly links: MemoryLinks,
    private readonly link: string,
  ) {
    super();
  }

  /** Creates a source; `clock` and `link` belong to the daemon. */
  static create(
    daemon: string,
    store: CatalogStore,
    clock: Clock,
    links: MemoryLinks,
    link: string,
  ): MemoryCatalogSource {
    return new MemoryCatalogSource(daemon, store, clock, links, link);
  }

  readAll(deadline: number): ResultAsync<CatalogReading, SourceFailure> {
    const limit = Math.min(deadline, this.clock.now() + READ_TIMEOUT_MS);
    const call = this.invoke('read', limit, async () => ok(this.store.read()));
    return new ResultAsync(call).andThen(reading =>
      this.transfer(reading, computeReadingBytes(reading)),
    );
  }

  readStale(deadline: number): ResultAsync<CatalogReading, SourceFailure> {
    const limit = Math.min(deadline, this.clock.now() + READ_TIMEOUT_MS);
    const call = this.invoke(STALE_READ, limit, async () =>
      ok(this.store.readStale()),
    );
    return new ResultAsync(call).andThen(reading =>
      this.transfer(reading, computeReadingBytes(reading)),
    );
  }

  readSnapshot(
    deadline: number,
  ): ResultAsync<CatalogSnapshot | undefined, SourceFailure> {
    const limit = Math.min(deadline, this.clock.now() + READ_TIMEOUT_MS);
    const call = this.invoke(STALE_READ, limit, async () =>
      ok(this.store.snapshot),
    );
    return new ResultAsync(call).andThen(snapshot =>
      this.transfer(snapshot, snapshot?.bytes.length ?? 0),
    );
  }

  writeSnapshot(
    bytes: Uint8Array,
    expectedRevision: number,
    deadline: number,
  ): ResultAsync<SnapshotWriteOutcome, SourceFailure> {
    const write = async () =>
      ok(this.store.writeSnapshot(bytes, expectedRevision));
    return new ResultAsync(this.invoke('write snapshot', deadline, write));
  }

  awaitEvents(
    revision: number,
    deadline: number,
  ): ResultAsync<EventsReading, SourceFailure> {
    const wait = async (): Promise<Result<EventsReading, SourceFailure>> => {
      const now = this.store.eventsAfter(revision);
      const hasEvents = now === undefined || now.revision > revision;
      if (!hasEvents) {
        await this.waitForNextEvent(deadline);
      }
      const events = this.store.eventsAfter(revision);
      return events === undefined
        ? err(createFailure(SourceFailureKind.HISTORY_LOST, 'watch'))
        : ok(events);
    };
    // Leaves time for the response after the wait for an event ends.
    const call = this.invoke('watch', deadline + 400, wait);
    return new ResultAsync(call).andThen(events =>
      this.transfer(events, computeEventsBytes(events)),
    );
  }

  close(): void {
    this.isClosed = true;
  }

  /** Resolves with a response once its bytes have arrived over the links. */
  private transfer<T>(answer: T, bytes: number): ResultAsync<T, SourceFailure> {
    const {links, link, clock} = this;
    const arrival = links.transmit(STORE_LINK, link, bytes, clock.now());
    const sleep = this.sleepUntil(arrival).then(() => ok(answer));
    return new ResultAsync<T, SourceFailure>(sleep);
  }

  private waitForNextEvent(deadline: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.store.onNextEvent(() => resolve());
      this.clock.callAt(deadline, () => {
        cancel();
        resolve();
      });
    });
  }

  /** Makes a call, which fails if there is an outage at its start or at its end. */
  private async invoke<T>(
    name: string,
    deadline: number,
    run: () => Promise<Result<T, SourceFailure>>,
  ): Promise<Result<T, SourceFailure>> {
    if (name === STALE_READ) {
      this.store.staleReads += 1;
    } else {
      this.store.calls += 1;
    }
    const failureAtStart = await this.applyOutage<T>(name, deadline);
    if (failureAtStart !== undefined) {
      return failureAtStart;
    }
    const result = await run();
    await this.sleepUntil(this.clock.now() + this.store.responseLatencyMs);
    if (this.clock.now() > deadline) {
      return err(createFailure(SourceFailureKind.TIMEOUT, name));
    }
    return (await this.applyOutage<T>(name, deadline)) ?? result;
  }

  /** Fails a call as the current outage demands; undefined: there is none. */
  private async applyOutage<T>(
    name: string,
    deadline: number,
  ): Promise<Result<T, SourceFailure> | undefined> {
    const outage = this.store.findOutage(this.daemon);
    if (this.isClosed || outage === OutageKind.REFUSED) {
      return err(createFailure(SourceFailureKind.DISCONNECTED, name));
    }
    if (outage === OutageKind.BUSY) {
      return err(createFailure(SourceFailureKind.UNAVAILABLE, name));
    }
    if (outage === OutageKind.SILENT) {
      await this.sleepUntil(deadline);
      return err(createFailure(SourceFailureKind.TIMEOUT, name));
    }
    return undefined;
  }

  private sleepUntil(deadline: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.callAt(deadline, resolve);
    });
  }
}

function createFailure(kind: SourceFailureKind, call: string): SourceFailure {
  return SourceFailure.create(kind, call, kind);
}
