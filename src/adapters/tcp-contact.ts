/**
 * Contact by TCP connections that are closed as soon as they stand. A host that lives
 * answers with one or refuses it within a round trip, also while its server is busy;
 * no request is sent.
 */
import net from 'node:net';
import type {Clock} from '../ports/clock.js';
import {ContactResult, ServerContact} from '../ports/server-contact.js';
import {formatIpv4} from '../routing/ipv4.js';

/**
 * Shares of the time at which connections are begun. One lost packet would cost a
 * connection a second, so others are begun beside it; the last one meets a server that
 * has just come back.
 */
const BEGIN_SHARES: readonly number[] = [0, 0.4, 0.8];

/** Contact from this process. */
export class TcpContact extends ServerContact {
  private constructor(private readonly clock: Clock) {
    super();
  }

  /** Creates the contact; deadlines are of this clock. */
  static create(clock: Clock): TcpContact {
    return new TcpContact(clock);
  }

  async reach(
    {address, port}: {address: number; port: number},
    deadline: number,
  ): Promise<ContactResult> {
    const {clock} = this;
    const begin = clock.now();
    const sockets: net.Socket[] = [];
    const result = await new Promise<ContactResult>(resolve => {
      const connect = () => {
        const socket = net.connect({host: formatIpv4(address), port});
        sockets.push(socket);
        socket.once('connect', () => resolve(ContactResult.REACHED));
        // A refusal comes from a host that lives; any other error proves nothing.
        socket.on('error', () => resolve(ContactResult.REACHED));
      };
      const timers = BEGIN_SHARES.map(share =>
        clock.callAt(begin + (deadline - begin) * share, connect),
      );
      clock.callAt(deadline, () => {
        timers.forEach(timer => timer.cancel());
        resolve(ContactResult.SILENT);
      });
    });
    sockets.forEach(socket => socket.destroy());
    return result;
  }
}
