/** A bounded number of recent samples and their quantiles, in constant memory. */

/** Number of samples kept. */
const CAPACITY = 64;
/** Samples after which cached quantiles are computed anew. */
const REFRESH_INTERVAL = 4;

/** The most recent samples of one quantity. */
export class RecentSamples {
  private readonly samples = new Float32Array(CAPACITY);
  private count = 0;
  /** Sorted copy of the samples as of `sortedCount`. */
  private sorted = new Float32Array(0);
  private sortedCount = 0;

  private constructor() {}

  /** Creates an instance without samples. */
  static create(): RecentSamples {
    return new RecentSamples();
  }

  /** Number of samples added so far, also of those that were replaced. */
  get total(): number {
    return this.count;
  }

  /** Adds a sample, in place of the oldest one when there is no room. */
  add(sample: number): void {
    this.samples[this.count % CAPACITY] = sample;
    this.count += 1;
  }

  /** Returns the sample below which a share of the recent samples lies; NaN: no sample. */
  quantile(share: number): number {
    if (this.count - this.sortedCount >= REFRESH_INTERVAL) {
      const held = Math.min(this.count, CAPACITY);
      this.sorted = this.samples.slice(0, held).sort();
      this.sortedCount = this.count;
    }
    return this.sorted[Math.floor(this.sorted.length * share)] ?? NaN;
  }
}
