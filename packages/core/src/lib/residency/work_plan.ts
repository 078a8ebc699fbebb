/** Work and capacity of models in a round of planning. @packageDocumentation */

import {ModelWork} from './model_work.js';
import type {PlanRound} from './plan_round.js';
import {ResidencyAccount} from './residency_account.js';

/**
 * Utilization of slots above which queues form: with 16 slots, one of eight
 * requests then waits for a slot (Erlang C), and one of three at 0.8.
 */
const TARGET_UTILIZATION = 0.7;

/** Requests per second below which a model gets no copies because of its work. */
const MIN_PLANNED_RATE = 1;

const MS_PER_SECOND = 1_000;

/**
 * Compares the work that the callers of each model cause with the capacity of
 * its copies. Both are in slots of targets of typical pace. Copies that are being
 * loaded count as well.
 */
export class WorkPlan {
  private readonly holdersByModel = new Map<string, ResidencyAccount[]>();
  private readonly totals = new Map<string, number>();

  /**
   * @param round - state of targets and demand.
   * @param work - what is known of the service.
   */
  constructor(
    private readonly round: PlanRound,
    readonly work: ModelWork,
  ) {
    for (const account of round.accounts) {
      if (!account.isReachable) continue;
      for (const model of heldOrLoading(account)) {
        const holders = this.holdersByModel.get(model);
        if (holders === undefined) this.holdersByModel.set(model, [account]);
        else holders.push(account);
      }
    }
  }

  /** Returns the requests per second that copies are planned for. */
  demand(model: string): number {
    return Math.max(this.round.demand(model), this.work.peak(model));
  }

  /** Returns the work of a model, in slots. */
  workSlots(model: string): number {
    return this.demand(model) * this.work.slotSeconds;
  }

  /**
   * Returns the slots that the copies of a model have for it.
   *
   * @param model - name of the model.
   * @param without - a copy that is left out.
   */
  capacitySlots(model: string, without?: ResidencyAccount): number {
    let slots = 0;
    for (const account of this.holders(model)) {
      if (account === without) continue;
      const others = this.total(account) - this.share(account, model);
      slots += Math.max(0, this.typicalSlots(account) - others);
    }
    return slots;
  }

  /** Returns the requests per second that the copies take without queues. */
  capacity(model: string, without?: ResidencyAccount): number {
    const slots = this.capacitySlots(model, without);
    return (slots * TARGET_UTILIZATION) / this.work.slotSeconds;
  }

  /** Returns the requests per second that a target has room for. */
  room(account: ResidencyAccount): number {
    const slots = this.typicalSlots(account) * TARGET_UTILIZATION;
    return Math.max(0, slots - this.total(account)) / this.work.slotSeconds;
  }

  /** Returns the requests per second that the copies of a model cannot take. */
  shortage(model: string, without?: ResidencyAccount): number {
    const demand = this.demand(model);
    if (demand < MIN_PLANNED_RATE) return 0;
    return Math.max(0, demand - this.capacity(model, without));
  }

  /** Returns the models whose copies cannot take their demand. */
  shortModels(): string[] {
    return [...this.holdersByModel.keys()].filter(
      model => this.shortage(model) > 0,
    );
  }

  /** Returns the requests per second that lack a slot if a copy is unloaded. */
  lossWithout(account: ResidencyAccount, model: string): number {
    return this.shortage(model, account) - this.shortage(model);
  }

  /**
   * Returns the requests per second that are not served in time without a
   * further copy of a model.
   */
  unserved(model: string): number {
    if (this.holders(model).length > 0)
      return Math.max(this.shortage(model), this.excess(model));
    return this.demand(model) + this.perLoad(model, this.round.waiting(model));
  }

  /**
   * Returns the requests in flight beyond the capacity of a model's copies, as a
   * rate. They are there before the rates that hosts report follow.
   */
  private excess(model: string): number {
    let slots = 0;
    for (const account of this.holders(model)) {
      const running = this.round.inFlight(account, model);
      slots += running / this.work.paceOf(account);
    }
    const perSecond = slots / this.work.slotSeconds;
    return Math.max(0, perSecond - this.capacity(model));
  }

  /** Returns a number of requests as a rate over the time of a store load. */
  perLoad(model: string, requests: number): number {
    const models = this.round.accounts[0]?.engine.models;
    const loadMs = models?.get(model)?.storeLoadMs ?? MS_PER_SECOND;
    return (requests * MS_PER_SECOND) / Math.max(MS_PER_SECOND, loadMs);
  }

  /**
   * Returns the time that the demand for a model takes on a target in excess of
   * a target of typical pace, until a copy could be loaded elsewhere.
   *
   * @param account - a target that could load the model.
   * @param model - name of the model.
   * @returns milliseconds of all requests together; negative on a fast target.
   */
  extraMs(account: ResidencyAccount, model: string): number {
    const {storeLoadMs = 0} = account.engine.models.get(model) ?? {};
    const perCopy = this.demand(model) / (this.holders(model).length + 1);
    const requests = (perCopy * storeLoadMs) / MS_PER_SECOND;
    const extraSeconds =
      (this.work.paceOf(account) - 1) * this.work.slotSeconds;
    return requests * extraSeconds * MS_PER_SECOND;
  }

  /** Returns what decisions about a model are based on, for the log. */
  logFields(model: string): Record<string, number> {
    return {
      demand_per_s: round2(this.demand(model)),
      work_slots: round2(this.workSlots(model)),
      capacity_slots: round2(this.capacitySlots(model)),
    };
  }

  private holders(model: string): readonly ResidencyAccount[] {
    return this.holdersByModel.get(model) ?? [];
  }

  private typicalSlots(account: ResidencyAccount): number {
    return account.slots / this.work.paceOf(account);
  }

  /** Returns the current work of all models at a target. */
  private total(account: ResidencyAccount): number {
    let total = this.totals.get(account.id);
    if (total === undefined) {
      total = 0;
      for (const model of heldOrLoading(account))
        total += this.share(account, model);
      this.totals.set(account.id, total);
    }
    return total;
  }

  /** Returns a target's share of the current work of one of its models. */
  private share(account: ResidencyAccount, model: string): number {
    const slots = this.round.demand(model) * this.work.slotSeconds;
    if (slots === 0) return 0;
    let sum = 0;
    for (const holder of this.holders(model)) sum += this.typicalSlots(holder);
    return (slots * this.typicalSlots(account)) / sum;
  }
}

/** Returns the models of a target that take requests, now or once loaded. */
function heldOrLoading(account: ResidencyAccount): string[] {
  const models: string[] = [];
  for (const [model, {isRetiring, isUnloading}] of account.residents)
    if (!isRetiring && !isUnloading) models.push(model);
  const {loadingModel} = account;
  if (loadingModel !== undefined && !account.residents.has(loadingModel))
    models.push(loadingModel);
  return models;
}

function round2(value: number): number {
  return Math.round(value * 100) / 100;
}
