/**
 * What is known of the state of backend servers, from the platform's list and
 * from health probes. Newer versions replace older ones, in any order of
 * arrival.
 */
import type {ServerMark} from '../generated/peer.js';

/**
 * Who says it. Two daemons probe each server; one of them alone may have lost
 * its own path to the server.
 */
export const MarkKind = {
  PLATFORM: 'platform',
  FIRST_PROBER: 'first-prober',
  SECOND_PROBER: 'second-prober',
} as const;
/** One of the kinds in `MarkKind`. */
export type MarkKind = (typeof MarkKind)[keyof typeof MarkKind];

/** What is said. */
export const MarkState = {
  LIVE: 'live',
  LEAVING: 'leaving',
  GONE: 'gone',
  DOWN: 'down',
  FULL: 'full',
} as const;
/** One of the states in `MarkState`. */
export type MarkState = (typeof MarkState)[keyof typeof MarkState];

interface KnownServer {
  readonly marks: Map<string, ServerMark>;
  /** Wall milliseconds until which flows may be away from their base server. */
  disturbedUntilMs: number;
}

/** The marks of all servers. */
export class ServerMarks {
  private readonly servers = new Map<string, KnownServer>();

  private constructor() {}

  /** Creates an empty record: every server is taken to be live. */
  static create(): ServerMarks {
    return new ServerMarks();
  }

  /** Takes a mark; false when a newer one is known already. */
  apply(mark: ServerMark): boolean {
    const known = this.known(mark.server);
    const before = known.marks.get(mark.kind);
    if (before !== undefined && before.version >= mark.version) {
      return false;
    }
    known.marks.set(mark.kind, mark);
    known.disturbedUntilMs = Math.max(
      known.disturbedUntilMs,
      mark.disturbedUntilMs,
    );
    return true;
  }

  /** Whether new flows may be placed at the server. */
  isEligible(server: string): boolean {
    const known = this.servers.get(server);
    return (
      known === undefined || (platformAllows(known) && probersAllow(known))
    );
  }

  /** Whether flows whose base is this server may have been placed elsewhere. */
  isDisturbed(server: string, wallMs: number): boolean {
    const known = this.servers.get(server);
    return (
      known !== undefined &&
      (known.disturbedUntilMs > wallMs || !this.isEligible(server))
    );
  }

  /** The mark of one kind, if there is one. */
  markOf(server: string, kind: MarkKind): ServerMark | undefined {
    return this.servers.get(server)?.marks.get(kind);
  }

  /** A copy that later marks do not change. */
  copy(): ServerMarks {
    const copy = new ServerMarks();
    this.all().forEach(mark => copy.apply(mark));
    return copy;
  }

  /** All marks. */
  all(): ServerMark[] {
    return [...this.servers.values()].flatMap(known => [
      ...known.marks.values(),
    ]);
  }

  private known(server: string): KnownServer {
    const known = this.servers.get(server);
    if (known !== undefined) {
      return known;
    }
    const created = {marks: new Map<string, ServerMark>(), disturbedUntilMs: 0};
    this.servers.set(server, created);
    return created;
  }
}

function platformAllows(known: KnownServer): boolean {
  const state = known.marks.get(MarkKind.PLATFORM)?.state ?? MarkState.LIVE;
  return state === MarkState.LIVE;
}

/** A server is down when every prober says so, and full when one says so. */
function probersAllow(known: KnownServer): boolean {
  const states = [MarkKind.FIRST_PROBER, MarkKind.SECOND_PROBER].flatMap(
    kind => known.marks.get(kind)?.state ?? [],
  );
  const down =
    states.length > 0 && states.every(state => state === MarkState.DOWN);
  return !down && !states.includes(MarkState.FULL);
}
