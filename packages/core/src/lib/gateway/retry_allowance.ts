/** Retries of one host for each service. @packageDocumentation */

import {RetryBudget, RetryBudgetShape} from '../limits/retry_budget.js';
import {Clock} from '../time/clock.js';

/** What a {@link RetryAllowance} works with. */
export interface RetryAllowanceParts {
  clock: Clock;
  /**
   * Window in which the retries of all hosts are held. An earlier process of
   * this host may have used its part in the window before this one's start, so
   * that the reserve beyond the first retry is opened over one window.
   */
  windowMs: number;
  /** A budget's shape now; the number of hosts that share it may change. */
  shapeOf: () => RetryBudgetShape;
}

interface ServiceBudget {
  budget: RetryBudget;
  /** Part of the reserve that has been given, from 0 to 1. */
  openedPart: number;
}

/** A {@link RetryBudget} for each service. */
export class RetryAllowance {
  private readonly budgets = new Map<string, ServiceBudget>();
  private readonly startedMs: number;

  /** @param parts - see {@link RetryAllowanceParts}. */
  constructor(private readonly parts: RetryAllowanceParts) {
    this.startedMs = parts.clock.now();
  }

  /** Counts a request for a service. */
  noteRequest(service: string): void {
    this.budgetOf(service).noteRequest();
  }

  /** @returns whether a request may be sent once more; it is then counted. */
  tryRetry(service: string): boolean {
    return this.budgetOf(service).tryRetry();
  }

  private budgetOf(service: string): RetryBudget {
    const shape = this.parts.shapeOf();
    let known = this.budgets.get(service);
    if (known === undefined) {
      const budget = new RetryBudget(() => false, 0, shape);
      known = {budget, openedPart: 0};
      this.budgets.set(service, known);
    }
    const {budget} = known;
    budget.reshape(shape);
    const part = this.reservePart(shape);
    if (part > known.openedPart) {
      budget.save((part - known.openedPart) * shape.maxSaved);
      known.openedPart = part;
    }
    return budget;
  }

  private reservePart({maxSaved}: RetryBudgetShape): number {
    const {clock, windowMs} = this.parts;
    const ageMs = clock.now() - this.startedMs;
    const agePart = ageMs >= windowMs ? 1 : ageMs / windowMs;
    return Math.min(1, Math.max(agePart, 1 / maxSaved));
  }
}
