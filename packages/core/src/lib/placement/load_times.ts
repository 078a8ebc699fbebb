/** Estimates load durations from past loads. @packageDocumentation */

import {TargetAccount} from './target_account.js';

/** Where a target reads the checkpoint of a version from. */
export const CHECKPOINT_LOCATION = {
  memory: 'memory',
  disk: 'disk',
  remote: 'remote',
} as const;

/** One of {@link CHECKPOINT_LOCATION}. */
export type CheckpointLocation =
  (typeof CHECKPOINT_LOCATION)[keyof typeof CHECKPOINT_LOCATION];

/** Assumed speeds before any load was observed, in bytes per millisecond. */
const INITIAL_BYTES_PER_MS: Record<CheckpointLocation, number> = {
  memory: 80_000_000,
  disk: 30_000_000,
  remote: 15_000_000,
};

/** Weight of a new observation in the moving average. */
const SMOOTHING_FACTOR = 0.25;

/** Returns where a target would read the checkpoint of a version from. */
export function locateCheckpoint(
  account: TargetAccount,
  version: string,
): CheckpointLocation {
  if (account.inMemory.has(version)) return CHECKPOINT_LOCATION.memory;
  if (account.onDisk.has(version)) return CHECKPOINT_LOCATION.disk;
  return CHECKPOINT_LOCATION.remote;
}

/** Estimates the duration of a load from its size and checkpoint location. */
export class LoadTimes {
  private readonly bytesPerMs = {...INITIAL_BYTES_PER_MS};

  /** Returns the expected duration of a load, in milliseconds. */
  estimateMs(place: CheckpointLocation, bytes: number): number {
    return bytes / this.bytesPerMs[place];
  }

  /** Records the time after which a load timed out, a bound on its speed. */
  observeAtLeast(
    place: CheckpointLocation,
    bytes: number,
    elapsedMs: number,
  ): void {
    const observedBytesPerMs = bytes / elapsedMs;
    this.bytesPerMs[place] = Math.min(
      this.bytesPerMs[place],
      observedBytesPerMs,
    );
  }

  /** Records the duration of a load that has ended. */
  observe(place: CheckpointLocation, bytes: number, tookMs: number): void {
    if (tookMs <= 0) return;
    const observedBytesPerMs = bytes / tookMs;
    const estimatedBytesPerMs = this.bytesPerMs[place];
    // Averages durations rather than speeds, so that the estimate follows a
    // store that has become slow within a few loads.
    const msPerByte =
      (1 - SMOOTHING_FACTOR) / estimatedBytesPerMs +
      SMOOTHING_FACTOR / observedBytesPerMs;
    this.bytesPerMs[place] = 1 / msPerByte;
  }
}
