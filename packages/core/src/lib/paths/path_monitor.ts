/** Knows by which paths this host reaches targets. @packageDocumentation */

import {KnownTarget, TargetTable} from '../gateway/target_table.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Logger} from '../telemetry/logger.js';
import {Clock, Timer} from '../time/clock.js';
import {Random} from '../time/random.js';
import {DirectChecks} from './direct_checks.js';
import {HelperChoice} from './helper_choice.js';
import {HelperDirectory} from './helper_directory.js';
import {PathJudge} from './path_judge.js';
import {PATH_REPLY} from './path_messages.js';
import {PathRecovery} from './path_recovery.js';
import {PathSurvey} from './path_survey.js';
import {PathState, PathTable, isCheckable} from './path_table.js';
import {PATH_VERDICT, PathVerdict, PathView} from './path_view.js';
import {SilenceWatch} from './silence_watch.js';
import {DIRECT_PATH, TargetPath, TargetPaths} from './target_paths.js';

/** Time after which the set-up of a direct connection is suspicious. */
const SLOW_CONNECT_MS = 250;

/** The same over a helper, which itself waits 300 ms for the target. */
const SLOW_TUNNEL_MS = 450;

/** Error codes of connections, see {@link TargetPaths}. */
const TUNNEL_FAILED = 'ERR_TUNNEL';
const REFUSED = 'ECONNREFUSED';

/** How long a verdict holds, and one that blames the target. */
const VERDICT_LIFETIME_MS = 300;
const FAILED_LIFETIME_MS = 1_000;

/** Most targets that are judged at the same time. */
const MAX_JUDGEMENTS = 4;

/**
 * Time after the loss of a path at which connections that have gone silent are
 * given up.
 */
const ABANDON_AFTER_MS = 500;

/** Before any connection has received anything. */
const BEFORE_ALL_MS = -Number.MAX_VALUE;

/**
 * Interval of the checks whether the helpers are up to date, and the age up to
 * which they are soon after a loss: other hosts may have lost paths with this one.
 */
const REFRESH_CHECK_INTERVAL_MS = 500;
const NEW_LOSS_MS = 3_000;
const NEW_LOSS_LIST_AGE_MS = 1_000;

/** Why a path is suspected. */
const SUSPICION = {
  slowConnect: 'slow-connect',
  connectFailure: 'connect-failure',
  silence: 'silence',
  asked: 'asked',
} as const;

type Suspicion = (typeof SUSPICION)[keyof typeof SUSPICION];

/** Dependencies of a {@link PathMonitor}. */
export interface PathMonitorParts {
  clock: Clock;
  random: Random;
  logger: Logger;
  tasks: TaskSupervisor;
  targets: TargetTable;
  paths: PathTable;
  checks: DirectChecks;
  choice: HelperChoice;
  directory: HelperDirectory;
  judge: PathJudge;
  /**
   * Resets direct connections to a target that have received nothing since a
   * clock time, the set-up included. Requests that can't be repeated keep theirs.
   */
  abandonSilent: (target: KnownTarget, sinceMs: number) => void;
}

/** Finds lost paths, and replaces them by tunnels through other hosts. */
export class PathMonitor extends TargetPaths implements PathView {
  private readonly survey: PathSurvey;
  private readonly recovery: PathRecovery;
  private readonly silence: SilenceWatch;
  private readonly judging = new Set<Promise<PathVerdict>>();
  private wasCutOff = false;
  /** Clock time at which the last loss was first suspected. */
  private suspectedMs = -Infinity;
  /** Clock time of the last loss. */
  private lostMs = -Infinity;
  private abandonTimer: Timer | undefined;
  private readonly lostListeners: Array<(count: number) => void> = [];

  /** @param parts - see {@link PathMonitorParts}. */
  constructor(private readonly parts: PathMonitorParts) {
    super();
    this.survey = new PathSurvey({
      ...parts,
      onLost: (targets, isSilent) => this.lose(targets, isSilent),
    });
    this.recovery = new PathRecovery({
      ...parts,
      onRegained: targets => this.recordRegained(targets),
    });
    this.silence = new SilenceWatch({
      ...parts,
      onSilent: target => this.check(target, SUSPICION.silence),
    });
  }

  /** @param listener - called with the number of paths that were lost. */
  onLost(listener: (count: number) => void): void {
    this.lostListeners.push(listener);
  }

  /**
   * Watches the paths until the signal aborts.
   *
   * @param signal - stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const refresh = () => this.refreshHelpers(signal);
    await Promise.all([
      this.silence.run(signal),
      this.recovery.run(signal),
      this.parts.clock.every(REFRESH_CHECK_INTERVAL_MS, signal, refresh),
    ]);
  }

  /** Whether this host reaches no target directly. */
  get isCutOff(): boolean {
    return this.parts.paths.cutOffSinceMs !== undefined;
  }

  override pathTo(target: KnownTarget): TargetPath {
    if (!this.isLost(target)) return DIRECT_PATH;
    const helper = this.parts.choice.helperOf(target.registration.id);
    if (helper === undefined) return DIRECT_PATH;
    const {address, host} = helper;
    return {type: 'tunnel', host, address};
  }

  override recordConnecting(target: KnownTarget, path: TargetPath): () => void {
    const {choice, clock} = this.parts;
    const timer =
      path.type === 'tunnel'
        ? clock.after(SLOW_TUNNEL_MS, () =>
            choice.recordFailure(path.host, false, SUSPICION.slowConnect),
          )
        : clock.after(SLOW_CONNECT_MS, () =>
            this.check(target, SUSPICION.slowConnect),
          );
    return () => timer.cancel();
  }

  override recordConnected(target: KnownTarget, path: TargetPath): void {
    const {choice, clock, paths} = this.parts;
    if (path.type === 'tunnel') choice.recordSuccess(path.host);
    else paths.of(target).connectedMs = clock.now();
  }

  override recordConnectFailure(
    target: KnownTarget,
    path: TargetPath,
    code: string | undefined,
  ): void {
    if (path.type === 'direct') {
      this.check(target, SUSPICION.connectFailure);
    } else if (code !== REFUSED) {
      const reason = code ?? 'unknown';
      const isCertain = code === TUNNEL_FAILED;
      this.parts.choice.recordFailure(path.host, isCertain, reason);
    }
  }

  override recordFault(
    {registration: {id}}: KnownTarget,
    path: TargetPath,
    fault: Error,
  ): void {
    const helper = path.type === 'tunnel' ? path.host : undefined;
    const subject = {target: id, helper};
    this.parts.tasks.recordFailure('connection', fault.cause, subject);
  }

  override recordReceived(target: KnownTarget, path: TargetPath): void {
    if (path.type === 'direct') this.silence.recordReceived(target);
  }

  get hasLost(): boolean {
    return this.parts.paths.hasLost;
  }

  isLost(target: KnownTarget): boolean {
    return this.parts.paths.isLost(target);
  }

  canReach(target: KnownTarget): boolean {
    return !this.isLost(target) || this.parts.choice.hasUsable;
  }

  judge(target: KnownTarget): Promise<PathVerdict> {
    return this.suspect(target, SUSPICION.asked);
  }

  /** Finds out in the background why this host does not reach a target. */
  checkLater(target: KnownTarget): void {
    this.check(target, SUSPICION.asked);
  }

  async confirmEnded(target: KnownTarget): Promise<boolean> {
    const {choice, judge, logger} = this.parts;
    const reply = await judge.askHelpers(target);
    if (reply === PATH_REPLY.listening)
      this.check(target, SUSPICION.connectFailure);
    const isAlone = reply === PATH_REPLY.unchecked && choice.isEmpty;
    const isConfirmed = isAlone
      ? !this.isLost(target)
      : reply === PATH_REPLY.refused;
    if (!isConfirmed) {
      const {id, startedMs} = target.registration;
      logger.info('target_end_unconfirmed', {
        target: id,
        started: startedMs,
        reply,
      });
    }
    return isConfirmed;
  }

  /** Judges a path in the background. */
  private check(target: KnownTarget, cause: Suspicion): void {
    const subject = {target: target.registration.id};
    const work = () => this.suspect(target, cause);
    void this.parts.tasks.run('path_check', work, subject);
  }

  /** Judges a path unless its state is known. */
  private async suspect(
    target: KnownTarget,
    cause: Suspicion,
  ): Promise<PathVerdict> {
    const {paths} = this.parts;
    const state = paths.of(target);
    // Many paths are suspected at the same time when all are lost.
    while (this.judging.size >= MAX_JUDGEMENTS && state.judging === undefined) {
      if (state.isLost) break;
      await Promise.race(this.judging);
    }
    if (state.isLost) return PATH_VERDICT.lost;
    if (!isCheckable(target)) return PATH_VERDICT.unknown;
    const known = this.recentVerdict(state);
    if (known !== undefined) return known;
    if (state.judging === undefined) {
      const judging = this.investigateSafely(target, state, cause).finally(
        () => {
          state.judging = undefined;
          this.judging.delete(judging);
        },
      );
      state.judging = judging;
      this.judging.add(judging);
    }
    return state.judging;
  }

  private recentVerdict(state: PathState): PathVerdict | undefined {
    if (state.verdict === undefined) return undefined;
    const isFailed =
      state.verdict === PATH_VERDICT.targetEnded ||
      state.verdict === PATH_VERDICT.targetSilent;
    const lifetimeMs = isFailed ? FAILED_LIFETIME_MS : VERDICT_LIFETIME_MS;
    const ageMs = this.parts.clock.now() - state.verdictMs;
    return ageMs < lifetimeMs ? state.verdict : undefined;
  }

  /** An error in the judgement of one target must not end that of others. */
  private async investigateSafely(
    target: KnownTarget,
    state: PathState,
    cause: Suspicion,
  ): Promise<PathVerdict> {
    let verdict: PathVerdict = PATH_VERDICT.unknown;
    const work = async () => {
      verdict = await this.investigate(target, state, cause);
    };
    const subject = {target: target.registration.id};
    await this.parts.tasks.run('path_check', work, subject);
    return verdict;
  }

  private async investigate(
    target: KnownTarget,
    state: PathState,
    cause: Suspicion,
  ): Promise<PathVerdict> {
    const {clock, judge, logger} = this.parts;
    const startMs = clock.now();
    const hasConnected = () => state.connectedMs >= startMs;
    const judged = await judge.judge(target, hasConnected);
    let {verdict} = judged;
    if (verdict === PATH_VERDICT.lost) {
      this.suspectedMs = startMs;
      this.lose([target], judged.isSilent);
      void this.parts.tasks.run('path_survey', () => this.survey.run(true));
    } else if (verdict === PATH_VERDICT.unknown) {
      // Without a helper, only the other targets tell.
      this.suspectedMs = startMs;
      await this.survey.run(this.hasLost);
      if (this.isCutOff) this.lose([target], judged.isSilent);
      if (state.isLost) verdict = PATH_VERDICT.lost;
    }
    state.verdict = verdict;
    state.verdictMs = clock.now();
    if (verdict !== PATH_VERDICT.sound) {
      logger.info('target_path_judged', {
        target: target.registration.id,
        cause,
        verdict,
        took_ms: Math.round(clock.now() - startMs),
      });
    }
    return verdict;
  }

  private async refreshHelpers(signal: AbortSignal): Promise<void> {
    const {clock, directory} = this.parts;
    if (!this.hasLost) return;
    const isNew = clock.now() - this.lostMs < NEW_LOSS_MS;
    await directory.refresh(signal, isNew ? NEW_LOSS_LIST_AGE_MS : undefined);
  }

  private lose(targets: KnownTarget[], isSilent: boolean): void {
    const {clock, logger, paths} = this.parts;
    const newlyLost = targets.filter(target => !paths.of(target).isLost);
    if (newlyLost.length === 0) return;
    this.lostMs = clock.now();
    paths.lose(newlyLost);
    for (const target of newlyLost) target.health.forgive();
    logger.warn('target_paths_lost', {
      lost: newlyLost.length,
      lost_in_all: paths.countLost,
      silent: isSilent,
      has_helper: this.parts.choice.hasUsable,
    });
    for (const listener of this.lostListeners) listener(newlyLost.length);
    this.logCutOff();
    if (!isSilent) return;
    // What is being set up has sent nothing and goes another way at once.
    for (const target of newlyLost) {
      if (target.inFlight > 0) this.parts.abandonSilent(target, BEFORE_ALL_MS);
    }
    this.abandonTimer ??= clock.after(ABANDON_AFTER_MS, () => this.abandon());
  }

  /** Gives up silent connections unless open ones live on. */
  private abandon(): void {
    this.abandonTimer = undefined;
    const {abandonSilent, paths} = this.parts;
    const lost = paths.lost();
    const isAnyAlive = lost.some(
      target => paths.of(target).receivedMs > this.lostMs,
    );
    if (isAnyAlive) return;
    for (const target of lost) {
      if (target.inFlight > 0) abandonSilent(target, this.suspectedMs);
    }
  }

  private recordRegained(targets: readonly KnownTarget[]): void {
    const {choice, logger, paths} = this.parts;
    for (const {registration} of targets) choice.release(registration.id);
    logger.info('target_paths_regained', {
      regained: targets.length,
      lost_in_all: paths.countLost,
    });
    this.logCutOff();
  }

  private logCutOff(): void {
    const {isCutOff} = this;
    if (isCutOff === this.wasCutOff) return;
    this.wasCutOff = isCutOff;
    const event = isCutOff ? 'targets_cut_off' : 'targets_reached_again';
    this.parts.logger.warn(event, {lost: this.parts.paths.countLost});
  }
}
