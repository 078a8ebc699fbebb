/** A pause that can be ended early. @packageDocumentation */

import {Clock} from './clock.js';

/** Lets one task sleep until its time is over or it is woken. */
export class WakeableSleep {
  private woken = new AbortController();

  /** @param clock - measures the pause. */
  constructor(private readonly clock: Clock) {}

  /** Ends the pause, or the next one if the task does not sleep now. */
  wake(): void {
    this.woken.abort();
  }

  /**
   * @param delayMs - longest pause in milliseconds.
   * @param signal - ends it too.
   */
  async sleep(delayMs: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const wake = () => this.wake();
    signal.addEventListener('abort', wake);
    await this.clock.sleep(delayMs, this.woken.signal);
    signal.removeEventListener('abort', wake);
    if (this.woken.signal.aborted) this.woken = new AbortController();
  }
}
