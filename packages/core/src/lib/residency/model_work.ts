/** The work that the callers of models cause. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {DemandPeaks} from './demand_peaks.js';
import {LastingPace} from './lasting_pace.js';
import {LoadRequests} from './load_requests.js';
import type {PlanRound} from './plan_round.js';
import {ResidencyAccount} from './residency_account.js';
import {SlotTime} from './slot_time.js';
import {UsageTable} from './usage_table.js';

/** Load of a target below which requests do not wait for its slots. */
const UNQUEUED_LOAD = 0.9;

/**
 * Half-life of a peak of the demand, in loads of the model from the weight
 * store. An eviction in a lull that is shorter costs more than it frees.
 */
const PEAK_HALF_LIFE_LOADS = 3;

/**
 * Learns for one service how long requests occupy a slot, the pace of its
 * targets and the peaks of its demand. A new lease holder starts without any.
 */
export class ModelWork {
  readonly requests: LoadRequests;
  private readonly slotTime: SlotTime;
  private readonly pace: LastingPace;
  private readonly peaks: DemandPeaks;

  /** @param clock - measures ages. */
  constructor(clock: Clock) {
    this.requests = new LoadRequests(clock);
    this.slotTime = new SlotTime(clock);
    this.pace = new LastingPace(clock);
    this.peaks = new DemandPeaks(clock);
  }

  /** Mean time for which a request occupies a slot at a typical pace. */
  get slotSeconds(): number {
    return this.slotTime.seconds;
  }

  /** Returns the duration factor of a target; 1 is typical. */
  paceOf(account: ResidencyAccount): number {
    return this.pace.factor(account);
  }

  /** Returns the decayed peak of the demand for a model. */
  peak(model: string): number {
    return this.peaks.get(model);
  }

  /**
   * Learns from the present state.
   *
   * @param round - state of targets and demand.
   * @param usage - requests in flight and the work of all hosts.
   */
  observe(round: PlanRound, usage: UsageTable): void {
    const ids = new Set<string>();
    for (const account of round.accounts) {
      ids.add(account.id);
      this.pace.record(account, usage.work.get(account.id)?.pace);
    }
    this.pace.retain(ids);
    this.requests.prune();
    this.recordPeaks(round);
    this.recordSlotTime(round, usage);
  }

  private recordPeaks(round: PlanRound): void {
    const models = round.accounts[0]?.engine.models ?? [];
    for (const [model, {storeLoadMs}] of models) {
      const halfLifeMs = PEAK_HALF_LIFE_LOADS * storeLoadMs;
      this.peaks.record(model, round.demand(model), halfLifeMs);
    }
  }

  /** Observes the models whose requests wait neither for a load nor a slot. */
  private recordSlotTime(round: PlanRound, usage: UsageTable): void {
    let inFlight = 0;
    let perSecond = 0;
    for (const [model, copies] of round.allCopies()) {
      if (round.waiting(model) > 0) continue;
      const isUnqueued = (account: ResidencyAccount) =>
        account.target.requestsPerSecond === undefined &&
        round.load(account) < UNQUEUED_LOAD;
      if (!copies.every(isUnqueued)) continue;
      perSecond += round.demand(model);
      for (const account of copies) {
        const running = usage.reportedInFlight(account.id, model);
        inFlight += running / this.paceOf(account);
      }
    }
    this.slotTime.record(inFlight, perSecond);
  }
}
