/** A stream state for tests. @packageDocumentation */

import {SnapshotState, StoredRecord} from '../../index.js';

/** Collects the bodies of records; each record increases the version by one. */
export class LettersState extends SnapshotState {
  letters: string[] = [];

  override get version(): number {
    return this.letters.length;
  }

  /** Applies a record; to be called from a tail's `onRecord`. */
  apply(record: StoredRecord): void {
    this.letters.push(String(record.body));
  }

  override capture(): unknown {
    return [...this.letters];
  }

  override restore(state: unknown): boolean {
    this.letters = [...(state as string[])];
    return true;
  }
}
