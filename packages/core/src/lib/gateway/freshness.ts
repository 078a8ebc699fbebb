/** How old this host's knowledge of the configuration is. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {SuspensionWatch} from '../time/suspension_watch.js';

/**
 * Remembers when the platform last confirmed the configuration in force.
 *
 * A key may have been withdrawn since then, so requests with keys are refused
 * once the confirmation is too old. A pause of the host that the monotonic
 * clock does not count ends the validity at once.
 */
export class Freshness {
  private confirmedMs = -Infinity;
  private readonly watch: SuspensionWatch;

  /**
   * @param clock - monotonic and wall time.
   * @param maxAgeMs - age from which the knowledge is stale.
   */
  constructor(
    private readonly clock: Clock,
    private readonly maxAgeMs: number,
  ) {
    this.watch = new SuspensionWatch(clock);
  }

  /**
   * Notes that the configuration in force was the newest.
   *
   * @param askedMs - clock time before the platform was asked, or from which
   *     it is certain that its answer is not older.
   */
  confirm(askedMs: number): void {
    if (this.watch.suspendedSince(askedMs)) return;
    this.confirmedMs = Math.max(this.confirmedMs, askedMs);
  }

  /** Age of the newest confirmation in milliseconds; Infinity without one. */
  get ageMs(): number {
    if (this.watch.suspendedSince(this.confirmedMs)) return Infinity;
    return this.clock.now() - this.confirmedMs;
  }

  /** Whether requests with keys may run. */
  get isFresh(): boolean {
    return this.ageMs <= this.maxAgeMs;
  }
}
