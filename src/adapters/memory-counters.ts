/** Counters kept in memory, served as text by prom-client. */
import type * as prometheus from 'prom-client';
import {Counters, type Metric} from '../ports/counters.js';

/** Upper bounds of a histogram's buckets, in milliseconds. */
const BUCKET_BOUNDS_MS: readonly number[] = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000,
];

/** The module that writes the text. */
export type TextWriter = typeof prometheus;

/** Counters, gauges and histograms of one process. */
export class MemoryCounters extends Counters {
  private readonly counters = new Map<Metric, number>();
  private readonly gauges = new Map<Metric, number>();
  /** Counts by bucket; the last one has no upper bound. */
  private readonly histograms = new Map<Metric, number[]>();

  private constructor(private readonly loadWriter: () => Promise<TextWriter>) {
    super();
  }

  /**
   * Creates counters at zero. The writer of the text is loaded with the first call
   * that needs it, so that a start does not pay for it.
   */
  static create(
    loadWriter: () => Promise<TextWriter> = () => import('prom-client'),
  ): MemoryCounters {
    return new MemoryCounters(loadWriter);
  }

  add(name: Metric, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  set(name: Metric, value: number): void {
    this.gauges.set(name, value);
  }

  observe(name: Metric, milliseconds: number): void {
    const counts =
      this.histograms.get(name) ??
      Array.from({length: BUCKET_BOUNDS_MS.length + 1}, () => 0);
    const bucket = BUCKET_BOUNDS_MS.findIndex(bound => milliseconds <= bound);
    counts[bucket < 0 ? BUCKET_BOUNDS_MS.length : bucket] += 1;
    this.histograms.set(name, counts);
  }

  read(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.counters, ...this.gauges]);
  }

  /** All values in the text format of Prometheus. */
  async text(): Promise<string> {
    const writer = await this.loadWriter();
    const registry = new writer.Registry();
    this.counters.forEach((value, name) =>
      writeCounter(writer, registry, name, value),
    );
    this.gauges.forEach((value, name) =>
      writeGauge(writer, registry, name, value),
    );
    this.histograms.forEach((counts, name) =>
      writeHistogram(writer, registry, name, counts),
    );
    return registry.metrics();
  }
}

function writeCounter(
  {Counter}: TextWriter,
  registry: prometheus.Registry,
  metric: Metric,
  value: number,
): void {
  const name = `weldyard_${textName(metric)}_total`;
  new Counter({name, help: metric, registers: [registry]}).inc(value);
}

function writeGauge(
  {Gauge}: TextWriter,
  registry: prometheus.Registry,
  metric: Metric,
  value: number,
): void {
  const name = `weldyard_${textName(metric)}`;
  new Gauge({name, help: metric, registers: [registry]}).set(value);
}

/** Writes for each bound how many times were at most as long. */
function writeHistogram(
  {Gauge}: TextWriter,
  registry: prometheus.Registry,
  metric: Metric,
  counts: readonly number[],
): void {
  const buckets = new Gauge({
    name: `weldyard_${textName(metric)}_bucket`,
    help: `${metric}, counted up to each bound`,
    labelNames: ['le'],
    registers: [registry],
  });
  counts.forEach((_count, index) => {
    const bound = BUCKET_BOUNDS_MS[index];
    const upTo = counts.slice(0, index + 1);
    buckets.set(
      {le: bound === undefined ? '+Inf' : String(bound)},
      upTo.reduce((sum, count) => sum + count, 0),
    );
  });
}

function textName(name: string): string {
  return name.split('.').join('_');
}
