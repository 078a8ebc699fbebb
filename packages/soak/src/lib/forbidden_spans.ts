/** Time spans in which keys or workers must not be used. @packageDocumentation */

import {ForbiddenSpan} from './soak_checks.js';

/**
 * Keeps the spans of overlapping faults: a key or worker is forbidden until the
 * last of them has ended.
 */
export class ForbiddenSpans {
  readonly all: ForbiddenSpan[] = [];
  private readonly counts = new Map<string, number>();

  /**
   * Records the beginning of a fault.
   *
   * @param name - key or worker.
   * @param fromMs - when hosts must have reacted.
   * @returns whether no other fault of the same name is under way.
   */
  begin(name: string, fromMs: number): boolean {
    const count = this.counts.get(name) ?? 0;
    this.counts.set(name, count + 1);
    if (count > 0) return false;
    this.all.push({name, fromMs, toMs: Infinity});
    return true;
  }

  /**
   * Records the end of a fault.
   *
   * @param name - key or worker.
   * @param toMs - time of the end.
   * @returns whether it was the last one under way.
   */
  end(name: string, toMs: number): boolean {
    const count = (this.counts.get(name) ?? 0) - 1;
    this.counts.set(name, count);
    if (count > 0) return false;
    this.all.findLast(span => span.name === name)!.toMs = toMs;
    return true;
  }
}
