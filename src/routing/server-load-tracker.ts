/**
 * Tracks the load and responsiveness of backend servers: requests in flight from this
 * daemon and, by gossip, from its peers; and servers that left packets unanswered, which
 * get no new flows until a backoff has passed. Used by `CookieRouter`.
 */
import type {ServerWork} from '../generated/catalog.js';
import type {Hasher} from '../ports/hasher.js';
import {ServerHashes} from './server-hashes.js';

/** Time for which a load report of a peer counts: three heartbeats. */
const PEER_LOAD_LIFETIME_MS = 1_500;
/**
 * Time without new flows after a server left a packet unanswered. Doubles each time until
 * the server answers.
 */
const INITIAL_BACKOFF_MS = 800;
const MAX_BACKOFF_MS = 6_400;
/**
 * Multiple of the average time to answer an opening packet at which an answer is overdue.
 * Answers bypass the daemon, which infers them from the caller's next packet. After a
 * refusal there is none, so the opening stays unanswered.
 */
const OVERDUE_FACTOR = 4;
/** Minimum time until an answer is overdue: two round trips to distant callers. */
const MIN_OVERDUE_MS = 25;
/** Initial value of the moving average of the time to answer an opening packet. */
const INITIAL_OPENING_ANSWER_MS = 10;
/** Weight of the newest sample in the moving average. */
const OPENING_ANSWER_EWMA_WEIGHT = 0.1;
/** Maximum number of servers reported in one heartbeat. */
const MAX_GOSSIPED_SERVERS = 40;

/** What this daemon observed of one server; times are monotonic milliseconds. */
interface ServerObservation {
  /** Requests of this daemon that were not answered yet. */
  inFlight: number;
  /** Backoffs since it last answered. */
  backoffCount: number;
  /** When it may get new flows again. */
  backoffUntil: number;
  /** When the oldest unanswered opening packet was sent; Infinity: none. */
  openingSentAt: number;
  /** Whether that packet was recorded as unanswered although the server is in backoff. */
  isOverdueRecorded: boolean;
  /** When it last answered; -Infinity: never. */
  answeredAt: number;
}

/** Load of one server as a peer reported it. */
interface PeerServerLoad {
  /** Requests in flight from the peer. */
  readonly unfinished: number;
  /** Whether the server is in backoff at the peer. */
  readonly silent: boolean;
}

/** The newest load report of one peer, by server hash. */
interface PeerLoadReport {
  readonly loads: Map<number, PeerServerLoad>;
  /** When the report expires; monotonic milliseconds. */
  readonly validUntil: number;
}

/** Load and responsiveness of the servers that one daemon sends to. */
export class ServerLoadTracker {
  private readonly observed = new Map<number, ServerObservation>();
  private readonly peerReports = new Map<number, PeerLoadReport>();
  /** Moving average of the time from an opening packet to the caller's next packet. */
  private averageOpeningAnswerMs = INITIAL_OPENING_ANSWER_MS;

  private constructor(private readonly hashes: ServerHashes) {}

  /** Creates a tracker without observations or reports. */
  static create(hasher: Hasher): ServerLoadTracker {
    return new ServerLoadTracker(ServerHashes.create(hasher));
  }

  /** Adjusts the requests in flight at a server: +1 for a new one, -1 for a finished one. */
  adjustInFlight(server: string, change: number): void {
    const state = this.observationOf(server);
    state.inFlight = Math.max(0, state.inFlight + change);
  }

  /** Records that an opening packet was sent to a server. */
  recordOpening(server: string, now: number): void {
    const state = this.observationOf(server);
    state.openingSentAt = Math.min(state.openingSentAt, now);
  }

  /** Records that a server answered the opening packet sent at `sentAt`. */
  recordOpeningAnswered(server: string, sentAt: number, now: number): void {
    this.averageOpeningAnswerMs +=
      (now - sentAt - this.averageOpeningAnswerMs) * OPENING_ANSWER_EWMA_WEIGHT;
    this.recordAnswered(server, now);
  }

  /** Records that a server answered a packet; ends its backoff. */
  recordAnswered(server: string, now: number): void {
    const state = this.observationOf(server);
    state.answeredAt = now;
    state.openingSentAt = Infinity;
    state.isOverdueRecorded = false;
    state.backoffCount = 0;
    state.backoffUntil = -Infinity;
  }

  /**
   * Records that a server left a packet unanswered. Starts a backoff and returns true, or
   * returns false if one is in progress.
   */
  recordUnanswered(server: string, now: number): boolean {
    const state = this.observationOf(server);
    if (state.backoffUntil > now) {
      state.isOverdueRecorded ||= this.isOverdue(state, now);
      return false;
    }
    state.openingSentAt = Infinity;
    state.isOverdueRecorded = false;
    const backoffMs = INITIAL_BACKOFF_MS * 2 ** state.backoffCount;
    state.backoffCount += 1;
    state.backoffUntil = now + Math.min(backoffMs, MAX_BACKOFF_MS);
    return true;
  }

  /** Whether the answer to an opening packet is overdue and was not recorded as such. */
  hasOverdueOpening(server: string, now: number): boolean {
    const state = this.observed.get(this.hashes.of(server));
    if (state === undefined || !this.isOverdue(state, now)) {
      return false;
    }
    return !state.isOverdueRecorded || state.backoffUntil <= now;
  }

  private isOverdue({openingSentAt}: ServerObservation, now: number): boolean {
    const overdueAfterMs = Math.max(
      MIN_OVERDUE_MS,
      this.averageOpeningAnswerMs * OVERDUE_FACTOR,
    );
    return now - openingSentAt > overdueAfterMs;
  }

  /** Returns the requests in flight at a server from this daemon and its peers. */
  countInFlight(server: string, now: number): number {
    const hash = this.hashes.of(server);
    const peerInFlight = [...this.peerReports.values()]
      .filter(({validUntil}) => validUntil > now)
      .reduce((sum, {loads}) => sum + (loads.get(hash)?.unfinished ?? 0), 0);
    return (this.observed.get(hash)?.inFlight ?? 0) + peerInFlight;
  }

  /** Returns when a server last answered a packet of this daemon; -Infinity: never. */
  lastAnsweredAt(server: string): number {
    return this.observed.get(this.hashes.of(server))?.answeredAt ?? -Infinity;
  }

  /** Returns the requests in flight at a server from this daemon alone. */
  countLocalInFlight(server: string): number {
    return this.observed.get(this.hashes.of(server))?.inFlight ?? 0;
  }

  /** Whether a server is in backoff, at this daemon or at a reporting peer. */
  isUnresponsive(server: string, now: number): boolean {
    const hash = this.hashes.of(server);
    const state = this.observed.get(hash);
    if (state !== undefined && state.backoffUntil > now) {
      return true;
    }
    return [...this.peerReports.values()].some(
      ({loads, validUntil}) =>
        validUntil > now && loads.get(hash)?.silent === true,
    );
  }

  /**
   * Returns the load report for the peers: servers in backoff and, unless
   * `onlyUnresponsive`, servers with requests in flight.
   */
  selectLoadToGossip(now: number, onlyUnresponsive: boolean): ServerWork[] {
    return [...this.observed]
      .filter(
        ([, {inFlight, backoffUntil}]) =>
          backoffUntil > now || (inFlight > 0 && !onlyUnresponsive),
      )
      .slice(0, MAX_GOSSIPED_SERVERS)
      .map(([server, {inFlight, backoffUntil}]) => ({
        server,
        unfinished: inFlight,
        silent: backoffUntil > now,
      }));
  }

  /** Replaces the load report of the peer with this address, and removes expired reports. */
  applyPeerLoad(peer: number, work: readonly ServerWork[], now: number): void {
    this.peerReports.set(peer, {
      loads: new Map(work.map(entry => [entry.server, entry])),
      validUntil: now + PEER_LOAD_LIFETIME_MS,
    });
    this.peerReports.forEach(({validUntil}, address) => {
      if (validUntil <= now) {
        this.peerReports.delete(address);
      }
    });
  }

  /** Discards observations and reports of a server that restarted. */
  forget(server: string): void {
    const hash = this.hashes.of(server);
    this.observed.delete(hash);
    this.peerReports.forEach(({loads}) => loads.delete(hash));
  }

  /** Discards the observations of servers that are not listed. */
  retain(servers: readonly string[]): void {
    const listed = new Set(servers.map(server => this.hashes.of(server)));
    this.observed.forEach((_observation, hash) => {
      if (!listed.has(hash)) {
        this.observed.delete(hash);
      }
    });
    this.hashes.retain(listed);
  }

  private observationOf(server: string): ServerObservation {
    const hash = this.hashes.of(server);
    const known = this.observed.get(hash);
    if (known !== undefined) {
      return known;
    }
    const created = {
      inFlight: 0,
      backoffCount: 0,
      backoffUntil: -Infinity,
      openingSentAt: Infinity,
      isOverdueRecorded: false,
      answeredAt: -Infinity,
    };
    this.observed.set(hash, created);
    return created;
  }
}
