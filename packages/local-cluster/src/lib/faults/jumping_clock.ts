/** A clock that can miss time, as that of a paused process. @packageDocumentation */

import {SystemClock} from '@fuchsiacleat/core';

/** The system's clock, moved ahead by each pause. */
export class JumpingClock extends SystemClock {
  private jumpedMs = 0;

  /** Time that pauses have taken so far, in milliseconds. */
  get totalJumpMs(): number {
    return this.jumpedMs;
  }

  override now(): number {
    return super.now() + this.jumpedMs;
  }

  /** @param durationMs - time that passes without any timer running. */
  jump(durationMs: number): void {
    this.jumpedMs += durationMs;
  }
}
