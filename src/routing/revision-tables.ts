/**
 * The lookup tables of two states of the configuration: what is staged, which
 * flows opened elsewhere may follow, and what is active, by which flows are
 * opened.
 */
import type {Clock} from '../ports/clock.js';
import {AddressTable} from './address-table.js';
import {destinationKey} from './flow-key.js';
import type {TableBuilder} from './generation-table.js';
import {
  upToRevision,
  type RoutedAddress,
  type RoutingRevision,
} from './routed-address.js';
import {ServerMarks} from './server-marks.js';

/** The tables of one daemon. */
export class RevisionTables {
  private stagedTables = new Map<number, AddressTable>();
  private activeTables = new Map<number, AddressTable>();
  private stagedMarks = ServerMarks.create();
  private activeMarks = ServerMarks.create();
  private revision: RoutingRevision = {revision: 0, addresses: []};
  private activeRevision = 0;

  private constructor(
    private readonly builder: TableBuilder,
    private readonly clock: Clock,
  ) {}

  /** Creates tables of no address. */
  static create(builder: TableBuilder, clock: Clock): RevisionTables {
    return new RevisionTables(builder, clock);
  }

  /** Bytes of lookup tables. */
  get bytes(): number {
    return this.builder.bytes;
  }

  /** Revision by which flows are opened. */
  get active(): number {
    return this.activeRevision;
  }

  /** Newest revision known. */
  get staged(): number {
    return this.revision.revision;
  }

  /** The table of a destination by what is staged. */
  stagedTable(address: number, port: number): AddressTable | undefined {
    return this.stagedTables.get(destinationKey(address, port));
  }

  /** The table of a destination by what is active. */
  activeTable(address: number, port: number): AddressTable | undefined {
    return this.activeTables.get(destinationKey(address, port));
  }

  /** Whether no active mark forbids new flows at a server. */
  isEligible(server: string): boolean {
    return this.activeMarks.isEligible(server);
  }

  /** Takes a revision and marks; what is active stays. */
  stage(revision: RoutingRevision, marks: ServerMarks): void {
    this.revision = revision;
    this.stagedMarks = marks.copy();
    this.rebuild();
  }

  /** Makes a revision and marks active. */
  activate(revision: number, marks: ServerMarks): void {
    this.activeRevision = revision;
    this.activeMarks = marks.copy();
    this.rebuild();
  }

  /** Rebuilds the tables, so that generations past their lifetime go. */
  rebuild(): void {
    const {addresses} = this.revision;
    this.stagedTables = this.buildTables(addresses, this.stagedMarks);
    const active = addresses.map(routed =>
      upToRevision(routed, this.activeRevision),
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
