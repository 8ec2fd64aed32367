/**
 * A store that publishes routes and servers, in memory: revisions, waits for
 * events, history that is forgotten, and outages for some or all daemons.
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
  type KeepOutcome,
  type KeptCopy,
} from '../src/ports/catalog-source.js';
import type {Clock} from '../src/ports/clock.js';
import type {MemoryLinks} from './memory-links.js';

/** Time of an answer, in milliseconds, as the users' store takes. */
const ANSWER_MS = 4;
/** Time after which a call to a silent store ends a whole read, in milliseconds. */
const SILENCE_LIMIT_MS = 1_000;
const OLD_READ = 'old read';

/** How a call ends while the store is out of reach. */
export const OutageKind = {
  SILENT: 'silent',
  REFUSED: 'refused',
  BUSY: 'busy',
} as const;
/** One of the kinds in `OutageKind`. */
export type OutageKind = (typeof OutageKind)[keyof typeof OutageKind];

/** What the store held until a moment. */
interface LeftState {
  readonly reading: CatalogReading;
  /** Monotonic milliseconds. */
  readonly until: number;
}

interface StoredEvent {
  readonly revision: number;
  readonly routes?: RouteListing;
  readonly written?: CatalogServer;
  readonly unreadable?: UnreadableEntry;
  readonly removed?: string;
  readonly domain?: DomainChange;
  readonly kept?: true;
}

/** The store; daemons reach it through sources. */
export class CatalogStore {
  /** Reads of the newest and waits that arrived, refused ones included. */
  calls = 0;
  /** Old reads that arrived, which cost a tenth. */
  oldReads = 0;
  /** Outages by the daemon that they meet; '' meets all. */
  readonly outages = new Map<string, OutageKind>();
  /** How far old reads lie back, in milliseconds. */
  lagMs = 1_000;
  /** Milliseconds until an answer leaves. */
  answerMs = ANSWER_MS;
  /** The copy that daemons keep for daemons that start. */
  kept: KeptCopy | undefined;
  private revision = 1;
  private routes: RouteListing | undefined;
  private readonly servers = new Map<string, CatalogServer>();
  /** Entries that another writer has written over. */
  private readonly spoiled = new Map<string, UnreadableEntry>();
  private readonly evacuated = new Set<string>();
  private events: StoredEvent[] = [];
  private forgottenUpTo = 0;
  private readonly waiting = new Set<() => void>();
  /** States that were left of late, the newest last. */
  private left: LeftState[] = [];

  private constructor(readonly clock: Clock) {}

  /** Creates an empty store. */
  static create(clock: Clock): CatalogStore {
    return new CatalogStore(clock);
  }

  /** Publishes a version of the routes. */
  putRoutes(routes: RouteListing): void {
    this.keepOld();
    this.revision += 1;
    this.routes = routes;
    this.note({revision: this.revision, routes});
  }

  /** Writes a server's entry. */
  putServer(
    server: Omit<CatalogServer, 'revision' | 'createdRevision'>,
  ): CatalogServer {
    this.keepOld();
    this.revision += 1;
    const known = this.servers.get(server.id);
    const {revision} = this;
    const createdRevision = known?.createdRevision ?? revision;
    const written = {...server, revision, createdRevision};
    this.servers.set(server.id, written);
    this.spoiled.delete(server.id);
    this.note({revision, written});
    return written;
  }

  /** Has another writer write what cannot be read under a server's key. */
  spoilServer(id: string): void {
    this.keepOld();
    this.revision += 1;
    const {revision} = this;
    const unreadable = {id, revision, cause: 'noise'};
    this.spoiled.set(id, unreadable);
    this.note({revision, unreadable});
  }

  /** Removes a server's entry. */
  removeServer(id: string): void {
    this.keepOld();
    const isSpoiled = this.spoiled.delete(id);
    if (this.servers.delete(id) || isSpoiled) {
      this.revision += 1;
      this.note({revision: this.revision, removed: id});
    }
  }

  /** Keeps a copy in place of the one that was written at a revision. */
  keep(bytes: Uint8Array, expectedRevision: number): KeepOutcome {
    const known = this.kept?.revision ?? 0;
    if (known !== expectedRevision) {
      return {isDone: false, revision: known};
    }
    this.keepOld();
    this.revision += 1;
    this.kept = {bytes, revision: this.revision};
    this.note({revision: this.revision, kept: true});
    return {isDone: true, revision: this.revision};
  }

  /** Evacuates a failure domain, whether servers are there or not. */
  evacuate(failureDomain: string): void {
    this.changeDomain({failureDomain, isEvacuated: true});
  }

  /** Restores a failure domain. */
  restore(failureDomain: string): void {
    this.changeDomain({failureDomain, isEvacuated: false});
  }

  /** The entry of a server. */
  serverOf(id: string): CatalogServer | undefined {
    return this.servers.get(id);
  }

  /** Forgets all events up to now. */
  forgetHistory(): void {
    this.forgottenUpTo = this.revision;
    this.events = [];
    this.wake();
  }

  /** What a daemon's call meets now. */
  outageOf(daemon: string): OutageKind | undefined {
    return this.outages.get(daemon) ?? this.outages.get('');
  }

  /** Everything as it is now. */
  read(): CatalogReading {
    const {revision, routes} = this;
    const servers = [...this.servers.values()].filter(
      ({id}) => !this.spoiled.has(id),
    );
    const unreadable = [...this.spoiled.values()];
    const evacuated = [...this.evacuated];
    return {routes, servers: {revision, servers, unreadable, evacuated}};
  }

  /** Everything as it was `lagMs` ago. */
  readOld(): CatalogReading {
    const at = this.clock.now() - this.lagMs;
    return this.left.find(({until}) => until > at)?.reading ?? this.read();
  }

  /** Events after a revision; undefined when they are no longer kept. */
  eventsAfter(revision: number): EventsReading | undefined {
    if (revision < this.forgottenUpTo) {
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
      keptRevision: events.filter(({kept}) => kept).pop()?.revision,
    };
  }

  /** Calls a task with the next event. */
  onNext(task: () => void): () => void {
    this.waiting.add(task);
    return () => this.waiting.delete(task);
  }

  private changeDomain(domain: DomainChange): void {
    this.keepOld();
    this.revision += 1;
    if (domain.isEvacuated) {
      this.evacuated.add(domain.failureDomain);
    } else {
      this.evacuated.delete(domain.failureDomain);
    }
    this.note({revision: this.revision, domain});
  }

  /** Keeps the state that a change is about to end. */
  private keepOld(): void {
    const now = this.clock.now();
    this.left = this.left.filter(({until}) => until > now - this.lagMs);
    this.left.push({reading: this.read(), until: now});
  }

  private note(event: StoredEvent): void {
    this.events.push(event);
    this.wake();
  }

  private wake(): void {
    const tasks = [...this.waiting];
    this.waiting.clear();
    tasks.forEach(task => task());
  }
}

/** What one route and one server take in an answer of the store, in bytes. */
const ROUTE_BYTES = 220;
const SERVER_BYTES = 330;
/** Name of the store's link. */
export const STORE_LINK = 'store';

/** How long an answer with a reading is, in bytes. */
function sizeOf({routes, servers}: CatalogReading): number {
  const routeCount = routes?.routes.length ?? 0;
  return routeCount * ROUTE_BYTES + servers.servers.length * SERVER_BYTES;
}

/** How long an answer with events is, in bytes. */
function sizeOfEvents({routes, written}: CatalogEvents): number {
  const routeCount = routes?.routes.length ?? 0;
  return routeCount * ROUTE_BYTES + written.length * SERVER_BYTES;
}

/** One daemon's way to the store. */
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

  /** Creates a source; `clock` and `link` are the daemon's. */
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
    const limit = Math.min(deadline, this.clock.now() + SILENCE_LIMIT_MS);
    const call = this.call('read', limit, async () => ok(this.store.read()));
    return new ResultAsync(call).andThen(reading =>
      this.transfer(reading, sizeOf(reading)),
    );
  }

  readOld(deadline: number): ResultAsync<CatalogReading, SourceFailure> {
    const limit = Math.min(deadline, this.clock.now() + SILENCE_LIMIT_MS);
    const call = this.call(OLD_READ, limit, async () =>
      ok(this.store.readOld()),
    );
    return new ResultAsync(call).andThen(reading =>
      this.transfer(reading, sizeOf(reading)),
    );
  }

  readKept(deadline: number): ResultAsync<KeptCopy | undefined, SourceFailure> {
    const limit = Math.min(deadline, this.clock.now() + SILENCE_LIMIT_MS);
    const call = this.call(OLD_READ, limit, async () => ok(this.store.kept));
    return new ResultAsync(call).andThen(copy =>
      this.transfer(copy, copy?.bytes.length ?? 0),
    );
  }

  keep(
    bytes: Uint8Array,
    expectedRevision: number,
    deadline: number,
  ): ResultAsync<KeepOutcome, SourceFailure> {
    const write = async () => ok(this.store.keep(bytes, expectedRevision));
    return new ResultAsync(this.call('keep', deadline, write));
  }

  awaitEvents(
    revision: number,
    deadline: number,
  ): ResultAsync<EventsReading, SourceFailure> {
    const wait = async (): Promise<Result<EventsReading, SourceFailure>> => {
      const now = this.store.eventsAfter(revision);
      const isNews = now === undefined || now.revision > revision;
      if (!isNews) {
        await this.nextEventOr(deadline);
      }
      const events = this.store.eventsAfter(revision);
      return events === undefined
        ? err(failure(SourceFailureKind.HISTORY_LOST, 'wait'))
        : ok(events);
    };
    // The call itself may take a little longer than the wait.
    const call = this.call('wait', deadline + 400, wait);
    return new ResultAsync(call).andThen(events =>
      this.transfer(events, sizeOfEvents(events)),
    );
  }

  close(): void {
    this.isClosed = true;
  }

  /** Has an answer go over the links; it is read for as long as its bytes come. */
  private transfer<T>(answer: T, bytes: number): ResultAsync<T, SourceFailure> {
    const {links, link, clock} = this;
    const arrival = links.arrivalOf(STORE_LINK, link, bytes, clock.now());
    const sleep = this.sleepUntil(arrival).then(() => ok(answer));
    return new ResultAsync<T, SourceFailure>(sleep);
  }

  private nextEventOr(deadline: number): Promise<void> {
    return new Promise(resolve => {
      const forget = this.store.onNext(() => resolve());
      this.clock.callAt(deadline, () => {
        forget();
        resolve();
      });
    });
  }

  /** A call that meets an outage at its start or at its end has no answer. */
  private async call<T>(
    name: string,
    deadline: number,
    run: () => Promise<Result<T, SourceFailure>>,
  ): Promise<Result<T, SourceFailure>> {
    if (name === OLD_READ) {
      this.store.oldReads += 1;
    } else {
      this.store.calls += 1;
    }
    const before = await this.meetOutage<T>(name, deadline);
    if (before !== undefined) {
      return before;
    }
    const result = await run();
    await this.sleepUntil(this.clock.now() + this.store.answerMs);
    if (this.clock.now() > deadline) {
      return err(failure(SourceFailureKind.SILENT, name));
    }
    return (await this.meetOutage<T>(name, deadline)) ?? result;
  }

  private async meetOutage<T>(
    name: string,
    deadline: number,
  ): Promise<Result<T, SourceFailure> | undefined> {
    const outage = this.store.outageOf(this.daemon);
    if (this.isClosed || outage === OutageKind.REFUSED) {
      return err(failure(SourceFailureKind.DISCONNECTED, name));
    }
    if (outage === OutageKind.BUSY) {
      return err(failure(SourceFailureKind.UNAVAILABLE, name));
    }
    if (outage === OutageKind.SILENT) {
      await this.sleepUntil(deadline);
      return err(failure(SourceFailureKind.SILENT, name));
    }
    return undefined;
  }

  private sleepUntil(deadline: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.callAt(deadline, resolve);
    });
  }
}

function failure(kind: SourceFailureKind, call: string): SourceFailure {
  return SourceFailure.create(kind, call, kind);
}
