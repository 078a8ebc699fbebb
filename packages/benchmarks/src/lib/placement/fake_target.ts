/** Simulates the checkpoint caches of a target and their speeds. @packageDocumentation */

import {CHECKPOINT_LOCATION, CheckpointLocation} from '@fuchsiacleat/core';

const GIB = 1024 ** 3;
const DISK_BYTES = 200 * GIB;
const HOST_MEMORY_BYTES = 64 * GIB;

/** Speed of loads from memory and disk, in bytes per millisecond. */
export const LOCAL_BYTES_PER_MS = {
  [CHECKPOINT_LOCATION.memory]: (48 * GIB) / 1_000,
  [CHECKPOINT_LOCATION.disk]: (12 * GIB) / 1_000,
} as const;

/** A cache of limited size with least-recently-used eviction. */
class CheckpointCache {
  readonly versions = new Map<string, number>();
  private usedBytes = 0;

  constructor(private readonly capacityBytes: number) {}

  keep(version: string, bytes: number): void {
    this.drop(version);
    this.versions.set(version, bytes);
    this.usedBytes += bytes;
    for (const oldest of this.versions.keys()) {
      if (this.usedBytes <= this.capacityBytes) break;
      this.drop(oldest);
    }
  }

  private drop(version: string): void {
    this.usedBytes -= this.versions.get(version) ?? 0;
    this.versions.delete(version);
  }
}

/** The checkpoints on the disk and in the host memory of one target. */
export class FakeTarget {
  private readonly disk = new CheckpointCache(DISK_BYTES);
  private readonly memory = new CheckpointCache(HOST_MEMORY_BYTES);

  /** @returns the location that a version is loaded from. */
  locationOf(version: string): CheckpointLocation {
    if (this.memory.versions.has(version)) return CHECKPOINT_LOCATION.memory;
    if (this.disk.versions.has(version)) return CHECKPOINT_LOCATION.disk;
    return CHECKPOINT_LOCATION.remote;
  }

  /** Adds a loaded version to the caches on disk and in host memory. */
  keep(version: string, bytes: number): void {
    this.disk.keep(version, bytes);
    this.memory.keep(version, bytes);
  }

  /** @returns the versions on disk. */
  onDisk(): Set<string> {
    return new Set(this.disk.versions.keys());
  }

  /** @returns the versions in host memory. */
  inMemory(): Set<string> {
    return new Set(this.memory.versions.keys());
  }
}
