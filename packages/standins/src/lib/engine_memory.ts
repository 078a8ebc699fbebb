/** What an engine stand-in holds in its memory. @packageDocumentation */

import {Inventory} from '@fuchsiacleat/core';

/** A model version that is loaded or being loaded. */
export interface Resident {
  model: string;
  version: string;
  bytes: number;
  state: 'loading' | 'ready';
  adapters: Map<string, number>;
  running: number;
}

/**
 * The memory of an engine. Reservations beyond its size are counted, since
 * the system must never cause them.
 */
export class EngineMemory {
  /** Loads that did not fit when they were ordered. */
  overcommits = 0;
  /** Most bytes ever in use. */
  peakBytes = 0;
  private readonly byModel = new Map<string, Resident>();
  private readonly checkpoints = new Set<string>();

  /** @param totalBytes - size of the memory. */
  constructor(readonly totalBytes: number) {}

  /** Bytes in use, loads in flight included. */
  get usedBytes(): number {
    let used = 0;
    for (const resident of this.byModel.values()) {
      used += resident.bytes;
      for (const bytes of resident.adapters.values()) used += bytes;
    }
    return used;
  }

  /** @returns the resident version of a model. */
  get(model: string, version?: string): Resident | undefined {
    if (version) return this.byModel.get(`${model}\n${version}`);
    for (const resident of this.byModel.values()) {
      if (resident.model === model) return resident;
    }
    return undefined;
  }

  /** @returns whether `bytes` more fit; a miss counts as an overcommit. */
  reserve(bytes: number): boolean {
    if (this.usedBytes + bytes > this.totalBytes) {
      this.overcommits += 1;
      return false;
    }
    this.peakBytes = Math.max(this.peakBytes, this.usedBytes + bytes);
    return true;
  }

  /** Adds a resident whose bytes were reserved. */
  add(resident: Resident): void {
    this.byModel.set(`${resident.model}\n${resident.version}`, resident);
  }

  /** Removes a resident and its adapters; its checkpoint stays on disk. */
  remove(resident: Resident): void {
    this.byModel.delete(`${resident.model}\n${resident.version}`);
  }

  /** Notes that a checkpoint is on disk. */
  keepCheckpoint(version: string): void {
    this.checkpoints.add(version);
  }

  /** @returns whether the checkpoint of a version is on disk. */
  hasCheckpoint(version: string): boolean {
    return this.checkpoints.has(version);
  }

  /** @returns the residents and checkpoints in the form of an inventory. */
  inventory(): Pick<Inventory, 'residents' | 'onDisk' | 'inMemory'> {
    const residents = [...this.byModel.values()].map(resident => ({
      model: resident.model,
      version: resident.version,
      bytes: resident.bytes,
      state: resident.state,
      running: resident.running,
      adapters: [...resident.adapters].map(([adapter, bytes]) => ({
        adapter,
        bytes,
      })),
    }));
    return {residents, onDisk: [...this.checkpoints], inMemory: []};
  }
}
