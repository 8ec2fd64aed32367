/**
 * The lookup tables of one address over all its retained generations.
 *
 * The base server of a key is its server in the oldest retained generation:
 * a flow without an entry in any flow table is at its base server. A key is
 * tracked when a flow may be elsewhere; the owner of a tracked key is asked.
 */
import {eligibleServers, type EligibleServer} from './candidates.js';
import type {FlowKey} from './flow-key.js';
import {
  serverIn,
  type GenerationTable,
  type TableBuilder,
} from './generation-table.js';
import {isRetained, type RoutedAddress} from './routed-address.js';
import type {ServerMarks} from './server-marks.js';

/** Parts that the low halves of keys are divided into, to take a share of them. */
const SHARE_STEPS = 4_096;

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
