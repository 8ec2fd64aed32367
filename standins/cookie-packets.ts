/** Creates caller packets for tests. */
import type {CookiePacket} from '../src/ports/cookie-fabric.js';

/** Creates a packet without data on an open flow; `fields` overrides its properties. */
export function createPacket(fields: Partial<CookiePacket>): CookiePacket {
  return {
    sourceAddress: 1,
    sourcePort: 1_000,
    destinationAddress: 0xc6120001,
    destinationPort: 443,
    opens: false,
    closes: false,
    resets: false,
    cookie: 0,
    sequence: 0,
    acknowledged: 0,
    openAttempt: 0,
    dataLength: 0,
    bytes: new Uint8Array(0),
    ...fields,
  };
}
