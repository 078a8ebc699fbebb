/** Checks the paths to all targets once one is lost. @packageDocumentation */

import {KnownTarget} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {DirectChecks} from './direct_checks.js';
import {PATH_REPLY, PathReply} from './path_messages.js';
import {PathTable} from './path_table.js';

/** Number of targets of which one is reached unless all paths are lost. */
const SAMPLE_SIZE = 12;

/** Number of targets that fail together by chance seldom enough. */
const MIN_CERTAIN_SAMPLE = 6;

/** Time after a survey in which another would show the same. */
const SURVEY_INTERVAL_MS = 1_000;

/** Dependencies of a {@link PathSurvey}. */
export interface PathSurveyParts {
  clock: Clock;
  random: Random;
  paths: PathTable;
  checks: DirectChecks;
  /**
   * Called with targets that this host does not reach.
   *
   * @param targets - the targets.
   * @param isSilent - whether most did not reply, rather than refuse.
   */
  onLost: (targets: KnownTarget[], isSilent: boolean) => void;
}

/** Finds out whether further paths, or all, are lost. */
export class PathSurvey {
  private running: Promise<void> | undefined;
  private endedMs = -Infinity;
  /** Whether the last survey looked for single paths as well. */
  private coversAnyLost = false;

  /** @param parts - see {@link PathSurveyParts}. */
  constructor(private readonly parts: PathSurveyParts) {}

  /**
   * Checks all paths that are not lost; at most one survey is under way.
   *
   * @param isAnyLost - whether a path is known to be lost. Otherwise, single
   *     targets that fail may have failed themselves.
   */
  run(isAnyLost: boolean): Promise<void> {
    const {clock} = this.parts;
    const isCovered = this.coversAnyLost || !isAnyLost;
    if (this.running !== undefined)
      return isCovered ? this.running : this.running.then(() => this.run(true));
    const isRecent = clock.now() - this.endedMs < SURVEY_INTERVAL_MS;
    if (isRecent && isCovered) return Promise.resolve();
    this.coversAnyLost = isAnyLost;
    this.running = this.checkPaths(isAnyLost).finally(() => {
      this.running = undefined;
      this.endedMs = clock.now();
    });
    return this.running;
  }

  private async checkPaths(isAnyLost: boolean): Promise<void> {
    const {paths, random} = this.parts;
    const rest = paths.reachable();
    const sample: KnownTarget[] = [];
    while (sample.length < SAMPLE_SIZE && rest.length > 0)
      sample.push(...rest.splice(random.int(0, rest.length - 1), 1));
    if (sample.length === 0) return;
    const isCertain = sample.length >= MIN_CERTAIN_SAMPLE;
    const failed = await this.findFailed(sample, isCertain);
    if (failed.size === sample.length) {
      this.reportLost([...failed.keys(), ...rest], failed);
      return;
    }
    if (!isAnyLost) return;
    const further = await this.findFailed(rest, false);
    const confirmed = isCertain
      ? await this.findFailed([...failed.keys()], true)
      : failed;
    const all = new Map([...confirmed, ...further]);
    if (all.size > 0) this.reportLost([...all.keys()], all);
  }

  /** Returns the targets that fail once, or twice in a row. */
  private async findFailed(
    targets: readonly KnownTarget[],
    isOnceEnough: boolean,
  ): Promise<Map<KnownTarget, PathReply>> {
    const {checks} = this.parts;
    const failed = withoutListening(await checks.checkAll(targets));
    if (isOnceEnough || failed.size === 0) return failed;
    return withoutListening(await checks.checkAll([...failed.keys()]));
  }

  private reportLost(
    targets: KnownTarget[],
    replies: Map<KnownTarget, PathReply>,
  ): void {
    let silent = 0;
    for (const reply of replies.values()) {
      if (reply === PATH_REPLY.silent) silent += 1;
    }
    this.parts.onLost(targets, silent * 2 > replies.size);
  }
}

function withoutListening(
  replies: Map<KnownTarget, PathReply>,
): Map<KnownTarget, PathReply> {
  for (const [target, reply] of replies) {
    const isFailed =
      reply === PATH_REPLY.silent || reply === PATH_REPLY.refused;
    if (!isFailed) replies.delete(target);
  }
  return replies;
}
