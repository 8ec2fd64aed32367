/**
 * Backend servers that daemons of several failure domains could not reach, as one
 * daemon knows them. A finding holds for a while unless it is confirmed, and ends when
 * somebody reaches the server again.
 */

/**
 * Time for which a finding holds, in milliseconds: until the entry of a server that
 * has ended is gone from the store, and less than a fabric takes to be held to again
 * after a cut.
 */
const VALID_MS = 3_500;
/** Time for which a finding is kept, so that an older one does not replace it. */
const KEPT_MS = 15_000;
/** Time for which a finding is told in beats, in milliseconds. */
const TOLD_MS = 3_000;
/** Findings told in one beat; 25 bytes each. */
const TOLD_FINDINGS = 40;
/** Findings kept at the most. */
const MAXIMUM_FINDINGS = 512;
/** Difference up to which two times are the same, in milliseconds: hops of news. */
const DRIFT_MS = 150;

/** What was found out about a server. */
export interface ReachFinding {
  /** The server's id. */
  readonly server: string;
  readonly reached: boolean;
  /** When it was tried last; monotonic milliseconds. */
  readonly at: number;
  /** The life that was tried: the time of start that the server says; 0: not said. */
  readonly startTime: number;
}

/** The findings that one daemon knows. */
export class UnreachableServers {
  private readonly findings = new Map<string, ReachFinding>();
  /** Unreachable servers whose entries went: they have ended; when to forget them. */
  private readonly ended = new Map<string, number>();

  private constructor(
    /** Time for which a flow may live, in milliseconds. */
    private readonly flowLifetimeMs: number,
  ) {}

  /** Creates a record without findings. */
  static create(flowLifetimeMs: number): UnreachableServers {
    return new UnreachableServers(flowLifetimeMs);
  }

  /** Takes a finding; true if it is news that others should hear of. */
  take(finding: ReachFinding, now: number): boolean {
    const known = this.findings.get(finding.server);
    const isOld =
      now - finding.at > VALID_MS ||
      (known !== undefined && finding.at <= known.at + DRIFT_MS);
    if (isOld) {
      return false;
    }
    this.findings.set(finding.server, finding);
    if (finding.reached) {
      this.ended.delete(finding.server);
    }
    this.keepBounded(now);
    return true;
  }

  /** Whether a server cannot be reached now, or has ended unreachable. */
  has(server: string, now: number): boolean {
    const finding = this.findings.get(server);
    const isValid =
      finding !== undefined && !finding.reached && now - finding.at <= VALID_MS;
    return isValid || (this.ended.get(server) ?? -Infinity) > now;
  }

  /** Servers that cannot be reached now, or have ended unreachable. */
  all(now: number): string[] {
    const known = new Set([...this.findings.keys(), ...this.ended.keys()]);
    return [...known].filter(server => this.has(server, now));
  }

  /** Notes that a server's entry went; one that was unreachable has ended. */
  noteDeparted(server: string, now: number): void {
    if (this.has(server, now)) {
      this.ended.set(server, now + this.flowLifetimeMs);
    }
  }

  /** Notes that a server's entry was written, as servers do that live. */
  noteListed(server: string): void {
    this.ended.delete(server);
  }

  /** Notes that a server started again: what was found of it before says nothing. */
  noteRestarted(server: string): void {
    this.findings.delete(server);
    this.ended.delete(server);
  }

  /** Findings to tell in a beat, the newest first. */
  selectFindingsToGossip(now: number): ReachFinding[] {
    return [...this.findings.values()]
      .filter(({at}) => now - at <= TOLD_MS)
      .sort((a, b) => b.at - a.at)
      .slice(0, TOLD_FINDINGS);
  }

  private keepBounded(now: number): void {
    this.findings.forEach(({at}, server) => {
      if (now - at > KEPT_MS) {
        this.findings.delete(server);
      }
    });
    this.ended.forEach((until, server) => {
      if (until <= now) {
        this.ended.delete(server);
      }
    });
    const surplus = this.findings.size - MAXIMUM_FINDINGS;
    [...this.findings.keys()]
      .slice(0, Math.max(0, surplus))
      .forEach(server => this.findings.delete(server));
  }
}
