/**
 * Lookup tables of one address over its retained generations.
 *
 * A key's base server is its server in the oldest retained generation; a flow
 * without a flow-table entry is there. A key is tracked when its flow may be at
 * another server, so that its partition's owner has to be asked.
 */
import {eligibleServers, type EligibleServer} from './candidates.js';
import type {FlowKey} from './flow-key.js';
import {
  lookUpServer,
  type GenerationTable,
  type TableBuilder,
} from './generation-table.js';
import {isRetained, type RoutedAddress} from './routed-address.js';
import type {ServerMarks} from './server-marks.js';

/** Granularity at which the flexible share of the keys is selected. */
const FLEXIBLE_SHARE_STEPS = 4_096;

/** What the router knows of one address. */
export class AddressTable {
  private constructor(
    readonly routed: RoutedAddress,
    readonly generations: readonly GenerationTable[],
    /** Directory numbers of base servers whose flows may be at other servers. */
    private readonly displacedServers: ReadonlySet<number>,
    /** Keys whose low half, modulo `FLEXIBLE_SHARE_STEPS`, is lower are flexible. */
    private readonly flexibleSteps: number,
    /** Servers of the newest generation that new flows may be placed at. */
    readonly eligible: readonly EligibleServer[],
  ) {}

  /** Builds the tables of an address at a wall time, with staged or active marks. */
  static create(
    routed: RoutedAddress,
    builder: TableBuilder,
    marks: ServerMarks,
    wallMs: number,
  ): AddressTable {
    const generations = routed.generations
      .filter(generation => isRetained(generation, routed, wallMs))
      .map(generation => builder.build(generation));
    const displaced = generations
      .flatMap(({generation}) => generation.servers)
      .filter(({id}) => marks.mayHaveDisplacedFlows(id, wallMs))
      .map(({id}) => builder.directory.numberOf(id));
    const shares = generations.map(table => table.generation.flexibleShare);
    const flexibleSteps = Math.max(0, ...shares) * FLEXIBLE_SHARE_STEPS;
    return new AddressTable(
      routed,
      generations,
      new Set(displaced),
      flexibleSteps,
      eligibleServers(generations, marks),
    );
  }

  /** The newest generation; at least one has to be retained. */
  get newest(): GenerationTable {
    return this.generations[this.generations.length - 1];
  }

  /** Returns the directory number of the key's base server, or `NO_SERVER`. */
  baseServer(key: FlowKey): number {
    return lookUpServer(this.generations[0], key);
  }

  /** Whether the key has the same server in all retained generations. */
  isSameInAllGenerations(key: FlowKey): boolean {
    const base = this.baseServer(key);
    return this.generations.every(table => lookUpServer(table, key) === base);
  }

  /** Whether a flow of this key may be at a server other than its base server. */
  isTracked(key: FlowKey): boolean {
    return (
      key.low % FLEXIBLE_SHARE_STEPS < this.flexibleSteps ||
      (this.generations.length > 1 && !this.isSameInAllGenerations(key)) ||
      (this.displacedServers.size > 0 &&
        this.displacedServers.has(this.baseServer(key)))
    );
  }
}
