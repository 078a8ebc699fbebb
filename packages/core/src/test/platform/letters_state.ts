/** A state for tests of streams. @packageDocumentation */

import {SnapshotState, StoredRecord} from '../../index.js';

/** Collects the bodies of records; each is one version. */
export class LettersState extends SnapshotState {
  letters: string[] = [];

  override get version(): number {
    return this.letters.length;
  }

  /** Takes a record, as a tail's `onRecord`. */
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
