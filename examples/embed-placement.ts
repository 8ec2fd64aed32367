/**
 * Embeds two coordination parts: a lookup table that every process computes
 * alike, and a budget that keeps repeated tries to a share of the first ones.
 */
import {
  RetryBudget,
  XxhashHasher,
  createMaglevTable,
  entryCountFor,
} from '../src/index.js';

/** What the example finds out. */
export interface ExampleResult {
  /** The server of each key. */
  readonly servers: readonly string[];
  /** Repeats that the budget allowed for 100 first tries. */
  readonly repeats: number;
}

/** Runs the example. */
export async function embedParts(
  keys: readonly string[],
): Promise<ExampleResult> {
  const hasher = await XxhashHasher.create();
  const servers = ['10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80'].map(id => ({
    id,
    weight: 1,
  }));
  const entries = entryCountFor(servers.length);
  const table = createMaglevTable(servers, entries, hasher);
  const budget = RetryBudget.create(0.1, 1);
  const repeats = Array.from({length: 100}).filter(() => {
    budget.earn();
    return budget.spend();
  }).length;
  return {
    servers: keys.map(
      key => servers[table[hasher.hashText(key, 0) % entries]].id,
    ),
    repeats,
  };
}
