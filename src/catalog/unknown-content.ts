/** Reports what peers send that this build does not know, at most once an hour. */
import type {Log} from '../ports/log.js';
import {formatIpv4} from '../routing/ipv4.js';

const MIN_REPORT_INTERVAL_MS = 3_600_000;

/** Unknown content of peers' messages, which is passed over. */
export class UnknownContent {
  /** Earliest time of the next log line; monotonic milliseconds. */
  private nextReportAt = -Infinity;

  private constructor(private readonly log: Log) {}

  /** Creates a report without content. */
  static create(log: Log): UnknownContent {
    return new UnknownContent(log);
  }

  /** Logs that a peer sent `content`, unless a line of the last hour said such. */
  report(peer: number, content: string, now: number): void {
    if (now >= this.nextReportAt) {
      this.nextReportAt = now + MIN_REPORT_INTERVAL_MS;
      this.log.info('peer-content-unknown', {peer: formatIpv4(peer), content});
    }
  }
}
