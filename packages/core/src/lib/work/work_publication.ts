/** Which work the lease holder publishes. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {WorkEntry, encodeWork} from './work_messages.js';
import {WorkTable} from './work_table.js';

/** Change of the requests that is published, as a fraction of those published. */
const REQUEST_CHANGE = 0.1;

/**
 * Requests, as a fraction of the slots, from which the work of a target is
 * published; below it, all hosts may prefer a near target.
 */
const CROWDED_LOAD = 0.25;

/** Pace from which it is published, as a logarithm to base 2. */
const NOTABLE_PACE = 0.3;

/** Change of the pace that is published, as a logarithm to base 2. */
const PACE_CHANGE = 0.25;

/** Time after which the work of a target is published again while it has any. */
const REPEAT_MS = 400;

interface Published {
  requests: number;
  paceLog: number;
  ms: number;
}

const NOTHING = {
  sums: {waiting: 0, running: 0, prefillTokens: 0, memoryTokens: 0},
  pace: {log: 0, count: 0},
};

/** Selects the targets whose work has changed, or is due again. */
export class WorkPublication {
  private readonly published = new Map<string, Published>();

  /**
   * @param clock - measures the age of publications.
   * @param table - the work of all hosts.
   * @param slotsOf - returns the slots of a target; undefined if it is unknown.
   */
  constructor(
    private readonly clock: Clock,
    private readonly table: WorkTable,
    private readonly slotsOf: (id: string) => number | undefined,
  ) {}

  /** Returns the work to publish now, and counts it as published. */
  take(): WorkEntry[] {
    const nowMs = this.clock.now();
    const entries: WorkEntry[] = [];
    for (const id of this.table.takeChanged())
      if (this.isChanged(id)) this.publish(id, nowMs, entries);
    for (const [id, {ms}] of this.published)
      if (nowMs - ms >= REPEAT_MS) this.publish(id, nowMs, entries);
    return entries;
  }

  /** Returns what was published and is still in force, for a new host. */
  current(): WorkEntry[] {
    return [...this.published.keys()].map(id =>
      encodeWork(id, this.table.get(id) ?? NOTHING),
    );
  }

  /** Forgets what was published, as this host is no longer the lease holder. */
  clear(): void {
    this.published.clear();
  }

  private isChanged(id: string): boolean {
    const {sums, pace} = this.table.get(id) ?? NOTHING;
    const earlier = this.published.get(id);
    const requests = sums.waiting + sums.running;
    if (earlier === undefined) {
      const crowded = CROWDED_LOAD * (this.slotsOf(id) ?? Infinity);
      return requests >= crowded || Math.abs(pace.log) >= NOTABLE_PACE;
    }
    const change = Math.abs(requests - earlier.requests);
    if (change > earlier.requests * REQUEST_CHANGE) return true;
    return Math.abs(pace.log - earlier.paceLog) >= PACE_CHANGE;
  }

  private publish(id: string, ms: number, entries: WorkEntry[]): void {
    const report = this.table.get(id);
    entries.push(encodeWork(id, report ?? NOTHING));
    if (report === undefined) {
      this.published.delete(id);
      return;
    }
    const {waiting, running} = report.sums;
    const paceLog = report.pace.log;
    this.published.set(id, {requests: waiting + running, paceLog, ms});
  }
}
