/** Counters kept in memory, served as text by prom-client. */
import {Counters, type Metric} from '../ports/counters.js';

/** Counters and gauges of one process. */
export class MemoryCounters extends Counters {
  private readonly counters = new Map<Metric, number>();
  private readonly gauges = new Map<Metric, number>();

  private constructor() {
    super();
  }

  /** Creates counters at zero. */
  static create(): MemoryCounters {
    return new MemoryCounters();
  }

  add(name: Metric, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  set(name: Metric, value: number): void {
    this.gauges.set(name, value);
  }

  read(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.counters, ...this.gauges]);
  }

  /** All values in the text format of Prometheus. */
  async text(): Promise<string> {
    // Loaded with the first call, so that a start does not pay for it.
    const {Counter, Gauge, Registry} = await import('prom-client');
    const registry = new Registry();
    this.counters.forEach((value, name) => {
      const counter = new Counter({
        name: `weldyard_${textName(name)}_total`,
        help: name,
        registers: [registry],
      });
      counter.inc(value);
    });
    this.gauges.forEach((value, name) => {
      const gauge = new Gauge({
        name: `weldyard_${textName(name)}`,
        help: name,
        registers: [registry],
      });
      gauge.set(value);
    });
    return registry.metrics();
  }
}

function textName(name: string): string {
  return name.split('.').join('_');
}
