/**
 * Rates the servers of one service: ejects outliers up to a bound, tries them again later,
 * and lowers the weights of slow ones. Used by `OutlierRatings`.
 */
import type {CatalogServer} from '../catalog/records.js';
import {Ejection, EjectionPhase, type OutlierFinding} from './ejection.js';
import {
  outlierThreshold,
  slowWeight,
  trialThreshold,
  usualCount,
} from './outlier-detector.js';
import type {ServerEvidencePool} from './server-evidence.js';
import {ServerExposure} from './server-exposure.js';
import {NEUTRAL_RATING, type ServerRating} from './server-ratings.js';

/**
 * Largest share of a service that is held, which means ejected or in trial, at a time:
 * the others get half as many requests more.
 */
const MAX_HELD_SHARE = 0.35;
/** Weight of a server in trial. */
const TRIAL_WEIGHT = 0.2;
/** How many times the faults of a held server a further outlier needs to replace it. */
const REPLACEMENT_FACTOR = 2;

/** Notified of ejections; times are monotonic milliseconds. */
export interface EjectionListener {
  /** Called when a server gets no new flows any more, also after a failed trial. */
  onEjected(ejection: Ejection, now: number): void;
  /** Called when a server gets new flows like any other again. */
  onReturned(ejection: Ejection, now: number): void;
}

/** Dependencies of a `ServiceRater`. */
export interface ServiceRaterOptions {
  readonly pool: ServerEvidencePool;
  /** Time in which the counts of the pool halve, in milliseconds. */
  readonly halfLifeMs: number;
  readonly listener: EjectionListener;
}

/** A server with a rating other than the neutral one. */
export interface RatedServer {
  readonly server: CatalogServer;
  readonly rating: ServerRating;
  /** Its current or past ejection; undefined: none of late. */
  readonly ejection: Ejection | undefined;
}

/** The evidence on one server. */
interface Evidence {
  readonly server: CatalogServer;
  /** Decayed count of failed and overdue requests. */
  readonly total: number;
  /** The part of `total` that counts, which is all unless it was ejected of late. */
  readonly faults: number;
  readonly slow: number;
}

/** The counts that are usual for the service. */
interface UsualCounts {
  readonly faults: number;
  readonly slow: number;
}

/** The ejections and weights of one service, as one daemon decides them. */
export class ServiceRater {
  private readonly ejections = new Map<string, Ejection>();
  private rated = new Map<string, RatedServer>();

  private readonly exposure: ServerExposure;

  private constructor(private readonly options: ServiceRaterOptions) {
    this.exposure = ServerExposure.create(options.halfLifeMs);
  }

  /** Creates a rater to which all servers are typical. */
  static create(options: ServiceRaterOptions): ServiceRater {
    return new ServiceRater(options);
  }

  /** Returns the rating of a server as of the last evaluation. */
  ratingOf(server: CatalogServer): ServerRating {
    const rated = this.rated.get(server.id);
    return rated !== undefined && rated.server.startTime === server.startTime
      ? rated.rating
      : NEUTRAL_RATING;
  }

  /** Whether no server had another rating than the neutral one at the last evaluation. */
  get isNeutral(): boolean {
    return this.rated.size === 0;
  }

  /** Lists the servers whose rating is not neutral as of the last evaluation. */
  list(): RatedServer[] {
    return [...this.rated.values()];
  }

  /** Voids the ejection and the rating of a server. */
  forget(id: string): void {
    this.ejections.delete(id);
    this.rated.delete(id);
  }

  /** Rates the open servers of the service; `now` is monotonic milliseconds. */
  evaluate(servers: readonly CatalogServer[], now: number): void {
    this.removeVoid(servers, now);
    this.exposure.record(servers, now);
    const evidence = servers.map(server => this.readEvidence(server, now));
    if (this.ejections.size === 0 && evidence.every(hasNone)) {
      this.rated.clear();
      return;
    }
    const usual = this.findUsual(evidence, now);
    evidence.forEach(each => this.advance(each, usual.faults, now));
    this.ejectOutliers(evidence, usual.faults, now);
    this.rated = new Map(
      evidence
        .map(each => this.rate(each, usual.slow))
        .filter(({rating}) => rating !== NEUTRAL_RATING)
        .map(each => [each.server.id, each]),
    );
  }

  /**
   * Removes ejections of former incarnations, and those of servers without any for long.
   * Those of servers that are not open now are kept until their phase ends.
   */
  private removeVoid(servers: readonly CatalogServer[], now: number): void {
    if (this.ejections.size === 0) {
      return;
    }
    const open = new Map(servers.map(server => [server.id, server]));
    this.ejections.forEach((ejection, id) => {
      const server = open.get(id);
      const isRestarted = server !== undefined && !ejection.isOf(server);
      const hasExpired =
        ejection.until <= now && (server === undefined || !ejection.isHeld);
      if (isRestarted || hasExpired) {
        this.ejections.delete(id);
      }
    });
  }

  private readEvidence(server: CatalogServer, now: number): Evidence {
    const {failed, overdue, slow} = this.options.pool.countFaults(server, now);
    const total = failed + overdue;
    const ejection = this.ejections.get(server.id);
    if (ejection?.phase === EjectionPhase.EJECTED) {
      ejection.updateMark(total, now);
    }
    const faults = ejection?.countNewFaults(total, now) ?? total;
    return {server, total, faults, slow};
  }

  /**
   * Returns the usual counts of the servers that get new flows as usual and have done so
   * for some time; of all that get them as usual if most were added of late.
   */
  private findUsual(evidence: readonly Evidence[], now: number): UsualCounts {
    const typical = evidence.filter(({server}) => !this.isHeld(server));
    const settled = typical.filter(({server}) =>
      this.exposure.isSettled(server, now),
    );
    const compared = settled.length * 2 >= typical.length ? settled : typical;
    return {
      faults: usualCount(compared.map(({faults}) => faults)),
      slow: usualCount(compared.map(({slow}) => slow)),
    };
  }

  /** Moves a held server to its next phase if that is due. */
  private advance(evidence: Evidence, usual: number, now: number): void {
    const ejection = this.ejections.get(evidence.server.id);
    if (ejection?.phase === EjectionPhase.EJECTED) {
      this.advanceEjected(ejection, evidence, usual, now);
    } else if (ejection?.phase === EjectionPhase.TRIAL) {
      this.advanceTrial(ejection, evidence, usual, now);
    }
  }

  /** Starts the trials, unless flows that stayed show that the server still fails. */
  private advanceEjected(
    ejection: Ejection,
    {faults, total}: Evidence,
    usual: number,
    now: number,
  ): void {
    if (now < ejection.until) {
      return;
    }
    if (faults >= outlierThreshold(usual)) {
      ejection.prolong(now);
    } else {
      ejection.startTrial(total, now);
    }
  }

  /** Ejects a server that fails in its trials, and returns one that passed them. */
  private advanceTrial(
    ejection: Ejection,
    {faults}: Evidence,
    usual: number,
    now: number,
  ): void {
    const {listener} = this.options;
    if (faults >= trialThreshold(usual)) {
      ejection.repeat({faults, usual}, now);
      listener.onEjected(ejection, now);
    } else if (now >= ejection.until) {
      ejection.endTrial(now);
      listener.onReturned(ejection, now);
    }
  }

  /** Ejects outliers; if the bound does not allow for all, the worst ones are held. */
  private ejectOutliers(
    evidence: readonly Evidence[],
    usual: number,
    now: number,
  ): void {
    const threshold = outlierThreshold(usual);
    const considered = evidence
      .filter(({server, faults}) => this.isHeld(server) || faults >= threshold)
      .sort((a, b) => this.severityOf(b) - this.severityOf(a));
    const limit = Math.floor(evidence.length * MAX_HELD_SHARE);
    considered
      .slice(limit)
      .filter(({server}) => this.isHeld(server))
      .forEach(each => this.release(each, now));
    considered
      .slice(0, limit)
      .filter(({server}) => !this.isHeld(server))
      .forEach(({server, faults}) => this.eject(server, {faults, usual}, now));
  }

  /** Returns the faults by which outliers are ranked; held ones keep their place longer. */
  private severityOf({server, faults}: Evidence): number {
    const ejection = this.ejections.get(server.id);
    return ejection?.isHeld === true
      ? ejection.finding.faults * REPLACEMENT_FACTOR
      : faults;
  }

  private eject(
    server: CatalogServer,
    finding: OutlierFinding,
    now: number,
  ): void {
    const {halfLifeMs, listener} = this.options;
    const former = this.ejections.get(server.id);
    former?.repeat(finding, now);
    const ejection =
      former ?? Ejection.create(server, finding, halfLifeMs, now);
    this.ejections.set(server.id, ejection);
    listener.onEjected(ejection, now);
  }

  private release({server, total}: Evidence, now: number): void {
    const ejection = this.ejections.get(server.id);
    if (ejection !== undefined) {
      ejection.release(total, now);
      this.options.listener.onReturned(ejection, now);
    }
  }

  private isHeld({id}: CatalogServer): boolean {
    return this.ejections.get(id)?.isHeld === true;
  }

  private rate({server, slow}: Evidence, usualSlow: number): RatedServer {
    const ejection = this.ejections.get(server.id);
    const weight = Math.min(
      slowWeight(slow, usualSlow),
      ejection?.phase === EjectionPhase.TRIAL ? TRIAL_WEIGHT : 1,
    );
    const isEjected = ejection?.phase === EjectionPhase.EJECTED;
    const rating =
      weight === 1 && !isEjected ? NEUTRAL_RATING : {weight, isEjected};
    return {server, rating, ejection};
  }
}

function hasNone({total, slow}: Evidence): boolean {
  return total === 0 && slow === 0;
}
