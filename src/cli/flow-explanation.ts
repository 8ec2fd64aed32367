/** Explains the outcome of one flow from the logs of all daemons, for `weldyard explain`. */
import type {TimelineEvent} from '../generated/peer.js';
import {parseDetails} from './process-logs.js';

/** Time before the flow's first line from which related events are included. */
const CONTEXT_BEFORE_MS = 3_000;
/** Time after the flow's last line up to which related events are included. */
const CONTEXT_AFTER_MS = 5_000;

/** Events of a daemon that affect its decisions. */
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'routes-taken',
  'source-lost',
  'source-regained',
  'started',
  'ready',
  'leaving',
  'stopped',
]);

/** The log lines and findings of one flow. */
export interface FlowExplanation {
  /** The lines of the flow, and nearby ones of its servers and daemons. */
  readonly events: readonly TimelineEvent[];
  /** Conclusions from these events, one sentence each. */
  readonly findings: readonly string[];
}

/** Explains the flow of a caller's "address:port"; `events` must be in order of time. */
export function explainFlow(
  events: readonly TimelineEvent[],
  source: string,
): FlowExplanation {
  const own = events.filter(event => parseDetails(event)['source'] === source);
  if (own.length === 0) {
    return {events: [], findings: [`no daemon logged a flow of ${source}`]};
  }
  const near = selectContext(events, own);
  const servers = collectServers(own);
  const daemons = new Set(own.map(({process}) => process));
  return {
    events: near.filter(
      event =>
        own.includes(event) ||
        isAboutServer(event, servers) ||
        (daemons.has(event.process) && CONTEXT_EVENTS.has(event.kind)),
    ),
    findings: [
      ...own.flatMap(explainRefusal),
      ...explainRetransmissions(own),
      ...explainServers(near, servers),
    ],
  };
}

/** Returns the servers that the lines of the flow name. */
function collectServers(own: readonly TimelineEvent[]): ReadonlySet<unknown> {
  return new Set(own.flatMap(event => parseDetails(event)['server'] ?? []));
}

/** Selects the events shortly before, during and shortly after the flow. */
function selectContext(
  events: readonly TimelineEvent[],
  own: readonly TimelineEvent[],
): TimelineEvent[] {
  const from = own[0].physicalMs - CONTEXT_BEFORE_MS;
  const to = own[own.length - 1].physicalMs + CONTEXT_AFTER_MS;
  return events.filter(
    ({physicalMs}) => physicalMs >= from && physicalMs <= to,
  );
}

/** Whether a line is about one of the servers and not about another flow. */
function isAboutServer(
  event: TimelineEvent,
  servers: ReadonlySet<unknown>,
): boolean {
  const {server, source} = parseDetails(event);
  return servers.has(server) && source === undefined;
}

/** Explains why a packet of the flow was refused. */
function explainRefusal(event: TimelineEvent): string[] {
  if (event.kind !== 'packet-refused') {
    return [];
  }
  const {reason, outcome, routeVersion, routesAgeMs, serversAgeMs} =
    parseDetails(event);
  const how = outcome === 'reset' ? 'answered with a reset' : 'dropped';
  const causes: Readonly<Record<string, string>> = {
    'no-route': `version ${routeVersion} of the routes, confirmed ${routesAgeMs} ms before, has no route for its destination`,
    'no-server': `no server of its route took new flows, as of a list confirmed ${serversAgeMs} ms before`,
    'server-gone': 'its server had ended',
    'unknown-cookie':
      'its cookie matches no server of its route: the server is not yet known to the daemon, or the cookie is forged',
    'nothing-to-reset': 'it was a reset packet of a flow without a route',
  };
  const cause = causes[String(reason)] ?? String(reason);
  return [`${event.process}: a packet was ${how}: ${cause}`];
}

/** Reports that an opening packet was sent again, since a server did not answer it. */
function explainRetransmissions(own: readonly TimelineEvent[]): string[] {
  const placed = own.filter(({kind}) => kind === 'flow-placed');
  const servers = placed.map(event => String(parseDetails(event)['server']));
  return placed.length < 2
    ? []
    : [
        `its opening was sent ${placed.length} times, to ${servers.join(', ')}: all but the last server did not answer`,
      ];
}

/** Reports what happened to the servers of the flow around that time. */
function explainServers(
  near: readonly TimelineEvent[],
  servers: ReadonlySet<unknown>,
): string[] {
  return [...servers].flatMap(server => {
    const about = near.filter(
      event => parseDetails(event)['server'] === server,
    );
    const count = (kind: string) =>
      new Set(about.filter(event => event.kind === kind).map(e => e.process))
        .size;
    const silent = count('server-silent');
    const departed = count('server-departed');
    const draining = about.some(
      event => parseDetails(event)['state'] === 'draining',
    );
    return [
      silent > 0
        ? `${server} left packets unanswered at ${silent} daemons`
        : [],
      draining ? `${server} was draining` : [],
      departed > 0 ? `${server} left the list of servers` : [],
    ].flat();
  });
}
