/** Counts how often reports name a model again. @packageDocumentation */

import {residentKey} from './resident_key.js';

/**
 * Counts the times at which a model appears in the reports of a target after it
 * was left out. A report that only repeats an earlier one says nothing new.
 */
export class ModelGains {
  private listed: ReadonlySet<string> = new Set();
  private readonly counts = new Map<string, number>();

  /**
   * Applies a report.
   *
   * @param held - the models that it names, each with its adapters.
   */
  update(held: ReadonlyMap<string, ReadonlySet<string>>): void {
    const listed = new Set<string>();
    for (const [model, adapters] of held) {
      listed.add(model);
      for (const adapter of adapters) listed.add(residentKey(model, adapter));
    }
    for (const key of listed) {
      if (!this.listed.has(key)) this.counts.set(key, this.countOf(key) + 1);
    }
    this.listed = listed;
  }

  /** Returns the count of a model or adapter. */
  countOf(key: string): number {
    return this.counts.get(key) ?? 0;
  }
}
