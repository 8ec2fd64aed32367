/** In-memory counters, exposed in the Prometheus text format by prom-client. */
import type * as prometheus from 'prom-client';
import {Counters, type Metric} from '../ports/counters.js';

/** Inclusive upper bounds of the histogram buckets. */
const BUCKET_BOUNDS_MS: readonly number[] = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000,
];

/** The prom-client module. */
export type PrometheusClient = typeof prometheus;

/** Counters, gauges and histograms of one process. */
export class MemoryCounters extends Counters {
  private readonly counters = new Map<Metric, number>();
  private readonly gauges = new Map<Metric, number>();
  /** Observations per bucket; the last bucket has no upper bound. */
  private readonly histograms = new Map<Metric, number[]>();

  private constructor(
    private readonly loadPrometheus: () => Promise<PrometheusClient>,
  ) {
    super();
  }

  /**
   * Creates counters at zero. `loadPrometheus` is called when the text is first requested,
   * which keeps prom-client out of the start-up path.
   */
  static create(
    loadPrometheus: () => Promise<PrometheusClient> = () =>
      import('prom-client'),
  ): MemoryCounters {
    return new MemoryCounters(loadPrometheus);
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

  /** Returns all values in the Prometheus text format. */
  async text(): Promise<string> {
    const client = await this.loadPrometheus();
    const registry = new client.Registry();
    this.counters.forEach((value, name) =>
      registerCounter(client, registry, name, value),
    );
    this.gauges.forEach((value, name) =>
      registerGauge(client, registry, name, value),
    );
    this.histograms.forEach((counts, name) =>
      registerHistogram(client, registry, name, counts),
    );
    return registry.metrics();
  }
}

function registerCounter(
  {Counter}: PrometheusClient,
  registry: prometheus.Registry,
  metric: Metric,
  value: number,
): void {
  const name = `weldyard_${toPrometheusName(metric)}_total`;
  new Counter({name, help: metric, registers: [registry]}).inc(value);
}

function registerGauge(
  {Gauge}: PrometheusClient,
  registry: prometheus.Registry,
  metric: Metric,
  value: number,
): void {
  const name = `weldyard_${toPrometheusName(metric)}`;
  new Gauge({name, help: metric, registers: [registry]}).set(value);
}

/** Registers cumulative bucket counts: for each bound, the observations up to it. */
function registerHistogram(
  {Gauge}: PrometheusClient,
  registry: prometheus.Registry,
  metric: Metric,
  counts: readonly number[],
): void {
  const buckets = new Gauge({
    name: `weldyard_${toPrometheusName(metric)}_bucket`,
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

function toPrometheusName(name: string): string {
  return name.split('.').join('_');
}
