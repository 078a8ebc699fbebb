/** Seeded random numbers. @packageDocumentation */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/**
 * A seeded generator. All randomness in the system comes from instances of it.
 */
export class Random {
  private readonly generator;

  /** @param seed - equal seeds produce equal sequences. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** @returns a uniformly distributed number in [0, 1). */
  float(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * Draws a uniformly distributed integer.
   *
   * @param min - lowest value, inclusive.
   * @param max - highest value, inclusive.
   * @returns an integer in [min, max].
   */
  int(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  /**
   * Picks an item, each with the same probability.
   *
   * @param items - items to choose from; must not be empty.
   * @returns the chosen item.
   */
  pick<T>(items: readonly T[]): T {
    return items[this.int(0, items.length - 1)];
  }
}
