/**
 * Applies edits to the configuration document, and compiles a document for
 * routing. Used by the editor and by daemons.
 */
import {err, ok, type Result} from 'neverthrow';
import {parseSocketAddress} from '../routing/ipv4.js';
import type {
  RoutedAddress,
  RoutingRevision,
} from '../routing/routed-address.js';
import {
  EDIT_HISTORY_SIZE,
  type AcceptedEdit,
  type ConfigurationDocument,
  type StoredGeneration,
} from './document.js';
import type {ConfigurationFaults} from './faults.js';
import {compileServices, type Service, type Sources} from './services.js';

/** Limits the stored generations; the oldest ones are dropped. */
const MAX_GENERATIONS_PER_ADDRESS = 16;

/** Flow lifetime of an address that no service uses any more. */
const RELEASED_ADDRESS_LIFETIME_MS = 12 * 3_600_000;

/** An edit to be applied. */
export interface Edit {
  readonly editId: string;
  readonly editor: string;
  /** Time of the edit by the operator's clock, in wall milliseconds. */
  readonly atMs: number;
  /** New texts by source name; null removes a source. */
  readonly changes: Readonly<Record<string, string | null>>;
}

/** Applies an edit to a document and returns the next revision. */
export function nextDocument(
  previous: ConfigurationDocument,
  edit: Edit,
): Result<ConfigurationDocument, ConfigurationFaults> {
  const sources = applyChanges(previous.sources, edit.changes);
  return compileServices(sources).map(services => {
    const revision = previous.revision + 1;
    const accepted: AcceptedEdit = {
      revision,
      editId: edit.editId,
      editor: edit.editor,
      atMs: edit.atMs,
      changed: Object.keys(edit.changes),
    };
    return {
      revision,
      edits: [...previous.edits, accepted].slice(-EDIT_HISTORY_SIZE),
      sources,
      generations: nextGenerations(previous, services, revision, edit.atMs),
    };
  });
}

function applyChanges(sources: Sources, changes: Edit['changes']): Sources {
  const merged = Object.entries({...sources, ...changes});
  return Object.fromEntries(
    merged.filter((entry): entry is [string, string] => entry[1] !== null),
  );
}

/** Adds new generations and removes those whose flow lifetime has passed. */
function nextGenerations(
  previous: ConfigurationDocument,
  services: readonly Service[],
  revision: number,
  atMs: number,
): ConfigurationDocument['generations'] {
  const byAddress = new Map(
    services.map(service => [service.address, service]),
  );
  const addresses = new Set([
    ...Object.keys(previous.generations),
    ...byAddress.keys(),
  ]);
  const entries = [...addresses].map(address => {
    const service = byAddress.get(address);
    const lifetime = service?.lifetimeMs ?? RELEASED_ADDRESS_LIFETIME_MS;
    const retained = (previous.generations[address] ?? []).filter(
      ({endedAtMs}) => endedAtMs === undefined || endedAtMs + lifetime > atMs,
    );
    return [
      address,
      appendGeneration(retained, service, revision, atMs),
    ] as const;
  });
  return Object.fromEntries(
    entries.filter(([, generations]) => hasRetainedServers(generations)),
  );
}

/** Appends a generation if the newest one differs from the service. */
function appendGeneration(
  retained: readonly StoredGeneration[],
  service: Service | undefined,
  revision: number,
  atMs: number,
): StoredGeneration[] {
  const newest = retained[retained.length - 1];
  const next: StoredGeneration = {
    since: revision,
    workspace: service?.workspace ?? newest?.workspace ?? '',
    service: service?.name ?? newest?.service ?? '',
    flexibleShare: service?.flexibleShare ?? 0,
    servers: (service?.servers ?? []).map(({id, weight}) => ({id, weight})),
  };
  if (newest !== undefined && isEquivalent(newest, next)) {
    return [...retained];
  }
  const ended = retained.map((generation, index) =>
    index === retained.length - 1
      ? {...generation, endedAtMs: atMs}
      : generation,
  );
  return [...ended, next].slice(-MAX_GENERATIONS_PER_ADDRESS);
}

function isEquivalent(a: StoredGeneration, b: StoredGeneration): boolean {
  const serialize = (generation: StoredGeneration) =>
    JSON.stringify([
      generation.workspace,
      generation.service,
      generation.flexibleShare,
      generation.servers.map(({id, weight}) => `${id}*${weight}`).sort(),
    ]);
  return serialize(a) === serialize(b);
}

/** Whether a generation has servers; otherwise the address is removed. */
function hasRetainedServers(generations: readonly StoredGeneration[]): boolean {
  return generations.some(({servers}) => servers.length > 0);
}

/** The routing table of a document, with its services. */
export interface CompiledRevision {
  readonly routing: RoutingRevision;
  readonly services: readonly Service[];
}

/** Compiles a document; fails with the faults of its sources. */
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
            (service?.idleLimitMs ?? RELEASED_ADDRESS_LIFETIME_MS) / 1_000,
          ),
          flowLifetimeMs: service?.lifetimeMs ?? RELEASED_ADDRESS_LIFETIME_MS,
          generations,
        },
      ];
}
