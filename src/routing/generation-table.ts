/** Lookup tables of an address's generations, cached by the list of servers. */
import type {Hasher} from '../ports/hasher.js';
import type {FlowKey} from './flow-key.js';
import {
  createMaglevTable,
  entryCountFor,
  type LookupTable,
} from './lookup-table.js';
import type {AddressGeneration} from './routed-address.js';
import type {ServerDirectory} from './server-directory.js';

/** Directory number that stands for the absence of a server. */
export const NO_SERVER = -1;

/** One generation with its lookup table. */
export interface GenerationTable {
  readonly generation: AddressGeneration;
  /** Directory numbers of the servers, in the order of the generation. */
  readonly serverNumbers: readonly number[];
  readonly lookup: LookupTable;
}

/** Builds lookup tables; generations with equal lists of servers share one. */
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

  /** Returns the table of a generation, from the cache if it was built before. */
  build(generation: AddressGeneration): GenerationTable {
    return {
      generation,
      serverNumbers: generation.servers.map(({id}) =>
        this.directory.numberOf(id),
      ),
      lookup: this.getOrBuildLookup(generation),
    };
  }

  /** Evicts cached tables other than those in use. */
  retain(inUse: readonly GenerationTable[]): void {
    const retained = new Set(inUse.map(({generation}) => cacheKey(generation)));
    [...this.tables.keys()]
      .filter(key => !retained.has(key))
      .forEach(key => this.tables.delete(key));
  }

  /** Size of all cached tables in bytes. */
  get bytes(): number {
    return [...this.tables.values()].reduce(
      (sum, table) => sum + table.byteLength,
      0,
    );
  }

  private getOrBuildLookup(generation: AddressGeneration): LookupTable {
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

/** Returns the directory number of a key's server, or `NO_SERVER`. */
export function lookUpServer(table: GenerationTable, key: FlowKey): number {
  return table.serverNumbers.length === 0
    ? NO_SERVER
    : table.serverNumbers[table.lookup[key.high % table.lookup.length]];
}
