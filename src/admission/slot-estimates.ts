/**
 * Estimates of the free slots at a pool's servers, for the dispatcher. Daemons
 * do not see each other's requests, so every slot is assigned to one daemon. A
 * daemon uses its assigned slots at any time and borrows others that it
 * estimates to be free; servers that refuse a request are backed off.
 */
import type {Clock} from '../ports/clock.js';
import type {Hasher} from '../ports/hasher.js';

/** First backoff of borrowing from a server that is full or refused. */
const BORROW_BACKOFF_MS = 40;
/** Maximum number of times that a backoff doubles on repeated refusals. */
const MAX_BACKOFF_DOUBLINGS = 4;
const UNREACHABLE_BACKOFF_MS = 1_000;

/** The state of one server as this daemon estimates it. */
interface ServerEstimate {
  readonly id: string;
  readonly slots: number;
  /** Slots assigned to this daemon. */
  assignedSlots: number;
  /** Requests of this daemon at the server. */
  inFlight: number;
  /** Slots used by other daemons, by the server's last reply. */
  usedByOthers: number;
  /** No request is sent before this; monotonic milliseconds. */
  backoffUntil: number;
  /** No slot is borrowed before this; monotonic milliseconds. */
  borrowBackoffUntil: number;
  /** Consecutive refusals, not counting calls that did not reach the server. */
  refusals: number;
}

/** Options of the estimates. */
export interface SlotEstimatesOptions {
  readonly clock: Clock;
  readonly hasher: Hasher;
  /** This daemon's id. */
  readonly self: string;
}

/** Tracks the slots of one pool's servers, as one daemon estimates them. */
export class SlotEstimates {
  private servers: ServerEstimate[] = [];
  private rotation = 0;

  private constructor(private readonly options: SlotEstimatesOptions) {}

  /** Creates estimates without servers. */
  static create(options: SlotEstimatesOptions): SlotEstimates {
    return new SlotEstimates(options);
  }

  /** Number of slots at all eligible servers. */
  get totalSlots(): number {
    return this.servers.reduce((sum, server) => sum + server.slots, 0);
  }

  /** Number of slots assigned to this daemon. */
  get assignedSlots(): number {
    return this.servers.reduce((sum, server) => sum + server.assignedSlots, 0);
  }

  /** Sets the eligible servers and the daemons that share their slots. */
  setServers(
    servers: readonly {id: string; slots: number}[],
    daemons: readonly string[],
  ): void {
    const previous = new Map(this.servers.map(server => [server.id, server]));
    const assigned = this.assignSlots(servers, daemons);
    this.servers = servers.map(({id, slots}) => {
      const known = previous.get(id);
      return {
        id,
        slots,
        assignedSlots: assigned.get(id) ?? 0,
        inFlight: known?.inFlight ?? 0,
        usedByOthers: known?.usedByOthers ?? 0,
        backoffUntil: known?.backoffUntil ?? 0,
        borrowBackoffUntil: known?.borrowBackoffUntil ?? 0,
        refusals: known?.refusals ?? 0,
      };
    });
  }

  /** Whether there is a server that is not among `excluded`. */
  hasServerOutside(excluded: ReadonlySet<string>): boolean {
    return this.servers.some(({id}) => !excluded.has(id));
  }

  /**
   * Acquires a slot that is estimated to be free and returns its server, or
   * undefined when there is none. Borrowed slots risk a refusal and are used
   * only with `mayBorrow`, or when no slot is assigned to this daemon.
   */
  acquire(
    excluded: ReadonlySet<string>,
    mayBorrow: boolean,
  ): string | undefined {
    const now = this.options.clock.now();
    const available = this.rotateServers().filter(
      server => server.backoffUntil <= now && !excluded.has(server.id),
    );
    const assigned = available.filter(
      server => server.inFlight < server.assignedSlots,
    );
    const canBorrow = mayBorrow || this.assignedSlots === 0;
    const borrowable = available.filter(
      server =>
        canBorrow &&
        server.borrowBackoffUntil <= now &&
        server.inFlight + server.usedByOthers < server.slots,
    );
    const chosen = leastUtilized(assigned) ?? leastUtilized(borrowable);
    if (chosen !== undefined) {
      chosen.inFlight += 1;
    }
    return chosen?.id;
  }

  /**
   * Releases a slot after a request has ended. `busySlots` is the number of
   * other slots in use that the reply reported; undefined without a reply.
   */
  release(server: string, busySlots?: number): void {
    const estimate = this.find(server);
    if (estimate === undefined) {
      return;
    }
    estimate.inFlight = Math.max(0, estimate.inFlight - 1);
    estimate.refusals = 0;
    if (busySlots === undefined) {
      return;
    }
    estimate.usedByOthers = Math.max(0, busySlots - estimate.inFlight);
    const isFull = busySlots + 1 >= estimate.slots;
    if (isFull && estimate.inFlight >= estimate.assignedSlots) {
      estimate.borrowBackoffUntil =
        this.options.clock.now() + BORROW_BACKOFF_MS;
    }
  }

  /**
   * Releases a slot after the server refused the request. Borrowing backs off
   * exponentially; so do assigned slots, starting at `backoffMs`, unless the
   * refused slot was a borrowed one.
   */
  recordRefusal(server: string, backoffMs: number): void {
    const estimate = this.find(server);
    if (estimate === undefined) {
      return;
    }
    const now = this.options.clock.now();
    const wasBorrowed = estimate.inFlight > estimate.assignedSlots;
    estimate.inFlight = Math.max(0, estimate.inFlight - 1);
    estimate.refusals += 1;
    const factor = 2 ** Math.min(estimate.refusals - 1, MAX_BACKOFF_DOUBLINGS);
    estimate.borrowBackoffUntil = now + BORROW_BACKOFF_MS * factor;
    estimate.backoffUntil = wasBorrowed
      ? estimate.backoffUntil
      : now + backoffMs * factor;
    // Otherwise a stale count could keep the server unused after the backoff.
    estimate.usedByOthers = 0;
  }

  /** Releases a slot and backs off after the server could not be reached. */
  recordUnreachable(server: string): void {
    const estimate = this.find(server);
    if (estimate !== undefined) {
      estimate.inFlight = Math.max(0, estimate.inFlight - 1);
      estimate.backoffUntil = this.options.clock.now() + UNREACHABLE_BACKOFF_MS;
    }
  }

  /** Returns when to look for a slot again, in monotonic milliseconds. */
  nextRetryTime(): number {
    const now = this.options.clock.now();
    const times = this.servers
      .flatMap(server => [server.backoffUntil, server.borrowBackoffUntil])
      .filter(time => time > now);
    return Math.min(now + BORROW_BACKOFF_MS, ...times);
  }

  /** Returns the servers, starting one later each time to break ties evenly. */
  private rotateServers(): ServerEstimate[] {
    this.rotation = (this.rotation + 1) % Math.max(1, this.servers.length);
    return [
      ...this.servers.slice(this.rotation),
      ...this.servers.slice(0, this.rotation),
    ];
  }

  private find(server: string): ServerEstimate | undefined {
    return this.servers.find(({id}) => id === server);
  }

  /**
   * Returns this daemon's number of slots per server. All daemons compute the
   * same assignment: slots go to the daemons round-robin, one slot of each
   * server at a time, so that the daemons' totals differ by at most one.
   */
  private assignSlots(
    servers: readonly {id: string; slots: number}[],
    daemons: readonly string[],
  ): Map<string, number> {
    const {hasher, self} = this.options;
    const sorted = [...servers].sort((a, b) => (a.id < b.id ? -1 : 1));
    const seed = hasher.hashText(sorted.map(({id}) => id).join(), 0);
    const ranked = [...daemons].sort(
      (a, b) => hasher.hashText(a, seed) - hasher.hashText(b, seed),
    );
    const position = ranked.indexOf(self);
    const maxSlots = Math.max(0, ...sorted.map(({slots}) => slots));
    const serverOfSlot = Array.from({length: maxSlots}).flatMap((_, slot) =>
      sorted.filter(({slots}) => slot < slots).map(({id}) => id),
    );
    const assigned = new Map<string, number>();
    serverOfSlot
      .filter((_, index) => index % ranked.length === position)
      .forEach(id => assigned.set(id, (assigned.get(id) ?? 0) + 1));
    return assigned;
  }
}

/** Returns the server with the smallest share of its slots in use. */
function leastUtilized(
  servers: readonly ServerEstimate[],
): ServerEstimate | undefined {
  const utilization = (server: ServerEstimate) =>
    (server.inFlight + server.usedByOthers) / server.slots;
  return servers.reduce<ServerEstimate | undefined>(
    (best, server) =>
      best === undefined || utilization(server) < utilization(best)
        ? server
        : best,
    undefined,
  );
}
