/** Chooses models of evacuated targets to load elsewhere. @packageDocumentation */

import {residentKey} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {AccountRegistry} from './account_registry.js';
import {PlanRound} from './plan_round.js';
import {ResidencyAccount} from './residency_account.js';
import {Swap} from './swap_choice.js';
import {UsageTable} from './usage_table.js';

/**
 * Time from when an account is first seen in an evacuated zone within which its
 * used models are collected. A new lease holder does not know the demand until
 * the hosts have reported it, which takes up to a second.
 */
const COLLECT_MS = 3_000;

/**
 * Time for which a model is tried: a load from the weight store takes 6 s, and
 * few run at once. Requests that wait for the model have it loaded later.
 */
const HANDOFF_LIFETIME_MS = 30_000;

/** Models tried in one round: each attempt looks at all targets. */
const MAX_MODELS_PER_ROUND = 16;

interface Displaced {
  service: string;
  model: string;
  untilMs: number;
}

/**
 * Collects the models in use that only evacuated targets hold. Each is handed
 * over once in an evacuation: if it is unloaded again afterwards, the model that
 * replaced it was worth more, and loading it again would evict that one.
 */
export class EvacuationHandoff {
  private readonly sinceMs = new Map<ResidencyAccount, number>();
  private readonly displaced = new Map<string, Displaced>();
  private readonly handedOver = new Set<string>();
  /** Models that reachable targets hold or load, by service and model. */
  private held: ReadonlySet<string> = new Set();

  /**
   * @param clock - measures how long models are tried.
   * @param registry - the accounts of the targets.
   * @param usage - demand and requests in flight.
   */
  constructor(
    private readonly clock: Clock,
    private readonly registry: AccountRegistry,
    private readonly usage: UsageTable,
  ) {}

  /** Clears the state, when the accounts are opened anew. */
  clear(): void {
    this.sinceMs.clear();
    this.displaced.clear();
    this.handedOver.clear();
  }

  /** Updates the models to load from the accounts. */
  update(): void {
    const nowMs = this.clock.now();
    const accounts = [...this.registry.all()];
    const evacuated = accounts.filter(({target}) => target.isEvacuated);
    if (evacuated.length === 0) {
      if (this.sinceMs.size > 0) this.clear();
      return;
    }
    for (const account of this.sinceMs.keys())
      if (!account.target.isEvacuated) this.forget(account);
    for (const account of evacuated)
      if (!this.sinceMs.has(account)) this.sinceMs.set(account, nowMs);
    const recent = evacuated.filter(
      account => nowMs - this.sinceMs.get(account)! <= COLLECT_MS,
    );
    if (recent.length === 0 && this.displaced.size === 0) return;
    this.held = heldModels(accounts);
    for (const account of recent) this.collect(account, nowMs);
    for (const [key, {untilMs}] of this.displaced) {
      const isHeld = this.held.has(key);
      if (isHeld) this.handedOver.add(key);
      if (isHeld || untilMs <= nowMs) this.displaced.delete(key);
    }
  }

  /**
   * Returns the models of a service to load now, those in highest demand first.
   *
   * @param service - name of the service.
   * @returns requests per second by model.
   */
  models(service: string): ReadonlyMap<string, number> {
    if (this.displaced.size === 0) return new Map();
    const models = [...this.displaced.values()]
      .filter(each => each.service === service)
      .map(({model}): [string, number] => [
        model,
        this.usage.demand(service, model).perSecond,
      ])
      .sort(([, a], [, b]) => b - a);
    return new Map(models.slice(0, MAX_MODELS_PER_ROUND));
  }

  /** Lets the models of a returned target be handed over another time. */
  private forget(account: ResidencyAccount): void {
    this.sinceMs.delete(account);
    const {service} = account.target.registration;
    for (const model of modelsOf(account))
      this.handedOver.delete(residentKey(service, model));
  }

  private collect(account: ResidencyAccount, nowMs: number): void {
    const {service} = account.target.registration;
    for (const model of modelsOf(account)) {
      const key = residentKey(service, model);
      if (this.displaced.has(key) || this.handedOver.has(key)) continue;
      const isUsed =
        this.usage.demand(service, model).perSecond > 0 ||
        this.usage.inFlight(account.id, model) > 0;
      if (!isUsed || this.held.has(key)) continue;
      const untilMs = nowMs + HANDOFF_LIFETIME_MS;
      this.displaced.set(key, {service, model, untilMs});
    }
  }
}

/** Returns the models that reachable targets hold or load. */
function heldModels(accounts: readonly ResidencyAccount[]): Set<string> {
  const held = new Set<string>();
  for (const account of accounts) {
    if (!account.isReachable) continue;
    const {service} = account.target.registration;
    for (const model of modelsOf(account))
      if (account.isHeldOrLoading(model)) held.add(residentKey(service, model));
  }
  return held;
}

/** Returns the models that a target holds, loads or unloads. */
function modelsOf({loadingModel, residents}: ResidencyAccount): Set<string> {
  const models = new Set(residents.keys());
  if (loadingModel !== undefined) models.add(loadingModel);
  return models;
}

/**
 * Returns whether a model is in higher demand than each one that a swap would
 * leave without a copy.
 */
export function isWorthwhile(
  {account, model, victims}: Swap,
  round: PlanRound,
): boolean {
  return victims.every(victim => {
    const hasCopy = round.copies(victim).some(copy => copy !== account);
    return hasCopy || round.demand(victim) < round.demand(model);
  });
}
