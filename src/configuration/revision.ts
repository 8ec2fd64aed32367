/** The step from one revision of the document to the next, and to routing. */
import {err, ok, type Result} from 'neverthrow';
import {parseSocketAddress} from '../routing/ipv4.js';
import type {
  RoutedAddress,
  RoutingRevision,
} from '../routing/routed-address.js';
import {
  RECENT_EDITS,
  type AcceptedEdit,
  type ConfigurationDocument,
  type StoredGeneration,
} from './document.js';
import type {ConfigurationFaults} from './faults.js';
import {compileServices, type Service, type Sources} from './services.js';

/** Generations an address keeps at the most; the oldest go first. */
const MAXIMUM_GENERATIONS = 16;

/** Lifetime kept for an address that no service uses any more. */
const RELEASED_LIFETIME_MS = 12 * 3_600_000;

/** An edit that is to be made. */
export interface Edit {
  readonly editId: string;
  readonly editor: string;
  readonly atMs: number;
  /** New texts by source name; null removes a source. */
  readonly changes: Readonly<Record<string, string | null>>;
}

/** The document that an edit makes of an earlier one. */
export function nextDocument(
  before: ConfigurationDocument,
  edit: Edit,
): Result<ConfigurationDocument, ConfigurationFaults> {
  const sources = applyChanges(before.sources, edit.changes);
  return compileServices(sources).map(services => {
    const revision = before.revision + 1;
    const accepted: AcceptedEdit = {
      revision,
      editId: edit.editId,
      editor: edit.editor,
      atMs: edit.atMs,
      changed: Object.keys(edit.changes),
    };
    return {
      revision,
      edits: [...before.edits, accepted].slice(-RECENT_EDITS),
      sources,
      generations: nextGenerations(before, services, revision, edit.atMs),
    };
  });
}

function applyChanges(sources: Sources, changes: Edit['changes']): Sources {
  const merged = Object.entries({...sources, ...changes});
  return Object.fromEntries(
    merged.filter((entry): entry is [string, string] => entry[1] !== null),
  );
}

function nextGenerations(
  before: ConfigurationDocument,
  services: readonly Service[],
  revision: number,
  atMs: number,
): ConfigurationDocument['generations'] {
  const byAddress = new Map(
    services.map(service => [service.address, service]),
  );
  const addresses = new Set([
    ...Object.keys(before.generations),
    ...byAddress.keys(),
  ]);
  const entries = [...addresses].map(address => {
    const service = byAddress.get(address);
    const lifetime = service?.lifetimeMs ?? RELEASED_LIFETIME_MS;
    const known = (before.generations[address] ?? []).filter(
      ({endedAtMs}) => endedAtMs === undefined || endedAtMs + lifetime > atMs,
    );
    return [address, extend(known, service, revision, atMs)] as const;
  });
  return Object.fromEntries(
    entries.filter(([, generations]) => isUsed(generations)),
  );
}

/** Adds a generation when the newest one says something else. */
function extend(
  known: readonly StoredGeneration[],
  service: Service | undefined,
  revision: number,
  atMs: number,
): StoredGeneration[] {
  const newest = known[known.length - 1];
  const next: StoredGeneration = {
    since: revision,
    workspace: service?.workspace ?? newest?.workspace ?? '',
    service: service?.name ?? newest?.service ?? '',
    flexibleShare: service?.flexibleShare ?? 0,
    servers: (service?.servers ?? []).map(({id, weight}) => ({id, weight})),
  };
  if (newest !== undefined && saysTheSame(newest, next)) {
    return [...known];
  }
  const ended = known.map((generation, index) =>
    index === known.length - 1 ? {...generation, endedAtMs: atMs} : generation,
  );
  return [...ended, next].slice(-MAXIMUM_GENERATIONS);
}

function saysTheSame(a: StoredGeneration, b: StoredGeneration): boolean {
  const told = (generation: StoredGeneration) =>
    JSON.stringify([
      generation.workspace,
      generation.service,
      generation.flexibleShare,
      generation.servers.map(({id, weight}) => `${id}*${weight}`).sort(),
    ]);
  return told(a) === told(b);
}

/** A released address is kept while its flows may be open. */
function isUsed(generations: readonly StoredGeneration[]): boolean {
  return generations.some(({servers}) => servers.length > 0);
}

/** What routing needs of a document, with its services. */
export interface CompiledRevision {
  readonly routing: RoutingRevision;
  readonly services: readonly Service[];
}

/** Compiles a document. */
export function compileDocument(
  document: ConfigurationDocument,
): Result<CompiledRevision, ConfigurationFaults> {
  const services = compileServices(document.sources);
  if (services.isErr()) {
    return err(services.error);
  }
  const byAddress = new Map(
    services.value.map(service => [service.address, service]),
  );
  const addresses = Object.entries(document.generations).flatMap(
    ([address, generations]) =>
      routedAddress(address, generations, byAddress.get(address)),
  );
  return ok({
    routing: {revision: document.revision, addresses},
    services: services.value,
  });
}

function routedAddress(
  text: string,
  generations: readonly StoredGeneration[],
  service: Service | undefined,
): RoutedAddress[] {
  const socket = parseSocketAddress(text);
  return socket === undefined
    ? []
    : [
        {
          address: socket.address,
          port: socket.port,
          connectionLimit: service?.connections ?? 0,
          warmUpMs: service?.warmUpMs ?? 1,
          idleLimitSeconds: Math.ceil(
            (service?.idleLimitMs ?? RELEASED_LIFETIME_MS) / 1_000,
          ),
          flowLifetimeMs: service?.lifetimeMs ?? RELEASED_LIFETIME_MS,
          generations,
        },
      ];
}
