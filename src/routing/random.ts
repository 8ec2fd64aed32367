/** Seeded random numbers. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const RESOLUTION = 0x3fffffff;
/**
 * Numbers that are dropped from the start of a process's own stream. The first ones of
 * this generator depend on a few bits of the seed alone: of 195 daemons with addresses
 * next to each other, started together, all drew 0.257 first, and from the tenth number
 * on they spread evenly.
 */
const WARM_UP_DRAWS = 16;

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

  /**
   * Creates the stream of one process, unlike those of others which start at the same
   * moment on neighbouring addresses.
   */
  static createOwn(address: number, wallMs: number): Random {
    const random = new Random((address ^ wallMs) >>> 0);
    Array.from({length: WARM_UP_DRAWS}, () => random.next());
    return random;
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
