/**
 * States of backend servers as the platform and health probes report them. Each
 * report is a mark with a version; of one kind the highest version counts,
 * whatever the order of arrival.
 */
import type {ServerMark} from '../generated/peer.js';

/**
 * Sources of marks. Two daemons probe each server, since a single prober may have
 * lost its own path to it.
 */
export const MarkKind = {
  PLATFORM: 'platform',
  FIRST_PROBER: 'first-prober',
  SECOND_PROBER: 'second-prober',
} as const;
/** One of the kinds in `MarkKind`. */
export type MarkKind = (typeof MarkKind)[keyof typeof MarkKind];

/** Reported states of a server. */
export const MarkState = {
  LIVE: 'live',
  LEAVING: 'leaving',
  GONE: 'gone',
  DOWN: 'down',
  FULL: 'full',
} as const;
/** One of the states in `MarkState`. */
export type MarkState = (typeof MarkState)[keyof typeof MarkState];

interface ServerRecord {
  /** By kind. */
  readonly marks: Map<string, ServerMark>;
  /** Wall milliseconds until which flows may be open away from their base server. */
  disturbedUntilMs: number;
}

/** The newest marks of all servers. */
export class ServerMarks {
  private readonly servers = new Map<string, ServerRecord>();

  private constructor() {}

  /** Creates a record without marks, in which every server is eligible. */
  static create(): ServerMarks {
    return new ServerMarks();
  }

  /** Applies a mark; false when the known one has the same or a higher version. */
  apply(mark: ServerMark): boolean {
    const record = this.getOrCreate(mark.server);
    const before = record.marks.get(mark.kind);
    if (before !== undefined && before.version >= mark.version) {
      return false;
    }
    record.marks.set(mark.kind, mark);
    record.disturbedUntilMs = Math.max(
      record.disturbedUntilMs,
      mark.disturbedUntilMs,
    );
    return true;
  }

  /** Whether new flows may be placed at the server. */
  isEligible(server: string): boolean {
    const record = this.servers.get(server);
    return (
      record === undefined || (platformAllows(record) && probersAllow(record))
    );
  }

  /** Whether flows with this base server may have been placed at another one. */
  mayHaveDisplacedFlows(server: string, wallMs: number): boolean {
    const record = this.servers.get(server);
    return (
      record !== undefined &&
      (record.disturbedUntilMs > wallMs || !this.isEligible(server))
    );
  }

  /** Returns the newest mark of one kind; undefined if there is none. */
  markOf(server: string, kind: MarkKind): ServerMark | undefined {
    return this.servers.get(server)?.marks.get(kind);
  }

  /** Returns a copy that marks applied later do not change. */
  copy(): ServerMarks {
    const copy = new ServerMarks();
    this.all().forEach(mark => copy.apply(mark));
    return copy;
  }

  /** Returns the newest marks of all servers and kinds. */
  all(): ServerMark[] {
    return [...this.servers.values()].flatMap(record => [
      ...record.marks.values(),
    ]);
  }

  private getOrCreate(server: string): ServerRecord {
    const record = this.servers.get(server);
    if (record !== undefined) {
      return record;
    }
    const created = {marks: new Map<string, ServerMark>(), disturbedUntilMs: 0};
    this.servers.set(server, created);
    return created;
  }
}

function platformAllows(record: ServerRecord): boolean {
  const state = record.marks.get(MarkKind.PLATFORM)?.state ?? MarkState.LIVE;
  return state === MarkState.LIVE;
}

/** False when every prober reports the server down, or any reports it full. */
function probersAllow(record: ServerRecord): boolean {
  const states = [MarkKind.FIRST_PROBER, MarkKind.SECOND_PROBER].flatMap(
    kind => record.marks.get(kind)?.state ?? [],
  );
  const isDown =
    states.length > 0 && states.every(state => state === MarkState.DOWN);
  return !isDown && !states.includes(MarkState.FULL);
}
