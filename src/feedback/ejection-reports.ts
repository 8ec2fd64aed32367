/** Reports ejections of servers as log lines and metrics. */
import {Metric, type Counters} from '../ports/counters.js';
import type {Log, LogFields} from '../ports/log.js';
import type {Ejection} from './ejection.js';
import type {EjectionListener} from './service-rater.js';

const MS_PER_SECOND = 1_000;

/** Dependencies of `EjectionReports`. */
export interface EjectionReportsOptions {
  readonly log: Log;
  readonly counters: Counters;
}

/** Writes a line for each ejection and each return, and counts the ejections. */
export class EjectionReports implements EjectionListener {
  private constructor(private readonly options: EjectionReportsOptions) {}

  /** Creates reports to a log and counters. */
  static create(options: EjectionReportsOptions): EjectionReports {
    return new EjectionReports(options);
  }

  onEjected(ejection: Ejection, now: number): void {
    const {log, counters} = this.options;
    counters.add(Metric.SERVERS_EJECTIONS);
    log.warn('server-ejected', {
      ...fieldsOf(ejection),
      seconds: (ejection.until - now) / MS_PER_SECOND,
    });
  }

  onReturned(ejection: Ejection): void {
    this.options.log.warn('server-returned', fieldsOf(ejection));
  }
}

function fieldsOf({server, finding, ejectionCount}: Ejection): LogFields {
  return {
    server: server.id,
    service: server.service,
    faults: round(finding.faults),
    usual: round(finding.usual),
    ejections: ejectionCount,
  };
}

/** Rounds a count to tenths. */
function round(count: number): number {
  return Math.round(count * 10) / 10;
}
