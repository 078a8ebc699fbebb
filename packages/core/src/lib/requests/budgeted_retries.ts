/** Retries within a budget. @packageDocumentation */

import {RetryPolicy} from './retry_policy.js';

const RETRIES_PER_REQUEST = 0.1;
const MAX_SAVED_RETRIES = 10;

/**
 * Allows one retry for every ten requests, and a small burst of them after
 * quiet times, so that retries stay under 10% of requests under overload.
 */
export class BudgetedRetries extends RetryPolicy {
  private saved = MAX_SAVED_RETRIES;

  override noteRequest(): void {
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + RETRIES_PER_REQUEST);
  }

  override mayRetry(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
