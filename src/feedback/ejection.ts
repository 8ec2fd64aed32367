/**
 * The ejection of one incarnation of a server: a time without new flows, then trials by a
 * few of them, then a clean time after which it is forgotten. Each repetition within that
 * time doubles the ejection.
 */
import type {CatalogServer} from '../catalog/records.js';
import {EvidenceMark} from './evidence-mark.js';

/** Duration of a first ejection: callers' first retries have ended by then. */
const FIRST_EJECTION_MS = 4_000;
const MAX_EJECTION_MS = 60_000;
/** Duration of the trials: some requests have to end, and their evidence to spread. */
const TRIAL_MS = 5_000;
/** Time without an ejection after which earlier ones no longer count. */
const CLEAN_MS = 120_000;

/** What follows an ejection, in this order. */
export const EjectionPhase = {
  EJECTED: 'ejected',
  TRIAL: 'trial',
  /** Gets new flows like any other server; its ejections still count. */
  RETURNED: 'returned',
} as const;
/** One of the phases in `EjectionPhase`. */
export type EjectionPhase = (typeof EjectionPhase)[keyof typeof EjectionPhase];

/** Why a server is an outlier. */
export interface OutlierFinding {
  /** Its failed and overdue requests, decayed. */
  readonly faults: number;
  /** The usual count of its service. */
  readonly usual: number;
}

/** One server's ejection, from the first until a clean time has passed. */
export class Ejection {
  private currentPhase: EjectionPhase = EjectionPhase.EJECTED;
  private phaseEndsAt = Infinity;
  /** When the mark moves: later evidence stems from flows that stayed at the server. */
  private marksAt = Infinity;
  private count = 0;
  private mark: EvidenceMark;

  private constructor(
    readonly server: CatalogServer,
    private latestFinding: OutlierFinding,
    private readonly halfLifeMs: number,
  ) {
    this.mark = EvidenceMark.create(0, 0, halfLifeMs);
  }

  /**
   * Ejects a server from `now` on, in monotonic milliseconds; `halfLifeMs` is that of its
   * counts.
   */
  static create(
    server: CatalogServer,
    finding: OutlierFinding,
    halfLifeMs: number,
    now: number,
  ): Ejection {
    const ejection = new Ejection(server, finding, halfLifeMs);
    ejection.repeat(finding, now);
    return ejection;
  }

  get phase(): EjectionPhase {
    return this.currentPhase;
  }

  /** When the phase ends, in monotonic milliseconds. */
  get until(): number {
    return this.phaseEndsAt;
  }

  /** Ejections so far, the present one included. */
  get ejectionCount(): number {
    return this.count;
  }

  /** Why the server was ejected last. */
  get finding(): OutlierFinding {
    return this.latestFinding;
  }

  /** Whether the server gets fewer new flows than others, or none. */
  get isHeld(): boolean {
    return this.phase !== EjectionPhase.RETURNED;
  }

  /** Whether this is the ejection of the given incarnation. */
  isOf({id, startTime}: CatalogServer): boolean {
    return this.server.id === id && this.server.startTime === startTime;
  }

  /** Returns the part of `total` that came after the mark. */
  countNewFaults(total: number, now: number): number {
    return this.mark.countSince(total, now);
  }

  /** Ejects the server again, for twice the time. */
  repeat(finding: OutlierFinding, now: number): void {
    this.latestFinding = finding;
    this.count += 1;
    this.prolong(now);
  }

  /** Ejects the server for the same time again. */
  prolong(now: number): void {
    const durationMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** (this.count - 1),
    );
    this.enter(EjectionPhase.EJECTED, now + durationMs);
    this.marksAt = now + durationMs / 2;
  }

  /** Disregards the faults up to the middle of the ejection, once that has passed. */
  updateMark(total: number, now: number): void {
    if (now >= this.marksAt) {
      this.markAt(total, now);
    }
  }

  /** Admits a few new flows; only faults from now on count in the trial. */
  startTrial(total: number, now: number): void {
    this.enter(EjectionPhase.TRIAL, now + TRIAL_MS);
    this.markAt(total, now);
  }

  /** Returns the server to normal after its trials. */
  endTrial(now: number): void {
    this.enter(EjectionPhase.RETURNED, now + CLEAN_MS);
  }

  /** Returns the server to normal at once; its faults up to now no longer count. */
  release(total: number, now: number): void {
    this.enter(EjectionPhase.RETURNED, now + CLEAN_MS);
    this.markAt(total, now);
  }

  private enter(phase: EjectionPhase, until: number): void {
    this.currentPhase = phase;
    this.phaseEndsAt = until;
  }

  private markAt(total: number, now: number): void {
    this.mark = EvidenceMark.create(total, now, this.halfLifeMs);
    this.marksAt = Infinity;
  }
}
