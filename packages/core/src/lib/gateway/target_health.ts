/** Health of a target, as observed by this host's own requests. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Time for which a target is avoided after a first failure. */
const FIRST_AVOID_MS = 500;

/** Maximum time for which a target is avoided before it is tried again. */
const MAX_AVOID_MS = 4_000;

/** Weight of a new answer in the moving average of the failure rate. */
const FAILURE_WEIGHT = 0.2;

/**
 * A circuit breaker without probes: a target that fails is avoided for a time
 * that doubles with each consecutive failure.
 */
export class TargetHealth {
  private avoidUntilMs = -Infinity;
  private consecutiveFailures = 0;
  private failureRate = 0;

  /** @param clock - measures how long the target is avoided. */
  constructor(private readonly clock: Clock) {}

  /** Whether other targets are preferred. */
  get isAvoided(): boolean {
    return this.clock.now() < this.avoidUntilMs;
  }

  /** Moving average of the fraction of failed requests, from 0 to 1. */
  get recentFailures(): number {
    return this.failureRate;
  }

  /** Records an answer that is no failure of the target. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.avoidUntilMs = -Infinity;
    this.failureRate *= 1 - FAILURE_WEIGHT;
  }

  /** Records an answer with an error of the target. */
  recordErrorAnswer(): void {
    this.failureRate += FAILURE_WEIGHT * (1 - this.failureRate);
  }

  /**
   * Prefers other targets for a time.
   *
   * @param forMs - for how long, in milliseconds.
   */
  avoid(forMs: number): void {
    this.avoidUntilMs = this.clock.now() + forMs;
  }

  /**
   * Records that the target could not be reached, or that its answer broke off.
   *
   * @returns for how long the target is avoided, in milliseconds.
   */
  recordFailure(): number {
    this.recordErrorAnswer();
    const doubled = FIRST_AVOID_MS * 2 ** this.consecutiveFailures;
    const avoidMs = Math.min(MAX_AVOID_MS, doubled);
    this.consecutiveFailures += 1;
    this.avoid(avoidMs);
    return avoidMs;
  }

  /** Forgets failures that were not the target's. */
  forgive(): void {
    this.consecutiveFailures = 0;
    this.avoidUntilMs = -Infinity;
    this.failureRate = 0;
  }
}
