/** Scheduling of the snapshots that a host appends to a stream. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {SnapshotState} from './stream_snapshot.js';
import {StreamReader} from './stream_reader.js';

/**
 * Maximum random delay before a state is restored to the log or its snapshot
 * renewed.
 */
const MAX_JITTER_MS = 2_000;

/**
 * Delay before a host that has no state appends a snapshot, in which hosts that
 * have one can append theirs.
 */
const NO_STATE_DELAY_MS = 20_000;

/** Age at which a snapshot is renewed, as fractions of the retention. */
const RENEWAL_FRACTION = {earliest: 1 / 3, jitter: 1 / 6} as const;

/**
 * Age of the latest record, as a fraction of the retention, above which records
 * may have been lost.
 */
const SILENCE_FRACTION = 1 / 2;

/**
 * Options for snapshots, which make a stream outlive the retention of the log.
 */
export interface SnapshotOptions {
  /** State that results from the stream's records. */
  state: SnapshotState;
  /**
   * Source of the jitter that keeps all hosts from appending a snapshot at
   * once.
   */
  random: Random;
  /**
   * Retention of the log, in milliseconds. Must be equal on all hosts and must
   * not exceed the actual retention.
   */
  retentionMs: number;
}

/** Decides when this host appends a snapshot of a stream. */
export class SnapshotScheduler {
  private readonly renewAfterMs: number;
  private dueMs: number | undefined;

  constructor(
    private readonly reader: StreamReader,
    private readonly clock: Clock,
    private readonly options: SnapshotOptions,
  ) {
    const {random, retentionMs} = options;
    const {earliest, jitter: spread} = RENEWAL_FRACTION;
    this.renewAfterMs = retentionMs * (earliest + spread * random.float());
  }

  /**
   * Returns whether a snapshot is due, which is the case if it is still missing
   * after a random delay. Call it periodically while the reader has caught up
   * with the stream.
   *
   * @param first - lowest offset that the log still retains.
   * @returns whether to append a snapshot now.
   */
  isDue(first: number): boolean {
    if (!this.isSnapshotMissing(first)) {
      this.dueMs = undefined;
      return false;
    }
    this.dueMs ??= this.clock.now() + this.randomDelayMs();
    if (this.clock.now() < this.dueMs) return false;
    this.dueMs = undefined;
    return true;
  }

  /** Restarts the delay. Call it while the log is unreachable. */
  reset(): void {
    this.dueMs = undefined;
  }

  /**
   * Returns whether records may have been lost, so that hosts need time to
   * restore newer states.
   */
  needsSettling(): boolean {
    if (!this.reader.hasBase) return true;
    const lastMs = this.reader.lastRecordAtMs;
    if (lastMs === undefined) return false;
    const silentMs = this.clock.epochNow() - lastMs;
    return silentMs > this.options.retentionMs * SILENCE_FRACTION;
  }

  private isSnapshotMissing(first: number): boolean {
    if (!this.reader.hasBase) return true;
    // The log may expire records sooner than the configured retention.
    if (first > this.reader.lastSnapshotOffset) return true;
    const snapshotMs = this.reader.lastSnapshotAtMs;
    if (snapshotMs === undefined) return false;
    return this.clock.epochNow() - snapshotMs > this.renewAfterMs;
  }

  private randomDelayMs(): number {
    const {state, random} = this.options;
    const jitterMs = random.float() * MAX_JITTER_MS;
    const hasNoState = !this.reader.hasBase && state.version === 0;
    return hasNoState ? NO_STATE_DELAY_MS + jitterMs : jitterMs;
  }
}
