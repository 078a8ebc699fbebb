/** What bounds the resources that a process spends on its callers. @packageDocumentation */

import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {
  IntakeLimits,
  MachineLimits,
  deriveIntakeLimits,
} from './intake_limits.js';
import {IntakeEnd, IntakeLog} from './intake_log.js';
import {MemoryAccount} from './memory_account.js';

/** The parts that all listeners for callers of a process share. */
export interface Intake {
  /** Counts bodies and answers. */
  account: MemoryAccount;
  /** Counts unfinished heads, and requests that wait for earlier ones. */
  heads: MemoryAccount;
  limits: IntakeLimits;
  log: IntakeLog;
}

/** Options of {@link createIntake}. */
export interface IntakeOptions {
  clock: Clock;
  logger: Logger;
  machine: MachineLimits;
  /** Called for each refusal, for the metric. */
  onRefused?: (reason: IntakeEnd, number: number) => void;
}

/** Creates the account and the limits of a process. */
export function createIntake({
  clock,
  logger,
  machine,
  onRefused = () => {},
}: IntakeOptions): Intake {
  const limits = deriveIntakeLimits(machine);
  return {
    account: new MemoryAccount(clock, limits.accountBytes),
    heads: new MemoryAccount(clock, limits.headsBytes),
    limits,
    log: new IntakeLog(clock, logger, onRefused),
  };
}
