/** What the logs of all daemons say of one flow, and why it went as it did. */
import type {TimelineEvent} from '../generated/peer.js';
import {detailsOf} from './process-logs.js';

/**
 * Time before the flow's first line from which its surroundings are told, in
 * milliseconds.
 */
const BEFORE_MS = 3_000;
/** Time after the flow's last line up to which they are told, in milliseconds. */
const AFTER_MS = 5_000;

/** Events of a process that explain its decisions. */
const SURROUNDINGS: ReadonlySet<string> = new Set([
  'routes-taken',
  'source-lost',
  'source-regained',
  'started',
  'ready',
  'leaving',
  'stopped',
]);

/** What is known of one flow. */
export interface FlowStory {
  /** The flow's own lines, and those of its servers and daemons near in time. */
  readonly events: readonly TimelineEvent[];
  /** What follows from them, a sentence each. */
  readonly findings: readonly string[];
}

/**
 * Tells the story of the flow of a caller's "address:port"; `events` are in the
 * order of time.
 */
export function tellFlowStory(
  events: readonly TimelineEvent[],
  source: string,
): FlowStory {
  const own = events.filter(event => detailsOf(event)['source'] === source);
  if (own.length === 0) {
    return {events: [], findings: [`no daemon logged a flow of ${source}`]};
  }
  const near = eventsNear(events, own);
  const servers = serversOf(own);
  const daemons = new Set(own.map(({process}) => process));
  return {
    events: near.filter(
      event =>
        own.includes(event) ||
        isAboutServer(event, servers) ||
        (daemons.has(event.process) && SURROUNDINGS.has(event.kind)),
    ),
    findings: [
      ...own.flatMap(explainDecision),
      ...explainCopies(own),
      ...explainServers(near, servers),
    ],
  };
}

/** The servers that the flow's own lines name. */
function serversOf(own: readonly TimelineEvent[]): ReadonlySet<unknown> {
  return new Set(own.flatMap(event => detailsOf(event)['server'] ?? []));
}

/** Events shortly before, during and shortly after the flow's own lines. */
function eventsNear(
  events: readonly TimelineEvent[],
  own: readonly TimelineEvent[],
): TimelineEvent[] {
  const from = own[0].physicalMs - BEFORE_MS;
  const to = own[own.length - 1].physicalMs + AFTER_MS;
  return events.filter(
    ({physicalMs}) => physicalMs >= from && physicalMs <= to,
  );
}

/** Whether a line tells of one of the servers, and not of another flow. */
function isAboutServer(
  event: TimelineEvent,
  servers: ReadonlySet<unknown>,
): boolean {
  const {server, source} = detailsOf(event);
  return servers.has(server) && source === undefined;
}

/** Why a packet of the flow was refused. */
function explainDecision(event: TimelineEvent): string[] {
  if (event.kind !== 'packet-refused') {
    return [];
  }
  const {reason, outcome, routeVersion, routesAgeMs, serversAgeMs} =
    detailsOf(event);
  const how = outcome === 'reset' ? 'answered with a reset' : 'dropped';
  const causes: Readonly<Record<string, string>> = {
    'no-route': `version ${routeVersion} of the routes, confirmed ${routesAgeMs} ms before, has no route for its destination`,
    'no-server': `no server of its route took new flows, by a list confirmed ${serversAgeMs} ms before`,
    'server-gone': 'its server had ended for certain',
    'unknown-cookie':
      'no server that its route allows has its cookie: the daemon had not heard of the server, or the cookie is made up',
    'nothing-to-reset': 'it was a reset of a flow without a route',
  };
  const cause = causes[String(reason)] ?? String(reason);
  return [`${event.process}: a packet was ${how}: ${cause}`];
}

/** Copies of an opening mean that a server did not answer it. */
function explainCopies(own: readonly TimelineEvent[]): string[] {
  const placed = own.filter(({kind}) => kind === 'flow-placed');
  const servers = placed.map(event => String(detailsOf(event)['server']));
  return placed.length < 2
    ? []
    : [
        `its opening was sent ${placed.length} times, to ${servers.join(', ')}: all but the last left it unanswered`,
      ];
}

/** What befell the flow's servers near the time. */
function explainServers(
  near: readonly TimelineEvent[],
  servers: ReadonlySet<unknown>,
): string[] {
  return [...servers].flatMap(server => {
    const about = near.filter(event => detailsOf(event)['server'] === server);
    const count = (kind: string) =>
      new Set(about.filter(event => event.kind === kind).map(e => e.process))
        .size;
    const silent = count('server-silent');
    const departed = count('server-departed');
    const draining = about.some(
      event => detailsOf(event)['state'] === 'draining',
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
