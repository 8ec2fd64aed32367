/**
 * Unfinished requests at backend servers, as the packets of callers show them:
 * this daemon's own counts and what its peers told of theirs. Also which servers
 * answer: an opening packet that has to be sent again is a sign against one.
 */
import type {ServerWork} from '../generated/catalog.js';
import type {Hasher} from '../ports/hasher.js';
import {ServerHashes} from './server-hashes.js';

/** Time for which what a peer told counts: three beats, in milliseconds. */
const TOLD_LIFETIME_MS = 1_500;
/**
 * Time for which a server that left a packet unanswered gets no new flows, in
 * milliseconds. It doubles with each time that it was tried again in vain.
 */
const FIRST_AVOIDANCE_MS = 800;
/** Longest such time, in milliseconds. */
const LONGEST_AVOIDANCE_MS = 6_400;
/**
 * Times the usual time to answer an opening after which a server that has not
 * answered is taken to have refused it: refusals go to the caller alone.
 */
const PATIENCE = 4;
/** Shortest such wait, in milliseconds: twice a round trip to far callers. */
const SHORTEST_PATIENCE_MS = 25;
/** Usual time to answer an opening before one was seen, in milliseconds. */
const FIRST_ANSWER_MS = 10;
/** Share of the newest answer in the usual time. */
const ANSWER_SHARE = 0.1;
/** Servers told of in one beat. */
const TOLD_SERVERS = 40;

/** What this daemon saw of one server. */
interface ServerSight {
  unfinished: number;
  /** Times that it was avoided since it last answered. */
  avoidances: number;
  /** Monotonic milliseconds until which it gets no new flows. */
  avoidUntil: number;
  /** When the oldest opening without an answer was sent; Infinity: none. */
  openingSince: number;
  /** When it last answered; monotonic milliseconds. */
  answeredAt: number;
}

/** What one peer told of one server. */
interface ToldWork {
  readonly unfinished: number;
  readonly silent: boolean;
}

/** All that one peer told last. */
interface ToldVector {
  readonly work: Map<number, ToldWork>;
  /** Monotonic milliseconds after which it says nothing any more. */
  readonly validUntil: number;
}

/** Work and silence of the servers that one daemon sends to. */
export class ServerLoadTracker {
  private readonly sights = new Map<number, ServerSight>();
  private readonly told = new Map<number, ToldVector>();
  /** Smoothed time from an opening to the caller's next packet, in milliseconds. */
  private usualAnswerMs = FIRST_ANSWER_MS;

  private constructor(private readonly hashes: ServerHashes) {}

  /** Creates an empty ledger. */
  static create(hasher: Hasher): ServerLoadTracker {
    return new ServerLoadTracker(ServerHashes.create(hasher));
  }

  /** Counts a request begun (+1) or answered (-1) at a server. */
  count(server: string, change: number): void {
    const sight = this.sightOf(server);
    sight.unfinished = Math.max(0, sight.unfinished + change);
  }

  /** Notes that an opening was sent to a server. */
  noteOpening(server: string, now: number): void {
    const sight = this.sightOf(server);
    sight.openingSince = Math.min(sight.openingSince, now);
  }

  /** Notes that a server answered the opening sent at `sentAt`. */
  noteOpened(server: string, sentAt: number, now: number): void {
    this.usualAnswerMs += (now - sentAt - this.usualAnswerMs) * ANSWER_SHARE;
    this.noteAnswered(server, now);
  }

  /** Notes that a server answered a packet. */
  noteAnswered(server: string, now: number): void {
    const sight = this.sightOf(server);
    sight.answeredAt = now;
    sight.openingSince = Infinity;
    sight.avoidances = 0;
    sight.avoidUntil = -Infinity;
  }

  /**
   * Notes that a packet had to be sent again; true if the server is avoided
   * from now on. Further signs of the same silence change nothing.
   */
  noteUnanswered(server: string, now: number): boolean {
    const sight = this.sightOf(server);
    if (sight.avoidUntil > now) {
      return false;
    }
    sight.openingSince = Infinity;
    const doubled = FIRST_AVOIDANCE_MS * 2 ** sight.avoidances;
    sight.avoidances += 1;
    sight.avoidUntil = now + Math.min(doubled, LONGEST_AVOIDANCE_MS);
    return true;
  }

  /** Whether an opening was left without an answer for longer than is usual. */
  hasRefused(server: string, now: number): boolean {
    const sight = this.sights.get(this.hashes.of(server));
    const patience = Math.max(
      SHORTEST_PATIENCE_MS,
      this.usualAnswerMs * PATIENCE,
    );
    return sight !== undefined && now - sight.openingSince > patience;
  }

  /** Unfinished requests at a server, over all daemons that told theirs. */
  countInFlight(server: string, now: number): number {
    const hash = this.hashes.of(server);
    const told = [...this.told.values()]
      .filter(({validUntil}) => validUntil > now)
      .reduce((sum, {work}) => sum + (work.get(hash)?.unfinished ?? 0), 0);
    return (this.sights.get(hash)?.unfinished ?? 0) + told;
  }

  /** When a server last answered a packet of this daemon's; -Infinity: never. */
  answeredAt(server: string): number {
    return this.sights.get(this.hashes.of(server))?.answeredAt ?? -Infinity;
  }

  /** Unfinished requests that this daemon sent. */
  countLocalInFlight(server: string): number {
    return this.sights.get(this.hashes.of(server))?.unfinished ?? 0;
  }

  /** Whether a server is taken to be silent, by this daemon or by a peer. */
  isSilent(server: string, now: number): boolean {
    const hash = this.hashes.of(server);
    const sight = this.sights.get(hash);
    if (sight !== undefined && sight.avoidUntil > now) {
      return true;
    }
    return [...this.told.values()].some(
      ({work, validUntil}) =>
        validUntil > now && work.get(hash)?.silent === true,
    );
  }

  /** What to tell the peers: all work, or silent servers alone. */
  selectLoadToGossip(now: number, onlySilent: boolean): ServerWork[] {
    return [...this.sights]
      .filter(
        ([, {unfinished, avoidUntil}]) =>
          avoidUntil > now || (unfinished > 0 && !onlySilent),
      )
      .slice(0, TOLD_SERVERS)
      .map(([server, {unfinished, avoidUntil}]) => ({
        server,
        unfinished,
        silent: avoidUntil > now,
      }));
  }

  /** Takes what a peer told. */
  receive(peer: number, work: readonly ServerWork[], now: number): void {
    this.told.set(peer, {
      work: new Map(work.map(entry => [entry.server, entry])),
      validUntil: now + TOLD_LIFETIME_MS,
    });
    this.told.forEach(({validUntil}, address) => {
      if (validUntil <= now) {
        this.told.delete(address);
      }
    });
  }

  /** Drops what is known of a server, as told by peers too: it started again. */
  forget(server: string): void {
    const hash = this.hashes.of(server);
    this.sights.delete(hash);
    this.told.forEach(({work}) => work.delete(hash));
  }

  /** Drops what is known of servers other than these. */
  retain(servers: readonly string[]): void {
    const kept = new Set(servers.map(server => this.hashes.of(server)));
    this.sights.forEach((_sight, hash) => {
      if (!kept.has(hash)) {
        this.sights.delete(hash);
      }
    });
    this.hashes.retain(kept);
  }

  private sightOf(server: string): ServerSight {
    const hash = this.hashes.of(server);
    const known = this.sights.get(hash);
    if (known !== undefined) {
      return known;
    }
    const created = {
      unfinished: 0,
      avoidances: 0,
      avoidUntil: -Infinity,
      openingSince: Infinity,
      answeredAt: -Infinity,
    };
    this.sights.set(hash, created);
    return created;
  }
}
