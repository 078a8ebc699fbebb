/** How long loads take, learned from those that have ended. @packageDocumentation */

import {TargetAccount} from './target_account.js';

/** Where a target finds the checkpoint of a version. */
export const PLACE = {
  memory: 'memory',
  disk: 'disk',
  remote: 'remote',
} as const;

/** One of {@link PLACE}. */
export type Place = (typeof PLACE)[keyof typeof PLACE];

/** Expected speeds before any load was seen, in bytes per millisecond. */
const INITIAL_BYTES_PER_MS: Record<Place, number> = {
  memory: 80_000_000,
  disk: 30_000_000,
  remote: 15_000_000,
};

const SMOOTHING = 0.25;

/** @returns where a target would load a version from. */
export function placeOf(account: TargetAccount, version: string): Place {
  if (account.inMemory.has(version)) return PLACE.memory;
  if (account.onDisk.has(version)) return PLACE.disk;
  return PLACE.remote;
}

/** Estimates the duration of loads by the place of the checkpoint. */
export class LoadTimes {
  private readonly bytesPerMs = {...INITIAL_BYTES_PER_MS};

  /** @returns the expected duration of a load, in milliseconds. */
  estimateMs(place: Place, bytes: number): number {
    return bytes / this.bytesPerMs[place];
  }

  /** Notes that a load takes at least so long. */
  noteSlow(place: Place, bytes: number, elapsedMs: number): void {
    const seen = bytes / elapsedMs;
    this.bytesPerMs[place] = Math.min(this.bytesPerMs[place], seen);
  }

  /** Notes how long a load took. */
  observe(place: Place, bytes: number, tookMs: number): void {
    if (tookMs <= 0) return;
    const seen = bytes / tookMs;
    const known = this.bytesPerMs[place];
    // Averages durations rather than speeds: a store that has become slow
    // must be believed soon.
    const perByte = (1 - SMOOTHING) / known + SMOOTHING / seen;
    this.bytesPerMs[place] = 1 / perByte;
  }
}
