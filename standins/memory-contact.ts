/** In-memory contact port between a daemon and the servers of a simulated platform. */
import type {Clock} from '../src/ports/clock.js';
import {ProbeResult, ServerProber} from '../src/ports/server-prober.js';

const ROUND_TRIP_MS = 2;
/** Fractions of the time to the deadline at which connection attempts start. */
const ATTEMPT_TIME_FRACTIONS: readonly number[] = [0, 0.4, 0.8];

type Server = Parameters<ServerProber['probe']>[0];

/** Contact port of one daemon. */
export class MemoryContact extends ServerProber {
  private constructor(
    private readonly clock: Clock,
    private readonly isResponsive: (server: Server) => boolean,
  ) {
    super();
  }

  /** Creates a contact; `isResponsive` tells whether the host of a server responds. */
  static create(
    clock: Clock,
    isResponsive: (server: Server) => boolean,
  ): MemoryContact {
    return new MemoryContact(clock, isResponsive);
  }

  async probe(server: Server, deadline: number): Promise<ProbeResult> {
    const start = this.clock.now();
    const times = ATTEMPT_TIME_FRACTIONS.map(
      fraction => start + (deadline - start) * fraction,
    );
    return this.tryAtTimes(times, server, deadline);
  }

  /** Attempts contact at each of the times until one succeeds. */
  private async tryAtTimes(
    times: readonly number[],
    server: Server,
    deadline: number,
  ): Promise<ProbeResult> {
    const [next, ...later] = times;
    await this.sleepUntil(next ?? deadline);
    if (next === undefined) {
      return ProbeResult.TIMEOUT;
    }
    if (!this.isResponsive(server)) {
      return this.tryAtTimes(later, server, deadline);
    }
    await this.sleepUntil(this.clock.now() + ROUND_TRIP_MS);
    return ProbeResult.REACHED;
  }

  private sleepUntil(time: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.callAt(time, resolve);
    });
  }
}
