/**
 * The lookup tables of one address over all its retained generations.
 *
 * The base server of a key is its server in the oldest retained generation:
 * a flow without an entry in any flow table is at its base server. A key is
 * tracked when a flow may be elsewhere; the owner of a tracked key is asked.
 */
import type {Hasher} from '../ports/hasher.js';
import {eligibleServers, type EligibleServer} from './candidates.js';
import type {FlowKey} from './flow-key.js';
import {
  createMaglevTable,
  entryCountFor,
  type LookupTable,
} from './lookup-table.js';
import {
  isRetained,
  type AddressGeneration,
  type RoutedAddress,
} from './routed-address.js';
import type {ServerDirectory} from './server-directory.js';
import type {ServerMarks} from './server-marks.js';

/** Number that stands for "no server". */
export const NO_SERVER = -1;

const SHARE_STEPS = 4_096;

/** One generation with its lookup table. */
export interface GenerationTable {
  readonly generation: AddressGeneration;
  /** Directory numbers of the servers, by position in the generation. */
  readonly numbers: readonly number[];
  readonly lookup: LookupTable;
}

/** Builds lookup tables, and shares one among equal sets of servers. */
export class TableBuilder {
  private readonly tables = new Map<string, LookupTable>();

  private constructor(
    private readonly hasher: Hasher,
    readonly directory: ServerDirectory,
  ) {}

  /** Creates a builder with an empty cache. */
  static create(hasher: Hasher, directory: ServerDirectory): TableBuilder {
    return new TableBuilder(hasher, directory);
  }

  /** The table of a generation, from the cache if it was built before. */
  build(generation: AddressGeneration): GenerationTable {
    return {
      generation,
      numbers: generation.servers.map(({id}) => this.directory.numberOf(id)),
      lookup: this.lookupOf(generation),
    };
  }

  /** Drops cached tables other than those in use. */
  retain(inUse: readonly GenerationTable[]): void {
    const keep = new Set(inUse.map(({generation}) => cacheKey(generation)));
    [...this.tables.keys()]
      .filter(key => !keep.has(key))
      .forEach(key => this.tables.delete(key));
  }

  /** Bytes of all cached tables. */
  get bytes(): number {
    return [...this.tables.values()].reduce(
      (sum, table) => sum + table.byteLength,
      0,
    );
  }

  private lookupOf(generation: AddressGeneration): LookupTable {
    const key = cacheKey(generation);
    const known = this.tables.get(key);
    if (known !== undefined) {
      return known;
    }
    const {servers} = generation;
    const built = createMaglevTable(
      servers,
      entryCountFor(servers.length),
      this.hasher,
    );
    this.tables.set(key, built);
    return built;
  }
}

function cacheKey(generation: AddressGeneration): string {
  return generation.servers.map(({id, weight}) => `${id}*${weight}`).join(',');
}

/** All that routing needs to know of one address. */
export class AddressTable {
  private constructor(
    readonly routed: RoutedAddress,
    readonly generations: readonly GenerationTable[],
    /** Servers whose base flows may be elsewhere, by directory number. */
    private readonly disturbed: ReadonlySet<number>,
    /** Keys whose low half is below this, modulo `SHARE_STEPS`, are flexible. */
    private readonly flexibleSteps: number,
    /** Servers of the newest generation that may take new flows. */
    readonly eligible: readonly EligibleServer[],
  ) {}

  /** Builds the tables; `marks` are the newest known, active or not. */
  static create(
    routed: RoutedAddress,
    builder: TableBuilder,
    marks: ServerMarks,
    wallMs: number,
  ): AddressTable {
    const generations = routed.generations
      .filter(generation => isRetained(generation, routed, wallMs))
      .map(generation => builder.build(generation));
    const disturbed = generations
      .flatMap(({generation}) => generation.servers)
      .filter(({id}) => marks.isDisturbed(id, wallMs))
      .map(({id}) => builder.directory.numberOf(id));
    const shares = generations.map(table => table.generation.flexibleShare);
    const flexibleSteps = Math.max(0, ...shares) * SHARE_STEPS;
    return new AddressTable(
      routed,
      generations,
      new Set(disturbed),
      flexibleSteps,
      eligibleServers(generations, marks),
    );
  }

  /** The newest generation. */
  get newest(): GenerationTable {
    return this.generations[this.generations.length - 1];
  }

  /** Directory number of the server of flows without an entry. */
  baseServer(key: FlowKey): number {
    return serverIn(this.generations[0], key);
  }

  /** Whether all retained generations agree on the key's server. */
  isUnchanged(key: FlowKey): boolean {
    const base = this.baseServer(key);
    return this.generations.every(table => serverIn(table, key) === base);
  }

  /** Whether a flow of this key may be at another than its base server. */
  isTracked(key: FlowKey): boolean {
    return (
      key.low % SHARE_STEPS < this.flexibleSteps ||
      (this.generations.length > 1 && !this.isUnchanged(key)) ||
      (this.disturbed.size > 0 && this.disturbed.has(this.baseServer(key)))
    );
  }
}

/** Directory number of a key's server in one generation. */
export function serverIn(table: GenerationTable, key: FlowKey): number {
  return table.numbers.length === 0
    ? NO_SERVER
    : table.numbers[table.lookup[key.high % table.lookup.length]];
}
