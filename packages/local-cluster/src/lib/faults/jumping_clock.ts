/** Clock that can jump ahead, as after a pause of the process. @packageDocumentation */

import {SystemClock} from '@fuchsiacleat/core';

/** System clock that each simulated pause moves ahead. */
export class JumpingClock extends SystemClock {
  private jumpedMs = 0;

  /** Sum of all jumps so far, in milliseconds. */
  get totalJumpMs(): number {
    return this.jumpedMs;
  }

  override now(): number {
    return super.now() + this.jumpedMs;
  }

  /**
   * Moves the clock ahead without running any timer.
   *
   * @param durationMs - size of the jump, in milliseconds.
   */
  jump(durationMs: number): void {
    this.jumpedMs += durationMs;
  }
}
