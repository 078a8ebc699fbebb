/** A budget for retries. @packageDocumentation */

/** Retries that each request adds to the budget. */
export const RETRIES_PER_REQUEST = 0.1;

/** Most retries that the budget saves up. */
const MAX_SAVED_RETRIES = 20;

/**
 * Keeps the retries of a host under a tenth of its requests.
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
   */
  constructor(
    private readonly overloaded: () => boolean = () => false,
    reserve = 0,
  ) {
    this.saved = Math.min(MAX_SAVED_RETRIES, reserve);
  }

  /** Counts a request; call it once for each, not for its retries. */
  noteRequest(): void {
    if (this.overloaded()) return;
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + RETRIES_PER_REQUEST);
  }

  /** @returns whether a retry may be made; it is then counted. */
  tryRetry(): boolean {
    if (this.overloaded() || this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
