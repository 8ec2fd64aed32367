/**
 * Generations of an address with their lookup tables. Equal sets of servers
 * share one table.
 */
import type {Hasher} from '../ports/hasher.js';
import type {FlowKey} from './flow-key.js';
import {
  createMaglevTable,
  entryCountFor,
  type LookupTable,
} from './lookup-table.js';
import type {AddressGeneration} from './routed-address.js';
import type {ServerDirectory} from './server-directory.js';

/** Number that stands for "no server". */
export const NO_SERVER = -1;

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

/** Directory number of a key's server in one generation. */
export function serverIn(table: GenerationTable, key: FlowKey): number {
  return table.numbers.length === 0
    ? NO_SERVER
    : table.numbers[table.lookup[key.high % table.lookup.length]];
}
