/** An interruptible sleep. @packageDocumentation */

import {Clock} from './clock.js';

/** Lets one task sleep until a delay is over or another task wakes it. */
export class WakeableSleep {
  private waker = new AbortController();

  /** @param clock - measures the delay. */
  constructor(private readonly clock: Clock) {}

  /** Ends the current sleep, or the next one if the task is not asleep. */
  wake(): void {
    this.waker.abort();
  }

  /**
   * Sleeps until the delay is over, {@link WakeableSleep.wake} is called or
   * the signal aborts.
   *
   * @param delayMs - longest sleep in milliseconds.
   * @param signal - ends the sleep when it aborts.
   */
  async sleep(delayMs: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const wake = () => this.wake();
    signal.addEventListener('abort', wake);
    await this.clock.sleep(delayMs, this.waker.signal);
    signal.removeEventListener('abort', wake);
    if (this.waker.signal.aborted) this.waker = new AbortController();
  }
}
