/** What the records of a zone's stream add up to, for snapshots. @packageDocumentation */

import {z} from 'zod';
import {SnapshotState} from '../platform/stream_snapshot.js';

/** A part of a zone's state. */
export interface ZoneStatePart {
  /** @returns a copy that survives JSON. */
  capture(): unknown;
  /**
   * Checks a captured state without taking it.
   *
   * @returns takes the state, without telling listeners; undefined if the
   *     state is malformed.
   */
  prepare(state: unknown): (() => void) | undefined;
  /** Tells listeners that the state was replaced. */
  restored(): void;
}

const capturedSchema = z.object({
  version: z.number().int().min(0),
  parts: z.record(z.string(), z.unknown()),
});

/** The parts of a zone's state, captured and restored together. */
export class ZoneState extends SnapshotState {
  private readonly parts = new Map<string, ZoneStatePart>();
  private currentVersion = 0;
  private isRestored = false;

  override get version(): number {
    return this.currentVersion;
  }

  /** Adds a part under a name that is the same on all hosts. */
  add(name: string, part: ZoneStatePart): void {
    this.parts.set(name, part);
  }

  /** @param offset - of a record that changed a part. */
  advance(offset: number): void {
    this.currentVersion = offset + 1;
  }

  /** Tells listeners of what was restored, once a page has been read. */
  notifyRestored(): void {
    if (!this.isRestored) return;
    this.isRestored = false;
    for (const part of this.parts.values()) part.restored();
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
      const step = part.prepare(parsed.data.parts[name]);
      if (step === undefined) return false;
      steps.push(step);
    }
    for (const step of steps) step();
    this.currentVersion = parsed.data.version;
    this.isRestored = true;
    return true;
  }
}
