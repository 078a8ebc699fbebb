/** Permission to send a request to a target. @packageDocumentation */

import type {KnownTarget} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {COLD_PERMIT_MS} from '../warming/cold_pace.js';

/**
 * Permission to send one request to a target. A cold target may only be sent
 * what was granted for this moment, also if it has become cold since the
 * request had selected it.
 */
export class SendPermit {
  /**
   * @param clock - measures how long the permission holds.
   * @param target - the target.
   * @param dueMs - clock time for which the send was granted; undefined if the
   *     target was sent to without asking.
   */
  constructor(
    private readonly clock: Clock,
    private readonly target: KnownTarget,
    private readonly dueMs: number | undefined,
  ) {}

  /** Whether the request may be written now. */
  get isValid(): boolean {
    if (this.target.coldLeftMs <= 0) return true;
    if (this.dueMs === undefined) return false;
    return this.clock.now() - this.dueMs <= COLD_PERMIT_MS;
  }
}
