/**
 * The fleet's findings on unreachable backend servers, as known to one daemon. A finding
 * expires unless it is renewed, and ends when any daemon reaches the server.
 */

/** Time for which a finding is valid: longer than a failed server's entry stays listed. */
const FINDING_VALIDITY_MS = 3_500;
/** Time for which a finding is kept so that an older one can't replace it. */
const FINDING_RETENTION_MS = 15_000;
/** Age up to which a finding is included in heartbeats. */
const GOSSIP_WINDOW_MS = 3_000;
/** Limit of findings in one heartbeat; 25 bytes each. */
const MAX_GOSSIPED_FINDINGS = 40;
/** Limit of findings kept; the first inserted are dropped first. */
const MAX_FINDINGS = 512;
/** Difference of time stamps, from relaying, up to which two findings count as one. */
const TIME_TOLERANCE_MS = 150;

/** The result of probing a server. */
export interface ReachabilityFinding {
  /** Server id. */
  readonly server: string;
  readonly reached: boolean;
  /** Time of the last probe; monotonic milliseconds. */
  readonly at: number;
  /** Start time that the probed incarnation reported; 0: none reported. */
  readonly startTime: number;
}

/** The newest finding on each server. */
export class UnreachableServers {
  private readonly findings = new Map<string, ReachabilityFinding>();
  /**
   * Servers whose entries left the list while they were unreachable, and when to forget
   * each; monotonic milliseconds.
   */
  private readonly endedUntil = new Map<string, number>();

  private constructor(
    /** Maximum flow lifetime in milliseconds. */
    private readonly flowLifetimeMs: number,
  ) {}

  /** Creates a record without findings. */
  static create(flowLifetimeMs: number): UnreachableServers {
    return new UnreachableServers(flowLifetimeMs);
  }

  /** Merges a finding; true if it is new and should be gossiped. */
  merge(finding: ReachabilityFinding, now: number): boolean {
    const known = this.findings.get(finding.server);
    const isOutdated =
      now - finding.at > FINDING_VALIDITY_MS ||
      (known !== undefined && finding.at <= known.at + TIME_TOLERANCE_MS);
    if (isOutdated) {
      return false;
    }
    this.findings.set(finding.server, finding);
    if (finding.reached) {
      this.endedUntil.delete(finding.server);
    }
    this.prune(now);
    return true;
  }

  /** Whether a server is unreachable, or ended while it was. */
  isUnreachable(server: string, now: number): boolean {
    const finding = this.findings.get(server);
    const isValid =
      finding !== undefined &&
      !finding.reached &&
      now - finding.at <= FINDING_VALIDITY_MS;
    return isValid || (this.endedUntil.get(server) ?? -Infinity) > now;
  }

  /** Time of the newest finding on a server, in monotonic milliseconds; undefined: none. */
  findTime(server: string): number | undefined {
    return this.findings.get(server)?.at;
  }

  /** Ids of the servers for which `isUnreachable` holds. */
  list(now: number): string[] {
    const known = new Set([...this.findings.keys(), ...this.endedUntil.keys()]);
    return [...known].filter(server => this.isUnreachable(server, now));
  }

  /** Handles a removed entry: a server that was unreachable counts as ended. */
  onDeparted(server: string, now: number): void {
    if (this.isUnreachable(server, now)) {
      this.endedUntil.set(server, now + this.flowLifetimeMs);
    }
  }

  /** Handles a written entry: the server that wrote it is running. */
  onListed(server: string): void {
    this.endedUntil.delete(server);
  }

  /** Drops the findings on the former incarnation of a server. */
  onRestarted(server: string): void {
    this.findings.delete(server);
    this.endedUntil.delete(server);
  }

  /** Selects findings for a heartbeat, the newest first. */
  selectFindingsToGossip(now: number): ReachabilityFinding[] {
    return [...this.findings.values()]
      .filter(({at}) => now - at <= GOSSIP_WINDOW_MS)
      .sort((a, b) => b.at - a.at)
      .slice(0, MAX_GOSSIPED_FINDINGS);
  }

  private prune(now: number): void {
    this.findings.forEach(({at}, server) => {
      if (now - at > FINDING_RETENTION_MS) {
        this.findings.delete(server);
      }
    });
    this.endedUntil.forEach((until, server) => {
      if (until <= now) {
        this.endedUntil.delete(server);
      }
    });
    const surplus = this.findings.size - MAX_FINDINGS;
    [...this.findings.keys()]
      .slice(0, Math.max(0, surplus))
      .forEach(server => this.findings.delete(server));
  }
}
