/** Retry budgets of a host, one for each service. @packageDocumentation */

import {RetryBudget, RetryBudgetShape} from '../limits/retry_budget.js';
import {Clock} from '../time/clock.js';

/** Dependencies and settings of a {@link RetryAllowance}. */
export interface RetryAllowanceParts {
  clock: Clock;
  /**
   * Length of the window in which the retries of all hosts are limited. An
   * earlier process of this host may have used its share shortly before this
   * one started, so the reserve beyond the first retry is granted gradually
   * over one window.
   */
  windowMs: number;
  /**
   * Returns the current limits of a budget; they depend on the number of hosts.
   */
  currentShape: () => RetryBudgetShape;
}

interface ServiceBudget {
  budget: RetryBudget;
  /** Fraction of the reserve that was granted so far, from 0 to 1. */
  grantedFraction: number;
}

/** Keeps a {@link RetryBudget} for each service. */
export class RetryAllowance {
  private readonly budgets = new Map<string, ServiceBudget>();
  private readonly startedMs: number;

  /**
   * @param parts - dependencies and settings, see {@link RetryAllowanceParts}.
   */
  constructor(private readonly parts: RetryAllowanceParts) {
    this.startedMs = parts.clock.now();
  }

  /**
   * Counts a request.
   *
   * @param service - name of its service.
   */
  countRequest(service: string): void {
    this.budgetOf(service).recordRequest();
  }

  /**
   * Takes a retry from the budget of a service.
   *
   * @param service - name of the service.
   * @returns whether a request may be sent again.
   */
  tryRetry(service: string): boolean {
    return this.budgetOf(service).tryRetry();
  }

  private budgetOf(service: string): RetryBudget {
    const shape = this.parts.currentShape();
    let entry = this.budgets.get(service);
    if (entry === undefined) {
      const budget = new RetryBudget(() => false, 0, shape);
      entry = {budget, grantedFraction: 0};
      this.budgets.set(service, entry);
    }
    const {budget} = entry;
    budget.reshape(shape);
    const fraction = this.reserveFraction(shape);
    if (fraction > entry.grantedFraction) {
      budget.addRetries((fraction - entry.grantedFraction) * shape.maxSaved);
      entry.grantedFraction = fraction;
    }
    return budget;
  }

  private reserveFraction({maxSaved}: RetryBudgetShape): number {
    const {clock, windowMs} = this.parts;
    const ageMs = clock.now() - this.startedMs;
    const ageFraction = ageMs >= windowMs ? 1 : ageMs / windowMs;
    return Math.min(1, Math.max(ageFraction, 1 / maxSaved));
  }
}
