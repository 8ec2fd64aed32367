/** In-memory counters, sent to a statsd receiver by hot-shots. */
import {StatsD} from 'hot-shots';
import {Counters, type Metric} from '../ports/counters.js';
import {parseSocketAddress} from '../routing/ipv4.js';

const METRIC_PREFIX = 'weldyard.';
const FLUSH_INTERVAL_MS = 10_000;

/** Counters of one process, with periodic flushes to statsd. */
export class StatsdCounters extends Counters {
  private readonly counters = new Map<Metric, number>();
  private readonly gauges = new Map<Metric, number>();
  /** Counter values at the last flush. */
  private flushed = new Map<Metric, number>();

  private constructor(private readonly client: StatsD | undefined) {
    super();
  }

  /** Creates counters; nothing is sent unless `address` is a valid "ip:port". */
  static create(address: string | undefined, process: string): StatsdCounters {
    const socket = parseSocketAddress(address ?? '');
    const host = address?.split(':')[0];
    const client =
      socket === undefined
        ? undefined
        : new StatsD({
            host,
            port: socket.port,
            prefix: METRIC_PREFIX,
            globalTags: {process},
            errorHandler: () => undefined,
          });
    return new StatsdCounters(client);
  }

  /** Starts periodic flushes; the returned function flushes once more and stops. */
  start(): () => void {
    const timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
    return () => {
      clearInterval(timer);
      this.flush();
      this.client?.close();
    };
  }

  add(name: Metric, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  set(name: Metric, value: number): void {
    this.gauges.set(name, value);
  }

  observe(name: Metric, milliseconds: number): void {
    this.client?.timing(name, milliseconds);
  }

  read(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.counters, ...this.gauges]);
  }

  private flush(): void {
    this.counters.forEach((value, name) => {
      const change = value - (this.flushed.get(name) ?? 0);
      if (change > 0) {
        this.client?.increment(name, change);
      }
    });
    this.gauges.forEach((value, name) => this.client?.gauge(name, value));
    this.flushed = new Map(this.counters);
  }
}
