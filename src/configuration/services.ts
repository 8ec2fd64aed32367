/** Compiles templates and workspaces to services and checks them together. */
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {ConfigurationFaults, type Fault} from './faults.js';
import {readIniFile} from './ini-file.js';
import {templateSchema, type Template} from './template.js';
import type {ServerParameter} from './values.js';
import {workspaceSchema, type Workspace} from './workspace.js';

/** A service of a workspace with the parameters of its template. */
export interface Service {
  readonly workspace: string;
  readonly name: string;
  readonly template: string;
  /** "ip:port" that clients connect to. */
  readonly address: string;
  readonly servers: readonly ServerParameter[];
  /** Name of the server pool; services of the same pool share its servers. */
  readonly pool: string;
  /** Number of requests that a server runs concurrently. */
  readonly slots: number;
  /** Maximum number of open flows per server. */
  readonly connections: number;
  readonly warmUpMs: number;
  /** Share of flows, 0 to 1, that may be placed by load. */
  readonly flexibleShare: number;
  readonly idleLimitMs: number;
  readonly lifetimeMs: number;
  readonly repeatable: boolean;
  /** Maximum time that a request may take, in milliseconds. */
  readonly deadlineMs: number;
  /** Maximum number of requests per workspace that wait for a slot. */
  readonly queue: number;
  /** Maximum number of the workspace's requests in flight at one daemon. */
  readonly requestsInFlight: number;
}

/** INI texts by "template/NAME" or "workspace/NAME". */
export type Sources = Readonly<Record<string, string>>;

/** Kinds of source. */
export const SourceKind = {
  TEMPLATE: 'template',
  WORKSPACE: 'workspace',
} as const;
/** One of the kinds in `SourceKind`. */
export type SourceKind = (typeof SourceKind)[keyof typeof SourceKind];

interface NamedSource<T> {
  readonly source: string;
  readonly value: T;
}

/** Returns the source name of an INI text, "template/NAME" or "workspace/NAME". */
export function sourceNameOf(
  file: string,
  text: string,
): Result<string, ConfigurationFaults> {
  const kind = /^\s*\[template\]/m.test(text)
    ? SourceKind.TEMPLATE
    : SourceKind.WORKSPACE;
  return kind === SourceKind.TEMPLATE
    ? readIniFile({file, text}, templateSchema).map(
        template => `${kind}/${template.template.name}`,
      )
    : readIniFile({file, text}, workspaceSchema).map(
        workspace => `${kind}/${workspace.workspace.name}`,
      );
}

/** Compiles all sources; fails with every fault of every source. */
export function compileServices(
  sources: Sources,
): Result<Service[], ConfigurationFaults> {
  const faults: Fault[] = [];
  const templates = readAll(
    sources,
    SourceKind.TEMPLATE,
    templateSchema,
    faults,
  );
  const workspaces = readAll(
    sources,
    SourceKind.WORKSPACE,
    workspaceSchema,
    faults,
  );
  const byName = new Map(
    templates.map(({value}) => [value.template.name, value]),
  );
  const services = workspaces.flatMap(workspace =>
    servicesOf(workspace, byName, faults),
  );
  faults.push(...findAddressConflicts(services));
  return faults.length === 0
    ? ok(services)
    : err(ConfigurationFaults.create(faults));
}

function readAll<T extends z.ZodType>(
  sources: Sources,
  kind: SourceKind,
  schema: T,
  faults: Fault[],
): NamedSource<z.output<T>>[] {
  return Object.entries(sources)
    .filter(([source]) => source.startsWith(`${kind}/`))
    .flatMap(([source, text]) =>
      readIniFile({file: source, text}, schema).match(
        value => [{source, value}],
        failure => {
          faults.push(...failure.faults);
          return [];
        },
      ),
    );
}

function servicesOf(
  workspace: NamedSource<Workspace>,
  templates: ReadonlyMap<string, Template>,
  faults: Fault[],
): Service[] {
  return Object.entries(workspace.value.service).flatMap(([name, entry]) => {
    const template = templates.get(entry.template);
    if (template === undefined) {
      faults.push({
        file: workspace.source,
        section: `service.${name}`,
        key: 'template',
        wrong: `there is no template "${entry.template}"`,
        right: `name one of: ${[...templates.keys()].join(', ') || '(none yet)'}`,
      });
      return [];
    }
    const servers =
      entry.servers.length > 0 ? entry.servers : template.server.servers;
    if (servers.length === 0) {
      faults.push({
        file: workspace.source,
        section: `service.${name}`,
        key: 'servers',
        wrong: 'neither the service nor its template names a server',
        right: 'write one line "servers[] = ip:port" per server',
      });
    }
    return [
      {
        workspace: workspace.value.workspace.name,
        name,
        template: entry.template,
        address: entry.address,
        servers,
        pool:
          entry.servers.length > 0
            ? `${workspace.value.workspace.name}/${name}`
            : entry.template,
        slots: template.server.slots,
        connections: template.server.connections,
        warmUpMs: template.server['warm-up'],
        flexibleShare:
          entry['flexible-share'] ?? template.flows['flexible-share'],
        idleLimitMs: template.flows['idle-limit'],
        lifetimeMs: template.flows.lifetime,
        repeatable: template.requests.repeatable,
        deadlineMs: entry.deadline ?? template.requests.deadline,
        queue: template.requests.queue,
        requestsInFlight: workspace.value.workspace['requests-in-flight'],
      },
    ];
  });
}

/** Finds addresses of more than one service and servers of more than one pool. */
function findAddressConflicts(services: readonly Service[]): Fault[] {
  const uses = services.flatMap(service => {
    const user = `${service.workspace}/${service.name}`;
    const servers = service.servers.map(({id}) => id);
    return [
      {service, user, key: 'address', value: service.address},
      ...servers.map(value => ({
        service,
        user: service.pool,
        key: 'servers',
        value,
      })),
    ];
  });
  const firstUsers = new Map<string, string>();
  return uses.flatMap(({service, user, key, value}) => {
    const use = `${key} ${value}`;
    const other = firstUsers.get(use);
    firstUsers.set(use, other ?? user);
    const isAllowed =
      other === undefined || (key === 'servers' && other === user);
    return isAllowed
      ? []
      : [
          {
            file: `workspace/${service.workspace}`,
            section: `service.${service.name}`,
            key,
            wrong: `${value} is already used by ${other}`,
            right: 'give each service addresses and servers of its own',
          },
        ];
  });
}
