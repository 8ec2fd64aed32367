/**
 * Probes whether a host is reachable by opening TCP connections, without sending a request.
 * A live host accepts or refuses within a round trip, even while its server is busy.
 */
import net from 'node:net';
import type {Clock, Timer} from '../ports/clock.js';
import {ProbeResult, ServerProber} from '../ports/server-prober.js';
import {formatIpv4} from '../routing/ipv4.js';

/**
 * Fractions of the available time at which connection attempts start. Several attempts
 * overlap because a lost SYN is retransmitted only after a second; the last one also
 * reaches a server that has just come back.
 */
const ATTEMPT_START_FRACTIONS: readonly number[] = [0, 0.4, 0.8];

/**
 * Delay of an attempt from which silence is no evidence: the process was too busy to
 * connect in time, or to handle the answer.
 */
const MAX_ATTEMPT_DELAY_MS = 80;

/** Probes servers from this process. */
export class TcpContact extends ServerProber {
  private constructor(private readonly clock: Clock) {
    super();
  }

  /** Creates a prober; deadlines are on this clock. */
  static create(clock: Clock): TcpContact {
    return new TcpContact(clock);
  }

  async probe(
    {address, port}: {address: number; port: number},
    deadline: number,
  ): Promise<ProbeResult> {
    const {clock} = this;
    const begin = clock.now();
    const sockets: net.Socket[] = [];
    const timers: Timer[] = [];
    let isBusy = false;
    const result = await new Promise<ProbeResult>(resolve => {
      const connect = (dueAt: number) => {
        isBusy ||= clock.now() - dueAt > MAX_ATTEMPT_DELAY_MS;
        const socket = net.connect({host: formatIpv4(address), port});
        sockets.push(socket);
        socket.once('connect', () => resolve(ProbeResult.REACHED));
        // A refusal proves that the host is up; other errors are no evidence that it is down.
        socket.on('error', () => resolve(ProbeResult.REACHED));
      };
      const conclude = () =>
        resolve(isBusy ? ProbeResult.REACHED : ProbeResult.TIMEOUT);
      timers.push(
        ...ATTEMPT_START_FRACTIONS.map(
          share => begin + (deadline - begin) * share,
        ).map(dueAt => clock.callAt(dueAt, () => connect(dueAt))),
        // Answers that have arrived are handled after the timers of the same turn.
        clock.callAt(deadline, () => setImmediate(conclude)),
      );
    });
    timers.forEach(timer => timer.cancel());
    sockets.forEach(socket => socket.destroy());
    return result;
  }
}
