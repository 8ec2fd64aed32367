/** Packets of callers for tests. */
import type {CookiePacket} from '../src/ports/cookie-fabric.js';

/** A later packet of one caller without data, but for what `part` says. */
export function createPacket(part: Partial<CookiePacket>): CookiePacket {
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
    openCopy: 0,
    dataLength: 0,
    bytes: new Uint8Array(0),
    ...part,
  };
}
