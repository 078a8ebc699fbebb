/** State of a zone for snapshots of its stream. @packageDocumentation */

import {z} from 'zod';
import {SnapshotState} from '../platform/stream_snapshot.js';

/** A part of the state of a zone. */
export interface ZoneStatePart {
  /** @returns a copy of the state that can be serialized as JSON. */
  capture(): unknown;
  /**
   * Validates a captured state without applying it.
   *
   * @param state - the captured state.
   * @returns a function that applies the state without notifying listeners, or
   *     undefined if the state is malformed.
   */
  prepareRestore(state: unknown): (() => void) | undefined;
  /** Notifies listeners that the state was replaced. */
  notifyRestored(): void;
}

const capturedSchema = z.object({
  version: z.number().int().min(0),
  parts: z.record(z.string(), z.unknown()),
});

/** The state of a zone, whose parts are captured and restored together. */
export class ZoneState extends SnapshotState {
  private readonly parts = new Map<string, ZoneStatePart>();
  private currentVersion = 0;
  private isRestored = false;

  override get version(): number {
    return this.currentVersion;
  }

  /** Adds a part under a name, which must be the same on all hosts. */
  add(name: string, part: ZoneStatePart): void {
    this.parts.set(name, part);
  }

  /**
   * Advances the version.
   *
   * @param offset - offset of a record that changed a part.
   */
  advance(offset: number): void {
    this.currentVersion = offset + 1;
  }

  /** Notifies listeners after a page was read, if it restored the state. */
  notifyRestored(): void {
    if (!this.isRestored) return;
    this.isRestored = false;
    for (const part of this.parts.values()) part.notifyRestored();
  }

  override capture(): unknown {
    const parts = Object.fromEntries(
      [...this.parts].map(([name, part]) => [name, part.capture()]),
    );
    return {version: this.currentVersion, parts};
  }

  override restore(state: unknown): boolean {
    const parsed = capturedSchema.safeParse(state);
    if (!parsed.success) return false;
    const steps: Array<() => void> = [];
    for (const [name, part] of this.parts) {
      const step = part.prepareRestore(parsed.data.parts[name]);
      if (step === undefined) return false;
      steps.push(step);
    }
    for (const step of steps) step();
    this.currentVersion = parsed.data.version;
    this.isRestored = true;
    return true;
  }
}
