/** Authenticates datagrams between daemons with a truncated HMAC-SHA256. */
import {createHmac, timingSafeEqual} from 'node:crypto';

const MAC_BYTES = 16;

/**
 * Adds and verifies message authentication codes. Without a key it adds none and accepts
 * every datagram.
 */
export class DatagramAuthenticator {
  private constructor(private readonly key: string | undefined) {}

  /** Creates an authenticator; `key` is shared by all daemons. */
  static create(key: string | undefined): DatagramAuthenticator {
    return new DatagramAuthenticator(key);
  }

  /** Returns the datagram, prefixed with its authentication code. */
  sign(bytes: Uint8Array): Uint8Array {
    return this.key === undefined
      ? bytes
      : Buffer.concat([this.computeMac(this.key, bytes), bytes]);
  }

  /**
   * Returns the datagram without its code; undefined when the code does not match or the
   * datagram has no content.
   */
  verify(bytes: Buffer): Buffer | undefined {
    if (this.key === undefined) {
      return bytes;
    }
    if (bytes.length <= MAC_BYTES) {
      return undefined;
    }
    const content = bytes.subarray(MAC_BYTES);
    const expected = this.computeMac(this.key, content);
    return timingSafeEqual(expected, bytes.subarray(0, MAC_BYTES))
      ? content
      : undefined;
  }

  private computeMac(key: string, bytes: Uint8Array): Buffer {
    return createHmac('sha256', key)
      .update(bytes)
      .digest()
      .subarray(0, MAC_BYTES);
  }
}
