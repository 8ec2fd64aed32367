/** Seeded random numbers. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const RESOLUTION = 0x3fffffff;

/** A stream of random numbers from a seed. */
export class Random {
  private readonly generator;

  private constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Creates the stream of a seed. */
  static create(seed: number): Random {
    return new Random(seed);
  }

  /** A number from 0 to below 1. */
  next(): number {
    return uniformInt(this.generator, 0, RESOLUTION) / (RESOLUTION + 1);
  }

  /** A whole number from 0 to below `bound`. */
  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Whether an event of a probability happens. */
  happens(probability: number): boolean {
    return probability > 0 && this.next() < probability;
  }

  /** One of the items; undefined when there is none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.below(items.length)];
  }

  /** An exponentially distributed number with a mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }
}
