/** Those who wait for a record to be read. @packageDocumentation */

import {StoredRecord} from './platform_log.js';

/** Takes a record that was waited for. */
export type RecordWaiter = (record: StoredRecord) => void;

/** Waiters by the id of their record. */
export class RecordWaiters {
  private readonly byId = new Map<string, Set<RecordWaiter>>();

  /**
   * @param id - id of the record.
   * @param waiter - called once, when the record is read.
   */
  add(id: string, waiter: RecordWaiter): void {
    const waiters = this.byId.get(id) ?? new Set();
    this.byId.set(id, waiters.add(waiter));
  }

  /** Stops waiting. */
  remove(id: string, waiter: RecordWaiter): void {
    const waiters = this.byId.get(id);
    waiters?.delete(waiter);
    if (waiters?.size === 0) this.byId.delete(id);
  }

  /** Calls those who wait for the record. */
  notify(record: StoredRecord): void {
    const waiters = this.byId.get(record.id);
    if (waiters === undefined) return;
    this.byId.delete(record.id);
    for (const waiter of waiters) waiter(record);
  }
}
