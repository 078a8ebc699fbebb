/** Typical durations of a service, and predictions from them. @packageDocumentation */

import type {KnownTarget} from '../gateway/target_table.js';
import {LogMedian} from './log_median.js';
import {RequestSize} from './request_size.js';

/** Prompt tokens that a typical target prefills per millisecond. */
const PREFILL_TOKENS_PER_MS = 40;

/** Values that are assumed before any is observed. */
const INITIAL_PAUSE_MS = 45;
const INITIAL_FIRST_EVENT_MS = 30;
const INITIAL_RUN_MS = 1_000;

/** Pause between events that callers accept. */
const MAX_PAUSE_MS = 200;

/** Fraction of the accepted pause from which a predicted one is harmful. */
const HARMLESS_PAUSE_FRACTION = 0.75;

/**
 * Factor by which targets are slower than their recent pace for moments of about
 * half a second: a stream runs for several of them, and one late event makes it
 * late.
 */
const PAUSE_VARIATION = 2.5;

/** Longest pause, as a fraction of the accepted one, that is no risk. */
const SAFE_PAUSE_FRACTION = 0.8;

/** Cost of a target at which streams have late events for certain, as load. */
const LATE_PAUSE_COST = 0.5;

/**
 * Requests beyond the slots that a target is given, as a fraction of its slots:
 * a slot that becomes free must not wait for the news to reach a host.
 */
const QUEUED_FRACTION = 0.06;

/**
 * Free slots, as a fraction of all, from which a host may exceed its part of
 * them. Among 70 hosts an equal part is less than one slot, and the only target
 * that holds a rare model would be left unused.
 */
const SPARE_FRACTION = 0.25;

/** What is predicted for a request at a target. */
export interface Prediction {
  /** Time from the send to the first event, in milliseconds. */
  firstEventMs: number;
  /** Pause between two events, in milliseconds. */
  pauseMs: number;
  fitsMemory: boolean;
  /** 1 if the work of all hosts is known, 0 if only that of this host is. */
  confidence: number;
}

/** Typical durations of one service, learnt from the runs of this host. */
export class ServiceWork {
  /** Pause between events. */
  readonly pauses = new LogMedian(INITIAL_PAUSE_MS);
  /** Time to the first event without prefill and without a queue. */
  readonly firstEvents = new LogMedian(INITIAL_FIRST_EVENT_MS);
  /** Duration of a run. */
  readonly runs = new LogMedian(INITIAL_RUN_MS);

  /** @param kvCapacityTokens - tokens that the memory of a target holds. */
  constructor(public kvCapacityTokens: number) {}

  /**
   * Predicts how a target would run a request.
   *
   * @param target - the target.
   * @param size - size of the request.
   */
  predict(target: KnownTarget, size: RequestSize): Prediction {
    const factor = target.work.pace.factor;
    return {
      firstEventMs: this.firstEventMs(target, size, factor),
      pauseMs: factor * this.pauses.value,
      fitsMemory: this.fitsMemory(target, size),
      confidence: target.work.isCurrent ? 1 : 0,
    };
  }

  /**
   * Returns the cost of a request at a target, as load: 0 for an idle target of
   * typical pace.
   *
   * @param target - the target.
   * @param size - size of the request.
   * @param objectiveMs - latency objective of the request.
   */
  cost(target: KnownTarget, size: RequestSize, objectiveMs: number): number {
    const factor = target.work.pace.factor;
    const idleMs = this.typicalFirstMs(size.promptTokens);
    const lateMs = this.firstEventMs(target, size, factor) - idleMs;
    const harmlessMs = HARMLESS_PAUSE_FRACTION * MAX_PAUSE_MS;
    const harmfulMs = Math.max(0, factor * this.pauses.value - harmlessMs);
    const pauseCost = harmfulMs / MAX_PAUSE_MS + this.latePauseCost(factor);
    return this.loadOf(target) + lateMs / objectiveMs + pauseCost;
  }

  /** Returns the cost of the risk that an event comes late in a slow moment. */
  private latePauseCost(factor: number): number {
    const slowMs = factor * this.pauses.value * PAUSE_VARIATION;
    const riskMs = slowMs - SAFE_PAUSE_FRACTION * MAX_PAUSE_MS;
    const certainMs = 2 * (1 - SAFE_PAUSE_FRACTION) * MAX_PAUSE_MS;
    const risk = Math.max(0, Math.min(1, riskMs / certainMs));
    return LATE_PAUSE_COST * risk;
  }

  /** Returns the requests of all hosts, as a fraction of the slots. */
  loadOf(target: KnownTarget): number {
    const {work} = target;
    return work.isCurrent ? work.requests / target.effectiveSlots : target.load;
  }

  /** Returns the slots that are free, as far as is known. */
  freeSlots(target: KnownTarget): number {
    return target.effectiveSlots * (1 - this.loadOf(target));
  }

  /** Returns whether a request fits into the target's memory now. */
  fitsMemory({work}: KnownTarget, {memoryTokens}: RequestSize): boolean {
    return work.memoryTokens + memoryTokens <= this.kvCapacityTokens;
  }

  /** Returns whether a request could fit into the memory of an idle target. */
  canEverFit({promptTokens}: RequestSize): boolean {
    return promptTokens < this.kvCapacityTokens;
  }

  /**
   * Returns whether this host may send a target a request that would start at
   * once, or nearly so. Without current sums of all hosts, it always may.
   *
   * @param target - the target.
   */
  hasRoom(target: KnownTarget): boolean {
    const {work} = target;
    if (!work.isCurrent) return true;
    const slots = target.effectiveSlots;
    const queued = Math.max(1, slots * QUEUED_FRACTION);
    return work.requests < slots + queued && !work.isPartUsed;
  }

  /**
   * Returns whether a target has so many free slots that this host may send it
   * one request beyond its part of them.
   *
   * @param target - the target.
   */
  hasSpareRoom(target: KnownTarget): boolean {
    if (target.work.isPartExceeded) return false;
    return this.freeSlots(target) >= SPARE_FRACTION * target.effectiveSlots;
  }

  /** Returns the typical time to the first event on an idle target. */
  typicalFirstMs(prefillTokens: number): number {
    return this.firstEvents.value + prefillTokens / PREFILL_TOKENS_PER_MS;
  }

  /** Returns how many requests have to end before a new one gets a slot. */
  queueAhead(target: KnownTarget): number {
    const slots = target.effectiveSlots;
    return Math.max(0, this.loadOf(target) * slots + 1 - slots);
  }

  private firstEventMs(
    target: KnownTarget,
    {promptTokens}: RequestSize,
    factor: number,
  ): number {
    const prefill = target.work.prefillTokens + promptTokens;
    const endMs = (factor * this.runs.value) / target.effectiveSlots;
    const slotMs = this.queueAhead(target) * endMs;
    return factor * this.typicalFirstMs(prefill) + slotMs;
  }
}
