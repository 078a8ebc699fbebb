/** A budget for retries. @packageDocumentation */

/** Retries that each request adds to the budget. */
export const RETRIES_PER_REQUEST = 0.1;

/** Most retries that the budget saves up. */
const MAX_SAVED_RETRIES = 20;

/** How fast a budget fills and how much it holds. */
export interface RetryBudgetShape {
  /** Retries that each request adds. */
  perRequest: number;
  /** Most retries that are saved up. */
  maxSaved: number;
}

const DEFAULT_SHAPE: RetryBudgetShape = {
  perRequest: RETRIES_PER_REQUEST,
  maxSaved: MAX_SAVED_RETRIES,
};

/**
 * Keeps the retries of a host under a share of its requests.
 *
 * Every request adds a fixed fraction, so at any moment the retries made are at
 * most that fraction of the requests seen, beside the reserve that it starts
 * with. Under overload no retry is granted and nothing is saved up, since a
 * retry there only adds load.
 */
export class RetryBudget {
  private saved: number;

  /**
   * @param overloaded - whether the host is refusing requests for load.
   * @param reserve - retries that are granted before any request was counted,
   *     so that a host with little traffic can retry at all.
   * @param shape - fraction that each request adds, and the most that is saved.
   */
  constructor(
    private readonly overloaded: () => boolean = () => false,
    reserve = 0,
    private shape: RetryBudgetShape = DEFAULT_SHAPE,
  ) {
    this.saved = Math.min(shape.maxSaved, reserve);
  }

  /** Counts a request; call it once for each, not for its retries. */
  noteRequest(): void {
    if (this.overloaded()) return;
    const {perRequest, maxSaved} = this.shape;
    this.saved = Math.min(maxSaved, this.saved + perRequest);
  }

  /** @param shape - holds from now on; what is saved beyond it is lost. */
  reshape(shape: RetryBudgetShape): void {
    this.shape = shape;
    this.saved = Math.min(shape.maxSaved, this.saved);
  }

  /** @param retries - are added to what is saved. */
  save(retries: number): void {
    this.saved = Math.min(this.shape.maxSaved, this.saved + retries);
  }

  /** @returns whether a retry may be made; it is then counted. */
  tryRetry(): boolean {
    if (this.overloaded() || this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
