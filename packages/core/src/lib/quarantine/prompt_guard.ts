/** Keeps requests that crash their targets away from further targets. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {KnownTarget} from '../gateway/target_table.js';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {Clock} from '../time/clock.js';
import {GuardedRun} from './guarded_run.js';
import {PartLedger} from './part_ledger.js';
import {STANDING} from './part_record.js';
import {QuarantineExchange} from './quarantine_exchange.js';
import {isRequestDigest} from './request_digest.js';
import {TargetEndDetector} from './target_end_detector.js';
import {GrantedTrial, Trial} from './trial.js';

/** Longest wait of a request for the trial of another one. */
const MAX_TRIAL_WAIT_MS = 1_000;

/** Time between attempts to start a trial. */
const TRIAL_POLL_MS = 50;

/** Retry-after time of a request whose parts are in a trial. */
const TRIAL_RETRY_AFTER_MS = 1_000;

/**
 * Time for which a request that lost its target waits for the evidence of other
 * hosts before it is sent again.
 */
const EVIDENCE_WAIT_MS = 100;

/** Dependencies of a {@link PromptGuard}. */
export interface PromptGuardParts {
  clock: Clock;
  ledger: PartLedger;
  exchange: QuarantineExchange;
  detector: TargetEndDetector;
}

/** A request, as far as the guard has to know it. */
export interface GuardedRequest {
  /** Id of the request. */
  id: string;
  /** Digests of the shared parts of its prompt, and of the whole request. */
  parts: readonly string[];
}

/** Checks requests, and the parts of their prompts, before they are sent. */
export class PromptGuard {
  /** Parts that this host has, or asks for, a trial of. */
  private readonly ownTrials = new Set<string>();

  /** @param parts - see {@link PromptGuardParts}. */
  constructor(private readonly parts: PromptGuardParts) {}

  /** @param listener - called with each part that is quarantined. */
  onQuarantined(listener: (part: string) => void): void {
    this.parts.ledger.onQuarantined(listener);
  }

  /**
   * Checks whether a request may be sent at all.
   *
   * @param parts - digests of the parts of its prompt and of the request.
   * @returns the refusal, or undefined if no part is quarantined.
   */
  check(parts: readonly string[]): Refusal | undefined {
    const {ledger} = this.parts;
    if (ledger.size === 0) return undefined;
    let longestMs = 0;
    let cause = '';
    for (const part of parts) {
      const leftMs = ledger.quarantineLeftMs(part);
      if (leftMs <= longestMs) continue;
      longestMs = leftMs;
      cause = isRequestDigest(part) ? 'the request' : 'a part of the prompt';
    }
    if (longestMs === 0) return undefined;
    const message = `targets crashed on ${cause}`;
    return refuse(REFUSAL.quarantined, message, Math.ceil(longestMs));
  }

  /**
   * Waits until a request may be sent. The trial that this may start has to be
   * ended with {@link PromptGuard.endTrial}.
   *
   * @param req - the request.
   * @param target - id of the target that it is to be sent to.
   * @param signal - ends the wait.
   * @returns the trial that the request is, if a part of it is suspect, or the
   *     refusal.
   */
  async admit(
    req: GuardedRequest,
    target: string,
    signal: AbortSignal,
  ): Promise<Result<GrantedTrial | undefined, Refusal>> {
    const {clock} = this.parts;
    const endMs = clock.now() + MAX_TRIAL_WAIT_MS;
    for (;;) {
      const refusal = this.check(req.parts);
      if (refusal !== undefined) return err(refusal);
      if (!this.hasSuspect(req.parts)) return ok(undefined);
      if (signal.aborted) break;
      const trial = {requestId: req.id, parts: [...req.parts], target};
      const granted = await this.tryStartTrial(trial, signal);
      if (granted !== undefined) return ok(granted);
      if (clock.now() >= endMs) break;
      await clock.sleep(TRIAL_POLL_MS, signal);
    }
    const message = 'the request is suspected to crash targets';
    return err(refuse(REFUSAL.quarantined, message, TRIAL_RETRY_AFTER_MS));
  }

  /**
   * Checks again, right before a send, that a request may be sent.
   *
   * @param parts - digests of the parts of its prompt and of the request.
   * @param isTrial - whether it is the trial of its suspect parts.
   */
  canStillSend(parts: readonly string[], isTrial: boolean): boolean {
    if (this.check(parts) !== undefined) return false;
    return isTrial || !this.hasSuspect(parts);
  }

  /** Ends the trial of a request, whatever its result. */
  endTrial(trial: Trial): void {
    for (const part of trial.parts) this.ownTrials.delete(part);
    this.parts.exchange.endTrial(trial);
  }

  /**
   * Observes a run of a request, from its send on.
   *
   * @param parts - digests of the parts of its prompt and of the request.
   */
  observeRun(parts: readonly string[]): GuardedRun {
    const {clock, exchange} = this.parts;
    return new GuardedRun(clock, begunMs =>
      exchange.recordAnswer(parts, begunMs),
    );
  }

  /**
   * Records that a run broke off.
   *
   * @param target - the target of the run.
   * @param req - the request.
   * @param run - the run.
   * @param tried - the suspect parts that it was the trial of.
   * @returns whether the process has ended and the run may be the cause.
   */
  async recordBrokenRun(
    target: KnownTarget,
    {id, parts}: GuardedRequest,
    run: GuardedRun,
    tried: readonly string[],
  ): Promise<boolean> {
    const {detector} = this.parts;
    if (run.isProven) {
      await detector.recordBrokenRun(target, undefined);
      return false;
    }
    return detector.recordBrokenRun(target, {
      id,
      parts: [...parts],
      hasBegun: run.hasBegun,
      tried: [...tried],
    });
  }

  /** Waits for the evidence of other hosts after the end of a process. */
  async awaitEvidence(signal: AbortSignal): Promise<void> {
    await this.parts.clock.sleep(EVIDENCE_WAIT_MS, signal);
  }

  private async tryStartTrial(
    trial: Trial,
    signal: AbortSignal,
  ): Promise<GrantedTrial | undefined> {
    const suspects = trial.parts.filter(part => this.isSuspect(part));
    if (suspects.some(part => this.ownTrials.has(part))) return undefined;
    for (const part of suspects) this.ownTrials.add(part);
    const granted = await this.parts.exchange.startTrial(trial, signal);
    if (granted === undefined)
      for (const part of suspects) this.ownTrials.delete(part);
    return granted;
  }

  private hasSuspect(parts: readonly string[]): boolean {
    return parts.some(part => this.isSuspect(part));
  }

  private isSuspect(part: string): boolean {
    const {ledger} = this.parts;
    if (ledger.size === 0) return false;
    return ledger.standingOf(part) === STANDING.suspect;
  }
}
