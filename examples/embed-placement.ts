/**
 * Example of using the library: a Maglev table that every process computes
 * identically, and a retry budget.
 */
import {
  RetryBudget,
  XxhashHasher,
  createMaglevTable,
  entryCountFor,
} from '../src/index.js';

/** Result of the example. */
export interface ExampleResult {
  /** Server id for each key, in the order of the keys. */
  readonly servers: readonly string[];
  /** Retries that the budget allowed for 100 first attempts. */
  readonly retries: number;
}

/** Selects a server for each key and spends a retry budget of 10%. */
export async function runExample(
  keys: readonly string[],
): Promise<ExampleResult> {
  const hasher = await XxhashHasher.create();
  const servers = ['10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80'].map(id => ({
    id,
    weight: 1,
  }));
  const tableSize = entryCountFor(servers.length);
  const table = createMaglevTable(servers, tableSize, hasher);
  const budget = RetryBudget.create(0.1, 1);
  const retries = Array.from({length: 100}).filter(() => {
    budget.earn();
    return budget.spend();
  }).length;
  return {
    servers: keys.map(
      key => servers[table[hasher.hashText(key, 0) % tableSize]].id,
    ),
    retries,
  };
}
