/**
 * Transfers catalogs between daemons. A daemon that hears of a newer version pulls what
 * it lacks; one that serves many pulls refers further ones to daemons that it served.
 */
import type {Beat, CatalogUpdate} from '../generated/catalog.js';
import type {PeerClocks} from '../membership/peer-clocks.js';
import type {Clock, Timer} from '../ports/clock.js';
import type {FleetChannel, HeldVersions} from '../ports/fleet-channel.js';
import type {Log} from '../ports/log.js';
import {formatIpv4} from '../routing/ipv4.js';
import {applyUpdate, createUpdate} from './catalog-messages.js';
import {awaitCatalogChange} from './catalog-wait.js';
import type {Catalog} from './catalog.js';
import {CatalogTransferLimiter} from './catalog-transfer-limiter.js';

const PULL_TIMEOUT_MS = 900;
/** Time after which an unanswered pull is reported, before it fails. */
const UNANSWERED_PULL_MS = 400;
/** Limits concurrent pulls; the second one covers for a peer that has failed. */
const MAX_CONCURRENT_PULLS = 2;
/** Limits the referrals that one pull follows. */
const MAX_REFERRALS = 6;
/** Limits the wait until the daemon of a referral has the catalog. */
const MAX_REFERRAL_WAIT_MS = 300;
const MIN_RECORD_PULL_INTERVAL_MS = 1_000;
/**
 * Interval between pulls from peers whose list of the same revision has another digest
 * although it holds nothing else: peers of another build may hash it differently. Such a
 * pull also confirms the list, which has to happen within the limit for changes.
 */
const FUTILE_PULL_INTERVAL_MS = 2_000;

/** Dependencies and callbacks of `CatalogExchange`. */
export interface CatalogExchangeOptions {
  /** Address of this daemon. */
  readonly self: number;
  /** Bandwidth of the instance's link, in megabits per second. */
  readonly linkMbps: number;
  readonly catalog: Catalog;
  readonly peerClocks: PeerClocks;
  readonly channel: FleetChannel;
  readonly clock: Clock;
  readonly log: Log;
  /** Returns until when a snapshot from the source is awaited; monotonic milliseconds. */
  snapshotExpectedUntil(): number;
  /** Called after an update from a peer was applied. */
  onApplied(): void;
  /** Called when a peer has not answered a pull in time; the pull goes on. */
  onUnanswered(peer: number): void;
}

/** Pulls catalog updates from peers, and answers their pulls. */
export class CatalogExchange {
  private readonly limiter: CatalogTransferLimiter;
  /** Addresses of the peers that are being pulled from. */
  private readonly activePulls = new Set<number>();
  /** Those of them that have not answered in time; their pulls do not hold up others. */
  private readonly overduePulls = new Set<number>();
  /** Earliest time of the next pull of records; monotonic milliseconds. */
  private nextRecordPullAt = -Infinity;
  /** Digests held and offered when a pull of records last changed nothing. */
  private lastFutileRecordPull:
    readonly [held: number, offered: number] | undefined;
  /** Digests held and offered when a pull of the whole list last changed nothing. */
  private lastFutilePull: readonly [held: number, offered: number] | undefined;
  /** Until when that pull is not repeated; monotonic milliseconds. */
  private futileUntil = -Infinity;

  private constructor(private readonly options: CatalogExchangeOptions) {
    this.limiter = CatalogTransferLimiter.create(options.linkMbps);
  }

  /** Creates an exchange without pulls. */
  static create(options: CatalogExchangeOptions): CatalogExchange {
    return new CatalogExchange(options);
  }

  /** Whether a pull is in progress. */
  get isPulling(): boolean {
    return this.activePulls.size > 0;
  }

  /** Answers a pull with what the asker lacks, or refers it to another daemon. */
  answerPull(held: HeldVersions): CatalogUpdate {
    const {catalog, clock, peerClocks} = this.options;
    const now = clock.now();
    const update = createUpdate(catalog, held, now);
    const sent = peerClocks.stamp();
    const size = {
      routes: update.routes?.routes.length ?? 0,
      servers: update.servers?.servers.length ?? 0,
    };
    const referral = this.limiter.admitOrRefer(held.asker, size, now);
    return referral === undefined
      ? {...update, sent}
      : {routes: undefined, servers: undefined, ...referral, sent};
  }

  /** Whether the sender of a heartbeat holds newer routes or servers. */
  holdsNewer(heartbeat: Beat): boolean {
    const {stamp} = this.options.catalog;
    const newerRoutes = heartbeat.routeVersion > stamp.routeVersion;
    const isFutile =
      this.lastFutilePull?.[0] === stamp.serverDigest &&
      this.lastFutilePull[1] === heartbeat.serverDigest &&
      this.options.clock.now() < this.futileUntil;
    // Equal revisions but other servers: one of the two missed a change. Comparing
    // digests makes both agree on which of them takes the other's whole list.
    const newerServers =
      heartbeat.serverRevision === stamp.serverRevision
        ? heartbeat.serverDigest > stamp.serverDigest && !isFutile
        : heartbeat.serverDigest !== stamp.serverDigest &&
          heartbeat.serverRevision > stamp.serverRevision;
    return newerRoutes || newerServers;
  }

  /** Pulls newer versions from a sender, unless the source delivers them first. */
  async pullNewer(sender: number, heartbeat: Beat): Promise<void> {
    const {catalog} = this.options;
    await this.runPull(sender, async () => {
      await this.awaitSnapshot();
      if (this.holdsNewer(heartbeat)) {
        const {serverRevision, serverDigest: held} = catalog.stamp;
        const pullsAll = heartbeat.serverRevision === serverRevision;
        const listed = await this.pull(sender, pullsAll, MAX_REFERRALS);
        if (pullsAll && listed) {
          this.recordPulledAll(held, heartbeat.serverDigest);
        }
      }
    });
  }

  /** Records a pull of the whole list, by the digests held before and offered. */
  private recordPulledAll(held: number, offered: number): void {
    const {catalog, clock} = this.options;
    if (catalog.stamp.serverDigest === held) {
      this.lastFutilePull = [held, offered];
      this.futileUntil = clock.now() + FUTILE_PULL_INTERVAL_MS;
    }
  }

  /**
   * Pulls records of servers with unreadable entries, if the sender holds the same list
   * of servers but other such records.
   */
  async pullRecords(sender: number, heartbeat: Beat): Promise<void> {
    const {catalog, clock} = this.options;
    const offered = heartbeat.unreadableDigest;
    const held = catalog.unreadableDigest;
    const offersOthers =
      offered !== 0 &&
      offered !== held &&
      heartbeat.serverDigest === catalog.stamp.serverDigest;
    const wasFutile =
      this.lastFutileRecordPull?.[0] === held &&
      this.lastFutileRecordPull[1] === offered;
    const now = clock.now();
    if (offersOthers && !wasFutile && now >= this.nextRecordPullAt) {
      this.nextRecordPullAt = now + MIN_RECORD_PULL_INTERVAL_MS;
      await this.runPull(sender, () => this.requestRecords(sender, offered));
    }
  }

  /** Pulls the whole server list; a referral is not followed. */
  private async requestRecords(sender: number, offered: number): Promise<void> {
    const {catalog, clock} = this.options;
    const before = catalog.unreadableDigest;
    const held = {...this.heldVersions(true), serverDigest: 0};
    const requestedAt = clock.now();
    const update = await this.options.channel.pull(
      sender,
      held,
      requestedAt + PULL_TIMEOUT_MS,
    );
    if (update.isErr() || update.value.other !== 0) {
      return;
    }
    this.apply(sender, update.value, requestedAt);
    if (catalog.unreadableDigest === before) {
      this.lastFutileRecordPull = [before, offered];
    }
  }

  /** Pulls the first catalog from a daemon that is said to have one. */
  async pullFirst(holder: number): Promise<void> {
    await this.runPull(holder, async () => {
      await this.awaitSnapshot();
      if (this.options.catalog.stamp.serverRevision === 0) {
        await this.pull(holder, true, MAX_REFERRALS);
      }
    });
  }

  /** Runs a pull, unless that peer or enough others are being pulled from. */
  private async runPull(
    peer: number,
    pull: () => Promise<void>,
  ): Promise<void> {
    // A first pull transfers the whole catalog; a second one would halve its bandwidth.
    const isFirst = this.options.catalog.stamp.serverRevision === 0;
    const limit = isFirst ? 1 : MAX_CONCURRENT_PULLS;
    const pending = this.activePulls.size - this.overduePulls.size;
    if (this.activePulls.has(peer) || pending >= limit) {
      return;
    }
    this.activePulls.add(peer);
    await pull();
    this.activePulls.delete(peer);
    this.overduePulls.delete(peer);
  }

  /** Waits for the snapshot from the source while it is expected. */
  private async awaitSnapshot(): Promise<void> {
    const {clock, catalog} = this.options;
    const until = this.options.snapshotExpectedUntil();
    if (until > clock.now()) {
      await awaitCatalogChange(catalog, clock, until, () => true);
    }
  }

  /**
   * Pulls from a daemon and follows its referrals; returns whether that daemon itself sent
   * its whole list of the revision held here.
   */
  private async pull(
    holder: number,
    pullsAll: boolean,
    referralsLeft: number,
  ): Promise<boolean> {
    const {channel, clock, log} = this.options;
    const requestedAt = clock.now();
    const overdue = this.reportUnanswered(holder);
    const update = await channel.pull(
      holder,
      this.heldVersions(pullsAll),
      requestedAt + PULL_TIMEOUT_MS,
    );
    overdue?.cancel();
    if (update.isErr()) {
      const cause = update.error.message;
      log.warn('pull-failed', {peer: formatIpv4(holder), cause});
      return false;
    }
    const {other, waitMs} = update.value;
    if (other === 0) {
      this.apply(holder, update.value, requestedAt);
      const {servers} = update.value;
      const {serverRevision} = this.options.catalog.stamp;
      return (
        referralsLeft === MAX_REFERRALS &&
        servers?.whole === true &&
        servers.revision === serverRevision
      );
    }
    if (referralsLeft === 0 || other === this.options.self) {
      return false;
    }
    await this.sleepUntil(clock.now() + Math.min(waitMs, MAX_REFERRAL_WAIT_MS));
    return this.pull(other, pullsAll, referralsLeft - 1);
  }

  /**
   * Schedules the report of a peer that leaves a pull unanswered. A daemon without a catalog
   * reports none: its peers may be busy with many that start.
   */
  private reportUnanswered(peer: number): Timer | undefined {
    const {catalog, clock} = this.options;
    return catalog.isComplete
      ? clock.callAt(clock.now() + UNANSWERED_PULL_MS, () => {
          // The daemon of a referral holds up the pull that led to it.
          if (this.activePulls.has(peer)) {
            this.overduePulls.add(peer);
          }
          this.options.onUnanswered(peer);
        })
      : undefined;
  }

  private sleepUntil(time: number): Promise<void> {
    return new Promise(resolve => {
      this.options.clock.callAt(time, resolve);
    });
  }

  private heldVersions(pullsAll: boolean): HeldVersions {
    const {catalog, self} = this.options;
    const {routeVersion, serverRevision, serverDigest} = catalog.stamp;
    return {
      asker: self,
      routeVersion,
      serverRevision: pullsAll ? 0 : serverRevision,
      serverDigest,
      takesRouteChanges: true,
    };
  }

  /** Applies an update that a peer sent after `requestedAt`, monotonic milliseconds. */
  private apply(
    peer: number,
    update: CatalogUpdate,
    requestedAt: number,
  ): void {
    const {catalog, clock, peerClocks} = this.options;
    const delayMs = peerClocks.measureAnswer(peer, update.sent, requestedAt);
    applyUpdate(catalog, update, clock.now() - delayMs);
    this.options.onApplied();
  }
}
