/** Estimates load durations from past loads. @packageDocumentation */

import {TargetAccount} from './target_account.js';

/** Where a target reads the checkpoint of a version from. */
export const PLACE = {
  memory: 'memory',
  disk: 'disk',
  remote: 'remote',
} as const;

/** One of {@link PLACE}. */
export type Place = (typeof PLACE)[keyof typeof PLACE];

/** Assumed speeds before any load was observed, in bytes per millisecond. */
const INITIAL_BYTES_PER_MS: Record<Place, number> = {
  memory: 80_000_000,
  disk: 30_000_000,
  remote: 15_000_000,
};

/** Weight of a new observation in the moving average. */
const SMOOTHING = 0.25;

/** Returns where a target would read the checkpoint of a version from. */
export function placeOf(account: TargetAccount, version: string): Place {
  if (account.inMemory.has(version)) return PLACE.memory;
  if (account.onDisk.has(version)) return PLACE.disk;
  return PLACE.remote;
}

/** Estimates the duration of a load from its size and checkpoint location. */
export class LoadTimes {
  private readonly bytesPerMs = {...INITIAL_BYTES_PER_MS};

  /** Returns the expected duration of a load, in milliseconds. */
  estimateMs(place: Place, bytes: number): number {
    return bytes / this.bytesPerMs[place];
  }

  /** Records the time after which a load timed out, a bound on its speed. */
  noteSlow(place: Place, bytes: number, elapsedMs: number): void {
    const seen = bytes / elapsedMs;
    this.bytesPerMs[place] = Math.min(this.bytesPerMs[place], seen);
  }

  /** Records the duration of a load that has ended. */
  observe(place: Place, bytes: number, tookMs: number): void {
    if (tookMs <= 0) return;
    const seen = bytes / tookMs;
    const known = this.bytesPerMs[place];
    // Averages durations rather than speeds, so that the estimate follows a
    // store that has become slow within a few loads.
    const perByte = (1 - SMOOTHING) / known + SMOOTHING / seen;
    this.bytesPerMs[place] = 1 / perByte;
  }
}
