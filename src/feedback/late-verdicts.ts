/**
 * Holds verdicts on late answers until it is known whether this daemon is at fault itself.
 * While most of the servers that it hears of are late at once, the cause is its own link,
 * processor or network partition, and its verdicts are dropped.
 */
import type {CatalogServer} from '../catalog/records.js';
import type {FaultKind} from './server-evidence.js';

/** Length of one period; servers are compared over two consecutive ones. */
const PERIOD_MS = 500;
/** Late servers below which the daemon is not at fault: too few to tell. */
const MIN_LATE_SERVERS = 3;
/** Limit of verdicts held; more are dropped. */
const MAX_HELD = 512;

/** A verdict on one request. */
export interface FaultVerdict {
  readonly server: CatalogServer;
  readonly kind: FaultKind;
  /** When the request started; monotonic milliseconds. */
  readonly startedAt: number;
}

interface HeldVerdict {
  readonly verdict: FaultVerdict;
  readonly period: number;
}

/** The verdicts held by one daemon. */
export class LateVerdicts {
  /** Servers heard of by period; true: the server also answered in time. */
  private readonly periods = new Map<number, Map<number, boolean>>();
  private held: HeldVerdict[] = [];

  private constructor() {}

  /** Creates an instance that holds no verdicts. */
  static create(): LateVerdicts {
    return new LateVerdicts();
  }

  /** Records whether an answer of a server, by its hash, was late. */
  recordAnswer(server: number, isLate: boolean, now: number): void {
    const period = periodOf(now);
    const servers = this.periods.get(period) ?? new Map<number, boolean>();
    this.periods.set(period, servers);
    servers.set(server, !isLate || servers.get(server) === true);
  }

  /** Holds a verdict; returns false if there is no room. */
  hold(verdict: FaultVerdict, now: number): boolean {
    const hasRoom = this.held.length < MAX_HELD;
    if (hasRoom) {
      this.held.push({verdict, period: periodOf(now)});
    }
    return hasRoom;
  }

  /**
   * Removes the verdicts that can be decided: after the period that follows theirs.
   * Returns those that stand, and the number of dropped ones.
   */
  release(now: number): {standing: FaultVerdict[]; dropped: number} {
    const current = periodOf(now);
    const due = this.held.filter(({period}) => period + 1 < current);
    if (due.length > 0) {
      this.held = this.held.filter(({period}) => period + 1 >= current);
    }
    const standing = due
      .filter(({period}) => !this.isLocalFault(period))
      .map(({verdict}) => verdict);
    this.removeOldPeriods(current);
    return {standing, dropped: due.length - standing.length};
  }

  /** Whether most servers were late in a period and the one before or after it. */
  private isLocalFault(period: number): boolean {
    return (
      this.areMostLate(period - 1, period) ||
      this.areMostLate(period, period + 1)
    );
  }

  private areMostLate(first: number, second: number): boolean {
    const servers = new Map(this.periods.get(first));
    this.periods
      .get(second)
      ?.forEach((isTimely, server) =>
        servers.set(server, isTimely || servers.get(server) === true),
      );
    const late = [...servers.values()].filter(isTimely => !isTimely).length;
    return late >= MIN_LATE_SERVERS && late * 2 > servers.size;
  }

  /** Keeps the periods that held verdicts may still be compared with. */
  private removeOldPeriods(current: number): void {
    this.periods.forEach((_servers, period) => {
      if (period + 2 < current) {
        this.periods.delete(period);
      }
    });
  }
}

function periodOf(now: number): number {
  return Math.floor(now / PERIOD_MS);
}
