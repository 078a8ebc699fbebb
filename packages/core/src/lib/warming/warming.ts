/** Decides until when targets count as cold. @packageDocumentation */

import type {RegistrationSummary} from '../gateway/target_registration.js';
import {Clock} from '../time/clock.js';
import {ColdBounds, lentPerSecond} from './cold_pace.js';
import {
  COLD_SOURCE,
  ColdReport,
  ColdSource,
  ColdSpec,
  ColdState,
  TargetWarming,
} from './target_warming.js';

/**
 * Upper bound of the age of a registration that is read: targets write it every
 * 1.2 s, and hosts read it up to 0.5 s later; the rest covers a slow store.
 */
export const REGISTRATION_AGE_MS = 3_500;

/** Largest difference that is assumed between the wall clocks of machines. */
const CLOCK_SKEW_MS = 2_000;

/** Shortest extension of a cold time that other hosts have to know. */
const MIN_EXTENSION_MS = 300;

/** Ends of evacuations of zones. */
export abstract class EvacuationEnds {
  /**
   * @param zone - name of the availability zone.
   * @returns clock time at which its last evacuation ended; undefined if there
   *     was none.
   */
  abstract endedMs(zone: string): number | undefined;
}

/** Used where no zone is ever evacuated. */
export class NoEvacuations extends EvacuationEnds {
  override endedMs(): undefined {
    return undefined;
  }
}

/** Dependencies of {@link Warming}. */
export interface WarmingParts {
  clock: Clock;
  /** What a service declares about its cold targets; undefined for nothing. */
  spec: (service: string) => ColdSpec | undefined;
  /** Whether any service declares something. */
  isDeclared: () => boolean;
  bounds: ColdBounds;
  hostCount: () => number;
  /** Whether this host has read a list of targets before. */
  hasList: () => boolean;
  evacuations?: EvacuationEnds;
}

/** What is known about the process of a target. */
interface KnownProcess {
  startedMs: number;
  /** Clock time at which the target was added. */
  seenMs: number;
  /** Age of the process at that time, by the wall clocks. */
  ageMs: number;
  /** Whether it was added to a list that had been read before. */
  isNewcomer: boolean;
  report: ColdState | undefined;
}

/**
 * Decides until when targets count as cold. Newer information from the target
 * itself replaces older; older information only makes it cold for longer.
 */
export class Warming extends TargetWarming {
  private readonly byId = new Map<string, KnownProcess>();
  private readonly evacuations: EvacuationEnds;

  /** @param parts - see {@link WarmingParts}. */
  constructor(private readonly parts: WarmingParts) {
    super();
    this.evacuations = parts.evacuations ?? new NoEvacuations();
  }

  override get isDeclared(): boolean {
    return this.parts.isDeclared();
  }

  override recordRegistration(
    registration: RegistrationSummary,
    isNew: boolean,
  ): boolean {
    if (isNew || !this.isKnown(registration)) this.add(registration);
    const {cold} = registration;
    if (cold === undefined) return false;
    return this.recordReport(registration, cold, COLD_SOURCE.registration);
  }

  override forget(id: string): void {
    this.byId.delete(id);
  }

  override recordReport(
    target: RegistrationSummary,
    {leftMs, ageMs}: ColdReport,
    source: ColdSource,
  ): boolean {
    if (!this.isKnown(target)) return false;
    const nowMs = this.parts.clock.now();
    const report = {untilMs: nowMs + leftMs, asOfMs: nowMs - ageMs, source};
    return this.apply(target, report);
  }

  override recordUnreachable(target: RegistrationSummary): boolean {
    const spec = this.parts.spec(target.service);
    if (spec === undefined || !this.isKnown(target)) return false;
    const nowMs = this.parts.clock.now();
    const untilMs = nowMs + spec.coldMs + REGISTRATION_AGE_MS;
    const source = COLD_SOURCE.unreachable;
    return this.apply(target, {untilMs, asOfMs: nowMs, source});
  }

  override stateOf(target: RegistrationSummary): ColdState | undefined {
    const spec = this.parts.spec(target.service);
    if (spec === undefined) return undefined;
    const known = this.byId.get(target.id);
    const isKnown = known?.startedMs === target.startedMs;
    if (!isKnown) return unknownState(this.parts.clock.now(), spec);
    const state = known.report ?? assumedState(known, spec);
    const endedMs = this.evacuations.endedMs(target.zone);
    if (endedMs === undefined || state.asOfMs > endedMs) return state;
    const untilMs = endedMs + spec.coldMs;
    if (untilMs <= state.untilMs) return state;
    return {untilMs, asOfMs: endedMs, source: COLD_SOURCE.zone};
  }

  override leftMs(target: RegistrationSummary): number {
    const state = this.stateOf(target);
    if (state === undefined) return 0;
    return Math.max(0, state.untilMs - this.parts.clock.now());
  }

  override perSecond(target: RegistrationSummary): number | undefined {
    if (this.leftMs(target) <= 0) return undefined;
    const {bounds, hostCount, spec} = this.parts;
    const {perSecond} = spec(target.service)!;
    return lentPerSecond(perSecond, bounds, hostCount());
  }

  private isKnown({id, startedMs}: RegistrationSummary): boolean {
    return this.byId.get(id)?.startedMs === startedMs;
  }

  private add({id, startedMs}: RegistrationSummary): void {
    const {clock, hasList} = this.parts;
    this.byId.set(id, {
      startedMs,
      seenMs: clock.now(),
      ageMs: clock.epochNow() - startedMs,
      isNewcomer: hasList(),
      report: undefined,
    });
  }

  /** @returns whether the target counts as cold for longer than before. */
  private apply(target: RegistrationSummary, report: ColdState): boolean {
    const known = this.byId.get(target.id)!;
    const leftMs = this.leftMs(target);
    const state = this.stateOf(target) ?? known.report;
    if (!isAccepted(report, state, known.report !== undefined)) return false;
    const asOfMs = Math.max(report.asOfMs, known.report?.asOfMs ?? -Infinity);
    known.report = {...report, asOfMs};
    return this.leftMs(target) > leftMs + MIN_EXTENSION_MS;
  }
}

/**
 * Returns whether a report replaces what is known. Only the target's own words
 * make it warm earlier: what hosts know of it may be older than it looks.
 *
 * @param report - the report.
 * @param state - what is known or assumed; undefined for nothing.
 * @param isReported - whether that was reported and not only assumed.
 */
function isAccepted(
  report: ColdState,
  state: ColdState | undefined,
  isReported: boolean,
): boolean {
  if (state === undefined) return true;
  const isLonger = report.untilMs > state.untilMs;
  const isNewer = report.asOfMs > state.asOfMs;
  if (report.source === COLD_SOURCE.peer) return isLonger && isNewer;
  if (report.source === COLD_SOURCE.lender && isReported)
    return isLonger && isNewer;
  return !isReported || isLonger || isNewer;
}

function unknownState(nowMs: number, {coldMs}: ColdSpec): ColdState {
  const source = COLD_SOURCE.process;
  return {untilMs: nowMs + coldMs, asOfMs: -Infinity, source};
}

/** State of a target that has not said how cold it is. */
function assumedState(known: KnownProcess, {coldMs}: ColdSpec): ColdState {
  const {ageMs, isNewcomer, seenMs} = known;
  const mayBeCold = isNewcomer || ageMs < coldMs + CLOCK_SKEW_MS;
  return {
    untilMs: mayBeCold ? seenMs + coldMs : -Infinity,
    asOfMs: -Infinity,
    source: COLD_SOURCE.process,
  };
}
