/** Finds out when lost paths are sound again. @packageDocumentation */

import {KnownTarget} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {DirectChecks} from './direct_checks.js';
import {PATH_REPLY} from './path_messages.js';
import {PathTable} from './path_table.js';

/** Time between checks of lost paths, and of the last few of them. */
const CHECK_INTERVAL_MS = 500;
const MAX_CHECK_INTERVAL_MS = 4_000;

/** Lost paths that are checked at a time. */
const CHECKS = 2;

/** Successful checks in a row after which a path is sound. */
const MIN_SUCCESSES = 2;

/** Dependencies of a {@link PathRecovery}. */
export interface PathRecoveryParts {
  clock: Clock;
  random: Random;
  paths: PathTable;
  checks: DirectChecks;
  /** Called with targets whose paths are sound again. */
  onRegained: (targets: KnownTarget[]) => void;
}

/** Checks lost paths in the background. */
export class PathRecovery {
  private intervalMs = CHECK_INTERVAL_MS;
  private lostBefore = 0;

  /** @param parts - see {@link PathRecoveryParts}. */
  constructor(private readonly parts: PathRecoveryParts) {}

  /**
   * Checks lost paths until the signal aborts.
   *
   * @param signal - stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    let checkedMs = -Infinity;
    const {clock, paths} = this.parts;
    await clock.every(CHECK_INTERVAL_MS, signal, async () => {
      if (!paths.hasLost) return;
      if (paths.countLost > this.lostBefore)
        this.intervalMs = CHECK_INTERVAL_MS;
      this.lostBefore = paths.countLost;
      if (clock.now() - checkedMs < this.intervalMs) return;
      checkedMs = clock.now();
      await this.check();
    });
  }

  private async check(): Promise<void> {
    const {checks, paths, random} = this.parts;
    paths.prune();
    const lost = paths.lost();
    const chosen: KnownTarget[] = [];
    const left = [...lost];
    while (chosen.length < CHECKS && left.length > 0)
      chosen.push(...left.splice(random.int(0, left.length - 1), 1));
    const replies = await checks.checkAll(chosen);
    if (![...replies.values()].includes(PATH_REPLY.listening)) {
      // What is left may be targets that have failed.
      if (paths.cutOffSinceMs === undefined)
        this.intervalMs = Math.min(MAX_CHECK_INTERVAL_MS, this.intervalMs * 2);
      return;
    }
    this.intervalMs = CHECK_INTERVAL_MS;
    let candidates = lost;
    for (let round = 0; round < MIN_SUCCESSES; round++)
      candidates = await this.keepListening(candidates);
    for (const target of candidates) paths.regain(target);
    if (candidates.length > 0) this.parts.onRegained(candidates);
  }

  private async keepListening(
    targets: readonly KnownTarget[],
  ): Promise<KnownTarget[]> {
    const replies = await this.parts.checks.checkAll(targets);
    return targets.filter(
      target => replies.get(target) === PATH_REPLY.listening,
    );
  }
}
