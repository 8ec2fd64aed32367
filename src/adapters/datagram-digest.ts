/** A keyed digest on datagrams between daemons. */
import {createHmac, timingSafeEqual} from 'node:crypto';

const DIGEST_BYTES = 16;

/** Adds and checks digests; without a key it does neither. */
export class DatagramDigest {
  private constructor(private readonly key: string | undefined) {}

  /** Creates the digest of a shared key. */
  static create(key: string | undefined): DatagramDigest {
    return new DatagramDigest(key);
  }

  /** The datagram with its digest in front. */
  seal(bytes: Uint8Array): Uint8Array {
    return this.key === undefined
      ? bytes
      : Buffer.concat([this.digestOf(this.key, bytes), bytes]);
  }

  /** The datagram without its digest; undefined when the digest is wrong. */
  open(bytes: Buffer): Buffer | undefined {
    if (this.key === undefined) {
      return bytes;
    }
    if (bytes.length <= DIGEST_BYTES) {
      return undefined;
    }
    const content = bytes.subarray(DIGEST_BYTES);
    const expected = this.digestOf(this.key, content);
    return timingSafeEqual(expected, bytes.subarray(0, DIGEST_BYTES))
      ? content
      : undefined;
  }

  private digestOf(key: string, bytes: Uint8Array): Buffer {
    return createHmac('sha256', key)
      .update(bytes)
      .digest()
      .subarray(0, DIGEST_BYTES);
  }
}
