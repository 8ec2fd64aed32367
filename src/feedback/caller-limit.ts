/**
 * Limits how many faults of one server a single caller may contribute, so that a caller
 * that sends broken requests or fails itself cannot convict a server.
 */

/** Time in which a caller contributes at most one fault of each server. */
const WINDOW_MS = 4_000;
/** Limit of contributions remembered; the oldest is dropped first. */
const MAX_CONTRIBUTIONS = 1_024;
/** Number of distinct caller values in a key; the key stays a safe integer. */
const CALLER_RANGE = 2 ** 21;

/** The recent contributions of callers. */
export class CallerLimit {
  /** When each pair of server and caller may contribute again; monotonic milliseconds. */
  private readonly blockedUntil = new Map<number, number>();

  private constructor() {}

  /** Creates an instance without contributions. */
  static create(): CallerLimit {
    return new CallerLimit();
  }

  /**
   * Records a contribution of a caller on a server, by the server's hash. Returns false
   * if it is to be ignored because the caller has contributed within the window.
   */
  admit(server: number, caller: number, now: number): boolean {
    const key = server * CALLER_RANGE + (caller % CALLER_RANGE);
    if ((this.blockedUntil.get(key) ?? -Infinity) > now) {
      return false;
    }
    this.blockedUntil.delete(key);
    this.blockedUntil.set(key, now + WINDOW_MS);
    if (this.blockedUntil.size > MAX_CONTRIBUTIONS) {
      const [oldest] = this.blockedUntil.keys();
      this.blockedUntil.delete(oldest);
    }
    return true;
  }
}
