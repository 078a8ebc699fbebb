/** Simulates the weight store on a stepped clock. @packageDocumentation */

import {Clock, Timer} from '@fuchsiacleat/core';

interface Copy {
  remainingBytes: number;
  done: () => void;
}

/** Speed of one load at full speed, in bytes per millisecond. */
export const STORE_BYTES_PER_MS = (6 * 1024 ** 3) / 1_000;

/**
 * Copies weights. Up to `fullSpeedLoads` concurrent loads run at full speed; more loads
 * share the same total bandwidth.
 */
export class FakeStore {
  private readonly copies = new Set<Copy>();
  private updatedMs = 0;
  private timer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly fullSpeedLoads: number,
  ) {}

  /** Starts a load and calls `done` when it completes. */
  copy(bytes: number, done: () => void): void {
    this.progress();
    this.copies.add({remainingBytes: bytes, done});
    this.schedule();
  }

  private get bytesPerMs(): number {
    const crowding = Math.max(1, this.copies.size / this.fullSpeedLoads);
    return STORE_BYTES_PER_MS / crowding;
  }

  private progress(): void {
    const nowMs = this.clock.now();
    const copiedBytes = (nowMs - this.updatedMs) * this.bytesPerMs;
    for (const copy of this.copies) copy.remainingBytes -= copiedBytes;
    this.updatedMs = nowMs;
  }

  private schedule(): void {
    this.timer?.cancel();
    if (this.copies.size === 0) return;
    const remaining = [...this.copies].map(copy => copy.remainingBytes);
    const delayMs = Math.min(...remaining) / this.bytesPerMs;
    this.timer = this.clock.after(delayMs, () => this.finish());
  }

  private finish(): void {
    this.progress();
    const ended = [...this.copies].filter(copy => copy.remainingBytes <= 1);
    for (const copy of ended) this.copies.delete(copy);
    for (const {done} of ended) done();
    this.schedule();
  }
}

/**
 * Computes the lower bound of the load times: each load starts as soon as the
 * store permits and is delayed only by the store's rate and bandwidth.
 *
 * @param loads - loads in the order of their arrival.
 * @param perSecond - maximum number of loads that start per second.
 * @param fullSpeedLoads - maximum number of concurrent loads at full speed.
 * @returns the time from arrival to completion of each load, in milliseconds.
 */
export function fastestLoads(
  loads: ReadonlyArray<{atMs: number; bytes: number}>,
  perSecond: number,
  fullSpeedLoads: number,
): number[] {
  const freeMs = new Array<number>(fullSpeedLoads).fill(-Infinity);
  const intervalMs = 1_000 / perSecond;
  // Limits starts by a token bucket with a burst of one second, in the form of
  // the generic cell rate algorithm (theoretical arrival time).
  const burstMs = Math.max(0, perSecond - 1) * intervalMs;
  let theoreticalMs = -Infinity;
  return loads.map(({atMs, bytes}) => {
    const server = freeMs.indexOf(Math.min(...freeMs));
    const allowedMs = theoreticalMs - burstMs;
    const startMs = Math.max(atMs, freeMs[server], allowedMs);
    theoreticalMs = Math.max(theoreticalMs, startMs) + intervalMs;
    freeMs[server] = startMs + bytes / STORE_BYTES_PER_MS;
    return freeMs[server] - atMs;
  });
}
