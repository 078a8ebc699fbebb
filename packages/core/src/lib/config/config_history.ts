/** Accepted versions and verdicts that a host still knows. @packageDocumentation */

import {z} from 'zod';
import {Verdict, changeSchema, verdictSchema} from './publication.js';

const MAX_CHANGES = 5_000;
const MAX_VERDICTS = 500;

/** An entry of the history of versions. */
export const historyEntrySchema = z.object({
  version: z.number().int(),
  /** The version that it replaced. */
  replaced: z.number().int(),
  message: z.string(),
  author: z.string().optional(),
  changes: z.array(changeSchema),
  /** What each changed object was before; null if it did not exist. */
  previous: z.array(changeSchema),
  /** Milliseconds since the Unix epoch at which the log took the record. */
  atMs: z.number(),
});

/** See {@link historyEntrySchema}. */
export type HistoryEntry = z.output<typeof historyEntrySchema>;

/** Schema of {@link ConfigHistory.capture}. */
export const historySchema = z.object({
  entries: z.array(historyEntrySchema),
  verdicts: z.array(z.tuple([z.string(), verdictSchema])),
});

/** The latest versions, by number of changes, and the latest verdicts. */
export class ConfigHistory {
  private kept: HistoryEntry[] = [];
  private changes = 0;
  private verdicts = new Map<string, Verdict>();

  /** Versions, oldest first. */
  get entries(): readonly HistoryEntry[] {
    return this.kept;
  }

  /** Adds a version; the newest one is always kept. */
  add(entry: HistoryEntry): void {
    this.kept.push(entry);
    this.changes += entry.changes.length;
    while (this.changes > MAX_CHANGES && this.kept.length > 1) {
      this.changes -= this.kept.shift()!.changes.length;
    }
  }

  /** Adds the verdict on the publication of that id. */
  addVerdict(id: string, verdict: Verdict): void {
    this.verdicts.set(id, verdict);
    if (this.verdicts.size <= MAX_VERDICTS) return;
    const oldest = this.verdicts.keys().next().value!;
    this.verdicts.delete(oldest);
  }

  /** @returns the verdict on a publication, if it is known still. */
  verdictOf(id: string): Verdict | undefined {
    return this.verdicts.get(id);
  }

  /** @returns a value that survives JSON and CBOR. */
  capture(): z.output<typeof historySchema> {
    return {entries: [...this.kept], verdicts: [...this.verdicts]};
  }

  /** Replaces the history by what `capture` gave. */
  restore({entries, verdicts}: z.output<typeof historySchema>): void {
    this.kept = [];
    this.changes = 0;
    for (const entry of entries) this.add(entry);
    this.verdicts = new Map(verdicts);
  }
}
