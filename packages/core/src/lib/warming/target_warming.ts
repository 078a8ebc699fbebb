/** Interface to what is known about the cold targets. @packageDocumentation */

import type {RegistrationSummary} from '../gateway/target_registration.js';

/** How long targets of a service are cold, and what they take meanwhile. */
export interface ColdSpec {
  /** Time for which a target is cold, in milliseconds. */
  coldMs: number;
  /** Requests per second that a cold target takes from all hosts together. */
  perSecond: number;
}

/** What a target, or a host on its behalf, says about how cold it is. */
export interface ColdReport {
  /** Time for which the target stays cold, in milliseconds; 0 if it is warm. */
  leftMs: number;
  /** Upper bound of the time since the target said so, in milliseconds. */
  ageMs: number;
}

/** Where the knowledge about a cold target comes from. */
export const COLD_SOURCE = {
  /** The target's registration, read from the store or passed on by a peer. */
  registration: 'registration',
  /** A health response of the target. */
  health: 'health',
  /** The target is new to this host and has not said how cold it is. */
  process: 'process',
  /** The evacuation of the target's zone has ended. */
  zone: 'zone',
  /** The target could not be reached and may have been restarted. */
  unreachable: 'unreachable',
  /** The lending host, which this host asked for a send. */
  lender: 'lender',
  /** A host that asked this one, the lending host, for a send. */
  peer: 'peer',
} as const;

/** One of {@link COLD_SOURCE}. */
export type ColdSource = (typeof COLD_SOURCE)[keyof typeof COLD_SOURCE];

/** Words of the target itself; the others are conclusions of hosts. */
export const OWN_WORDS: ReadonlySet<ColdSource> = new Set([
  COLD_SOURCE.registration,
  COLD_SOURCE.health,
]);

/** Until when a target counts as cold, and why. */
export interface ColdState {
  /** Clock time at which it counts as warm. */
  untilMs: number;
  /** Clock time that the knowledge describes. */
  asOfMs: number;
  source: ColdSource;
}

/** Knows which targets are cold. */
export abstract class TargetWarming {
  /** Whether any service declares that its targets can be cold. */
  abstract readonly isDeclared: boolean;

  /**
   * Records a registration.
   *
   * @param registration - the registration.
   * @param isNew - whether the target was not known before.
   * @returns whether the target counts as cold for longer than before.
   */
  abstract recordRegistration(
    registration: RegistrationSummary,
    isNew: boolean,
  ): boolean;

  /** Forgets a target that was removed; it may be cold when it returns. */
  abstract forget(id: string): void;

  /**
   * Records a report.
   *
   * @param target - the target.
   * @param report - see {@link ColdReport}.
   * @param source - where it comes from.
   * @returns whether the target counts as cold for longer than before.
   */
  abstract recordReport(
    target: RegistrationSummary,
    report: ColdReport,
    source: ColdSource,
  ): boolean;

  /**
   * Records that a target could not be reached. Its process may have ended, and
   * a registration of the next one may not have arrived yet.
   *
   * @returns whether the target counts as cold for longer than before.
   */
  abstract recordUnreachable(target: RegistrationSummary): boolean;

  /**
   * Returns what is known about a target.
   *
   * @returns the state; undefined if the targets of its service are never cold.
   */
  abstract stateOf(target: RegistrationSummary): ColdState | undefined;

  /** Returns the time for which a target stays cold, in milliseconds. */
  abstract leftMs(target: RegistrationSummary): number;

  /**
   * Returns the requests per second that the lending host grants to a cold
   * target; undefined if the target is warm.
   */
  abstract perSecond(target: RegistrationSummary): number | undefined;
}

/** Knowledge of a host whose targets are never cold. */
export class NeverCold extends TargetWarming {
  override readonly isDeclared = false;

  override recordRegistration(): boolean {
    return false;
  }

  override forget(): void {}

  override recordReport(): boolean {
    return false;
  }

  override recordUnreachable(): boolean {
    return false;
  }

  override stateOf(): undefined {
    return undefined;
  }

  override leftMs(): number {
    return 0;
  }

  override perSecond(): undefined {
    return undefined;
  }
}
