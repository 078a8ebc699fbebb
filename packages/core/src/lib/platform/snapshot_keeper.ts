/** Decides when a host appends a snapshot of a stream. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {SnapshotState} from './stream_snapshot.js';
import {StreamReader} from './stream_reader.js';

/** Longest wait before a state is put back or renewed, in milliseconds. */
const SPREAD_MS = 2_000;

/** How long a stream without any state is left alone, in milliseconds. */
const NO_STATE_WAIT_MS = 20_000;

/** Snapshots are renewed between these parts of the retention. */
const RENEWAL_PART = {earliest: 1 / 3, spread: 1 / 6} as const;

/** Records older than this part of the retention may be the last ones. */
const SILENT_PART = 1 / 2;

/** What makes a stream outlive the retention of the log. */
export interface SnapshotOptions {
  /** What the stream's records add up to. */
  state: SnapshotState;
  /** Spreads the hosts' snapshots, so that not all append one. */
  random: Random;
  /**
   * How long the log keeps records, in milliseconds; equal on all hosts, and
   * never longer than what the log really does.
   */
  retentionMs: number;
}

/** The schedule of one host's snapshots of one stream. */
export class SnapshotKeeper {
  private readonly renewAfterMs: number;
  private dueMs: number | undefined;

  constructor(
    private readonly reader: StreamReader,
    private readonly clock: Clock,
    private readonly options: SnapshotOptions,
  ) {
    const {random, retentionMs} = options;
    const {earliest, spread} = RENEWAL_PART;
    this.renewAfterMs = retentionMs * (earliest + spread * random.float());
  }

  /**
   * Call it now and then while the whole stream is held; a snapshot is due
   * only if one is still missing after a random wait.
   *
   * @param first - lowest offset that the log still holds.
   * @returns whether to append a snapshot now.
   */
  isDue(first: number): boolean {
    if (!this.isMissing(first)) {
      this.dueMs = undefined;
      return false;
    }
    this.dueMs ??= this.clock.now() + this.waitMs();
    if (this.clock.now() < this.dueMs) return false;
    this.dueMs = undefined;
    return true;
  }

  /** Begins a new wait; call it while the log is out of reach. */
  reset(): void {
    this.dueMs = undefined;
  }

  /** @returns whether hosts need time to put newer states back. */
  resettles(): boolean {
    if (!this.reader.hasBase) return true;
    const lastMs = this.reader.lastRecordAtMs;
    if (lastMs === undefined) return false;
    const silentMs = this.clock.epochNow() - lastMs;
    return silentMs > this.options.retentionMs * SILENT_PART;
  }

  private isMissing(first: number): boolean {
    if (!this.reader.hasBase) return true;
    // The log may forget sooner than the settings say.
    if (first > this.reader.lastSnapshotOffset) return true;
    const snapshotMs = this.reader.lastSnapshotAtMs;
    if (snapshotMs === undefined) return false;
    return this.clock.epochNow() - snapshotMs > this.renewAfterMs;
  }

  private waitMs(): number {
    const {state, random} = this.options;
    const spreadMs = random.float() * SPREAD_MS;
    const holdsNothing = !this.reader.hasBase && state.version === 0;
    return holdsNothing ? NO_STATE_WAIT_MS + spreadMs : spreadMs;
  }
}
