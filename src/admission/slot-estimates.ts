/**
 * What one daemon believes of the slots of a pool's servers.
 *
 * The slots are shared with daemons that do not see each other's counts. Each
 * slot is assigned to one daemon; a daemon uses its own slots
 * freely and borrows others that it believes free. A server's refusal is the
 * truth, and a borrower that finds a server full leaves it alone for a while.
 */
import type {Clock} from '../ports/clock.js';
import type {Hasher} from '../ports/hasher.js';

/** Time a refused or full server is left alone, in milliseconds. */
const BORROW_PAUSE_MS = 40;
/** Times that a pause is doubled, at the most, while a server refuses. */
const LONGEST_DOUBLINGS = 4;
/** Time a server that cannot be reached is left alone, in milliseconds. */
const UNREACHABLE_PAUSE_MS = 1_000;

interface ServerBelief {
  readonly id: string;
  readonly slots: number;
  /** Slots assigned to this daemon. */
  ownSlots: number;
  /** Requests of this daemon that the server has. */
  outstanding: number;
  /** Slots that others used at the server's last reply. */
  othersBusy: number;
  /** Until when nothing is sent; monotonic milliseconds. */
  pausedUntil: number;
  /** Until when nothing is borrowed; monotonic milliseconds. */
  borrowPausedUntil: number;
  /** Refusals since the server last started a request. */
  refusals: number;
}

/** What beliefs are made from. */
export interface SlotEstimatesOptions {
  readonly clock: Clock;
  readonly hasher: Hasher;
  /** This daemon's id. */
  readonly self: string;
}

/** Beliefs of one daemon about one pool. */
export class SlotEstimates {
  private servers: ServerBelief[] = [];
  private turn = 0;

  private constructor(private readonly options: SlotEstimatesOptions) {}

  /** Creates beliefs about no server. */
  static create(options: SlotEstimatesOptions): SlotEstimates {
    return new SlotEstimates(options);
  }

  /** Slots of all servers in use. */
  get totalSlots(): number {
    return this.servers.reduce((sum, server) => sum + server.slots, 0);
  }

  /** Slots assigned to this daemon. */
  get ownSlots(): number {
    return this.servers.reduce((sum, server) => sum + server.ownSlots, 0);
  }

  /** Takes the servers that may be used and the daemons that share them. */
  use(
    servers: readonly {id: string; slots: number}[],
    daemons: readonly string[],
  ): void {
    const before = new Map(this.servers.map(server => [server.id, server]));
    const own = this.countOwnSlots(servers, daemons);
    this.servers = servers.map(({id, slots}) => {
      const known = before.get(id);
      return {
        id,
        slots,
        ownSlots: own.get(id) ?? 0,
        outstanding: known?.outstanding ?? 0,
        othersBusy: known?.othersBusy ?? 0,
        pausedUntil: known?.pausedUntil ?? 0,
        borrowPausedUntil: known?.borrowPausedUntil ?? 0,
        refusals: known?.refusals ?? 0,
      };
    });
  }

  /** Whether there is a server that is not excluded. */
  hasOther(excluded: ReadonlySet<string>): boolean {
    return this.servers.some(({id}) => !excluded.has(id));
  }

  /**
   * Takes a slot believed free; undefined when there is none. Borrowing may
   * cost a refusal, so the caller says whether it may.
   */
  take(excluded: ReadonlySet<string>, mayBorrow: boolean): string | undefined {
    const now = this.options.clock.now();
    const open = this.inTurn().filter(
      server => server.pausedUntil <= now && !excluded.has(server.id),
    );
    const own = open.filter(server => server.outstanding < server.ownSlots);
    const borrows = mayBorrow || this.ownSlots === 0;
    const borrowed = open.filter(
      server =>
        borrows &&
        server.borrowPausedUntil <= now &&
        server.outstanding + server.othersBusy < server.slots,
    );
    const chosen = emptiest(own) ?? emptiest(borrowed);
    if (chosen !== undefined) {
      chosen.outstanding += 1;
    }
    return chosen?.id;
  }

  /** Gives a slot back; `busySlots` are those that the reply reported. */
  release(server: string, busySlots?: number): void {
    const belief = this.find(server);
    if (belief === undefined) {
      return;
    }
    belief.outstanding = Math.max(0, belief.outstanding - 1);
    belief.refusals = 0;
    if (busySlots === undefined) {
      return;
    }
    belief.othersBusy = Math.max(0, busySlots - belief.outstanding);
    const full = busySlots + 1 >= belief.slots;
    if (full && belief.outstanding >= belief.ownSlots) {
      belief.borrowPausedUntil = this.options.clock.now() + BORROW_PAUSE_MS;
    }
  }

  /**
   * The server refused a request: no slot was free. An own slot is left alone
   * for `pauseMs`, and for longer when it is refused again.
   */
  refuse(server: string, pauseMs: number): void {
    const belief = this.find(server);
    if (belief === undefined) {
      return;
    }
    const now = this.options.clock.now();
    const borrowed = belief.outstanding > belief.ownSlots;
    belief.outstanding = Math.max(0, belief.outstanding - 1);
    belief.refusals += 1;
    const longer = 2 ** Math.min(belief.refusals - 1, LONGEST_DOUBLINGS);
    belief.borrowPausedUntil = now + BORROW_PAUSE_MS * longer;
    belief.pausedUntil = borrowed ? belief.pausedUntil : now + pauseMs * longer;
    // What others use is forgotten after the pause, so that it is tried again.
    belief.othersBusy = 0;
  }

  /** The server cannot be reached. */
  avoid(server: string): void {
    const belief = this.find(server);
    if (belief !== undefined) {
      belief.outstanding = Math.max(0, belief.outstanding - 1);
      belief.pausedUntil = this.options.clock.now() + UNREACHABLE_PAUSE_MS;
    }
  }

  /** Monotonic milliseconds at which a paused server may be tried again. */
  nextChance(): number {
    const now = this.options.clock.now();
    const times = this.servers
      .flatMap(server => [server.pausedUntil, server.borrowPausedUntil])
      .filter(time => time > now);
    return Math.min(now + BORROW_PAUSE_MS, ...times);
  }

  /** The servers from another one on each time, so that equals take turns. */
  private inTurn(): ServerBelief[] {
    this.turn = (this.turn + 1) % Math.max(1, this.servers.length);
    return [
      ...this.servers.slice(this.turn),
      ...this.servers.slice(0, this.turn),
    ];
  }

  private find(server: string): ServerBelief | undefined {
    return this.servers.find(({id}) => id === server);
  }

  /**
   * Deals the slots out to the daemons in turn, one slot of each server after
   * the other, so that every daemon has nearly as many as any other.
   */
  private countOwnSlots(
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
    const most = Math.max(0, ...sorted.map(({slots}) => slots));
    const dealt = Array.from({length: most}).flatMap((_, slot) =>
      sorted.filter(({slots}) => slot < slots).map(({id}) => id),
    );
    const own = new Map<string, number>();
    dealt
      .filter((_, index) => index % ranked.length === position)
      .forEach(id => own.set(id, (own.get(id) ?? 0) + 1));
    return own;
  }
}

/** The server with the smallest share of its slots in use. */
function emptiest(servers: readonly ServerBelief[]): ServerBelief | undefined {
  const fill = (server: ServerBelief) =>
    (server.outstanding + server.othersBusy) / server.slots;
  return servers.reduce<ServerBelief | undefined>(
    (best, server) =>
      best === undefined || fill(server) < fill(best) ? server : best,
    undefined,
  );
}
