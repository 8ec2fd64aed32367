/**
 * Lookup tables of the staged and the active configuration. New flows are placed
 * by the active one, while other daemons may already place flows by the staged one.
 */
import type {Clock} from '../ports/clock.js';
import {AddressTable} from './address-table.js';
import {destinationKey} from './flow-key.js';
import type {TableBuilder} from './generation-table.js';
import {
  atRevision,
  type RoutedAddress,
  type RoutingRevision,
} from './routed-address.js';
import {ServerMarks} from './server-marks.js';

/** The staged and active tables of one daemon. */
export class RevisionTables {
  private stagedTables = new Map<number, AddressTable>();
  private activeTables = new Map<number, AddressTable>();
  private stagedMarks = ServerMarks.create();
  private activeMarks = ServerMarks.create();
  private stagedConfiguration: RoutingRevision = {revision: 0, addresses: []};
  private activeNumber = 0;

  private constructor(
    private readonly builder: TableBuilder,
    private readonly clock: Clock,
  ) {}

  /** Creates tables without addresses. */
  static create(builder: TableBuilder, clock: Clock): RevisionTables {
    return new RevisionTables(builder, clock);
  }

  /** Size of all lookup tables in bytes. */
  get bytes(): number {
    return this.builder.bytes;
  }

  /** Configuration revision that new flows are placed by. */
  get activeRevision(): number {
    return this.activeNumber;
  }

  /** Newest configuration revision staged. */
  get stagedRevision(): number {
    return this.stagedConfiguration.revision;
  }

  /** Returns a destination's staged table; undefined if the address is not known. */
  stagedTable(address: number, port: number): AddressTable | undefined {
    return this.stagedTables.get(destinationKey(address, port));
  }

  /** Returns a destination's active table; undefined if the address is not known. */
  activeTable(address: number, port: number): AddressTable | undefined {
    return this.activeTables.get(destinationKey(address, port));
  }

  /** Whether the active marks allow new flows at the server. */
  isEligible(server: string): boolean {
    return this.activeMarks.isEligible(server);
  }

  /** Stages a revision and marks; the active revision and marks stay. */
  stage(revision: RoutingRevision, marks: ServerMarks): void {
    this.stagedConfiguration = revision;
    this.stagedMarks = marks.copy();
    this.rebuild();
  }

  /** Activates a revision and marks. */
  activate(revision: number, marks: ServerMarks): void {
    this.activeNumber = revision;
    this.activeMarks = marks.copy();
    this.rebuild();
  }

  /** Rebuilds the tables without the generations whose flows have expired. */
  rebuild(): void {
    const {addresses} = this.stagedConfiguration;
    this.stagedTables = this.buildTables(addresses, this.stagedMarks);
    const active = addresses.map(routed =>
      atRevision(routed, this.activeNumber),
    );
    this.activeTables = this.buildTables(active, this.activeMarks);
    const inUse = [
      ...this.stagedTables.values(),
      ...this.activeTables.values(),
    ];
    this.builder.retain(inUse.flatMap(table => table.generations));
  }

  private buildTables(
    addresses: readonly RoutedAddress[],
    marks: ServerMarks,
  ): Map<number, AddressTable> {
    const wall = this.clock.wall();
    return new Map(
      addresses.map(routed => [
        destinationKey(routed.address, routed.port),
        AddressTable.create(routed, this.builder, marks, wall),
      ]),
    );
  }
}
