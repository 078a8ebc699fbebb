/** Retry budget. @packageDocumentation */

/** Default number of retries that each request adds to the budget. */
export const RETRIES_PER_REQUEST = 0.1;

/** Default maximum number of retries that accumulate. */
const MAX_SAVED_RETRIES = 20;

/** Fill rate and capacity of a retry budget. */
export interface RetryBudgetShape {
  /** Retries that each request adds. */
  perRequest: number;
  /** Maximum number of retries that accumulate. */
  maxSaved: number;
}

const DEFAULT_SHAPE: RetryBudgetShape = {
  perRequest: RETRIES_PER_REQUEST,
  maxSaved: MAX_SAVED_RETRIES,
};

/**
 * Limits the retries of a host to a fraction of its requests.
 *
 * Each request adds a fixed fraction of a retry, so the retries made so far
 * never exceed that fraction of the requests, plus the initial reserve. Under
 * overload no retry is granted and none accumulates, since a retry would only
 * add load.
 */
export class RetryBudget {
  private saved: number;

  /**
   * @param isOverloaded - returns whether the host is refusing requests because
   *     of overload.
   * @param reserve - retries available before any request was counted, so that
   *     a host with little traffic can retry at all.
   * @param shape - fill rate and capacity.
   */
  constructor(
    private readonly isOverloaded: () => boolean = () => false,
    reserve = 0,
    private shape: RetryBudgetShape = DEFAULT_SHAPE,
  ) {
    this.saved = Math.min(shape.maxSaved, reserve);
  }

  /** Counts a request. Must be called once per request, not per attempt. */
  recordRequest(): void {
    if (this.isOverloaded()) return;
    const {perRequest, maxSaved} = this.shape;
    this.saved = Math.min(maxSaved, this.saved + perRequest);
  }

  /**
   * Changes fill rate and capacity; retries beyond the capacity are discarded.
   *
   * @param shape - new fill rate and capacity.
   */
  reshape(shape: RetryBudgetShape): void {
    this.shape = shape;
    this.saved = Math.min(shape.maxSaved, this.saved);
  }

  /**
   * Adds retries to the budget, up to its capacity.
   *
   * @param retries - number of retries to add.
   */
  addRetries(retries: number): void {
    this.saved = Math.min(this.shape.maxSaved, this.saved + retries);
  }

  /**
   * Takes a retry from the budget if one is available.
   *
   * @returns whether the retry may be made.
   */
  tryRetry(): boolean {
    if (this.isOverloaded() || this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
