/** A target as it has announced itself. @packageDocumentation */

/** A model that a target holds, with its adapters. */
export interface HeldModel {
  model: string;
  adapters: readonly string[];
}

/** What every host has to know of a target. */
export interface BriefNotice {
  /** Differs for every target; may be kept over a restart. */
  id: string;
  /** Start of the target's process, Unix milliseconds. */
  startedMs: number;
  service: string;
  /** IP number and port. */
  address: string;
  zone: string;
  slots: number;
  /** Whether it leaves and gets no new work. */
  isLeaving: boolean;
}

/** What a target says about itself. */
export interface TargetNotice extends BriefNotice {
  /** Orders that it has accepted since its start. */
  orderCount: number;
  held: readonly HeldModel[];
  /** Models whose weights lie in its main memory or on its disk. */
  inMemory: readonly string[];
  onDisk: readonly string[];
}

/** @returns whether two notices come from the same process. */
export function isSameProcess(a: BriefNotice, b: BriefNotice): boolean {
  return a.id === b.id && a.startedMs === b.startedMs;
}
