/**
 * Open flows a server, summed over all daemons.
 *
 * Each daemon counts the opens and closes that it handled and publishes the
 * net counts; a flow may open at one daemon and close at another, so only the
 * sum over daemons means anything. Counts of daemons that are gone are kept.
 */
import type {LoadVector} from '../generated/packet.js';
import type {Hasher} from '../ports/hasher.js';
import {ServerHashes} from './server-hashes.js';

/** Vectors kept; the oldest are added into one when there are more. */
const MAXIMUM_VECTORS = 64;
const FOLDED_MEMBER = 'folded';

interface PublishedVector {
  readonly version: number;
  readonly counts: ReadonlyMap<number, number>;
}

/** The counts of this daemon and what the others published. */
export class OpenFlowCounts {
  private readonly own = new Map<number, number>();
  /** Changes since the last publication. */
  private readonly unpublished = new Map<number, number>();
  private readonly others = new Map<string, PublishedVector>();
  private readonly sums = new Map<number, number>();
  private version = 0;

  private constructor(
    private readonly member: string,
    private readonly hashes: ServerHashes,
  ) {}

  /** Creates an empty ledger; `member` is unique to this run of the daemon. */
  static create(member: string, hasher: Hasher): OpenFlowCounts {
    return new OpenFlowCounts(member, ServerHashes.create(hasher));
  }

  /** Counts a flow opened (+1) or closed (-1) at a server. */
  count(server: string, change: number): void {
    const hash = this.hashes.of(server);
    addTo(this.own, hash, change);
    addTo(this.unpublished, hash, change);
    addTo(this.sums, hash, change);
  }

  /**
   * Estimated open flows at a server. What this daemon did since its last
   * publication is taken to be done by each of the `members` alike, which
   * keeps daemons that see the same counts from all choosing the same server.
   */
  estimate(server: string, members: number): number {
    const hash = this.hashes.of(server);
    const unpublished = this.unpublished.get(hash) ?? 0;
    return (this.sums.get(hash) ?? 0) + unpublished * (members - 1);
  }

  /** Opens less closes that this daemon handled. */
  ownCount(server: string): number {
    return this.own.get(this.hashes.of(server)) ?? 0;
  }

  /** The vector to publish now. */
  publish(): LoadVector {
    this.version += 1;
    this.unpublished.clear();
    return this.vector();
  }

  /** All vectors known, for a daemon that joins. */
  vectors(): LoadVector[] {
    return [
      this.vector(),
      ...[...this.others].map(([member, published]) => ({
        member,
        version: published.version,
        counts: toCounts(published.counts),
      })),
    ];
  }

  /** Takes a vector that another daemon published, if it is newer. */
  receive(vector: LoadVector): void {
    const known = this.others.get(vector.member);
    const outdated = known !== undefined && known.version >= vector.version;
    if (vector.member === this.member || outdated) {
      return;
    }
    known?.counts.forEach((flows, server) => addTo(this.sums, server, -flows));
    const counts = new Map(
      vector.counts.map(({server, flows}) => [server, flows]),
    );
    counts.forEach((flows, server) => addTo(this.sums, server, flows));
    this.others.delete(vector.member);
    this.others.set(vector.member, {version: vector.version, counts});
    this.fold();
  }

  private vector(): LoadVector {
    return {
      member: this.member,
      version: this.version,
      counts: toCounts(this.own),
    };
  }

  /** Adds the vector that was quiet for longest into the folded one. */
  private fold(): void {
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
