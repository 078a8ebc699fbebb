/** What a host's own requests say about a target's health. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** First time that a target is avoided after it could not be reached. */
const FIRST_AVOID_MS = 500;

/** Longest time that a target is avoided before it is tried again. */
const MAX_AVOID_MS = 4_000;

/** Share of a newer answer in the moving failure rate. */
const FAILURE_WEIGHT = 0.2;

/**
 * A circuit breaker that needs no probes: a target that fails is avoided for a
 * time that doubles with each failure in a row.
 */
export class TargetHealth {
  private avoidUntilMs = -Infinity;
  private failuresInRow = 0;
  private failureRate = 0;

  /** @param clock - measures how long it is avoided. */
  constructor(private readonly clock: Clock) {}

  /** Whether other targets go first. */
  get isAvoided(): boolean {
    return this.clock.now() < this.avoidUntilMs;
  }

  /** Moving share of requests that failed, from 0 to 1. */
  get recentFailures(): number {
    return this.failureRate;
  }

  /** Notes an answer that was no failure of the target. */
  succeeded(): void {
    this.failuresInRow = 0;
    this.avoidUntilMs = -Infinity;
    this.failureRate *= 1 - FAILURE_WEIGHT;
  }

  /** Notes an answer that says that the target failed at its work. */
  answeredFailure(): void {
    this.failureRate += FAILURE_WEIGHT * (1 - this.failureRate);
  }

  /** Lets other targets go first for a time. */
  avoid(forMs: number): void {
    this.avoidUntilMs = this.clock.now() + forMs;
  }

  /**
   * Notes that the target was not reached, or broke off.
   *
   * @returns for how long it is avoided, in milliseconds.
   */
  failed(): number {
    this.answeredFailure();
    const doubled = FIRST_AVOID_MS * 2 ** this.failuresInRow;
    const avoidMs = Math.min(MAX_AVOID_MS, doubled);
    this.failuresInRow += 1;
    this.avoid(avoidMs);
    return avoidMs;
  }
}
