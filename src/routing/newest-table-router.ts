/**
 * A stateless router, the baseline for comparisons. It uses one lookup table over
 * the servers that are eligible now and keeps no flow state.
 */
import type {PacketHeader} from '../generated/packet.js';
import type {Hasher} from '../ports/hasher.js';
import {DecisionKind, DropReason, type Decision} from './decision.js';
import {FlowKeyHasher, destinationKey} from './flow-key.js';
import {
  createMaglevTable,
  entryCountFor,
  type LookupTable,
} from './lookup-table.js';
import {
  newestGeneration,
  type RoutedServer,
  type RoutingRevision,
} from './routed-address.js';
import type {ServerMarks} from './server-marks.js';

/** The eligible servers of one address and their lookup table. */
interface NewestTable {
  readonly servers: readonly RoutedServer[];
  readonly lookup: LookupTable;
}

/** Routes each packet by the newest table alone. */
export class NewestTableRouter {
  private tables = new Map<number, NewestTable>();
  private readonly keys: FlowKeyHasher;

  private constructor(private readonly hasher: Hasher) {
    this.keys = FlowKeyHasher.create(hasher);
  }

  /** Creates a router without addresses. */
  static create(hasher: Hasher): NewestTableRouter {
    return new NewestTableRouter(hasher);
  }

  /** Applies a revision and marks immediately. */
  stage(revision: RoutingRevision, marks: ServerMarks): void {
    this.tables = new Map(
      revision.addresses.map(routed => {
        const servers = newestGeneration(routed).servers.filter(({id}) =>
          marks.isEligible(id),
        );
        const entries = entryCountFor(servers.length);
        const lookup = createMaglevTable(servers, entries, this.hasher);
        const key = destinationKey(routed.address, routed.port);
        return [key, {servers, lookup}] as const;
      }),
    );
  }

  /** Returns the decision for a packet. */
  route(packet: PacketHeader): Decision {
    const table = this.tables.get(
      destinationKey(packet.destinationAddress, packet.destinationPort),
    );
    if (table === undefined) {
      return {kind: DecisionKind.DROP, reason: DropReason.UNKNOWN_ADDRESS};
    }
    const {high} = this.keys.compute(packet);
    const server = table.servers[table.lookup[high % table.lookup.length]];
    return server === undefined
      ? {kind: DecisionKind.DROP, reason: DropReason.NO_SERVER}
      : {kind: DecisionKind.FORWARD, server: server.id};
  }
}
