/** Checks targets whose runs make no progress. @packageDocumentation */

import {PathView, UncheckedPaths} from '../paths/path_view.js';
import {Clock} from '../time/clock.js';
import {TARGET_STATE, TargetState} from './target_port.js';
import {KnownTarget} from './target_table.js';

/** Time for which a target that has sent anything needs no check. */
const HEARD_LIFETIME_MS = 400;

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
    private readonly paths: PathView = new UncheckedPaths(),
  ) {}

  /**
   * Checks a target.
   *
   * @param target - the target.
   * @returns its state, at most {@link RESULT_LIFETIME_MS} old.
   */
  async check(target: KnownTarget): Promise<TargetState> {
    if (target.silentMs < HEARD_LIFETIME_MS) return TARGET_STATE.responsive;
    if (target.isEvacuated) return TARGET_STATE.unchecked;
    const known = this.probes.get(target);
    if (known !== undefined) return known.state;
    const probe = {startedMs: this.clock.now(), state: this.probeOnce(target)};
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

  private async probeOnce(target: KnownTarget): Promise<TargetState> {
    // Another host probes then, so that the result is not that of the path.
    const isTunneled = this.paths.isLost(target);
    const state = await this.probe(target);
    const isReached =
      state === TARGET_STATE.responsive || state === TARGET_STATE.silent;
    if (!isReached && !isTunneled) {
      // Not awaited: a run at a lost target has to go on elsewhere soon.
      void this.paths.judge(target);
      if (this.paths.isLost(target)) return TARGET_STATE.unchecked;
    }
    // A target that leaves stops listening before it has finished its runs.
    const mayFinish = target.isLeaving || target.isRemoved;
    return state === TARGET_STATE.ended && mayFinish
      ? TARGET_STATE.silent
      : state;
  }
}
