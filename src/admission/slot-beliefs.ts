/**
 * What one daemon believes of the slots of a pool's servers.
 *
 * The slots are shared with daemons that do not see each other's counts. Each
 * slot is assigned to one daemon by rendezvous; a daemon uses its own slots
 * freely and borrows others that it believes free. A server's refusal is the
 * truth, and a borrower that finds a server full leaves it alone for a while.
 */
import type {Clock} from '../ports/clock.js';
import type {Hasher} from '../ports/hasher.js';

/** Time a refused or full server is left alone, in milliseconds. */
const BORROW_PAUSE_MS = 40;
/** Time a server that refused an own slot is left alone, in milliseconds. */
const OWN_PAUSE_MS = 8;
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
}

/** What beliefs are made from. */
export interface SlotBeliefsOptions {
  readonly clock: Clock;
  readonly hasher: Hasher;
  /** This daemon's id. */
  readonly self: string;
}

/** Beliefs of one daemon about one pool. */
export class SlotBeliefs {
  private servers: ServerBelief[] = [];

  private constructor(private readonly options: SlotBeliefsOptions) {}

  /** Creates beliefs about no server. */
  static create(options: SlotBeliefsOptions): SlotBeliefs {
    return new SlotBeliefs(options);
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
    this.servers = servers.map(({id, slots}) => {
      const known = before.get(id);
      return {
        id,
        slots,
        ownSlots: this.countOwnSlots(id, slots, daemons),
        outstanding: known?.outstanding ?? 0,
        othersBusy: known?.othersBusy ?? 0,
        pausedUntil: known?.pausedUntil ?? 0,
        borrowPausedUntil: known?.borrowPausedUntil ?? 0,
      };
    });
  }

  /** Whether there is a server that is not excluded. */
  hasOther(excluded: ReadonlySet<string>): boolean {
    return this.servers.some(({id}) => !excluded.has(id));
  }

  /** Takes a slot believed free; undefined when there is none. */
  take(excluded: ReadonlySet<string>): string | undefined {
    const now = this.options.clock.now();
    const open = this.servers.filter(
      server => server.pausedUntil <= now && !excluded.has(server.id),
    );
    const own = open.filter(server => server.outstanding < server.ownSlots);
    const borrowed = open.filter(
      server =>
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
    if (busySlots === undefined) {
      return;
    }
    belief.othersBusy = Math.max(0, busySlots - belief.outstanding);
    const full = busySlots + 1 >= belief.slots;
    if (full && belief.outstanding >= belief.ownSlots) {
      belief.borrowPausedUntil = this.options.clock.now() + BORROW_PAUSE_MS;
    }
  }

  /** The server refused a request: no slot was free. */
  refuse(server: string): void {
    const belief = this.find(server);
    if (belief === undefined) {
      return;
    }
    const now = this.options.clock.now();
    const borrowed = belief.outstanding > belief.ownSlots;
    belief.outstanding = Math.max(0, belief.outstanding - 1);
    belief.borrowPausedUntil = now + BORROW_PAUSE_MS;
    belief.pausedUntil = borrowed ? belief.pausedUntil : now + OWN_PAUSE_MS;
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

  private find(server: string): ServerBelief | undefined {
    return this.servers.find(({id}) => id === server);
  }

  private countOwnSlots(
    server: string,
    slots: number,
    daemons: readonly string[],
  ): number {
    const {hasher, self} = this.options;
    const ownerOf = (slot: number) =>
      daemons.reduce(
        (best, id) => {
          const score = hasher.hashText(`${server}/${id}`, slot);
          return score > best.score ? {id, score} : best;
        },
        {id: self, score: -1},
      ).id;
    return Array.from({length: slots}, (_, slot) => ownerOf(slot)).filter(
      owner => owner === self,
    ).length;
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
