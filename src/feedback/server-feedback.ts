/**
 * Performance feedback of one daemon: judges the requests that pass it, pools the evidence
 * against backend servers with its peers, and holds the ratings that result.
 */
import {encodeAge} from '../catalog/catalog-messages.js';
import type {CatalogChange} from '../catalog/catalog.js';
import type {CatalogServer} from '../catalog/records.js';
import type {ServerEvidence} from '../generated/catalog.js';
import type {Clock, Timer} from '../ports/clock.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Hasher} from '../ports/hasher.js';
import type {Log} from '../ports/log.js';
import type {RequestObserver} from '../routing/request-outcome.js';
import {ServerHashes} from '../routing/server-hashes.js';
import {EjectionReports} from './ejection-reports.js';
import {EvidenceExchange} from './evidence-exchange.js';
import {
  EVIDENCE_HALF_LIFE_MS,
  EvidencePool,
  type EvidenceRecord,
} from './evidence-pool.js';
import {EvidenceSpread} from './evidence-spread.js';
import type {FaultVerdict} from './late-verdicts.js';
import {OutcomeClassifier} from './outcome-classifier.js';
import {OutlierRatings} from './outlier-ratings.js';
import {FaultKind, type ServerEvidencePool} from './server-evidence.js';

/** Interval at which due requests are reported: short against targets of callers. */
const REPORT_INTERVAL_MS = 100;
/** Interval at which expired evidence is removed. */
const REMOVAL_INTERVAL_MS = 1_000;

const METRIC_BY_KIND: Readonly<Record<FaultKind, Metric>> = {
  [FaultKind.FAILED]: Metric.EVIDENCE_FAILED,
  [FaultKind.OVERDUE]: Metric.EVIDENCE_OVERDUE,
  [FaultKind.SLOW]: Metric.EVIDENCE_SLOW,
};

/** Dependencies and callbacks of `ServerFeedback`. */
export interface ServerFeedbackOptions {
  /** Address of this daemon. */
  readonly self: number;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly counters: Counters;
  readonly log: Log;
  /** Returns the servers of a service that accept new flows. */
  openServers(service: string, now: number): readonly CatalogServer[];
  /** Lists the servers in the catalog. */
  listServers(): readonly CatalogServer[];
  /** Reports requests that are answered or overdue to the observer. */
  reportDueRequests(): void;
  /** Called when there is new evidence of this daemon to tell. */
  onEvidence(): void;
}

/** Observes requests and exchanges evidence, from `start` until it is stopped. */
export class ServerFeedback extends EvidenceExchange {
  readonly pool: ServerEvidencePool;
  readonly observer: RequestObserver;
  /** Ratings that new flows are placed by. */
  readonly ratings: OutlierRatings;
  private readonly hashes: ServerHashes;
  private readonly evidence: EvidencePool;
  private readonly spread: EvidenceSpread;
  private readonly classifier: OutcomeClassifier;
  private timer: Timer | undefined;
  /** When expired evidence is next removed; monotonic milliseconds. */
  private removesAt = -Infinity;

  private constructor(private readonly options: ServerFeedbackOptions) {
    super();
    this.hashes = ServerHashes.create(options.hasher);
    this.evidence = EvidencePool.create(options.self, this.hashes);
    this.spread = EvidenceSpread.create(this.evidence);
    this.classifier = OutcomeClassifier.create({
      hashes: this.hashes,
      onFault: (verdict, now) => this.recordFault(verdict, now),
      onDropped: count => this.countDropped(count),
    });
    this.pool = this.evidence;
    this.observer = this.classifier;
    this.ratings = OutlierRatings.create({
      pool: this.evidence,
      halfLifeMs: EVIDENCE_HALF_LIFE_MS,
      listener: EjectionReports.create(options),
      openServers: (service, now) => options.openServers(service, now),
    });
  }

  /** Creates an instance without evidence; its timer is idle until started. */
  static create(options: ServerFeedbackOptions): ServerFeedback {
    return new ServerFeedback(options);
  }

  /** Starts reporting due requests; the returned function stops it. */
  start(): () => void {
    this.tick();
    return () => this.timer?.cancel();
  }

  selectEvidenceToGossip(
    receivers: number,
    isLarge: boolean,
    now: number,
  ): ServerEvidence[] {
    const records = this.spread.select(receivers, isLarge, now);
    if (records.length > 0) {
      this.options.counters.add(
        Metric.EVIDENCE_TOLD,
        records.length * receivers,
      );
    }
    return records.map(record => encodeRecord(record, now));
  }

  applyEvidence(
    evidence: readonly ServerEvidence[],
    isLarge: boolean,
    now: number,
  ): boolean {
    const newer = evidence
      .map(message => decodeRecord(message, now))
      .filter(record => this.evidence.merge(record, now));
    // In a small fleet the reporter's own heartbeats reach everybody.
    const relayed = isLarge ? newer : [];
    relayed.forEach(record => this.spread.add(record, now));
    new Set(relayed.map(({server}) => server)).forEach(server =>
      this.tellSummary(server, now),
    );
    return relayed.length > 0;
  }

  /** Tells the sum of the records on a server if it is well above the sum told so far. */
  private tellSummary(server: number, now: number): void {
    const summary = this.evidence.summarize(server, now);
    if (summary !== undefined) {
      this.spread.add(summary, now);
    }
  }

  /** Voids the evidence against servers that restarted or departed. */
  onCatalogChange({restarted, departed}: CatalogChange): void {
    const now = this.options.clock.now();
    [...restarted, ...departed].forEach(({id}) => {
      this.evidence.forget(id, now);
      this.ratings.forget(id);
    });
    if (departed.length > 0) {
      const listed = this.options.listServers();
      this.hashes.retain(new Set(listed.map(({id}) => this.hashes.of(id))));
    }
  }

  /** Refreshes the gauge of ejected servers. */
  updateGauges(): void {
    const {clock, counters} = this.options;
    const ejected = this.ratings.countEjected(clock.now());
    counters.set(Metric.SERVERS_EJECTED, ejected);
  }

  private tick(): void {
    const {clock} = this.options;
    const now = clock.now();
    this.timer = clock.callAt(now + REPORT_INTERVAL_MS, () => this.tick());
    this.options.reportDueRequests();
    this.classifier.releaseVerdicts(now);
    if (this.removesAt <= now) {
      this.removesAt = now + REMOVAL_INTERVAL_MS;
      this.evidence.removeExpired(now);
    }
  }

  private recordFault(verdict: FaultVerdict, now: number): void {
    const {server, kind, startedAt} = verdict;
    const record = this.evidence.add(server, kind, startedAt, now);
    if (record === undefined) {
      this.countDropped(1);
      return;
    }
    this.options.counters.add(METRIC_BY_KIND[kind]);
    if (this.isWorthTelling(server, now)) {
      this.spread.add(record, now);
      this.options.onEvidence();
    }
  }

  /** Whether peers need more evidence: not against a server that is ejected already. */
  private isWorthTelling(server: CatalogServer, now: number): boolean {
    return !this.ratings.ratingOf(server, now).isEjected;
  }

  private countDropped(count: number): void {
    this.options.counters.add(Metric.EVIDENCE_DROPPED, count);
  }
}

function encodeRecord(record: EvidenceRecord, now: number): ServerEvidence {
  const {reporter, server, failed, overdue, slow, at} = record;
  return {reporter, server, failed, overdue, slow, ageMs: encodeAge(at, now)};
}

/** The inverse of `encodeRecord`. */
function decodeRecord(message: ServerEvidence, now: number): EvidenceRecord {
  const {reporter, server, failed, overdue, slow, ageMs} = message;
  return {reporter, server, failed, overdue, slow, at: now - ageMs};
}
