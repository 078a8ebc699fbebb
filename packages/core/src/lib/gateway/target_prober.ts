/** Checks targets whose runs make no progress. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {TargetState} from './target_port.js';
import {KnownTarget} from './target_table.js';

/** How long the result of a check holds for other runs of the target. */
const RESULT_LIFETIME_MS = 150;

interface Probe {
  startedMs: number;
  state: Promise<TargetState>;
}

/** Shares the checks of a target among all runs that wait for it. */
export class TargetProber {
  private readonly probes = new Map<KnownTarget, Probe>();

  /**
   * @param clock - measures the age of results.
   * @param probe - checks a target once.
   */
  constructor(
    private readonly clock: Clock,
    private readonly probe: (target: KnownTarget) => Promise<TargetState>,
  ) {}

  /**
   * Checks a target.
   *
   * @param target - the target.
   * @returns its state, at most {@link RESULT_LIFETIME_MS} old.
   */
  async check(target: KnownTarget): Promise<TargetState> {
    const known = this.probes.get(target);
    if (known !== undefined) return known.state;
    const probe = {startedMs: this.clock.now(), state: this.probe(target)};
    this.probes.set(target, probe);
    try {
      return await probe.state;
    } finally {
      const ageMs = this.clock.now() - probe.startedMs;
      const forget = () => this.probes.delete(target);
      if (ageMs >= RESULT_LIFETIME_MS) forget();
      else this.clock.after(RESULT_LIFETIME_MS - ageMs, forget);
    }
  }
}
