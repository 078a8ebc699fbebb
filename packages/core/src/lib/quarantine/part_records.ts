/** The bounded table of what is known about parts and requests. @packageDocumentation */

import {PartRecord} from './part_record.js';

/** Most records. */
const MAX_RECORDS = 1_000;

/** Records by digest. */
export class PartRecords {
  private readonly byDigest = new Map<string, PartRecord>();

  /** @param onDrop - called with a record before it is dropped for another. */
  constructor(private readonly onDrop: (record: PartRecord) => void) {}

  /** Number of records. */
  get size(): number {
    return this.byDigest.size;
  }

  /** Returns a record, if there is one. */
  get(part: string): PartRecord | undefined {
    return this.byDigest.get(part);
  }

  /** Returns all records. */
  all(): PartRecord[] {
    return [...this.byDigest.values()];
  }

  /** Returns a record, which is created if there is none. */
  obtain(part: string): PartRecord {
    let record = this.byDigest.get(part);
    if (record === undefined) {
      if (this.size >= MAX_RECORDS) this.dropWeakest();
      record = new PartRecord(part);
      this.byDigest.set(part, record);
    }
    return record;
  }

  /** Deletes a record. */
  delete(part: string): void {
    this.byDigest.delete(part);
  }

  /** Drops a record without a quarantine if there is one, else the oldest. */
  private dropWeakest(): void {
    let weakest: PartRecord | undefined;
    for (const record of this.byDigest.values()) {
      if (weakest === undefined || isWeaker(record, weakest)) weakest = record;
    }
    if (weakest !== undefined) this.onDrop(weakest);
  }
}

function isWeaker(record: PartRecord, than: PartRecord): boolean {
  if (record.quarantinedUntilMs !== than.quarantinedUntilMs)
    return record.quarantinedUntilMs < than.quarantinedUntilMs;
  return record.lastEndMs < than.lastEndMs;
}
