/** Registration of a target in service discovery. @packageDocumentation */

import type {ColdReport} from '../warming/target_warming.js';

/** A model that a target has loaded, with its adapters. */
export interface HeldModel {
  model: string;
  adapters: readonly string[];
}

/** The fields of a registration that every host needs. */
export interface RegistrationSummary {
  /** Unique id of the target; may stay the same over a restart. */
  id: string;
  /** Start time of the target's process, Unix milliseconds. */
  startedMs: number;
  service: string;
  /** IPv4 address and port that a connection can be opened to. */
  address: string;
  zone: string;
  /**
   * Version of the software that the target runs, which has nothing to do with
   * that of its weights; left out if it is not known.
   */
  softwareVersion?: string;
  slots: number;
  /** Whether the target is shutting down and accepts no new requests. */
  isLeaving: boolean;
  /** Whether a host has seen the process end; left out if none has. */
  hasEnded?: boolean;
  /** How cold the target is; left out if it does not say. */
  cold?: ColdReport;
}

/** A complete registration, as the target published it. */
export interface TargetRegistration extends RegistrationSummary {
  /** Number of orders that the target has accepted since its start. */
  orderCount: number;
  held: readonly HeldModel[];
  /**
   * Models whose weights are in the main memory or on the disk of the target.
   */
  inMemory: readonly string[];
  onDisk: readonly string[];
}

/**
 * Compares the processes of two registrations.
 *
 * @returns whether both come from the same process.
 */
export function isSameProcess(
  a: RegistrationSummary,
  b: RegistrationSummary,
): boolean {
  return a.id === b.id && a.startedMs === b.startedMs;
}

/**
 * Returns whether a registration in an older copy of the store is news. The copy
 * lists targets that have ended, and may tell less of a process than is known
 * already; those that run register again.
 *
 * @param registration - the registration in the copy.
 * @param known - what is known of the target, if it is known.
 */
export function isNewsOf(
  {isLeaving, startedMs}: RegistrationSummary,
  known: RegistrationSummary | undefined,
): boolean {
  if (known === undefined) return false;
  return isLeaving || startedMs > known.startedMs;
}
