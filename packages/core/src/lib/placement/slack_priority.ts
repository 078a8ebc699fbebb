/** Ranks loads by deadline slack and number of waiting requests. @packageDocumentation */

import {WaitingWork} from './waiting_demand.js';
import {LoadPriority} from './placement_policy.js';

/** Work is urgent if its slack is below this multiple of its load duration. */
const URGENT_LOADS = 3;

/**
 * Ranks urgent work first, by least slack. Ranks all other work by load
 * duration per waiting request, so that a long load for few requests does not
 * delay many others.
 */
export class SlackPriority extends LoadPriority {
  override rank(
    {deadlineMs, waiting}: WaitingWork,
    loadMs: number,
    nowMs: number,
  ): number {
    const slackMs = deadlineMs - nowMs - loadMs;
    if (slackMs < URGENT_LOADS * loadMs)
      return slackMs - Number.MAX_SAFE_INTEGER;
    return loadMs / waiting;
  }
}
