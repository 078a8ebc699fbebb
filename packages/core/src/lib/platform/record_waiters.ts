/** Callbacks that wait for a record to be read. @packageDocumentation */

import {StoredRecord} from './platform_log.js';

/** Receives the awaited record. */
export type RecordWaiter = (record: StoredRecord) => void;

/** Registers waiters by the id of the record that they wait for. */
export class RecordWaiters {
  private readonly byId = new Map<string, Set<RecordWaiter>>();

  /**
   * Adds a waiter.
   *
   * @param id - id of the record.
   * @param waiter - called once, when the record is read.
   */
  add(id: string, waiter: RecordWaiter): void {
    const waiters = this.byId.get(id) ?? new Set();
    this.byId.set(id, waiters.add(waiter));
  }

  /** Removes a waiter. */
  remove(id: string, waiter: RecordWaiter): void {
    const waiters = this.byId.get(id);
    waiters?.delete(waiter);
    if (waiters?.size === 0) this.byId.delete(id);
  }

  /** Calls and removes the waiters for a record. */
  notify(record: StoredRecord): void {
    const waiters = this.byId.get(record.id);
    if (waiters === undefined) return;
    this.byId.delete(record.id);
    for (const waiter of waiters) waiter(record);
  }
}
