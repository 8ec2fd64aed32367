/** Merges, filters, prints and draws the timelines of several processes. */
import type {TimelineEvent} from '../generated/peer.js';

const LANE_HEIGHT = 44;
const LEFT = 150;
const WIDTH = 1_400;
const TOP = 50;
const RADIUS = 4;
const COLOURS: Readonly<Record<string, string>> = {
  'member-state': '#3465a4',
  'revision-staged': '#c4a000',
  'revision-active': '#4e9a06',
  'server-mark': '#ce5c00',
  'store-lost': '#a40000',
  'store-back': '#73d216',
  'fault-injected': '#a40000',
  step: '#000000',
};
const OTHER_COLOUR = '#75507b';

/** Which events to show. */
export interface TimelineFilter {
  /** Time of the first event, in wall milliseconds. */
  readonly sinceMs?: number;
  /** Substrings that the JSON of an event's details must all contain. */
  readonly contains: readonly string[];
}

/** Filters events and sorts them in causal order: by hybrid logical clock, then process. */
export function mergeEvents(
  events: readonly TimelineEvent[],
  filter: TimelineFilter,
): TimelineEvent[] {
  return events
    .filter(event => event.physicalMs >= (filter.sinceMs ?? 0))
    .filter(event =>
      filter.contains.every(text => event.detailJson.includes(text)),
    )
    .sort(
      (a, b) =>
        a.physicalMs - b.physicalMs ||
        a.logical - b.logical ||
        (a.process < b.process ? -1 : 1),
    );
}

/** Formats events as text, one line per event. */
export function printEvents(events: readonly TimelineEvent[]): string {
  return events
    .map(event => {
      const time = new Date(event.physicalMs).toISOString();
      const stamp = `${time}+${event.logical}`;
      return `${stamp}  ${event.process}  ${event.kind}  ${event.detailJson}`;
    })
    .join('\n');
}

/** Draws events as an SVG image, with one lane per process. */
export function drawEvents(events: readonly TimelineEvent[]): string {
  const processes = [...new Set(events.map(({process}) => process))].sort();
  const first = events[0]?.physicalMs ?? 0;
  const last = events[events.length - 1]?.physicalMs ?? first;
  const span = Math.max(1, last - first);
  const xOf = (ms: number) => LEFT + ((ms - first) / span) * WIDTH;
  const yOf = (process: string) =>
    TOP + processes.indexOf(process) * LANE_HEIGHT;
  const height = TOP + processes.length * LANE_HEIGHT + LANE_HEIGHT;
  const lanes = processes.map(process => drawLane(process, yOf(process)));
  const marks = events.map(event =>
    drawMark(event, xOf(event.physicalMs), yOf(event.process)),
  );
  const ticks = [0, 0.25, 0.5, 0.75, 1].map(share =>
    drawTick(LEFT + share * WIDTH, height, (span * share) / 1_000),
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${LEFT + WIDTH + 60}" height="${height}" font-family="sans-serif" font-size="12">`,
    '<rect width="100%" height="100%" fill="#ffffff"/>',
    ...drawLegend(events),
    ...ticks,
    ...lanes,
    ...marks,
    '</svg>',
  ].join('\n');
}

/** Draws events as an HTML page. */
export function drawPage(events: readonly TimelineEvent[]): string {
  return `<!doctype html><html><head><meta charset="utf-8"><title>weldyard timeline</title></head><body>${drawEvents(events)}</body></html>`;
}

function drawLane(process: string, y: number): string {
  return (
    `<text x="8" y="${y + 4}">${escapeText(process)}</text>` +
    `<line x1="${LEFT}" y1="${y}" x2="${LEFT + WIDTH}" y2="${y}" stroke="#d3d7cf"/>`
  );
}

function drawMark(event: TimelineEvent, x: number, y: number): string {
  const colour = COLOURS[event.kind] ?? OTHER_COLOUR;
  const title = escapeText(`${event.kind} ${event.detailJson}`);
  return `<circle cx="${x.toFixed(1)}" cy="${y}" r="${RADIUS}" fill="${colour}" fill-opacity="0.7"><title>${title}</title></circle>`;
}

function drawTick(x: number, height: number, seconds: number): string {
  return (
    `<line x1="${x}" y1="${TOP - 14}" x2="${x}" y2="${height - 20}" stroke="#eeeeec"/>` +
    `<text x="${x}" y="${height - 6}" text-anchor="middle">${seconds.toFixed(1)} s</text>`
  );
}

function drawLegend(events: readonly TimelineEvent[]): string[] {
  const kinds = [...new Set(events.map(({kind}) => kind))].sort();
  const step = WIDTH / Math.max(1, kinds.length);
  return kinds.map((kind, index) => {
    const x = LEFT + index * step;
    const colour = COLOURS[kind] ?? OTHER_COLOUR;
    return `<circle cx="${x}" cy="14" r="${RADIUS}" fill="${colour}"/><text x="${x + 8}" y="18" font-size="10">${escapeText(kind)}</text>`;
  });
}

function escapeText(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('"', '&quot;');
}
