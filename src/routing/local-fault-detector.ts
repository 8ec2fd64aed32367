/**
 * Tells faults of this daemon's own link, processor or network from faults of servers. When
 * most of the servers in use leave packets of several callers unanswered within a second,
 * the cause is common to them: this daemon. Used by `ServerSelector` and `CookieRouter`.
 */
import type {CatalogServer} from '../catalog/records.js';
import type {Clock, Timer} from '../ports/clock.js';
import type {CookiePacket} from '../ports/cookie-fabric.js';
import {Metric, type Counters} from '../ports/counters.js';
import type {Log} from '../ports/log.js';
import {COUNT_WINDOW_MS} from './windowed-count.js';

/** Time in which unanswered packets are compared with the servers in use. */
const WINDOW_MS = COUNT_WINDOW_MS;
/** Fewer servers than this may all be at fault at once. */
const MIN_SERVERS = 6;
/** Time for which a busy link may delay answers: callers then repeat openings. */
const LINK_DELAY_MS = 200;
/**
 * Share of its packets that an affected server leaves unanswered: several times the loss of
 * a network at work, at which single repeats are common to all servers.
 */
const MIN_UNANSWERED_SHARE = 0.2;
/** Share of the servers in use that must be exceeded by the affected ones. */
const MIN_SERVER_SHARE = 2 / 3;
/**
 * Affected servers above that share that prove nothing among up to `MAX_FEW_SERVERS`: one
 * may be affected by chance, or be missing in the servers in use.
 */
const SPARE_SERVERS = 1;
const MAX_FEW_SERVERS = 30;
/** Share of the servers of a service that may be at fault themselves. */
const MAX_SERVER_FAULT_SHARE = 0.4;
/**
 * Margin above that share for a sample of the servers, per square root of its size: 3.7
 * standard deviations, exceeded by chance in one of 10,000 samples.
 */
const SAMPLING_MARGIN = 1.8;
/** Maximum share of the affected servers whose last packets came from a single caller. */
const MAX_CALLER_SHARE = 0.5;
/** Minimum time between two evaluations, which visit all servers. */
const EVALUATION_INTERVAL_MS = 25;
/** Share of the affected servers that must ignore openings, and that must ignore data. */
const MIN_KIND_SHARE = 0.25;
/** Share of the affected servers up to which answers of some tell nothing about load. */
const MAX_ANSWERING_SHARE = 0.25;

/** The packets that a server left unanswered; times are monotonic milliseconds. */
interface UnansweredPackets {
  /** IPv4 address of the last caller as an unsigned number. */
  caller: number;
  /** When a caller last repeated an opening packet to it; -Infinity: never. */
  openingAt: number;
  /** When a caller last repeated data to it; -Infinity: never. */
  dataAt: number;
  /** When it left packets unanswered within the window, ascending. */
  readonly times: number[];
}

/** The fields of a repeated packet that a detector needs. */
export type RepeatedPacket = Pick<CookiePacket, 'sourceAddress' | 'opens'>;

/** Dependencies and callbacks of a `LocalFaultDetector`. */
export interface LocalFaultDetectorOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  /** Returns the servers that may be in use. */
  allServers(): readonly CatalogServer[];
  /** Whether a server has requests of this daemon or answered one at or after `time`. */
  isInUse(server: string, time: number): boolean;
  /** Monotonic milliseconds at which a server last answered a caller here. */
  lastAnsweredAt(server: string): number;
  /** Estimates the answers of a server to callers here in the second before `time`. */
  countAnswers(server: string, time: number): number;
  /** Monotonic milliseconds at which any server last answered a caller here. */
  newestAnswerAt(): number;
  /** Whether packets waited for this instance's link at or after `time`. */
  wasLinkBusySince(time: number): boolean;
  /** Called when a fault begins; servers were blamed for it since `time`. */
  onFault(time: number): void;
}

/** Decides whether unanswered packets are this daemon's own fault. */
export class LocalFaultDetector {
  /** By server id. */
  private readonly unanswered = new Map<string, UnansweredPackets>();
  private nextEvaluationAt = -Infinity;
  /** When the fault ends unless it is found again; monotonic milliseconds. */
  private faultUntil = -Infinity;
  private isFaulty = false;
  private isStopped = false;
  private endTimer: Timer | undefined;

  private constructor(private readonly options: LocalFaultDetectorOptions) {}

  /** Creates a detector that has seen no unanswered packet. */
  static create(options: LocalFaultDetectorOptions): LocalFaultDetector {
    return new LocalFaultDetector(options);
  }

  /** Cancels the timer, and finds no further fault. */
  stop(): void {
    this.isStopped = true;
    this.endTimer?.cancel();
  }

  /** Whether a local fault holds now. */
  get isActive(): boolean {
    return this.options.clock.now() < this.faultUntil;
  }

  /** Whether answers may be late because of this daemon. */
  get delaysAnswers(): boolean {
    const {clock, wasLinkBusySince} = this.options;
    return this.isActive || wasLinkBusySince(clock.now() - LINK_DELAY_MS);
  }

  /**
   * Records that a server left a packet of a caller unanswered. Returns whether the server
   * is to blame.
   */
  recordUnanswered(
    {id}: CatalogServer,
    {sourceAddress, opens}: RepeatedPacket,
  ): boolean {
    const now = this.options.clock.now();
    const known = this.unanswered.get(id);
    const times = known?.times ?? [];
    times.push(now);
    removeBefore(times, now - WINDOW_MS);
    this.unanswered.set(id, {
      times,
      caller: sourceAddress,
      openingAt: opens ? now : (known?.openingAt ?? -Infinity),
      dataAt: opens ? (known?.dataAt ?? -Infinity) : now,
    });
    if (this.unanswered.size >= MIN_SERVERS && now >= this.nextEvaluationAt) {
      this.nextEvaluationAt = now + EVALUATION_INTERVAL_MS;
      this.evaluate(now);
    }
    if (this.isActive) {
      this.options.counters.add(Metric.LOCAL_UNANSWERED);
    }
    return !this.isActive;
  }

  /**
   * Whether an opening packet that went to a server at `sentAt`, and is repeated now, should
   * go there again: it may have been lost through this daemon, and the server answers, or
   * none does. A busy link explains only the loss of the first of its copies.
   */
  shouldStay(
    {id}: CatalogServer,
    sentAt: number,
    isFirstRepeat: boolean,
  ): boolean {
    const {wasLinkBusySince} = this.options;
    const isOwnFault =
      this.isActive || (isFirstRepeat && wasLinkBusySince(sentAt));
    return isOwnFault && !this.isSilentBesideOthers(id);
  }

  /**
   * Whether new flows should avoid a server during a local fault, which may be dead all the
   * same: it left packets unanswered and did not answer within a second, but others did.
   */
  shouldAvoid({id}: CatalogServer): boolean {
    const {clock} = this.options;
    const known = this.unanswered.get(id);
    return (
      this.isActive &&
      known !== undefined &&
      lastAt(known) >= clock.now() - WINDOW_MS &&
      this.isSilentBesideOthers(id)
    );
  }

  /** Whether a server answered nothing within a second in which others did. */
  private isSilentBesideOthers(id: string): boolean {
    const {clock, lastAnsweredAt, newestAnswerAt} = this.options;
    const since = clock.now() - WINDOW_MS;
    return lastAnsweredAt(id) < since && newestAnswerAt() >= since;
  }

  private evaluate(now: number): void {
    this.removeOlderThan(now - WINDOW_MS);
    if (this.isStopped || !this.isCommonCause(now)) {
      return;
    }
    this.faultUntil = now + WINDOW_MS;
    if (!this.isFaulty) {
      this.begin(now);
    }
  }

  private removeOlderThan(time: number): void {
    [...this.unanswered]
      .filter(([, packets]) => lastAt(packets) < time)
      .forEach(([server]) => this.unanswered.delete(server));
    this.unanswered.forEach(({times}) => removeBefore(times, time));
  }

  /** Whether servers, services and callers are affected alike. */
  private isCommonCause(now: number): boolean {
    const {unanswered} = this;
    const since = now - WINDOW_MS;
    const servers = this.options.allServers();
    const inUse = servers.filter(
      ({id}) => unanswered.has(id) || this.options.isInUse(id, since),
    );
    const affected = inUse.filter(({id}) => this.isAffected(id, now));
    const spare = servers.length <= MAX_FEW_SERVERS ? SPARE_SERVERS : 0;
    const minAffected = minAffectedServers(inUse.length, servers.length);
    return (
      affected.length > inUse.length * MIN_SERVER_SHARE + spare &&
      affected.length >= minAffected &&
      areMostServicesAffected(inUse, affected) &&
      this.isUnlikeLoad(affected, since) &&
      this.largestCallerShare(affected) <= MAX_CALLER_SHARE
    );
  }

  /** Whether a server left enough of its packets of the last second unanswered. */
  private isAffected(id: string, now: number): boolean {
    const count = this.unanswered.get(id)?.times.length ?? 0;
    const answers = this.options.countAnswers(id, now);
    return count > 0 && count >= (count + answers) * MIN_UNANSWERED_SHARE;
  }

  /**
   * Whether the servers are neither full nor slow. Full ones ignore openings and acknowledge
   * data, slow ones the other way round, and both answer other packets.
   */
  private isUnlikeLoad(
    affected: readonly CatalogServer[],
    since: number,
  ): boolean {
    const minPerKind = affected.length * MIN_KIND_SHARE;
    const known = affected.map(({id}) => this.unanswered.get(id));
    const openings = known.filter(each => (each?.openingAt ?? 0) >= since);
    const data = known.filter(each => (each?.dataAt ?? 0) >= since);
    const answering = affected.filter(
      ({id}) => this.options.lastAnsweredAt(id) >= since,
    );
    return (
      answering.length <= affected.length * MAX_ANSWERING_SHARE ||
      Math.min(openings.length, data.length) >= minPerKind
    );
  }

  /** Returns the share of the servers whose last unanswered packet is of one caller. */
  private largestCallerShare(affected: readonly CatalogServer[]): number {
    const counts = countBy(
      affected.map(({id}) => this.unanswered.get(id)?.caller),
    );
    return Math.max(...counts.values()) / affected.length;
  }

  private begin(now: number): void {
    const {counters, log} = this.options;
    this.isFaulty = true;
    counters.add(Metric.LOCAL_FAULTS);
    log.warn('local-fault', {servers: this.unanswered.size});
    this.options.onFault(now - WINDOW_MS);
    this.awaitEnd();
  }

  private awaitEnd(): void {
    const {clock, log} = this.options;
    this.endTimer = clock.callAt(this.faultUntil, () => {
      if (this.isActive) {
        this.awaitEnd();
        return;
      }
      this.isFaulty = false;
      log.warn('local-fault-over');
    });
  }
}

/** Removes the leading times before `limit`; the last one is not before it. */
function removeBefore(times: number[], limit: number): void {
  times.splice(
    0,
    times.findIndex(time => time >= limit),
  );
}

/** Returns when a server last left a packet unanswered. */
function lastAt({openingAt, dataAt}: UnansweredPackets): number {
  return Math.max(openingAt, dataAt);
}

/** Returns how many of the servers in use servers' own faults cannot account for. */
function minAffectedServers(inUse: number, all: number): number {
  const unsampledShare = (all - inUse) / Math.max(1, all - 1);
  const margin = SAMPLING_MARGIN * Math.sqrt(inUse * unsampledShare);
  return Math.max(MIN_SERVERS, inUse * MAX_SERVER_FAULT_SHARE + margin);
}

/** Whether at least half of the servers are affected in more than half of the services. */
function areMostServicesAffected(
  inUse: readonly CatalogServer[],
  affected: readonly CatalogServer[],
): boolean {
  const inUseCounts = countBy(inUse.map(({service}) => service));
  const affectedCounts = countBy(affected.map(({service}) => service));
  const affectedServices = [...inUseCounts].filter(
    ([service, count]) => (affectedCounts.get(service) ?? 0) * 2 >= count,
  );
  return affectedServices.length * 2 > inUseCounts.size;
}

function countBy<T>(keys: readonly T[]): Map<T, number> {
  const counts = new Map<T, number>();
  keys.forEach(key => counts.set(key, (counts.get(key) ?? 0) + 1));
  return counts;
}
