/** Memory of the engine stand-in. @packageDocumentation */

import {Inventory} from '@fuchsiacleat/core';

/** Model version that is loaded or being loaded. */
export interface Resident {
  model: string;
  version: string;
  bytes: number;
  state: 'loading' | 'ready';
  adapters: Map<string, number>;
  running: number;
}

/**
 * Memory accounting of an engine. Counts reservations beyond the memory size,
 * because the system must never cause one.
 */
export class EngineMemory {
  /** Number of ordered loads that did not fit. */
  overcommits = 0;
  /** Peak number of bytes in use. */
  peakBytes = 0;
  private readonly byModel = new Map<string, Resident>();
  private readonly checkpoints = new Set<string>();

  /** @param totalBytes - size of the memory in bytes. */
  constructor(readonly totalBytes: number) {}

  /** Bytes in use, including those of loads in progress. */
  get usedBytes(): number {
    let used = 0;
    for (const resident of this.byModel.values()) {
      used += resident.bytes;
      for (const bytes of resident.adapters.values()) used += bytes;
    }
    return used;
  }

  /** @returns a resident version of a model, any if none is named. */
  get(model: string, version?: string): Resident | undefined {
    if (version) return this.byModel.get(`${model}\n${version}`);
    for (const resident of this.byModel.values()) {
      if (resident.model === model) return resident;
    }
    return undefined;
  }

  /**
   * Checks whether more bytes fit; counts an overcommit if not.
   *
   * @returns whether they fit.
   */
  reserve(bytes: number): boolean {
    if (this.usedBytes + bytes > this.totalBytes) {
      this.overcommits += 1;
      return false;
    }
    this.peakBytes = Math.max(this.peakBytes, this.usedBytes + bytes);
    return true;
  }

  /** Adds a resident model whose bytes were reserved. */
  add(resident: Resident): void {
    this.byModel.set(`${resident.model}\n${resident.version}`, resident);
  }

  /** Removes a model and its adapters; its checkpoint stays on disk. */
  remove(resident: Resident): void {
    this.byModel.delete(`${resident.model}\n${resident.version}`);
  }

  /** Records that the checkpoint of a version is on disk. */
  addCheckpoint(version: string): void {
    this.checkpoints.add(version);
  }

  /** @returns whether the checkpoint of a version is on disk. */
  hasCheckpoint(version: string): boolean {
    return this.checkpoints.has(version);
  }

  /** @returns the resident models and checkpoints as parts of an inventory. */
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
