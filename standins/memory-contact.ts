/** Attempts to reach the servers of a world in memory. */
import type {Clock} from '../src/ports/clock.js';
import {ContactResult, ServerContact} from '../src/ports/server-contact.js';

/** A round trip to a server, in milliseconds. */
const ROUND_TRIP_MS = 2;
/** Shares of the time at which connections are begun. */
const BEGIN_SHARES: readonly number[] = [0, 0.4, 0.8];

type Server = Parameters<ServerContact['reach']>[0];

/** The contact of one daemon. */
export class MemoryContact extends ServerContact {
  private constructor(
    private readonly clock: Clock,
    private readonly answers: (server: Server) => boolean,
  ) {
    super();
  }

  /** Creates a contact; `answers` says whether a server's host answers. */
  static create(
    clock: Clock,
    answers: (server: Server) => boolean,
  ): MemoryContact {
    return new MemoryContact(clock, answers);
  }

  async reach(server: Server, deadline: number): Promise<ContactResult> {
    const begin = this.clock.now();
    const times = BEGIN_SHARES.map(share => begin + (deadline - begin) * share);
    return this.reachAt(times, server, deadline);
  }

  /** Tries at the first of some times, and then at the others. */
  private async reachAt(
    times: readonly number[],
    server: Server,
    deadline: number,
  ): Promise<ContactResult> {
    const [next, ...later] = times;
    await this.sleepUntil(next ?? deadline);
    if (next === undefined) {
      return ContactResult.SILENT;
    }
    if (!this.answers(server)) {
      return this.reachAt(later, server, deadline);
    }
    await this.sleepUntil(this.clock.now() + ROUND_TRIP_MS);
    return ContactResult.REACHED;
  }

  private sleepUntil(time: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.callAt(time, resolve);
    });
  }
}
