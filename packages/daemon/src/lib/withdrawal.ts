/** Ends requests whose caller loses its authorization. @packageDocumentation */

import {FAILURE, Outcome, REFUSAL, fail, refuse} from '@fuchsiacleat/core';

const WITHDRAWN_MESSAGE = 'the right to this request was withdrawn';

/**
 * Ends a request when its key or its team's right to the route is withdrawn.
 *
 * A request that has not started is refused. A started one is aborted if it is
 * repeatable; otherwise it runs to its end, since an abort would leave unknown
 * which part of it took effect.
 */
export class Withdrawal {
  private readonly abortController = new AbortController();
  private hasStarted = false;

  /** @param repeatable - whether running the request again is safe. */
  constructor(private readonly repeatable: boolean) {}

  /** Aborts when the request must end. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Records that a part of the request may have reached a target. */
  recordStart(): void {
    this.hasStarted = true;
  }

  /** Ends the request, unless it has started and is not repeatable. */
  withdraw(): void {
    if (this.hasStarted && !this.repeatable) return;
    this.abortController.abort();
  }

  /**
   * Wraps a run so that its outcome names the withdrawal as the cause.
   *
   * @param run - a run that the signal aborts.
   * @returns the run's events; the generator returns the outcome of the run, or
   *     a refusal or failure due to the withdrawn key if the signal aborted it
   *     before it was served.
   */
  async *wrapRun<Event>(
    run: AsyncGenerator<Event, Outcome>,
  ): AsyncGenerator<Event, Outcome> {
    const outcome = yield* run;
    if (!this.signal.aborted || outcome.type === 'served') return outcome;
    const notRun = outcome.type === 'refused' || !this.hasStarted;
    return notRun
      ? refuse(REFUSAL.keyWithdrawn, WITHDRAWN_MESSAGE)
      : fail(FAILURE.keyWithdrawn, WITHDRAWN_MESSAGE);
  }
}
