/** What becomes of a request whose caller loses the right to it. @packageDocumentation */

import {FAILURE, Outcome, REFUSAL, fail, refuse} from '@fuchsiacleat/core';

const MESSAGE = 'the right to this request was withdrawn';

/**
 * Ends a request when its key, or its team's right to the route, goes.
 *
 * A request that was not started is refused, a started one that may be
 * repeated is aborted, and a started one that may not be repeated is left to
 * finish, since nobody could tell how far it came.
 */
export class Withdrawal {
  private readonly abort = new AbortController();
  private started = false;

  /** @param repeatable - whether the request may be run again. */
  constructor(private readonly repeatable: boolean) {}

  /** Aborts when the request shall end. */
  get signal(): AbortSignal {
    return this.abort.signal;
  }

  /** From now on a part of the request may have reached a target. */
  noteStart(): void {
    this.started = true;
  }

  /** The caller has lost the right to the request. */
  withdraw(): void {
    if (this.started && !this.repeatable) return;
    this.abort.abort();
  }

  /**
   * @param run - a run that the signal aborts.
   * @returns its events; the generator returns the outcome that says why the
   *     run was aborted.
   */
  async *explain<Event>(
    run: AsyncGenerator<Event, Outcome>,
  ): AsyncGenerator<Event, Outcome> {
    const outcome = yield* run;
    if (!this.signal.aborted || outcome.type === 'served') return outcome;
    const notRun = outcome.type === 'refused' || !this.started;
    return notRun
      ? refuse(REFUSAL.keyWithdrawn, MESSAGE)
      : fail(FAILURE.keyWithdrawn, MESSAGE);
  }
}
