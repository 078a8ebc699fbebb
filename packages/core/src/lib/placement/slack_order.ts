/** Orders loads by deadline slack and waiting work. @packageDocumentation */

import {WaitingWork} from './demand_book.js';
import {LoadOrder} from './placement_policy.js';

/** Work with less slack than this many of its loads is urgent. */
const URGENT_LOADS = 3;

/**
 * Urgent work goes first, least slack ahead. All other work goes by the time
 * that its load takes for each request that waits, so that a long load for few
 * does not hold up many.
 */
export class SlackOrder extends LoadOrder {
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
