/**
 * Copies of the catalog between daemons. Who hears of a newer version pulls what it
 * lacks; who gives many copies names others that have one.
 */
import type {Beat, CatalogUpdate} from '../generated/catalog.js';
import type {Clock} from '../ports/clock.js';
import type {FleetChannel, HeldVersions} from '../ports/fleet-channel.js';
import type {Log} from '../ports/log.js';
import {formatIpv4} from '../routing/ipv4.js';
import {applyUpdate, updateFor} from './catalog-messages.js';
import type {Catalog} from './catalog.js';
import {CatalogTransferLimiter} from './catalog-transfer-limiter.js';

/** Deadline of one pull, in milliseconds. */
const PULL_TIMEOUT_MS = 900;
/** Pulls under way at once; a second one covers for a peer that died. */
const MAX_CONCURRENT_PULLS = 2;
/** Daemons that one pull asks one after the other while they name others. */
const MAX_REFERRALS = 6;
/** Longest wait until a daemon that was named has its copy, in milliseconds. */
const MAX_REFERRAL_WAIT_MS = 300;
/** Time between two pulls of records of servers with unreadable entries, in milliseconds. */
const MIN_RECORD_PULL_INTERVAL_MS = 1_000;

/** What an exchange is made from. */
export interface CatalogExchangeOptions {
  /** Address of this daemon. */
  readonly self: number;
  readonly linkMbps: number;
  readonly catalog: Catalog;
  readonly channel: FleetChannel;
  readonly clock: Clock;
  readonly log: Log;
  /** Until when a first copy is expected from the source; monotonic milliseconds. */
  snapshotExpectedUntil(): number;
  /** Told when something newer was taken. */
  onApplied(): void;
}

/** The copies that one daemon gives and takes. */
export class CatalogExchange {
  private readonly limiter: CatalogTransferLimiter;
  /** Addresses of the peers that are being asked. */
  private readonly activePulls = new Set<number>();
  /** When records may be asked for again; monotonic milliseconds. */
  private nextRecordPullAt = -Infinity;
  /** What was held and what was told when nothing was gained by asking for records. */
  private lastFutileRecordPull:
    readonly [held: number, told: number] | undefined;

  private constructor(private readonly options: CatalogExchangeOptions) {
    this.limiter = CatalogTransferLimiter.create(options.linkMbps);
  }

  /** Creates an exchange that asks nobody. */
  static create(options: CatalogExchangeOptions): CatalogExchange {
    return new CatalogExchange(options);
  }

  /** Whether a peer is being asked for its copy. */
  get isPulling(): boolean {
    return this.activePulls.size > 0;
  }

  /** Answers a daemon that holds some versions. */
  answerPull(held: HeldVersions): CatalogUpdate {
    const {catalog, clock} = this.options;
    const now = clock.now();
    const update = updateFor(catalog, held, now);
    const size = {
      routes: update.routes?.routes.length ?? 0,
      servers: update.servers?.servers.length ?? 0,
    };
    const referral = this.limiter.admitOrRefer(held.asker, size, now);
    return referral === undefined
      ? update
      : {routes: undefined, servers: undefined, ...referral};
  }

  /** Whether a daemon that told of itself holds something newer. */
  holdsNewer(beat: Beat): boolean {
    const {stamp} = this.options.catalog;
    const newerRoutes = beat.routeVersion > stamp.routeVersion;
    // Equal revisions with other servers: something was missed by one of the
    // two; the digests decide, alike at both, who takes the other's whole list.
    const newerServers =
      beat.serverRevision === stamp.serverRevision
        ? beat.serverDigest > stamp.serverDigest
        : beat.serverDigest !== stamp.serverDigest &&
          beat.serverRevision > stamp.serverRevision;
    return newerRoutes || newerServers;
  }

  /** Pulls what a beat told of, unless it comes from the source meanwhile. */
  async pullNewer(sender: number, beat: Beat): Promise<void> {
    const {catalog} = this.options;
    await this.runPull(sender, async () => {
      await this.awaitSnapshot();
      if (this.holdsNewer(beat)) {
        const {serverRevision} = catalog.stamp;
        const isWhole = beat.serverRevision === serverRevision;
        await this.pull(sender, isWhole, MAX_REFERRALS);
      }
    });
  }

  /**
   * Pulls records of servers whose entries cannot be read from a daemon that holds the
   * same entries, and other records.
   */
  async pullRecords(sender: number, beat: Beat): Promise<void> {
    const {catalog, clock} = this.options;
    const told = beat.unreadableDigest;
    const held = catalog.unreadableDigest;
    const isOther =
      told !== 0 &&
      told !== held &&
      beat.serverDigest === catalog.stamp.serverDigest;
    const wasInVain =
      this.lastFutileRecordPull?.[0] === held &&
      this.lastFutileRecordPull[1] === told;
    const now = clock.now();
    if (isOther && !wasInVain && now >= this.nextRecordPullAt) {
      this.nextRecordPullAt = now + MIN_RECORD_PULL_INTERVAL_MS;
      await this.runPull(sender, () => this.requestRecords(sender, told));
    }
  }

  /** Asks for everything, as a daemon does that holds nothing; it may be referred on. */
  private async requestRecords(sender: number, told: number): Promise<void> {
    const {catalog, clock} = this.options;
    const before = catalog.unreadableDigest;
    const held = {...this.heldVersions(true), serverDigest: 0};
    const deadline = clock.now() + PULL_TIMEOUT_MS;
    const update = await this.options.channel.pull(sender, held, deadline);
    if (update.isErr() || update.value.other !== 0) {
      return;
    }
    this.apply(update.value);
    if (catalog.unreadableDigest === before) {
      this.lastFutileRecordPull = [before, told];
    }
  }

  /** Pulls a first copy from a daemon that is said to have one. */
  async pullFirst(giver: number): Promise<void> {
    await this.runPull(giver, async () => {
      await this.awaitSnapshot();
      if (this.options.catalog.stamp.serverRevision === 0) {
        await this.pull(giver, true, MAX_REFERRALS);
      }
    });
  }

  /** Runs one pull, unless enough of them run. */
  private async runPull(
    peer: number,
    pull: () => Promise<void>,
  ): Promise<void> {
    // A first copy is long, and a second one beside it takes its share of the link.
    const isFirst = this.options.catalog.stamp.serverRevision === 0;
    const limit = isFirst ? 1 : MAX_CONCURRENT_PULLS;
    if (this.activePulls.has(peer) || this.activePulls.size >= limit) {
      return;
    }
    this.activePulls.add(peer);
    await pull();
    this.activePulls.delete(peer);
  }

  /** Waits while a first copy is expected from the source. */
  private async awaitSnapshot(): Promise<void> {
    const {clock, catalog} = this.options;
    const until = this.options.snapshotExpectedUntil();
    if (until > clock.now()) {
      await new Promise<void>(resolve => {
        clock.callAt(until, resolve);
        catalog.onChange(() => resolve());
      });
    }
  }

  /** Asks a daemon, and those that it names in its place. */
  private async pull(
    giver: number,
    isWhole: boolean,
    hops: number,
  ): Promise<void> {
    const {channel, clock, log} = this.options;
    const deadline = clock.now() + PULL_TIMEOUT_MS;
    const update = await channel.pull(
      giver,
      this.heldVersions(isWhole),
      deadline,
    );
    if (update.isErr()) {
      const cause = update.error.message;
      log.warn('pull-failed', {peer: formatIpv4(giver), cause});
      return;
    }
    const {other, waitMs} = update.value;
    if (other === 0) {
      this.apply(update.value);
    } else if (hops > 0 && other !== this.options.self) {
      await this.sleepUntil(
        clock.now() + Math.min(waitMs, MAX_REFERRAL_WAIT_MS),
      );
      await this.pull(other, isWhole, hops - 1);
    }
  }

  private sleepUntil(time: number): Promise<void> {
    return new Promise(resolve => {
      this.options.clock.callAt(time, resolve);
    });
  }

  private heldVersions(isWhole: boolean): HeldVersions {
    const {catalog, self} = this.options;
    const {routeVersion, serverRevision, serverDigest} = catalog.stamp;
    return {
      asker: self,
      routeVersion,
      serverRevision: isWhole ? 0 : serverRevision,
      serverDigest,
    };
  }

  private apply(update: CatalogUpdate): void {
    const {catalog, clock} = this.options;
    applyUpdate(catalog, update, clock.now());
    this.options.onApplied();
  }
}
