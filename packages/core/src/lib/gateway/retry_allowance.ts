/** Retries of one host for each service. @packageDocumentation */

import {RetryBudget, RetryBudgetShape} from '../limits/retry_budget.js';

/** A {@link RetryBudget} for each service. */
export class RetryAllowance {
  private readonly budgets = new Map<string, RetryBudget>();

  /** @param shapeOf - a budget's shape; asked at a service's first request. */
  constructor(private readonly shapeOf: () => RetryBudgetShape) {}

  /** Counts a request for a service. */
  noteRequest(service: string): void {
    this.budgetOf(service).noteRequest();
  }

  /** @returns whether a request may be sent once more; it is then counted. */
  tryRetry(service: string): boolean {
    return this.budgetOf(service).tryRetry();
  }

  private budgetOf(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      const shape = this.shapeOf();
      budget = new RetryBudget(() => false, shape.maxSaved, shape);
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
