/** Progress of a run that may crash its target. @packageDocumentation */

import {Clock} from '../time/clock.js';

/**
 * Time after the first byte of an answer from which the target has withstood
 * the request, even if the answer is not complete.
 */
const WITHSTOOD_AFTER_MS = 250;

/** Observes how far the answer to one send of a request has come. */
export class GuardedRun {
  /** Whether the head of the answer has arrived. */
  hasBegun = false;
  /** Whether the target has withstood the request. */
  isProven = false;
  private firstByteMs: number | undefined;

  /**
   * @param clock - measures the progress.
   * @param onProven - called once the target has withstood the request, with
   *     the clock time at which it began to answer.
   */
  constructor(
    private readonly clock: Clock,
    private readonly onProven: (begunMs: number) => void,
  ) {}

  /** Records bytes of the answer's body. */
  recordBytes(): void {
    if (this.isProven) return;
    const nowMs = this.clock.now();
    this.firstByteMs ??= nowMs;
    if (nowMs - this.firstByteMs >= WITHSTOOD_AFTER_MS) this.prove();
  }

  /** Records that the answer is complete. */
  recordComplete(): void {
    this.firstByteMs ??= this.clock.now();
    if (!this.isProven) this.prove();
  }

  private prove(): void {
    this.isProven = true;
    this.onProven(this.firstByteMs!);
  }
}
