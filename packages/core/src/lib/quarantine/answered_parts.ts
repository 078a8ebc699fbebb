/** Remembers which prompt parts targets have answered. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Most parts that are remembered. */
const MAX_PARTS = 8_192;

/** When a target last began to answer a request with each part. */
export class AnsweredParts {
  private readonly begunMs = new Map<string, number>();

  /** @param clock - measures the age of answers. */
  constructor(private readonly clock: Clock) {}

  /**
   * Records an answer.
   *
   * @param parts - digests of the request's parts.
   * @param begunMs - clock time at which the target began to answer.
   */
  record(parts: readonly string[], begunMs: number): void {
    for (const part of parts) {
      const known = this.begunMs.get(part) ?? -Infinity;
      // Deleted first, so that the first entry is the least recent.
      this.begunMs.delete(part);
      this.begunMs.set(part, Math.max(known, begunMs));
    }
    while (this.begunMs.size > MAX_PARTS) {
      const [first] = this.begunMs.keys();
      this.begunMs.delete(first);
    }
  }

  /**
   * Returns the time since the last answer to a part began.
   *
   * @param part - digest of the part.
   * @returns the time in milliseconds; undefined if no answer is remembered.
   */
  agoMs(part: string): number | undefined {
    const begunMs = this.begunMs.get(part);
    return begunMs === undefined ? undefined : this.clock.now() - begunMs;
  }
}
