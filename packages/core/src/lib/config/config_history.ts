/** Bounded history of configuration versions and verdicts. @packageDocumentation */

import {z} from 'zod';
import {Verdict, changeSchema, verdictSchema} from './publication.js';

const MAX_CHANGES = 5_000;
const MAX_VERDICTS = 500;

/** Schema of an accepted version in the history. */
export const historyEntrySchema = z.object({
  version: z.number().int(),
  /** The preceding version. */
  replaced: z.number().int(),
  message: z.string(),
  author: z.string().optional(),
  changes: z.array(changeSchema),
  /**
   * Fields of each changed object before the change; null if it did not exist.
   */
  previous: z.array(changeSchema),
  /** Time at which the log accepted the record, in epoch milliseconds. */
  atMs: z.number(),
});

/** See {@link historyEntrySchema}. */
export type HistoryEntry = z.output<typeof historyEntrySchema>;

/** Schema of the value returned by {@link ConfigHistory.capture}. */
export const historySchema = z.object({
  entries: z.array(historyEntrySchema),
  verdicts: z.array(z.tuple([z.string(), verdictSchema])),
});

/**
 * Keeps the latest versions, limited by their total number of changes, and the
 * latest verdicts.
 */
export class ConfigHistory {
  private keptEntries: HistoryEntry[] = [];
  private changeCount = 0;
  private verdicts = new Map<string, Verdict>();

  /** Accepted versions, oldest first. */
  get entries(): readonly HistoryEntry[] {
    return this.keptEntries;
  }

  /**
   * Adds a version and discards the oldest ones beyond the limit. The newest
   * version is always kept.
   */
  add(entry: HistoryEntry): void {
    this.keptEntries.push(entry);
    this.changeCount += entry.changes.length;
    while (this.changeCount > MAX_CHANGES && this.keptEntries.length > 1) {
      this.changeCount -= this.keptEntries.shift()!.changes.length;
    }
  }

  /**
   * Records the verdict on a publication and discards the oldest beyond the
   * limit.
   */
  addVerdict(id: string, verdict: Verdict): void {
    this.verdicts.set(id, verdict);
    if (this.verdicts.size <= MAX_VERDICTS) return;
    const oldest = this.verdicts.keys().next().value!;
    this.verdicts.delete(oldest);
  }

  /**
   * Returns the verdict on a publication, or undefined if it is no longer kept.
   */
  verdictOf(id: string): Verdict | undefined {
    return this.verdicts.get(id);
  }

  /** Returns the history as a value that JSON and CBOR can represent. */
  capture(): z.output<typeof historySchema> {
    return {entries: [...this.keptEntries], verdicts: [...this.verdicts]};
  }

  /** Replaces the history with a value that `capture` returned. */
  restore({entries, verdicts}: z.output<typeof historySchema>): void {
    this.keptEntries = [];
    this.changeCount = 0;
    for (const entry of entries) this.add(entry);
    this.verdicts = new Map(verdicts);
  }
}
