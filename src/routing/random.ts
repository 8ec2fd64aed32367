/** Seeded pseudo-random numbers. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const RESOLUTION = 0x3fffffff;
/**
 * Numbers discarded from the start of a process's stream. The first ones depend on a few
 * bits of the seed alone, so that similar seeds would yield equal numbers.
 */
const WARM_UP_DRAWS = 16;

/** A stream of pseudo-random numbers that is determined by its seed. */
export class Random {
  private readonly generator;

  private constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Creates the stream of a seed; the same seed yields the same numbers. */
  static create(seed: number): Random {
    return new Random(seed);
  }

  /**
   * Creates the stream of one process, seeded by its IPv4 address and start time. Streams
   * differ between processes that start at the same time on adjacent addresses.
   */
  static createForProcess(address: number, wallMs: number): Random {
    const random = new Random((address ^ wallMs) >>> 0);
    Array.from({length: WARM_UP_DRAWS}, () => random.next());
    return random;
  }

  /** Returns a number in [0, 1). */
  next(): number {
    return uniformInt(this.generator, 0, RESOLUTION) / (RESOLUTION + 1);
  }

  /** Returns an integer in [0, `bound`). */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Returns true with the given probability. */
  nextBool(probability: number): boolean {
    return probability > 0 && this.next() < probability;
  }

  /** Returns one of the items with equal probability; undefined if there are none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.nextInt(items.length)];
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }
}
