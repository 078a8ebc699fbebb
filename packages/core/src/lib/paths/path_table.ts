/** States of the direct paths to targets. @packageDocumentation */

import {KnownTarget, TargetTable} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {PathVerdict} from './path_view.js';

/** Share of lost paths from which a host can't help others. */
const MAX_LOST_SHARE = 0.1;

/** State of the direct path to a target. */
export class PathState {
  /** Clock time of the loss, while the path is lost. */
  lostMs: number | undefined;
  /** Clock times of the last direct connection and of the last bytes. */
  connectedMs = -Infinity;
  receivedMs = -Infinity;
  /** Clock time since which requests are in flight, as far as was noticed. */
  waitingSinceMs: number | undefined;
  /** Clock time before which silence is no reason for a check. */
  nextSilenceCheckMs = -Infinity;
  /** Checks for silence in a row that the target has passed. */
  passedSilenceChecks = 0;
  /** The last verdict, and its clock time. */
  verdict: PathVerdict | undefined;
  verdictMs = -Infinity;
  /** The verdict that is being found. */
  judging: Promise<PathVerdict> | undefined;

  /** Whether the path is lost. */
  get isLost(): boolean {
    return this.lostMs !== undefined;
  }

  /** Records that no request is in flight. */
  recordIdle(): void {
    this.waitingSinceMs = undefined;
    this.passedSilenceChecks = 0;
  }
}

/** Knows which direct paths are lost. */
export class PathTable {
  private readonly states = new Map<string, PathState>();
  private cutOffMs: number | undefined;
  /** Number of lost paths; may include some of targets that are gone. */
  private lostCount = 0;

  /**
   * @param clock - times the losses.
   * @param targets - the targets of this host.
   */
  constructor(
    private readonly clock: Clock,
    private readonly targets: TargetTable,
  ) {}

  /** Returns the state of the path to a target. */
  of({registration: {id}}: KnownTarget): PathState {
    let state = this.states.get(id);
    if (state === undefined) {
      state = new PathState();
      // Nothing else is known of a target that has come since.
      if (this.cutOffMs !== undefined) this.setLost(state);
      this.states.set(id, state);
    }
    return state;
  }

  /** Returns the state of the path to a target, if there is one. */
  find({registration: {id}}: KnownTarget): PathState | undefined {
    return this.states.get(id);
  }

  /** Returns whether the path to a target is lost. */
  isLost(target: KnownTarget): boolean {
    return this.hasLost && this.of(target).isLost;
  }

  /** Whether any path is lost. */
  get hasLost(): boolean {
    return this.lostCount > 0;
  }

  /** Clock time since which all paths are lost; undefined if not all are. */
  get cutOffSinceMs(): number | undefined {
    return this.cutOffMs;
  }

  /** Number of lost paths. */
  get countLost(): number {
    return this.lostCount;
  }

  /** Whether nearly all paths are sound. */
  get isSound(): boolean {
    if (!this.hasLost) return true;
    if (this.cutOffMs !== undefined) return false;
    return this.lostCount <= this.checkable().length * MAX_LOST_SHARE;
  }

  /**
   * Returns whether this host has lately got something from another target than
   * the given one.
   */
  hasReachedOther({registration: {id}}: KnownTarget, sinceMs: number): boolean {
    for (const [other, {connectedMs, receivedMs}] of this.states) {
      if (other !== id && Math.max(connectedMs, receivedMs) >= sinceMs)
        return true;
    }
    return false;
  }

  /** Returns the targets whose paths are not lost and can be checked. */
  reachable(): KnownTarget[] {
    return this.checkable().filter(target => !this.of(target).isLost);
  }

  /** Returns the targets whose paths are lost and can be checked. */
  lost(): KnownTarget[] {
    return this.checkable().filter(target => this.of(target).isLost);
  }

  /** Records the loss of paths. */
  lose(targets: readonly KnownTarget[]): void {
    for (const target of targets) this.setLost(this.of(target));
    this.updateCutOff();
  }

  /** Records that the path to a target is sound again. */
  regain(target: KnownTarget): void {
    const state = this.of(target);
    if (!state.isLost) return;
    state.lostMs = undefined;
    state.verdict = undefined;
    this.lostCount -= 1;
    this.updateCutOff();
  }

  /** Drops the states of targets that are gone. */
  prune(): void {
    for (const [id, state] of this.states) {
      if (this.targets.get(id) !== undefined) continue;
      this.states.delete(id);
      if (state.isLost) this.lostCount -= 1;
    }
    if (this.lost().length === 0) this.clear();
    this.updateCutOff();
  }

  /** Forgets losses of targets that can't be checked. */
  private clear(): void {
    for (const state of this.states.values()) state.lostMs = undefined;
    this.lostCount = 0;
  }

  /** Returns the targets that should accept connections. */
  private checkable(): KnownTarget[] {
    return [...this.targets.all()].filter(isCheckable);
  }

  private setLost(state: PathState): void {
    if (state.isLost) return;
    state.lostMs = this.clock.now();
    this.lostCount += 1;
  }

  private updateCutOff(): void {
    const isCutOff = this.hasLost && this.reachable().length === 0;
    if (!isCutOff) this.cutOffMs = undefined;
    else if (this.cutOffMs === undefined) {
      this.cutOffMs = this.clock.now();
      // Those that can't be checked now may return before the paths do.
      for (const target of this.targets.all()) this.setLost(this.of(target));
    }
  }
}

/** Returns whether a target should accept connections of this host. */
export function isCheckable(target: KnownTarget): boolean {
  return target.isOpen && !target.hasEnded;
}
