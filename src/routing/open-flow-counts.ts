/**
 * Counts open flows per server over all daemons. Each daemon publishes its opens
 * less its closes. A flow may open at one daemon and close at another, so only
 * the sum is a number of open flows, and counts of departed daemons stay in it.
 */
import type {LoadVector} from '../generated/packet.js';
import type {Hasher} from '../ports/hasher.js';
import {ServerHashes} from './server-hashes.js';

/** Limits the vectors of other daemons; beyond it the oldest are merged into one. */
const MAXIMUM_VECTORS = 64;
/** Member name of the merged vector. */
const FOLDED_MEMBER = 'folded';

/** The counts that one daemon published last. */
interface PublishedVector {
  readonly version: number;
  /** Net opens by server hash. */
  readonly counts: ReadonlyMap<number, number>;
}

/** Net opens by server hash, of this daemon and of the others. */
export class OpenFlowCounts {
  private readonly local = new Map<number, number>();
  /** Part of `local` that was counted since the last publication. */
  private readonly unpublished = new Map<number, number>();
  /** By member, the least recently updated first. */
  private readonly others = new Map<string, PublishedVector>();
  private readonly sums = new Map<number, number>();
  private version = 0;

  private constructor(
    private readonly member: string,
    private readonly hashes: ServerHashes,
  ) {}

  /** Creates empty counts; `member` differs between restarts of the daemon. */
  static create(member: string, hasher: Hasher): OpenFlowCounts {
    return new OpenFlowCounts(member, ServerHashes.create(hasher));
  }

  /** Counts flows opened (positive) or closed (negative) at a server. */
  count(server: string, change: number): void {
    const hash = this.hashes.of(server);
    addTo(this.local, hash, change);
    addTo(this.unpublished, hash, change);
    addTo(this.sums, hash, change);
  }

  /**
   * Returns the estimated number of open flows at a server. Assumes that each
   * member has unpublished changes like this daemon's, so that daemons with the
   * same published counts do not all choose the same server.
   */
  estimate(server: string, memberCount: number): number {
    const hash = this.hashes.of(server);
    const unpublished = this.unpublished.get(hash) ?? 0;
    return (this.sums.get(hash) ?? 0) + unpublished * (memberCount - 1);
  }

  /** Returns the opens less the closes that this daemon handled. */
  localCount(server: string): number {
    return this.local.get(this.hashes.of(server)) ?? 0;
  }

  /** Returns this daemon's counts as a new version to send to the others. */
  publish(): LoadVector {
    this.version += 1;
    this.unpublished.clear();
    return this.vector();
  }

  /** Returns all known vectors, for a daemon that joins. */
  listVectors(): LoadVector[] {
    return [
      this.vector(),
      ...[...this.others].map(([member, published]) => ({
        member,
        version: published.version,
        counts: toCounts(published.counts),
      })),
    ];
  }

  /** Replaces another daemon's vector if this one is newer. */
  receive(vector: LoadVector): void {
    const known = this.others.get(vector.member);
    const isOutdated = known !== undefined && known.version >= vector.version;
    if (vector.member === this.member || isOutdated) {
      return;
    }
    known?.counts.forEach((flows, server) => addTo(this.sums, server, -flows));
    const counts = new Map(
      vector.counts.map(({server, flows}) => [server, flows]),
    );
    counts.forEach((flows, server) => addTo(this.sums, server, flows));
    this.others.delete(vector.member);
    this.others.set(vector.member, {version: vector.version, counts});
    this.foldOldest();
  }

  private vector(): LoadVector {
    return {
      member: this.member,
      version: this.version,
      counts: toCounts(this.local),
    };
  }

  /** Merges the least recently updated vector into the folded one at the limit. */
  private foldOldest(): void {
    if (this.others.size <= MAXIMUM_VECTORS) {
      return;
    }
    const folded = this.others.get(FOLDED_MEMBER);
    const oldest = [...this.others].find(
      ([member]) => member !== FOLDED_MEMBER,
    );
    if (oldest === undefined) {
      return;
    }
    const [member, published] = oldest;
    const counts = new Map(folded?.counts ?? []);
    published.counts.forEach((flows, server) => addTo(counts, server, flows));
    this.others.delete(member);
    this.others.set(FOLDED_MEMBER, {
      version: (folded?.version ?? 0) + 1,
      counts,
    });
  }
}

function addTo(counts: Map<number, number>, server: number, by: number): void {
  counts.set(server, (counts.get(server) ?? 0) + by);
}

function toCounts(counts: ReadonlyMap<number, number>): LoadVector['counts'] {
  return [...counts]
    .filter(([, flows]) => flows !== 0)
    .map(([server, flows]) => ({server, flows}));
}
