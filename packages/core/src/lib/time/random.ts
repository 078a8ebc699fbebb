/** Seeded random numbers. @packageDocumentation */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** A seeded generator, the only source of randomness in the system. */
export class Random {
  private readonly generator;

  /** @param seed - equal seeds give equal sequences. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** @returns a number in [0, 1). */
  float(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * @param min - lowest value.
   * @param max - highest value.
   * @returns a whole number in [min, max].
   */
  int(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  /**
   * @param items - must not be empty.
   * @returns one of them, each as likely.
   */
  pick<T>(items: readonly T[]): T {
    return items[this.int(0, items.length - 1)];
  }
}
